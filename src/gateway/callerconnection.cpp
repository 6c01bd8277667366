// One read stays pending while a request is served, so that a disconnect is detected at once. The
// bytes that it reads belong to the next request.
#include "gateway/callerconnection.h"

#include "gateway/relayhead.h"
#include "gateway/requesthandler.h"
#include "kernel/logline.h"
#include "net/transfercoding.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <array>

namespace arbutuspier {

namespace http = boost::beast::http;

namespace {

constexpr int kHttp11 = 11;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
/// Most bytes of further requests that are buffered while one is served.
constexpr std::size_t kMaxReadAhead = 64 * 1024;
constexpr std::size_t kReadAheadStep = 4 * 1024;
/// Sent if requests take too much memory. It is short, as another VM may have some.
constexpr Duration kRetryWithoutMemory = std::chrono::milliseconds{300};
/// For this long, a caller may go on sending a request that was rejected before it was read.
constexpr Duration kDiscardTime = std::chrono::seconds{2};

} // namespace

CallerConnection::CallerConnection(Tcp::socket socket, GatewayState &state, Origin origin)
    : m_stream(std::move(socket))
    , m_state(state)
    , m_origin(origin)
    , m_watchEndedTimer(m_stream.get_executor())
    , m_idleTimer(m_stream.get_executor())
{
}

Task<void> CallerConnection::run([[maybe_unused]] std::shared_ptr<CallerConnection> self)
{
    bool keepsOpen = true;
    while (keepsOpen) {
        Parser parser;
        MemoryBudget::Share memory(m_state.requestMemory);
        keepsOpen = co_await readRequest(parser, memory);
        if (!keepsOpen)
            break;
        m_isBusy = true;
        m_responseDeadline = TimePoint{};
        Request request = parser.release();
        m_wantsKeepAlive = request.keep_alive();
        startDisconnectWatch();
        co_await serve(request);
        onDisconnect = nullptr;
        co_await stopDisconnectWatch();
        m_isBusy = false;
        keepsOpen = !m_isDisconnected && !m_isClosing && m_wantsKeepAlive;
    }
    ErrorCode ignored;
    m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    m_stream.close();
}

Task<void> CallerConnection::serve(Request &request)
{
    std::optional<RelayHead> relay;
    if (m_origin == Origin::Peer) {
        relay = takeRelayHead(request.base());
        if (!relay) {
            m_wantsKeepAlive = false;
            co_await sendResponse(kBadRequest, {}, {});
            co_return;
        }
    }
    RequestHandler handler(m_state, *this, request, relay);
    co_await handler.run();
}

void CallerConnection::beginDrain()
{
    if (onDrain)
        onDrain();
}

void CallerConnection::closeIfIdle()
{
    if (m_isBusy || m_buffer.size() > 0)
        return;
    m_isClosing = true;
    // A read that has ended already keeps its result: its bytes belong to a request to be served.
    m_stream.cancel();
}

CallerLimits CallerConnection::limits() const
{
    return m_state.routes() ? m_state.routes()->limits() : CallerLimits{};
}

void CallerConnection::closeWhenIdle(TimePoint idleSince)
{
    m_idleTimer.expires_at(idleSince + limits().idleTimeout);
    m_idleTimer.async_wait([weak = weak_from_this(), idleSince](ErrorCode error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        // A new configuration may allow more time than the one at the start of the wait.
        const bool isDue = self->m_state.clock.now() >= idleSince + self->limits().idleTimeout;
        if (isDue)
            self->closeIfIdle();
        else
            self->closeWhenIdle(idleSince);
    });
}

Task<bool> CallerConnection::awaitRequest()
{
    m_stream.expires_never();
    closeWhenIdle(m_state.clock.now());
    while (m_buffer.size() == 0) {
        ErrorCode ignored;
        if (m_isClosing && m_stream.socket().available(ignored) == 0)
            co_return false;
        const auto [error, size] =
            co_await m_stream.async_read_some(m_buffer.prepare(kReadAheadStep), kAwait);
        m_buffer.commit(size);
        const bool isCancelled = m_isClosing && error == asio::error::operation_aborted;
        if (error && !isCancelled)
            co_return false;
    }
    m_idleTimer.cancel();
    co_return true;
}

Task<bool> CallerConnection::readRequest(Parser &parser, MemoryBudget::Share &memory)
{
    if (!co_await awaitRequest())
        co_return false;
    const CallerLimits limits = this->limits();
    parser.header_limit(limits.maxHeaderBytes);
    parser.body_limit(limits.maxBodyBytes);
    m_isBusy = true;
    m_stream.expires_after(limits.headerTimeout);
    const auto [headError, headSize] =
        co_await http::async_read_header(m_stream, m_buffer, parser, kAwait);
    ErrorCode error = headError;
    if (!error && !canDecodeBody(parser.get()))
        error = http::error::bad_transfer_encoding;
    if (!error)
        error = co_await readBody(parser, memory);
    m_stream.expires_never();
    m_isBusy = false;
    if (!error)
        co_return true;
    co_return co_await rejectUnreadRequest(parser, error);
}

Task<ErrorCode> CallerConnection::readBody(Parser &parser, MemoryBudget::Share &memory)
{
    const auto noMemory = make_error_code(boost::system::errc::not_enough_memory);
    const auto length = parser.content_length();
    if (length && !memory.resize(*length))
        co_return noMemory;
    const bool expectsContinue =
        beast::iequals(parser.get()[http::field::expect], "100-continue") && !parser.is_done();
    if (expectsContinue && !co_await write("HTTP/1.1 100 Continue\r\n\r\n"))
        co_return asio::error::connection_reset;
    m_stream.expires_after(limits().idleTimeout);
    while (!parser.is_done()) {
        const auto [error, size] =
            co_await http::async_read_some(m_stream, m_buffer, parser, kAwait);
        if (error)
            co_return error;
        if (!length && !memory.resize(parser.get().body().capacity())) {
            parser.get().body() = std::string();
            memory.resize(0);
            co_return noMemory;
        }
    }
    co_return ErrorCode{};
}

platform::Fields CallerConnection::refusalFields(const Parser &parser) const
{
    platform::Fields fields;
    const platform::CallerHead head = platform::readCallerHead(parser.get().base());
    platform::setGatewayResponseFields(fields, head.requestId, kRetryWithoutMemory);
    if (m_origin == Origin::Peer) {
        platform::setNotExecuted(fields);
        setRelayReport(fields, {0, true});
    }
    return fields;
}

Task<bool> CallerConnection::rejectUnreadRequest(const Parser &parser, ErrorCode error)
{
    m_wantsKeepAlive = false;
    int status = 0;
    platform::Fields fields;
    if (error == http::error::header_limit)
        status = 431;
    else if (error == http::error::body_limit)
        status = 413;
    else if (error == beast::error::timeout)
        status = 408;
    else if (error == boost::system::errc::not_enough_memory)
        status = kUnavailable;
    else if (error.category() == http::make_error_code(http::error::bad_method).category()
             && error != http::error::end_of_stream && error != http::error::partial_message)
        status = kBadRequest;
    if (status == 0)
        co_return false;
    if (status == kUnavailable)
        fields = refusalFields(parser);
    LOG(INFO) << LogLine("request_rejected")
                     .add("status", static_cast<std::uint64_t>(status))
                     .add("cause", error.message())
                     .text();
    m_state.metrics.incrementCounter("rejected", std::to_string(status));
    if (co_await sendResponse(status, std::move(fields), {}))
        co_await discardInput();
    co_return false;
}

Task<void> CallerConnection::discardInput()
{
    ErrorCode ignored;
    m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    m_stream.expires_after(kDiscardTime);
    std::array<char, kReadAheadStep> bytes;
    while (true) {
        const auto [error, size] = co_await m_stream.async_read_some(asio::buffer(bytes), kAwait);
        if (error)
            co_return;
    }
}

template <class Response>
void CallerConnection::setHead(Response &response, int status, platform::Fields fields)
{
    m_wantsKeepAlive = staysOpen();
    static_cast<http::fields &>(response.base()) = std::move(fields);
    response.version(kHttp11);
    response.result(static_cast<unsigned>(status));
    response.keep_alive(m_wantsKeepAlive);
}

bool CallerConnection::staysOpen() const
{
    return m_wantsKeepAlive && !m_isClosing && !m_state.isDraining();
}

template <class Start>
Task<bool> CallerConnection::writeWithTimeout(Start start)
{
    const TimePoint timeout = m_state.clock.now() + m_state.settings.writeTimeout;
    m_stream.expires_at(std::max(timeout, m_responseDeadline));
    const auto [error, size] = co_await start();
    m_stream.expires_never();
    if (error)
        m_isClosing = true;
    co_return !error;
}

Task<bool> CallerConnection::write(const std::string &bytes)
{
    if (m_isDisconnected)
        co_return false;
    co_return co_await writeWithTimeout(
        [&] { return asio::async_write(m_stream, asio::buffer(bytes), kAwait); });
}

Task<bool> CallerConnection::sendResponse(int status, platform::Fields fields, std::string body)
{
    if (m_isDisconnected)
        co_return false;
    http::response<http::string_body> response;
    setHead(response, status, std::move(fields));
    response.body() = std::move(body);
    response.content_length(response.body().size());
    co_return co_await writeWithTimeout(
        [&] { return http::async_write(m_stream, response, kAwait); });
}

Task<bool> CallerConnection::sendStreamHead(int status, platform::Fields fields)
{
    if (m_isDisconnected)
        co_return false;
    http::response<http::empty_body> response;
    setHead(response, status, std::move(fields));
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    co_return co_await writeWithTimeout(
        [&] { return http::async_write_header(m_stream, serializer, kAwait); });
}

Task<bool> CallerConnection::sendChunk(const std::string &bytes)
{
    if (m_isDisconnected)
        co_return false;
    co_return co_await writeWithTimeout(
        [&] { return asio::async_write(m_stream, http::make_chunk(asio::buffer(bytes)), kAwait); });
}

Task<bool> CallerConnection::sendLastChunk()
{
    co_return co_await write("0\r\n\r\n");
}

void CallerConnection::closeWithoutEnd()
{
    m_isClosing = true;
}

void CallerConnection::handleDisconnect()
{
    if (m_isDisconnected)
        return;
    m_isDisconnected = true;
    m_disconnectedAt = m_state.clock.now();
    if (onDisconnect)
        onDisconnect();
}

void CallerConnection::startDisconnectWatch()
{
    if (m_buffer.size() >= kMaxReadAhead)
        return;
    m_isWatching = true;
    m_stream.socket().async_read_some(
        m_buffer.prepare(kReadAheadStep),
        asio::bind_cancellation_slot(
            m_watchCancel.slot(), [self = shared_from_this()](ErrorCode error, std::size_t size) {
                self->m_isWatching = false;
                self->m_buffer.commit(size);
                if (!error && !self->m_isWatchStopping)
                    self->startDisconnectWatch();
                else if (error && error != asio::error::operation_aborted)
                    self->handleDisconnect();
                if (!self->m_isWatching)
                    self->m_watchEndedTimer.cancel();
            }));
}

Task<void> CallerConnection::stopDisconnectWatch()
{
    m_isWatchStopping = true;
    while (m_isWatching) {
        m_watchEndedTimer.expires_at(asio::steady_timer::time_point::max());
        m_watchCancel.emit(asio::cancellation_type::terminal);
        co_await m_watchEndedTimer.async_wait(kAwait);
    }
    m_isWatchStopping = false;
}

} // namespace arbutuspier
