// An attempt is stopped only by closing its socket: every pending operation then ends with an
// error, and the replica learns at once that the response is no longer wanted. Unless the response
// was read completely, the connection is reset, so that the replica doesn't get the rest of the
// request later.
#include "gateway/upstreamattempt.h"

#include "net/httpchannel.h"
#include "net/responsehead.h"
#include "settings/settings.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>

namespace arbutuspier {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;
/// A replica that is crashed by a part of the prompt doesn't write for this long.
constexpr Duration kMinWritingTime = std::chrono::milliseconds{500};

} // namespace

UpstreamAttempt::UpstreamAttempt(asio::any_io_executor executor, UpstreamPool &pool,
                                 ReplicaIncarnation incarnation)
    : m_executor(std::move(executor))
    , m_pool(pool)
    , m_incarnation(std::move(incarnation))
    , m_timer(std::make_shared<asio::steady_timer>(m_executor))
{
}

UpstreamAttempt::~UpstreamAttempt()
{
    m_timer->cancel();
    const bool hasEnded = m_isComplete && m_wasWritten;
    if (!hasEnded)
        resetConnection();
}

void UpstreamAttempt::resetConnection()
{
    if (!m_connection)
        return;
    setResetOnClose(m_connection->stream.socket(), true);
    m_connection->stream.close();
}

void UpstreamAttempt::cancel()
{
    m_isCancelled = true;
    m_timer->cancel();
    resetConnection();
}

void UpstreamAttempt::expireAt(TimePoint at)
{
    m_timer->expires_at(at);
    m_timer->async_wait([this, timer = std::weak_ptr(m_timer), at](ErrorCode error) {
        const auto current = timer.lock();
        // The deadline may have been moved after the timer fired but before this handler ran.
        const bool isDue = !error && current && current->expiry() <= at;
        if (!isDue)
            return;
        if (const auto extended = onExpiry ? onExpiry() : std::nullopt) {
            expireAt(*extended);
            return;
        }
        m_hasExpired = true;
        resetConnection();
    });
}

void UpstreamAttempt::expireNoLaterThan(TimePoint at)
{
    if (at < m_timer->expiry())
        expireAt(at);
}

Task<bool> UpstreamAttempt::connect(const std::string &address, Duration timeout)
{
    Address target;
    if (!parseAddress(address, target))
        co_return false;
    m_connection = std::make_unique<UpstreamConnection>(m_executor);
    m_isNewConnection = true;
    ErrorCode bindError;
    if (!m_localHost.empty()) {
        m_connection->stream.socket().open(Tcp::v4(), bindError);
        m_connection->stream.socket().bind(endpointOf({m_localHost, 0}), bindError);
    }
    if (bindError)
        co_return false;
    m_connection->stream.expires_after(timeout);
    const auto [error] = co_await m_connection->stream.async_connect(endpointOf(target), kAwait);
    if (error) {
        m_cause = error.message();
        co_return false;
    }
    m_connection->stream.expires_never();
    ErrorCode ignored;
    m_connection->stream.socket().set_option(Tcp::no_delay(true), ignored);
    co_return !m_isCancelled && !m_hasExpired;
}

Task<UpstreamAttempt::SendResult> UpstreamAttempt::send(const Request &request,
                                                        const std::string &address,
                                                        bool isAtMostOnce, Duration connectTimeout)
{
    m_connection =
        m_pool.acquire(m_incarnation, m_requestId, isAtMostOnce, std::chrono::steady_clock::now());
    if (!m_connection && !co_await connect(address, connectTimeout))
        co_return SendResult::NotConnected;
    m_wasReached = true;
    const auto [writeError, written] =
        co_await http::async_write(m_connection->stream, request, kAwait);
    m_wasWritten = !writeError;
    if (m_isCancelled || m_hasExpired)
        co_return SendResult::NoResponse;
    // A replica may respond and stop reading the request, so the response is read even if the write
    // failed.
    const ErrorCode readError =
        co_await receiveResponseHead(m_connection->stream, m_connection->buffer, m_parser,
                                     ResponseLimits{boost::none, kMaxHeadBytes});
    if (readError)
        m_cause = readError.message();
    if (readError || m_isCancelled || m_hasExpired)
        co_return SendResult::NoResponse;
    m_status = m_parser->get().result_int();
    m_head = platform::readResponseHead(m_status, m_parser->get().base());
    m_isComplete = m_parser->is_done();
    co_return SendResult::GotHead;
}

Task<UpstreamAttempt::ReadProgress> UpstreamAttempt::read(std::string &bytes)
{
    if (!m_unread.empty()) {
        bytes += m_unread;
        m_unread.clear();
        co_return m_isCancelled ? ReadProgress::Broken : ReadProgress::More;
    }
    if (m_parser->is_done()) {
        m_isComplete = true;
        co_return ReadProgress::Complete;
    }
    std::array<char, kReadBytes> chunk;
    m_parser->get().body().data = chunk.data();
    m_parser->get().body().size = chunk.size();
    const auto [error, size] = co_await http::async_read_some(
        m_connection->stream, m_connection->buffer, *m_parser, kAwait);
    bytes.append(chunk.data(), chunk.size() - m_parser->get().body().size);
    co_return judgeProgress(error);
}

UpstreamAttempt::ReadProgress UpstreamAttempt::judgeProgress(ErrorCode error)
{
    if (m_isCancelled || m_hasExpired)
        return ReadProgress::Broken;
    if (error && error != http::error::need_buffer) {
        m_cause = error.message();
        return ReadProgress::Broken;
    }
    if (!m_parser->is_done())
        return ReadProgress::More;
    // The reset was told to the write; the read then sees an end like any other.
    const bool wasReset = endsWithConnection() && !m_wasWritten;
    if (wasReset) {
        m_cause = "reset before the request was written";
        return ReadProgress::Broken;
    }
    m_isComplete = true;
    return ReadProgress::Complete;
}

void UpstreamAttempt::recordEvents(TimePoint now)
{
    if (m_progress == AttemptProgress::NoOutput) {
        m_progress = AttemptProgress::HasOutput;
        m_writingSince = now;
    } else if (now >= m_writingSince + kMinWritingTime) {
        m_progress = AttemptProgress::KeepsWriting;
    }
}

void UpstreamAttempt::release(TimePoint now, bool isOwnResponse, bool mayBeSentAgain)
{
    m_timer->cancel();
    const bool canReuse = isOwnResponse && m_connection && m_isComplete && m_wasWritten
        && !m_isCancelled && !m_hasExpired && m_parser && m_parser->get().keep_alive()
        && !m_parser->need_eof() && m_connection->buffer.size() == 0;
    if (!canReuse)
        return;
    if (mayBeSentAgain)
        m_connection->unfinishedRequests.insert(m_requestId);
    m_connection->keepAlive = m_head.keepAlive.value_or(Duration::zero());
    m_pool.release(m_incarnation, std::move(m_connection), now);
}

} // namespace arbutuspier
