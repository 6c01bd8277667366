// Writes the body from the caller's buffer without a copy, and passes on events as they arrive.
#include "net/upstreamstream.h"

#include "net/callersession.h"
#include "net/httpchannel.h"
#include "net/responsehead.h"
#include "net/sseparser.h"
#include "net/transfercoding.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <tuple>

namespace arbutuspier {

namespace http = boost::beast::http;

namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds{1};
constexpr std::uint64_t kMaxServiceResponseBytes = 8ULL * 1024 * 1024;
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr int kFirstServerErrorStatus = 500;
/// With this header an upstream states that it did not run the request and will not.
constexpr std::string_view kNotRunHeader = "X-Not-Run";

std::uint64_t cachedTokensOf(const nlohmann::json &event)
{
    if (!event.is_object() || !event.contains("usage") || !event["usage"].is_object())
        return 0;
    const auto &usage = event["usage"];
    const bool isPresent =
        usage.contains("cached_tokens") && usage["cached_tokens"].is_number_unsigned();
    return isPresent ? usage["cached_tokens"].get<std::uint64_t>() : 0;
}

bool hasOutput(const nlohmann::json &event)
{
    return event.is_object() && event.contains("choices") && !event["choices"].empty();
}

/// What the events of one attempt have told so far.
class AttemptEvents
{
public:
    explicit AttemptEvents(std::uint64_t resumeOffset)
        : m_lastId(resumeOffset)
    {
    }

    /// Returns false if no sound engine sends the event here: ids grow, and events with output have
    /// ids, as without one their output would come again from the next attempt.
    bool add(const SseEvent &event)
    {
        if (event.isFaulty)
            return false;
        if (event.id == 0)
            return addUnnumbered(event);
        const bool isInOrder = event.id > m_attemptId;
        m_attemptId = event.id;
        m_lastId = std::max(m_lastId, event.id);
        return isInOrder;
    }
    /// Id of the last event, or the resume offset before the first one.
    std::uint64_t lastId() const { return m_lastId; }
    std::uint64_t cachedTokenCount() const { return m_cachedTokenCount; }
    bool hasToken() const { return m_attemptId != 0; }

private:
    bool addUnnumbered(const SseEvent &event)
    {
        const auto json = nlohmann::json::parse(event.data, nullptr, false);
        m_cachedTokenCount = cachedTokensOf(json);
        return !hasOutput(json);
    }

    std::uint64_t m_lastId;
    /// Id of the last event of this attempt; zero before the first one.
    std::uint64_t m_attemptId = 0;
    std::uint64_t m_cachedTokenCount = 0;
};

} // namespace

UpstreamStream::UpstreamStream(std::shared_ptr<CallerSession> session, OpenStream open,
                               Address address)
    : m_session(std::move(session))
    , m_open(std::move(open))
    , m_address(std::move(address))
    , m_stream(m_session->executor())
{
}

void UpstreamStream::cancel()
{
    m_isFinished = true;
    ErrorCode ignored;
    m_stream.socket().close(ignored);
}

void UpstreamStream::fail(FailureKind kind)
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    m_session->events().post(StreamFailed{m_open.attempt, kind, m_session->delivered()});
}

void UpstreamStream::complete(StreamDone done)
{
    m_isFinished = true;
    setResetOnClose(m_stream.socket(), false);
    m_session->events().post(std::move(done));
}

std::string UpstreamStream::requestHeader() const
{
    const OutgoingRequest &outgoing = m_session->outgoing();
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_open.timeLimit).count();
    std::string text = outgoing.method + ' ' + outgoing.target
        + " HTTP/1.1\r\nHost: " + m_address.text() + "\r\nConnection: close\r\nContent-Length: "
        + std::to_string(outgoing.body->size()) + "\r\n";
    if (!outgoing.contentType.empty())
        text += "Content-Type: " + outgoing.contentType + "\r\n";
    text += "X-Attempt: " + std::to_string(m_open.attempt.value)
        + "\r\nX-Time-Limit-Ms: " + std::to_string(milliseconds) + "\r\n";
    if (!outgoing.idempotencyKey.empty())
        text += "Idempotency-Key: " + outgoing.idempotencyKey + "\r\n";
    if (m_session->form() == ResponseForm::PlainService)
        return text + "\r\n";
    text += "Accept: text/event-stream\r\nX-Resume-Offset: " + std::to_string(m_open.resumeOffset)
        + "\r\nX-Priority: " + std::to_string(m_open.priority) + "\r\n";
    if (!m_open.parallelGroup.empty()) {
        text += "X-Gang-Size: " + std::to_string(m_open.parallelGroup.size())
            + "\r\nX-Reservation: " + std::to_string(m_open.parallelGroup.front().reservation.value)
            + "\r\n";
    }
    return text + "\r\n";
}

