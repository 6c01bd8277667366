// The reader of the upstream and the writer to the caller run on one thread, so chunks need no
// lock.
#include "net/callersession.h"

#include "net/upstreamstream.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>

#include <nlohmann/json.hpp>

namespace arbutuspier {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kMaxPendingBytes = 1024 * 1024;
constexpr Duration kWriteTimeout = std::chrono::seconds{30};

std::string_view statusText(int status)
{
    return http::obsolete_reason(static_cast<http::status>(status));
}

std::string responseHeader(int status, std::string_view contentType, Verdict verdict,
                           bool isKeptAlive)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(statusText(status))
        + "\r\nContent-Type: " + std::string(contentType) + "\r\n" + std::string(kVerdictHeader)
        + ": " + std::string(verdictName(verdict)) + "\r\n";
    if (!isKeptAlive)
        text += "Connection: close\r\n";
    return text;
}

} // namespace

CallerSession::CallerSession(asio::any_io_executor executor, RequestId id, ResponseForm form,
                             OutgoingRequest outgoing, EventSink &events)
    : m_executor(executor)
    , m_id(id)
    , m_form(form)
    , m_outgoing(std::move(outgoing))
    , m_events(events)
    , m_wakeTimer(executor)
{
    m_wakeTimer.expires_at(TimePoint::max());
}

CallerSession::~CallerSession() = default;

void CallerSession::wakeWriter()
{
    m_wakeTimer.cancel();
}

bool CallerSession::isWriteBufferFull() const
{
    return m_pendingEvents.size() > kMaxPendingBytes;
}

void CallerSession::startAttempt(OpenStream open, Address address)
{
    if (m_upstream)
        m_upstream->cancel();
    m_assembler.setAttempt(open.attempt);
    m_upstream =
        std::make_shared<UpstreamStream>(shared_from_this(), std::move(open), std::move(address));
    asio::co_spawn(m_executor, m_upstream->run(m_upstream), asio::detached);
}

void CallerSession::cancelAttempt(AttemptId attempt)
{
    if (m_upstream && m_assembler.attempt() == attempt) {
        m_upstream->cancel();
        m_upstream.reset();
    }
}

void CallerSession::reject(Problem problem)
{
    m_problem = std::move(problem);
    m_hasProblem = true;
    m_isEnded = true;
    wakeWriter();
}

void CallerSession::finish()
{
    m_isEnded = true;
    wakeWriter();
}

void CallerSession::replay(int status, std::string result)
{
    m_httpStatus = status;
    m_contentType = "application/json";
    m_body = std::move(result);
    m_isEnded = true;
    wakeWriter();
}

bool CallerSession::onEvent(AttemptId attempt, const SseEvent &event)
{
    const bool hasId = event.id != 0;
    if (hasId) {
        const auto decision = m_assembler.offer(attempt, event.id - 1, 1);
        if (decision.action == StreamAssembler::ChunkAction::Gap)
            return false;
        if (decision.action == StreamAssembler::ChunkAction::Drop)
            return true;
    } else if (attempt != m_assembler.attempt()) {
        return true;
    }
    if (m_form == ResponseForm::WholeCompletion) {
        appendText(event);
        return true;
    }
    if (hasId)
        m_pendingEvents += "id: " + std::to_string(event.id) + '\n';
    m_pendingEvents += "data: " + event.data + "\n\n";
    wakeWriter();
    return true;
}

void CallerSession::appendText(const SseEvent &event)
{
    const auto json = nlohmann::json::parse(event.data, nullptr, false);
    if (!json.is_object() || !json.contains("choices") || !json["choices"].is_array()
        || json["choices"].empty())
        return;
    const auto &choice = json["choices"][0];
    if (!choice.is_object())
        return;
    if (choice.contains("text") && choice["text"].is_string())
        m_body += choice["text"].get_ref<const std::string &>();
    else if (choice.contains("delta") && choice["delta"].is_object()
             && choice["delta"].contains("content") && choice["delta"]["content"].is_string())
        m_body += choice["delta"]["content"].get_ref<const std::string &>();
}

void CallerSession::onWholeResponse(AttemptId attempt, int status, std::string contentType,
                                    std::string body)
{
    if (attempt != m_assembler.attempt())
        return;
    m_httpStatus = status;
    m_contentType = std::move(contentType);
    m_body = std::move(body);
}

