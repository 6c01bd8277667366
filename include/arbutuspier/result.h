// Value-or-error returns. Boost's result stands in for tl::expected, which is not packaged.
#pragma once

#include <boost/system/result.hpp>

#include <string>
#include <utility>

namespace arbutuspier {

/// An error with a sentence for the person who reads it.
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
