// The known peers, and how to react to each of their datagrams. Performs no I/O.
//
// The datagrams of one incarnation are numbered. After a gap in the numbers, from an unknown
// incarnation, or from a peer that was unresponsive, the full state of the peer (its status and all
// of its active requests) is requested.
#pragma once

#include "arbutuspier/clock.h"
#include "gateway/peerdatagramcodec.h"
#include "net/asiotypes.h"

#include <boost/asio/ip/udp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace arbutuspier {

using UdpEndpoint = asio::ip::udp::endpoint;

class PeerTable
{
public:
    /// How the caller of handleDatagram() has to react.
    struct Reaction
    {
        /// Send this VM's full state to the peer.
        bool mustSendFullState = false;
        /// Request the peer's full state.
        bool mustRequestFullState = false;
        /// The datagram carries a status of the current incarnation.
        bool hasStatus = false;
        /// The peer was restarted, or is new: requests of an earlier incarnation have ended.
        bool isNewIncarnation = false;
        /// The datagram is not stale: apply its contents, on behalf of `vm`.
        bool isAccepted = false;
        std::string vm;
    };

    explicit PeerTable(std::string ownVm)
        : m_ownVm(std::move(ownVm))
    {
    }

    /// Records that the metadata store or the settings list a peer.
    void setListed(const UdpEndpoint &endpoint, TimePoint now);
    Reaction handleDatagram(const PeerDatagram &datagram, const UdpEndpoint &from, TimePoint now);
    /// Returns the VMs that became unresponsive since the last call. Removes peers that have
    /// neither sent a datagram nor been listed for long.
    std::vector<std::string> dropUnresponsivePeers(TimePoint now);

    /// Endpoints of the peers for which `isWanted` returns true. The name of a peer is empty until
    /// its first status has arrived.
    std::vector<UdpEndpoint> endpoints(
        const std::function<bool(const std::string &vm)> &isWanted) const;
    /// Whether a peer that was listed recently is unresponsive.
    bool hasUnresponsivePeer(TimePoint now) const;
    /// Number of responsive peers.
    std::size_t aliveCount() const;
    /// Names of the responsive peers.
    std::vector<std::string> aliveVms() const;
    /// A responsive peer.
    struct ResponsivePeer
    {
        std::string vm;
        UdpEndpoint endpoint;
        bool isDraining = false;
    };
    std::vector<ResponsivePeer> responsivePeers() const;
    /// Names of the responsive peers that can read the store and are not draining.
    std::vector<std::string> possibleStoreReaders() const;

private:
    struct Peer
    {
        /// The last status received; its incarnation is 0 until there is one.
        PeerStatus status;
        std::uint64_t sequence = 0;
        TimePoint lastMessageAt{};
        TimePoint listedAt{};
        TimePoint stateRequestedAt{};
        TimePoint stateSentAt{};
        bool isAlive = false;
    };

    /// Returns false if the status is of an earlier incarnation.
    static bool acceptStatus(Peer &peer, const PeerStatus &status, Reaction &reaction,
                             TimePoint now);
    /// Returns false if the datagram is stale: later ones were handled already.
    bool acceptSequence(Peer &peer, const PeerDatagram &datagram, Reaction &reaction,
                        TimePoint now);

    std::string m_ownVm;
    std::map<UdpEndpoint, Peer> m_peers;
};

} // namespace arbutuspier
