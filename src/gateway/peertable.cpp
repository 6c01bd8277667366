// The checks come in this order: request for the full state, status, incarnation, sequence number.
#include "gateway/peertable.h"

#include <algorithm>

namespace arbutuspier {

namespace {

/// After this time without a datagram, a peer is unresponsive and its requests count as ended.
constexpr Duration kUnresponsiveTimeout = std::chrono::milliseconds{1800};
/// A peer is removed after this time without a datagram from it and without an entry for it in the
/// store or the settings.
constexpr Duration kRemovalTimeout = std::chrono::seconds{20};
/// A datagram of an earlier process arrives within this time after the last one of its successor. A
/// lower incarnation that comes later is a restart after the peer's clock was set back.
constexpr Duration kLateDatagramTime = std::chrono::seconds{1};
/// The full state is requested from a peer, and sent to it, at most once in this time, so that one
/// loss of several datagrams causes one transfer.
constexpr Duration kFullStateInterval = std::chrono::milliseconds{150};

/// Returns true, and sets `last` to `now`, at most once in each kFullStateInterval.
bool passesRateLimit(TimePoint &last, TimePoint now)
{
    if (now < last + kFullStateInterval)
        return false;
    last = now;
    return true;
}

} // namespace

void PeerTable::setListed(const UdpEndpoint &endpoint, TimePoint now)
{
    m_peers[endpoint].listedAt = now;
}

PeerTable::Reaction PeerTable::handleDatagram(const PeerDatagram &datagram, const UdpEndpoint &from,
                                              TimePoint now)
{
    Reaction reaction;
    if (datagram.status && datagram.status->vm == m_ownVm)
        return reaction;
    Peer &peer = m_peers[from];
    if (datagram.requestsFullState) {
        reaction.mustSendFullState = passesRateLimit(peer.stateSentAt, now);
        return reaction;
    }
    if (datagram.status && !acceptStatus(peer, *datagram.status, reaction, now))
        return reaction;
    reaction.vm = peer.status.vm;
    if (datagram.incarnationTag != incarnationTagOf(peer.status.incarnation)) {
        reaction.mustRequestFullState = passesRateLimit(peer.stateRequestedAt, now);
        return reaction;
    }
    reaction.isAccepted = acceptSequence(peer, datagram, reaction, now);
    return reaction;
}

bool PeerTable::acceptStatus(Peer &peer, const PeerStatus &status, Reaction &reaction,
                             TimePoint now)
{
    const bool isLate = status.incarnation < peer.status.incarnation
        && now < peer.lastMessageAt + kLateDatagramTime;
    if (isLate)
        return false;
    if (status.incarnation != peer.status.incarnation) {
        reaction.isNewIncarnation = true;
        peer.sequence = 0;
        peer.isAlive = false;
    }
    peer.status = status;
    reaction.hasStatus = true;
    return true;
}

bool PeerTable::acceptSequence(Peer &peer, const PeerDatagram &datagram, Reaction &reaction,
                               TimePoint now)
{
    const bool isStale = datagram.sequence < peer.sequence
        || (datagram.sequence == peer.sequence && !datagram.activeRequests);
    if (isStale)
        return false;
    const bool hasGap = !peer.isAlive || datagram.sequence > peer.sequence + 1;
    if (hasGap && !datagram.activeRequests)
        reaction.mustRequestFullState = passesRateLimit(peer.stateRequestedAt, now);
    peer.sequence = datagram.sequence;
    peer.lastMessageAt = now;
    peer.isAlive = true;
    return true;
}

std::vector<std::string> PeerTable::dropUnresponsivePeers(TimePoint now)
{
    std::vector<std::string> lost;
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        Peer &peer = it->second;
        if (peer.isAlive && now >= peer.lastMessageAt + kUnresponsiveTimeout) {
            peer.isAlive = false;
            lost.push_back(peer.status.vm);
        }
        const bool isExpired =
            now >= peer.lastMessageAt + kRemovalTimeout && now >= peer.listedAt + kRemovalTimeout;
        it = isExpired ? m_peers.erase(it) : std::next(it);
    }
    return lost;
}

std::vector<UdpEndpoint> PeerTable::endpoints(
    const std::function<bool(const std::string &vm)> &isWanted) const
{
    std::vector<UdpEndpoint> result;
    result.reserve(m_peers.size());
    for (const auto &[endpoint, peer] : m_peers) {
        if (isWanted(peer.status.vm))
            result.push_back(endpoint);
    }
    return result;
}

bool PeerTable::hasUnresponsivePeer(TimePoint now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        const Peer &peer = entry.second;
        return !peer.isAlive && now < peer.listedAt + kRemovalTimeout;
    });
}

std::size_t PeerTable::aliveCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_peers.begin(), m_peers.end(), [](const auto &entry) { return entry.second.isAlive; }));
}

std::vector<std::string> PeerTable::aliveVms() const
{
    std::vector<std::string> vms;
    for (const auto &[endpoint, peer] : m_peers) {
        if (peer.isAlive)
            vms.push_back(peer.status.vm);
    }
    return vms;
}

std::vector<PeerTable::ResponsivePeer> PeerTable::responsivePeers() const
{
    std::vector<ResponsivePeer> result;
    for (const auto &[endpoint, peer] : m_peers) {
        if (peer.isAlive)
            result.push_back({peer.status.vm, endpoint, peer.status.isDraining});
    }
    return result;
}

std::vector<std::string> PeerTable::possibleStoreReaders() const
{
    std::vector<std::string> vms;
    for (const auto &[endpoint, peer] : m_peers) {
        if (peer.isAlive && peer.status.canReadStore && !peer.status.isDraining)
            vms.push_back(peer.status.vm);
    }
    return vms;
}

} // namespace arbutuspier
