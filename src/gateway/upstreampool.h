// Pool of idle connections to replicas, kept separately for each incarnation of a replica.
#pragma once

#include "arbutuspier/upstreamdirectory.h"
#include "net/asiotypes.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

/// More than the largest head of a response that is read.
inline constexpr std::size_t kMaxBufferBytes = 128 * 1024;

struct UpstreamConnection
{
    explicit UpstreamConnection(asio::any_io_executor executor)
        : stream(std::move(executor))
    {
    }

    beast::tcp_stream stream;
    /// Bounded, as a replica in trouble may send a head, or the head of a chunk, without end.
    beast::flat_buffer buffer{kMaxBufferBytes};
    /// How long the replica keeps the connection open while it is idle; zero if it stated none.
    Duration keepAlive{};
    TimePoint idleSince{};
    /// Ids of requests that were sent on the connection and may be sent again. The replica may send
    /// a second copy of its response, which could not be told from that to a second send.
    std::set<std::string, std::less<>> unfinishedRequests;
};

struct UpstreamPoolOptions
{
    /// Fraction of the replica's keep-alive time for which an idle connection may be reused.
    double reusableFraction = 0.8;
    /// The same for at-most-once calls. It is lower, as they can't be retried if the replica closes
    /// the connection while they are sent.
    double atMostOnceFraction = 0.4;
    /// Keep-alive time assumed for a replica that doesn't state one.
    Duration defaultKeepAlive = std::chrono::seconds{2};
    /// A connection with more unfinished requests is closed.
    std::size_t maxUnfinishedRequests = 64;
};

class UpstreamPool
{
public:
    explicit UpstreamPool(UpstreamPoolOptions options)
        : m_options(options)
    {
    }

    /// Removes and returns the most recently used connection on which the request was not sent
    /// before; null if none may be reused. `isAtMostOnce` asks for one that the replica is not
    /// about to close, as an at-most-once call needs.
    std::unique_ptr<UpstreamConnection> acquire(const ReplicaIncarnation &incarnation,
                                                std::string_view requestId, bool isAtMostOnce,
                                                TimePoint now);
    /// Adds a connection whose last response was read completely and didn't ask to close it.
    void release(const ReplicaIncarnation &incarnation,
                 std::unique_ptr<UpstreamConnection> connection, TimePoint now);
    /// Closes all idle connections to one incarnation of a replica.
    void closeIdle(const ReplicaIncarnation &incarnation) { m_idle.erase(incarnation); }
    void clear() { m_idle.clear(); }
    /// Closes connections that have been idle too long to be reused.
    void tick(TimePoint now);
    std::size_t idleCount() const;
    /// Whether there is an idle connection to the replica.
    bool hasIdle(const ReplicaIncarnation &incarnation) const
    {
        return m_idle.contains(incarnation);
    }

    /// Returns how many idle connections to a replica may be kept; unlimited if not set.
    std::function<std::size_t(const ReplicaIncarnation &)> maxIdleConnections;

private:
    bool isReusable(const UpstreamConnection &connection, bool isAtMostOnce, TimePoint now) const;

    UpstreamPoolOptions m_options;
    std::map<ReplicaIncarnation, std::vector<std::unique_ptr<UpstreamConnection>>> m_idle;
};

} // namespace arbutuspier
