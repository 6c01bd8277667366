// Receives the head of an HTTP response, past those of interim responses.
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

/// Receives the head of the response into a new parser. Fails if too many interim responses precede
/// it.
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
        if (error || !isInterimStatus(parser->get().result_int()))
            co_return error;
    }
    co_return make_error_code(beast::http::error::unexpected_body);
}

} // namespace arbutuspier
