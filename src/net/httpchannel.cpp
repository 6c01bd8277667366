// Adds timeouts to HTTP calls with Beast, and reports how far a failed call got.
#include "net/httpchannel.h"

#include "net/responsehead.h"
#include "net/transfercoding.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <tuple>

namespace arbutuspier {

namespace http = boost::beast::http;

namespace {

constexpr int kHttp11 = 11;
/// Part of a call's timeout that connecting may take. An address that can be reached accepts a
/// connection much sooner than it answers a call.
constexpr double kConnectFraction = 0.6;
/// Bounds the head of a reply and of each of its chunks.
constexpr std::size_t kMaxBufferBytes = 1024 * 1024;

} // namespace

bool isStale(beast::tcp_stream &stream)
{
    ErrorCode error;
    char byte = 0;
    auto &socket = stream.socket();
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
    return error != asio::error::would_block;
}

void setResetOnClose(Tcp::socket &socket, bool resets)
{
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(resets, 0), ignored);
}

void enableProbes(Tcp::socket &socket)
{
    constexpr int kIdleSeconds = 1;
    constexpr int kIntervalSeconds = 1;
    constexpr int kMaxUnanswered = 2;
    ErrorCode ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const int handle = socket.native_handle();
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &kIdleSeconds, sizeof(kIdleSeconds));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kIntervalSeconds, sizeof(kIntervalSeconds));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kMaxUnanswered, sizeof(kMaxUnanswered));
}

Tcp::endpoint endpointOf(const Address &address)
{
    ErrorCode error;
    return {asio::ip::make_address(address.host, error), address.port};
}

HttpChannel::HttpChannel(asio::any_io_executor executor, Address address)
    : m_executor(std::move(executor))
    , m_address(std::move(address))
    , m_buffer(kMaxBufferBytes)
{
}

Task<HttpReply::Outcome> HttpChannel::connect(Duration timeout)
{
    m_buffer.clear();
    m_stream = std::make_unique<beast::tcp_stream>(m_executor);
    m_stream->expires_after(fromSeconds(kConnectFraction * toSeconds(timeout)));
    const auto [error] = co_await m_stream->async_connect(endpointOf(m_address), kAwait);
    if (!error) {
        ErrorCode ignored;
        m_stream->socket().set_option(Tcp::no_delay(true), ignored);
        enableProbes(m_stream->socket());
        co_return HttpReply::Outcome::Answered;
    }
    m_stream.reset();
    co_return error == asio::error::connection_refused ? HttpReply::Outcome::ConnectionRefused
                                                       : HttpReply::Outcome::NotConnected;
}

Task<HttpReply> HttpChannel::call(HttpRequest request)
{
    HttpReply reply;
    if (m_stream && isStale(*m_stream))
        m_stream.reset();
    if (!m_stream) {
        reply.outcome = co_await connect(request.timeout);
        if (!m_stream)
            co_return reply;
    }
    http::request<http::string_body> message(request.method, request.target, kHttp11);
    message.set(http::field::host, m_address.text());
    for (const auto &[name, value] : request.headers)
        message.set(name, value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    // A call that has timed out must not arrive later.
    setResetOnClose(m_stream->socket(), true);
    m_stream->expires_after(request.timeout);
    const auto [writeError, written] = co_await http::async_write(*m_stream, message, kAwait);
    reply.outcome = HttpReply::Outcome::Lost;
    if (writeError) {
        m_stream.reset();
        co_return reply;
    }
    std::optional<http::response_parser<http::string_body>> parser;
    ErrorCode readError = co_await receiveResponseHead(*m_stream, m_buffer, parser,
                                                       ResponseLimits{request.maxReplyBytes});
    if (!readError)
        std::tie(readError, std::ignore) =
            co_await http::async_read(*m_stream, m_buffer, *parser, kAwait);
    const bool isCoded = !readError && parser->need_eof() && isInChunks(parser->get().body());
    if (readError || isCoded) {
        m_stream.reset();
        co_return reply;
    }
    setResetOnClose(m_stream->socket(), false);
    reply.outcome = HttpReply::Outcome::Answered;
    reply.status = parser->get().result_int();
    reply.body = std::move(parser->get().body());
    // Bytes after the reply belong to no call; the next one would take them for its own reply.
    if (!parser->get().keep_alive() || m_buffer.size() > 0)
        m_stream.reset();
    reply.headers = std::move(parser->get().base());
    co_return reply;
}

Task<HttpReply> callOnce(Address address, HttpRequest request)
{
    HttpChannel channel(co_await asio::this_coro::executor, std::move(address));
    co_return co_await channel.call(std::move(request));
}

} // namespace arbutuspier
