// Return type for functions that return a value or an error. Uses Boost's result because
// tl::expected is not packaged.
#pragma once

#include <boost/system/result.hpp>

#include <string>
#include <utility>

namespace arbutuspier {

/// An error with a message for people to read.
struct Error
{
    explicit Error(std::string text = {})
        : message(std::move(text))
    {
    }
    std::string message;
};

template <class T>
using Result = boost::system::result<T, Error>;

} // namespace arbutuspier
