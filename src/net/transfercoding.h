// The transfer codings of HTTP messages that can be decoded here.
#pragma once

#include <boost/beast/http/fields.hpp>

#include <string_view>

namespace arbutuspier {

/// Whether the message has no transfer coding, or only chunked. The parser ignores other ones: it
/// takes the body of a request for the next request, and the coded body of a response for the body.
bool canDecodeBody(const boost::beast::http::fields &fields);

/// Whether the bytes are a whole body in the chunked coding. A response that ends with its
/// connection, and whose body is one, has lost the field that names the coding.
bool isInChunks(std::string_view body);

} // namespace arbutuspier