Task<void> CallerSession::watchCaller(beast::tcp_stream &stream)
{
    const auto [error] = co_await stream.socket().async_wait(Tcp::socket::wait_read, kAwait);
    if (error || m_isEnded)
        co_return;
    ErrorCode ignored;
    if (stream.socket().available(ignored) > 0)
        co_return;
    m_isCallerDisconnected = true;
    m_events.post(CallerDisconnected{m_id});
    wakeWriter();
}

Task<bool> CallerSession::serve(beast::tcp_stream &stream, bool isKeptAlive)
{
    asio::cancellation_signal stopWatching;
    bool isWatchDone = false;
    asio::co_spawn(m_executor, watchCaller(stream),
                   asio::bind_cancellation_slot(stopWatching.slot(),
                                                [&](std::exception_ptr) { isWatchDone = true; }));
    const bool isEventStream = m_form == ResponseForm::Events;
    bool isUsable = isEventStream ? co_await writeEvents(stream, isKeptAlive)
                                  : co_await writeWholeResponse(stream, isKeptAlive);
    stopWatching.emit(asio::cancellation_type::all);
    while (!isWatchDone) {
        asio::steady_timer timer(m_executor, std::chrono::milliseconds{1});
        co_await timer.async_wait(kAwait);
    }
    if (!isUsable && !m_isCallerDisconnected && !m_isEnded) {
        m_isCallerDisconnected = true;
        m_events.post(CallerDisconnected{m_id});
    }
    co_return isUsable && !m_isCallerDisconnected;
}

Task<bool> CallerSession::writeText(beast::tcp_stream &stream, std::string text)
{
    stream.expires_after(kWriteTimeout);
    const auto [error, size] = co_await asio::async_write(stream, asio::buffer(text), kAwait);
    stream.expires_never();
    co_return !error;
}

Task<bool> CallerSession::writeEvents(beast::tcp_stream &stream, bool isKeptAlive)
{
    while (true) {
        if (m_isCallerDisconnected)
            co_return false;
        if (m_pendingEvents.empty() && !m_isEnded) {
            co_await m_wakeTimer.async_wait(kAwait);
            m_wakeTimer.expires_at(TimePoint::max());
            continue;
        }
        if (!m_isHeaderSent && m_hasProblem && m_pendingEvents.empty())
            co_return co_await writeWholeResponse(stream, isKeptAlive);
        std::string out;
        if (!m_isHeaderSent) {
            m_isHeaderSent = true;
            out = responseHeader(200, "text/event-stream", Verdict::Ran, isKeptAlive)
                + "Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n";
        }
        std::string events = std::exchange(m_pendingEvents, {});
        const bool isLast = m_isEnded;
        if (isLast && m_hasProblem)
            events += "event: error\ndata: " + problemJson(m_problem) + "\n\n";
        if (!events.empty()) {
            std::array<char, 20> size{};
            std::snprintf(size.data(), size.size(), "%zx\r\n", events.size());
            out += size.data() + events + "\r\n";
        }
        if (isLast)
            out += "0\r\n\r\n";
        if (!co_await writeText(stream, std::move(out)))
            co_return false;
        if (isLast)
            co_return true;
    }
}

Task<bool> CallerSession::writeWholeResponse(beast::tcp_stream &stream, bool isKeptAlive)
{
    while (!m_isEnded && !m_isCallerDisconnected) {
        co_await m_wakeTimer.async_wait(kAwait);
        m_wakeTimer.expires_at(TimePoint::max());
    }
    if (m_isCallerDisconnected)
        co_return false;
    std::string body;
    std::string header;
    if (m_hasProblem) {
        body = problemJson(m_problem);
        header = responseHeader(httpStatus(m_problem.reason), "application/problem+json",
                                m_problem.verdict, isKeptAlive);
        if (const long seconds = retryAfterSeconds(m_problem); seconds > 0)
            header += "Retry-After: " + std::to_string(seconds) + "\r\n";
    } else if (m_form == ResponseForm::WholeCompletion) {
        nlohmann::json json;
        json["object"] = "text_completion";
        json["choices"] = {{{"index", 0}, {"text", m_body}, {"finish_reason", "length"}}};
        json["usage"] = {{"completion_tokens", m_assembler.delivered()}};
        body = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        header = responseHeader(200, "application/json", Verdict::Ran, isKeptAlive);
    } else {
        body = std::move(m_body);
        header = responseHeader(m_httpStatus, m_contentType, Verdict::Ran, isKeptAlive);
    }
    header += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    co_return co_await writeText(stream, header + body);
}

} // namespace arbutuspier
