// Receives the head of an HTTP response, past those of interim responses.
//
// All responses that this VM asks for are read through here. A head that isn't valid HTTP comes
// from a server in trouble, and is no response.
#pragma once

#include "net/asiotypes.h"
#include "net/transfercoding.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <boost/optional.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace arbutuspier {

struct ResponseLimits
{
    /// Bound on the body; none if it is bounded elsewhere.
    boost::optional<std::uint64_t> bodyBytes;
    std::uint32_t headBytes = 8 * 1024;
};

/// The response itself follows after one with such a status.
inline bool isInterimStatus(unsigned status)
{
    constexpr unsigned kSwitchingProtocols = 101;
    return status / 100 == 1 && status != kSwitchingProtocols;
}

/// Whether HTTP knows the class of the status, and a response with it ends the request. 101
/// doesn't, as nobody here asks for another protocol.
inline bool isFinalStatus(unsigned status)
{
    constexpr unsigned kFirst = 200;
    constexpr unsigned kLast = 599;
    return status >= kFirst && status <= kLast;
}

/// Whether a line of the head begins with a blank and so continues the one before it. HTTP has
/// dropped such lines. One that comes of a corrupt byte would hide the length of the body.
bool hasFoldedLine(std::string_view head);

/// Whether the head announces a body and a status that has none.
template <class Parser>
bool hidesBody(const Parser &parser)
{
    constexpr unsigned kNoContent = 204;
    const bool hasBody = parser.chunked() || parser.content_length().value_or(0) > 0;
    return parser.get().result_int() == kNoContent && hasBody;
}

/// The bytes of a head at the front of a buffer.
struct HeadBytes
{
    ErrorCode error;
    /// With the empty line that ends the head. Valid until the buffer changes.
    std::string_view text;
};

/// Reads until the buffer begins with a whole head. Fails if it is longer than `maxBytes`.
Task<HeadBytes> receiveHeadBytes(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                                 std::size_t maxBytes);

/// Receives the head of the response into a new parser. Fails if the head isn't valid, or if too
/// many interim responses precede it.
template <class Body>
Task<ErrorCode> receiveResponseHead(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                                    std::optional<beast::http::response_parser<Body>> &parser,
                                    ResponseLimits limits)
{
    namespace http = beast::http;
    constexpr int kMaxInterimResponses = 8;
    for (int i = 0; i <= kMaxInterimResponses; ++i) {
        parser.emplace();
        parser->body_limit(limits.bodyBytes);
        parser->header_limit(limits.headBytes);
        const HeadBytes head = co_await receiveHeadBytes(stream, buffer, limits.headBytes);
        if (head.error)
            co_return head.error;
        if (hasFoldedLine(head.text))
            co_return make_error_code(http::error::bad_obs_fold);
        ErrorCode error;
        buffer.consume(parser->put(asio::buffer(head.text), error));
        if (error)
            co_return error;
        const unsigned status = parser->get().result_int();
        if (isInterimStatus(status))
            continue;
        if (!isFinalStatus(status) || hidesBody(*parser))
            co_return make_error_code(http::error::bad_status);
        if (!canDecodeBody(parser->get()))
            co_return make_error_code(http::error::bad_transfer_encoding);
        co_return ErrorCode{};
    }
    co_return make_error_code(beast::http::error::unexpected_body);
}

} // namespace arbutuspier
