// One attempt of a request at one replica, over a pooled or a new connection.
#pragma once

#include "gateway/suspecttracker.h"
#include "gateway/upstreampool.h"
#include "net/asiotypes.h"
#include "platform/httpheaders.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace arbutuspier {

class UpstreamAttempt
{
public:
    /// The body is not copied: it must live until send() has returned.
    using Request = boost::beast::http::request<boost::beast::http::span_body<const char>>;

    /// Outcome of sending the request.
    enum class SendResult : std::uint8_t {
        /// No connection could be opened; the replica received nothing.
        NotConnected,
        /// The request may have been sent, but no response head came.
        NoResponse,
        /// A response head came.
        GotHead,
    };
    /// Outcome of reading a part of the response body. A response that ends with its connection is
    /// broken if the request could not be written whole: the connection was reset then.
    enum class ReadProgress : std::uint8_t { More, Complete, Broken };

    UpstreamAttempt(asio::any_io_executor executor, UpstreamPool &pool,
                    ReplicaIncarnation incarnation);
    ~UpstreamAttempt();

    /// New connections are opened from this IP address.
    void setLocalHost(std::string host) { m_localHost = std::move(host); }
    /// Id of the request, so that it isn't sent again on a connection that has carried it.
    void setRequestId(std::string id) { m_requestId = std::move(id); }
    /// Sends the request over a pooled connection, or a new one if there is none, and reads the
    /// response head. `isAtMostOnce` has the meaning it has in UpstreamPool::acquire.
    Task<SendResult> send(const Request &request, const std::string &address, bool isAtMostOnce,
                          Duration connectTimeout);
    /// Reads the next bytes of the response body and appends them to `bytes`.
    Task<ReadProgress> read(std::string &bytes);
    /// The next read returns these bytes again.
    void unread(std::string bytes) { m_unread = std::move(bytes); }

    /// Resets the connection, which ends a pending send or read with an error.
    void cancel();
    /// Sets the deadline, and replaces an earlier one. When it has passed, `onExpiry` may extend
    /// it; otherwise the connection is reset and `hasExpired` is true.
    void expireAt(TimePoint at);
    /// Moves the deadline to `at` if it is later.
    void expireNoLaterThan(TimePoint at);
    /// Called at the deadline. Returns a later deadline, or nothing to give the attempt up.
    std::function<std::optional<TimePoint>()> onExpiry;
    bool hasExpired() const { return m_hasExpired; }

    /// Why there is no usable response, for the log; empty if nothing was wrong.
    const std::string &cause() const { return m_cause; }
    void setCause(std::string cause) { m_cause = std::move(cause); }

    /// Status of the response; zero if no response head came.
    int status() const { return m_status; }
    const platform::ResponseHead &head() const { return m_head; }
    const platform::Fields &fields() const { return m_parser->get().base(); }
    platform::Fields &fields() { return m_parser->get().base(); }
    /// Whether the response has neither a length nor chunks.
    bool endsWithConnection() const { return m_parser->need_eof(); }
    bool usedNewConnection() const { return m_isNewConnection; }
    /// Whether there was a connection, so that the replica may have received the request.
    bool wasReached() const { return m_wasReached; }

    /// When the request was sent.
    const ReplicaIncarnation &incarnation() const { return m_incarnation; }
    TimePoint sentAt() const { return m_sentAt; }
    void setSentAt(TimePoint at) { m_sentAt = at; }
    /// How far its stream events have come.
    AttemptProgress progress() const { return m_progress; }
    /// Stream events came now.
    void recordEvents(TimePoint now);
    /// Whether the replica was silent for too long at some time.
    bool wasLate() const { return m_wasLate; }
    void setWasLate() { m_wasLate = true; }

    /// Returns the connection to the pool if the response was read completely and is that of this
    /// attempt: otherwise its own may follow. `mayBeSentAgain` says that the request isn't done.
    void release(TimePoint now, bool isOwnResponse, bool mayBeSentAgain);

private:
    Task<bool> connect(const std::string &address, Duration timeout);
    void resetConnection();
    /// Records how far the body has come.
    ReadProgress judgeProgress(ErrorCode error);

    asio::any_io_executor m_executor;
    UpstreamPool &m_pool;
    ReplicaIncarnation m_incarnation;
    std::string m_localHost;
    std::string m_requestId;
    std::unique_ptr<UpstreamConnection> m_connection;
    std::shared_ptr<asio::steady_timer> m_timer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> m_parser;
    platform::ResponseHead m_head;
    int m_status = 0;
    bool m_isNewConnection = false;
    bool m_wasReached = false;
    bool m_wasWritten = false;
    bool m_isComplete = false;
    bool m_hasExpired = false;
    bool m_isCancelled = false;
    std::string m_unread;
    std::string m_cause;
    TimePoint m_sentAt{};
    AttemptProgress m_progress = AttemptProgress::NoOutput;
    /// When the first stream events came, if any did.
    TimePoint m_writingSince{};
    bool m_wasLate = false;
};

} // namespace arbutuspier
