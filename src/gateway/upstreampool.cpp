// Connections are reused last in, first out: a few stay in use, and the others expire and are
// closed.
#include "gateway/upstreampool.h"

#include "net/httpchannel.h"

#include <cstddef>

namespace arbutuspier {

bool UpstreamPool::isReusable(const UpstreamConnection &connection, bool isAtMostOnce,
                              TimePoint now) const
{
    const double fraction =
        isAtMostOnce ? m_options.atMostOnceFraction : m_options.reusableFraction;
    return now < connection.idleSince + fromSeconds(fraction * toSeconds(connection.keepAlive));
}

std::unique_ptr<UpstreamConnection> UpstreamPool::acquire(const ReplicaIncarnation &incarnation,
                                                          std::string_view requestId,
                                                          bool isAtMostOnce, TimePoint now)
{
    const auto found = m_idle.find(incarnation);
    if (found == m_idle.end())
        return nullptr;
    auto &connections = found->second;
    for (auto next = connections.size(); next > 0; --next) {
        const auto candidate = connections.begin() + static_cast<std::ptrdiff_t>(next - 1);
        if (!isReusable(**candidate, isAtMostOnce, now))
            return nullptr;
        if ((*candidate)->unfinishedRequests.contains(requestId))
            continue;
        auto connection = std::move(*candidate);
        connections.erase(candidate);
        if (!isStale(connection->stream))
            return connection;
    }
    return nullptr;
}

void UpstreamPool::release(const ReplicaIncarnation &incarnation,
                           std::unique_ptr<UpstreamConnection> connection, TimePoint now)
{
    if (connection->unfinishedRequests.size() > m_options.maxUnfinishedRequests)
        return;
    connection->idleSince = now;
    if (connection->keepAlive == Duration::zero())
        connection->keepAlive = m_options.defaultKeepAlive;
    auto &connections = m_idle[incarnation];
    connections.push_back(std::move(connection));
    // Closes the one that has been idle longest: it would have been reused last.
    if (maxIdleConnections && connections.size() > maxIdleConnections(incarnation))
        connections.erase(connections.begin());
}

void UpstreamPool::tick(TimePoint now)
{
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        std::erase_if(it->second, [&](const std::unique_ptr<UpstreamConnection> &connection) {
            return !isReusable(*connection, false, now);
        });
        it = it->second.empty() ? m_idle.erase(it) : std::next(it);
    }
}

std::size_t UpstreamPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[incarnation, connections] : m_idle)
        count += connections.size();
    return count;
}

} // namespace arbutuspier
