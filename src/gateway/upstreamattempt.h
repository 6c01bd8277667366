// One send of one request to one replica, over a kept or a new connection.
#pragma once

#include "gateway/upstreampool.h"
#include "net/asiotypes.h"
#include "platform/httpheaders.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace arbutuspier {

class UpstreamAttempt
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    enum class Sent : std::uint8_t {
        /// No connection came about; the replica saw nothing.
        Nothing,
        /// Bytes were sent, and no head of an answer came.
        NoAnswer,
        Answered,
    };
    enum class Body : std::uint8_t { More, End, Broken };

    UpstreamAttempt(asio::any_io_executor executor, UpstreamPool &pool,
                    ReplicaIncarnation incarnation);
    ~UpstreamAttempt();

    /// Connects if need be, sends the request and reads the head of the answer.
    Task<Sent> send(const Request &request, const std::string &address, bool isSafe,
                    Duration connectTimeout);
    /// Appends the next bytes of the body.
    Task<Body> read(std::string &bytes);

    /// Ends whatever is under way by closing the connection.
    void cancel();
    /// Cancels at this time unless it is set anew. Just before, `onExpiry` may grant more time.
    void expireAt(TimePoint at);
    /// Returns a later time at which to ask again; empty to cancel now.
    std::function<std::optional<TimePoint>()> onExpiry;
    bool hasExpired() const { return m_hasExpired; }

    int status() const { return m_status; }
    const platform::ResponseHead &head() const { return m_head; }
    const platform::Fields &fields() const { return m_parser->get().base(); }
    bool usedNewConnection() const { return m_isNewConnection; }
    bool wasReached() const { return m_wasReached; }

    /// Keeps the connection for the next request, if the answer was whole.
    void release(TimePoint now);

private:
    Task<bool> connect(const std::string &address, Duration timeout);

    asio::any_io_executor m_executor;
    UpstreamPool &m_pool;
    ReplicaIncarnation m_incarnation;
    std::unique_ptr<UpstreamConnection> m_connection;
    std::shared_ptr<asio::steady_timer> m_timer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> m_parser;
    platform::ResponseHead m_head;
    int m_status = 0;
    bool m_isNewConnection = false;
    bool m_wasReached = false;
    bool m_wasWritten = false;
    bool m_isWhole = false;
    bool m_hasExpired = false;
    bool m_isCancelled = false;
};

} // namespace arbutuspier
