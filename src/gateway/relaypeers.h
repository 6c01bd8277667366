// The peers that this VM relays requests to while it has no path to the replicas itself, and the
// requests that peers relay to it.
#pragma once

#include "arbutuspier/clock.h"
#include "gateway/lostpathscodec.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

struct RelayPeer
{
    std::string vm;
    /// IP address.
    std::string host;
    bool isDraining = false;
};

class RelayPeers
{
public:
    /// Most relayed requests that this VM serves at a time.
    static constexpr std::size_t kMaxAccepted = 256;

    /// Replaces the list of responsive peers.
    void setPeers(std::vector<RelayPeer> peers) { m_peers = std::move(peers); }
    /// A peer told to which services it has lost its paths.
    void applyLostPaths(const LostPaths &lost, TimePoint now);

    /// The peer with the fewest requests relayed to it, of those that are thought to have a path to
    /// the service; empty if there is none.
    std::optional<RelayPeer> choose(const std::string &service,
                                    const std::set<std::string> &excludedVms, TimePoint now);
    /// Whether a peer is thought to have a path to the service.
    bool knowsPath(const std::string &service, TimePoint now) const;
    /// A request is relayed to the VM, until `onEnd`.
    void onStart(const std::string &vm) { ++m_relayed[vm]; }
    void onEnd(const std::string &vm);
    /// The VM accepted no connection, refused the request or broke off.
    void onFailure(const std::string &vm, TimePoint now);
    /// Whether the VM sends datagrams.
    bool isResponsive(std::string_view vm) const;
    /// Whether a responsive peer has this IP address.
    bool isPeer(std::string_view host) const;

    /// Counts a request that a peer relays to this VM, until `endAccepted`. False if there are too
    /// many already.
    bool tryAccept();
    void endAccepted() { --m_accepted; }

private:
    struct LostServices
    {
        std::set<std::string> services;
        TimePoint heardAt{};
    };

    bool mayTake(const RelayPeer &peer, const std::string &service, TimePoint now) const;

    std::vector<RelayPeer> m_peers;
    std::map<std::string, LostServices> m_lost;
    std::map<std::string, TimePoint> m_failedAt;
    /// Requests relayed to each VM now; has no entries of zero.
    std::map<std::string, std::size_t> m_relayed;
    std::size_t m_accepted = 0;
    /// Peer to begin with when several are equal.
    std::size_t m_nextPeer = 0;
};

} // namespace arbutuspier
