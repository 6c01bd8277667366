// What is known of the other VMs, and what to make of each of their hints. No I/O.
//
// Hints of one life are numbered. A gap, an unknown life or a peer heard again after silence is
// mended by asking for everything the peer runs.
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
    /// What to do about a hint.
    struct Reaction
    {
        /// Send the peer this VM's status and everything it runs.
        bool answers = false;
        /// Ask the peer for the same.
        bool asks = false;
        /// Its status is new or told again.
        bool hasStatus = false;
        /// What the peer ran in an earlier life has ended.
        bool isNewIncarnation = false;
        /// Its news are to be applied; `vm` runs them.
        bool hasNews = false;
        std::string vm;
    };

    explicit PeerTable(std::string ownVm)
        : m_ownVm(std::move(ownVm))
    {
    }

    /// The store or the settings name a peer.
    void setKnown(const UdpEndpoint &endpoint, TimePoint now);
    Reaction take(const PeerDatagram &datagram, const UdpEndpoint &from, TimePoint now);
    /// Drops peers long unheard. Returns the VMs that have fallen silent since the last call.
    std::vector<std::string> forgetSilent(TimePoint now);

    /// Those of all peers that `isWanted` wants; a peer that hasn't told its name has none yet.
    std::vector<UdpEndpoint> endpoints(
        const std::function<bool(const std::string &vm)> &isWanted) const;
    /// Peers heard of late.
    std::size_t alive() const;
    /// Of those, the ones that read the store and will go on doing so.
    std::size_t readers() const;

private:
    struct Peer
    {
        /// What it told last; life 0 until it has told anything.
        PeerStatus status;
        std::uint64_t sequence = 0;
        TimePoint heardAt{};
        TimePoint knownAt{};
        TimePoint askedAt{};
        TimePoint answeredAt{};
        bool isHeard = false;
    };

    /// False if the status is that of an earlier life.
    bool takeStatus(Peer &peer, const PeerStatus &status, Reaction &reaction);
    /// False if the hint is older than what is known.
    bool takeSequence(Peer &peer, const PeerDatagram &datagram, Reaction &reaction, TimePoint now);

    std::string m_ownVm;
    std::map<UdpEndpoint, Peer> m_peers;
};

} // namespace arbutuspier
