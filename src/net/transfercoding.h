// The transfer codings of HTTP messages that can be decoded here.
#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/fields.hpp>

namespace arbutuspier {

/// Whether the message has no transfer coding, or only chunked. The parser ignores other ones: it
/// takes the body of a request for the next request, and the coded body of a response for the body.
inline bool canDecodeBody(const boost::beast::http::fields &fields)
{
    namespace http = boost::beast::http;
    const auto [begin, end] = fields.equal_range(http::field::transfer_encoding);
    for (auto field = begin; field != end; ++field) {
        if (!boost::beast::iequals(field->value(), "chunked"))
            return false;
    }
    return true;
}

} // namespace arbutuspier