Task<void> UpstreamStream::run([[maybe_unused]] std::shared_ptr<UpstreamStream> self)
{
    m_stream.expires_after(kConnectTimeout);
    const auto [error] = co_await m_stream.async_connect(endpointOf(m_address), kAwait);
    if (error) {
        fail(FailureKind::NotSent);
        co_return;
    }
    ErrorCode ignored;
    m_stream.socket().set_option(Tcp::no_delay(true), ignored);
    // An attempt that has ended before its response must not arrive later.
    setResetOnClose(m_stream.socket(), true);
    m_stream.expires_never();
    if (!co_await sendRequest()) {
        fail(FailureKind::ConnectionLost);
        co_return;
    }
    if (m_session->form() == ResponseForm::PlainService)
        co_await readWholeResponse();
    else
        co_await readEvents();
}

Task<bool> UpstreamStream::sendRequest()
{
    const std::string head = requestHeader();
    const std::array<asio::const_buffer, 2> buffers = {asio::buffer(head),
                                                       asio::buffer(*m_session->outgoing().body)};
    const auto [error, size] = co_await asio::async_write(m_stream, buffers, kAwait);
    co_return !error;
}

Task<void> UpstreamStream::readWholeResponse()
{
    std::optional<http::response_parser<http::string_body>> parser;
    ErrorCode error = co_await receiveResponseHead(m_stream, m_buffer, parser,
                                                   ResponseLimits{kMaxServiceResponseBytes});
    if (!error)
        std::tie(error, std::ignore) =
            co_await http::async_read(m_stream, m_buffer, *parser, kAwait);
    if (m_isFinished)
        co_return;
    if (error) {
        fail(error == http::error::body_limit ? FailureKind::Broken : FailureKind::ConnectionLost);
        co_return;
    }
    auto &message = parser->get();
    if (parser->need_eof() && isInChunks(message.body())) {
        fail(FailureKind::Broken);
        co_return;
    }
    if (message.count(kNotRunHeader) != 0) {
        fail(FailureKind::Refused);
        co_return;
    }
    const int status = message.result_int();
    m_session->onWholeResponse(m_open.attempt, status,
                               std::string(message[http::field::content_type]), message.body());
    complete({m_open.attempt, 0, 0, status, std::move(message.body())});
}

Task<void> UpstreamStream::readEvents()
{
    std::optional<http::response_parser<http::buffer_body>> newParser;
    const ErrorCode headError =
        co_await receiveResponseHead(m_stream, m_buffer, newParser, ResponseLimits{});
    if (m_isFinished)
        co_return;
    if (headError) {
        fail(FailureKind::ConnectionLost);
        co_return;
    }
    http::response_parser<http::buffer_body> &parser = *newParser;
    if (parser.get().result() != http::status::ok) {
        const bool isRefusal = parser.get().count(kNotRunHeader) != 0
            || parser.get().result_int() < kFirstServerErrorStatus;
        fail(isRefusal ? FailureKind::Refused : FailureKind::Broken);
        co_return;
    }
    m_session->events().post(StreamOpened{m_open.attempt});
    SseParser parsedEvents;
    AttemptEvents events(m_open.resumeOffset);
    std::array<char, kReadBytes> bytes;
    while (true) {
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        auto [error, size] = co_await http::async_read_some(m_stream, m_buffer, parser, kAwait);
        if (m_isFinished)
            co_return;
        const std::size_t bytesRead = bytes.size() - parser.get().body().size;
        parsedEvents.feed(std::string_view(bytes.data(), bytesRead));
        while (const auto event = parsedEvents.next()) {
            if (event->data == "[DONE]") {
                m_session->onEvent(m_open.attempt, *event);
                complete({m_open.attempt, events.lastId(), events.cachedTokenCount(), 200, {}});
                co_return;
            }
            const bool hadToken = events.hasToken();
            if (!events.add(*event)) {
                fail(FailureKind::Broken);
                co_return;
            }
            if (events.hasToken() && !hadToken)
                m_session->events().post(StreamFirstToken{m_open.attempt});
            if (!m_session->onEvent(m_open.attempt, *event)) {
                fail(FailureKind::Broken);
                co_return;
            }
        }
        const bool needsBuffer = error == http::error::need_buffer;
        const bool isAtEnd = (error && !needsBuffer) || parser.is_done();
        if (isAtEnd || parsedEvents.isOverlong()) {
            fail(isAtEnd ? FailureKind::ConnectionLost : FailureKind::Broken);
            co_return;
        }
        while (m_session->isWriteBufferFull() && !m_isFinished) {
            asio::steady_timer timer(m_session->executor(), std::chrono::milliseconds{2});
            co_await timer.async_wait(kAwait);
        }
    }
}

} // namespace arbutuspier
