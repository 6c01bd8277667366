// A peer without news of a lost path is taken to have it: it answers at once if it hasn't.
#include "gateway/relaypeers.h"

#include <algorithm>

namespace arbutuspier {

namespace {

/// A peer repeats which paths it has lost with each heartbeat; without one it has them back.
constexpr Duration kLostPathsLifetime = std::chrono::milliseconds{1800};
/// A peer that failed is chosen again after this time.
constexpr Duration kFailureRest = std::chrono::milliseconds{500};

} // namespace

void RelayPeers::applyLostPaths(const LostPaths &lost, TimePoint now)
{
    if (lost.services.empty())
        m_lost.erase(lost.vm);
    else
        m_lost[lost.vm] = {{lost.services.begin(), lost.services.end()}, now};
}

bool RelayPeers::mayTake(const RelayPeer &peer, const std::string &service, TimePoint now) const
{
    const auto failed = m_failedAt.find(peer.vm);
    const bool rests = failed != m_failedAt.end() && now < failed->second + kFailureRest;
    const auto lost = m_lost.find(peer.vm);
    const bool hasPath = lost == m_lost.end() || now >= lost->second.heardAt + kLostPathsLifetime
        || !lost->second.services.contains(service);
    return hasPath && !rests && !peer.isDraining;
}

bool RelayPeers::knowsPath(const std::string &service, TimePoint now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(),
                       [&](const RelayPeer &peer) { return mayTake(peer, service, now); });
}

std::optional<RelayPeer> RelayPeers::choose(const std::string &service,
                                            const std::set<std::string> &excludedVms, TimePoint now)
{
    const RelayPeer *best = nullptr;
    std::size_t fewest = 0;
    ++m_nextPeer;
    for (std::size_t i = 0; i < m_peers.size(); ++i) {
        const RelayPeer &peer = m_peers[(m_nextPeer + i) % m_peers.size()];
        if (excludedVms.contains(peer.vm) || !mayTake(peer, service, now))
            continue;
        const auto relayed = m_relayed.find(peer.vm);
        const std::size_t count = relayed == m_relayed.end() ? 0 : relayed->second;
        if (!best || count < fewest) {
            best = &peer;
            fewest = count;
        }
    }
    return best ? std::optional(*best) : std::nullopt;
}

void RelayPeers::onEnd(const std::string &vm)
{
    const auto found = m_relayed.find(vm);
    if (found != m_relayed.end() && --found->second == 0)
        m_relayed.erase(found);
}

void RelayPeers::onFailure(const std::string &vm, TimePoint now)
{
    std::erase_if(m_failedAt, [&](const auto &entry) { return entry.second + kFailureRest < now; });
    m_failedAt[vm] = now;
}

bool RelayPeers::isResponsive(std::string_view vm) const
{
    return std::any_of(m_peers.begin(), m_peers.end(),
                       [&](const RelayPeer &peer) { return peer.vm == vm; });
}

bool RelayPeers::isPeer(std::string_view host) const
{
    return std::any_of(m_peers.begin(), m_peers.end(),
                       [&](const RelayPeer &peer) { return peer.host == host; });
}

bool RelayPeers::tryAccept()
{
    if (m_accepted >= kMaxAccepted)
        return false;
    ++m_accepted;
    return true;
}

} // namespace arbutuspier
