// The checks come in this order: request for the full state, status, incarnation, sequence number.
#include "gateway/peertable.h"

#include <algorithm>

namespace arbutuspier {

namespace {

/// After this time without a datagram, a peer is unresponsive and its requests count as ended.
constexpr Duration kSilent = std::chrono::milliseconds{1800};
/// A peer is removed after this time without a datagram from it and without an entry for it in the
/// store or the settings.
constexpr Duration kForget = std::chrono::seconds{20};
/// The full state is requested from a peer, and sent to it, at most once in this time, so that one
/// loss of several datagrams causes one transfer.
constexpr Duration kAskPause = std::chrono::milliseconds{150};

/// Returns true, and sets `last`, at most once in each interval.
bool isDue(TimePoint &last, TimePoint now)
{
    if (now < last + kAskPause)
        return false;
    last = now;
    return true;
}

} // namespace

void PeerTable::setKnown(const UdpEndpoint &endpoint, TimePoint now)
{
    m_peers[endpoint].knownAt = now;
}

PeerTable::Reaction PeerTable::take(const PeerDatagram &datagram, const UdpEndpoint &from,
                                    TimePoint now)
{
    Reaction reaction;
    if (datagram.status && datagram.status->vm == m_ownVm)
        return reaction;
    Peer &peer = m_peers[from];
    if (datagram.asksWhole) {
        reaction.answers = isDue(peer.answeredAt, now);
        return reaction;
    }
    if (datagram.status && !takeStatus(peer, *datagram.status, reaction))
        return reaction;
    reaction.vm = peer.status.vm;
    if (datagram.incarnationTag != incarnationTagOf(peer.status.incarnation)) {
        reaction.asks = isDue(peer.askedAt, now);
        return reaction;
    }
    reaction.hasNews = takeSequence(peer, datagram, reaction, now);
    return reaction;
}

bool PeerTable::takeStatus(Peer &peer, const PeerStatus &status, Reaction &reaction)
{
    if (status.incarnation < peer.status.incarnation)
        return false;
    if (status.incarnation != peer.status.incarnation) {
        reaction.isNewIncarnation = true;
        peer.sequence = 0;
        peer.isHeard = false;
    }
    peer.status = status;
    reaction.hasStatus = true;
    return true;
}

bool PeerTable::takeSequence(Peer &peer, const PeerDatagram &datagram, Reaction &reaction,
                             TimePoint now)
{
    const bool isOld = datagram.sequence < peer.sequence
        || (datagram.sequence == peer.sequence && !datagram.whole);
    if (isOld)
        return false;
    const bool isMissing = !peer.isHeard || datagram.sequence > peer.sequence + 1;
    if (isMissing && !datagram.whole)
        reaction.asks = isDue(peer.askedAt, now);
    peer.sequence = datagram.sequence;
    peer.heardAt = now;
    peer.isHeard = true;
    return true;
}

std::vector<std::string> PeerTable::forgetSilent(TimePoint now)
{
    std::vector<std::string> lost;
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        Peer &peer = it->second;
        if (peer.isHeard && now >= peer.heardAt + kSilent) {
            peer.isHeard = false;
            lost.push_back(peer.status.vm);
        }
        const bool isOld = now >= peer.heardAt + kForget && now >= peer.knownAt + kForget;
        it = isOld ? m_peers.erase(it) : std::next(it);
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

std::size_t PeerTable::alive() const
{
    return static_cast<std::size_t>(std::count_if(
        m_peers.begin(), m_peers.end(), [](const auto &entry) { return entry.second.isHeard; }));
}

std::size_t PeerTable::readers() const
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [](const auto &entry) {
            const Peer &peer = entry.second;
            return peer.isHeard && peer.status.readsStore && !peer.status.isLeaving;
        }));
}

} // namespace arbutuspier
