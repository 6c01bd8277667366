// Receives the head of an HTTP response, past those of interim responses.
//
// All responses that this VM asks for are read through here. A head that isn't valid HTTP comes from
// a server in trouble, and is no response.
#pragma once

#include "net/asiotypes.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <boost/optional.hpp>

#include <cstdint>
#include <optional>

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

/// Receives the head of the response into a new parser. Fails if its status isn't valid, or if too
/// many interim responses precede it.
template <class Body>
Task<ErrorCode> receiveResponseHead(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                                    std::optional<beast::http::response_parser<Body>> &parser,
                                    ResponseLimits limits)
{
    constexpr int kMaxInterimResponses = 8;
    for (int i = 0; i <= kMaxInterimResponses; ++i) {
        parser.emplace();
        parser->body_limit(limits.bodyBytes);
        parser->header_limit(limits.headBytes);
        const auto [error, size] =
            co_await beast::http::async_read_header(stream, buffer, *parser, kAwait);
        if (error)
            co_return error;
        const unsigned status = parser->get().result_int();
        if (isInterimStatus(status))
            continue;
        if (!isFinalStatus(status))
            co_return make_error_code(beast::http::error::bad_status);
        co_return ErrorCode{};
    }
    co_return make_error_code(beast::http::error::unexpected_body);
}

} // namespace arbutuspier
