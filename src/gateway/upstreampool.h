// Kept connections to replicas, for each life of a replica apart.
#pragma once

#include "arbutuspier/upstreamdirectory.h"
#include "net/asiotypes.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace arbutuspier {

struct UpstreamConnection
{
    explicit UpstreamConnection(asio::any_io_executor executor)
        : stream(std::move(executor))
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    /// How long the replica keeps the connection while idle.
    Duration keepAlive{};
    TimePoint idleSince{};
};

struct UpstreamPoolOptions
{
    /// Part of the replica's idle time within which a connection is used again.
    double freshPart = 0.8;
    /// The same for requests that can't be sent twice: the replica's close must not cross them.
    double safePart = 0.4;
    /// Assumed where the replica does not say how long it keeps idle connections.
    Duration defaultKeepAlive = std::chrono::seconds{2};
};

class UpstreamPool
{
public:
    explicit UpstreamPool(UpstreamPoolOptions options)
        : m_options(options)
    {
    }

    /// The connection used last, if one is fresh enough. `isSafe` asks for one that the replica
    /// will not close meanwhile.
    std::unique_ptr<UpstreamConnection> take(const ReplicaIncarnation &incarnation, bool isSafe,
                                             TimePoint now);
    /// Keeps a connection whose last answer was whole and asked for no close.
    void give(const ReplicaIncarnation &incarnation, std::unique_ptr<UpstreamConnection> connection,
              TimePoint now);
    void drop(const ReplicaIncarnation &incarnation) { m_idle.erase(incarnation); }
    void clear() { m_idle.clear(); }
    /// Closes connections that have grown too old to be used.
    void tick(TimePoint now);
    std::size_t idleCount() const;

    /// How many idle connections to a replica may be kept; as many as there are if not set.
    std::function<std::size_t(const ReplicaIncarnation &)> maxIdleConnections;

private:
    bool isFresh(const UpstreamConnection &connection, bool isSafe, TimePoint now) const;

    UpstreamPoolOptions m_options;
    std::map<ReplicaIncarnation, std::vector<std::unique_ptr<UpstreamConnection>>> m_idle;
};

} // namespace arbutuspier
