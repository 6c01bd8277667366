// Exchanges datagrams with the other VMs of the fleet group: active requests, status, departures of
// replicas and suspect notices.
#pragma once

#include "gateway/gatewaystate.h"
#include "gateway/peerbuilds.h"
#include "gateway/peerdatagramcodec.h"
#include "gateway/peertable.h"
#include "gateway/peertraffic.h"
#include "gateway/repeatednotices.h"
#include "gateway/storewatcher.h"
#include "gateway/updateoutbox.h"
#include "net/asiotypes.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutuspier {

class PeerMessenger
{
public:
    PeerMessenger(asio::io_context &context, GatewayState &state, StoreWatcher &store);

    /// Binds the UDP socket to the address of the setting listen.peers.
    Result<bool> open();
    /// Starts receiving and sending heartbeats.
    void start();
    /// Applies reloaded settings, which may name other seed hosts.
    void onSettingsReloaded();
    /// Applies the list of all VMs: updates the fleet groups and adds those of the own group as
    /// peers.
    void setVms(const std::vector<VmRegistration> &vms);
    /// Sends the update to all peers after a delay that depends on its urgency, so that several
    /// updates share a datagram.
    void broadcast(const ActiveRequestUpdate &update);
    void broadcast(const SuspectNotice &notice);
    void broadcast(const PartNotices &notices);
    void broadcast(const RequestLimitNotice &notice);
    /// Sends peers, by `due`, what this VM saw of replicas since its last report.
    void scheduleOutcomes(TimePoint due) { scheduleFlush(due); }
    /// Tells peers to which services this VM has lost its paths.
    void broadcastLostPaths();
    /// Tells peers that this VM has read the list of replicas, and what was new.
    void broadcastReplicasRead(const ReplicaNotice &notice);
    /// Tells peers which zones are evacuated, as this VM has read that they changed.
    void broadcastEvacuations();
    /// Sends peers the departures of replicas that this VM has found since the last call.
    void broadcastDepartures();
    /// Sends peers these departures, and the status if it changed, for example by a new
    /// configuration.
    void broadcastChanges();
    /// Records a response of this VM to a peer that fetched what it lacked.
    void onResponse(PeerMessageKind kind, std::size_t bytes) { m_traffic.onSent(kind, bytes); }
    /// Number of responsive peers.
    std::size_t alivePeerCount() const { return m_peers.aliveCount(); }

private:
    using Udp = asio::ip::udp;

    /// Adds the VMs of the own fleet group, and those without a name yet (seed hosts), as peers.
    void addPeers(const std::vector<VmRegistration> &vms);
    Task<void> receive();
    Task<void> sendHeartbeats();
    /// Fetches what this VM lacks from one of the peers that have it, after a random time.
    Task<void> fetchFromPeer();
    /// Whether this VM still lacks what peers have told that they have.
    bool needsFetch() const;
    /// Applies a peer's configuration or snapshot. Returns false if the body is neither.
    bool applyFetched(std::string_view body, const Address &peer);
    void handleDatagram(const PeerDatagram &datagram, const Udp::endpoint &from);
    void handleStatus(const PeerStatus &status, const Udp::endpoint &from);
    void onPeerStart(const std::string &replicaId, TimePoint now);
    void applyContents(const std::string &vm, const PeerDatagram &datagram);
    void requestFullState(const Udp::endpoint &to);
    void sendFullState(const Udp::endpoint &to);
    /// Sends what waits for the peers at this time at the latest.
    void scheduleFlush(TimePoint at);
    void scheduleFlush();
    void flush();
    /// Sends the datagram with all updates that wait.
    void sendToAll(PeerDatagram datagram);
    void sendToAll(const std::string &bytes, PeerMessageKind kind);
    /// What the heartbeats repeat from time to time, as far as it is due.
    PeerDatagram dueRepetitions(TimePoint now);
    /// Whether the peers have to hear from this VM now even if it has no news.
    bool isHeartbeatDue(const PeerDatagram &repetitions, TimePoint now) const;
    std::string encodedProtocol() const;
    /// The bounds by which all VMs of the fleet split it.
    FleetGroupBounds groupBounds(TimePoint now) const;
    /// Asks VMs whose builds aren't known, and splits the fleet by the bounds that all know.
    void updateBuilds(TimePoint now);
    void logGroups() const;
    /// Most items of each kind of notices on parts of prompts in a datagram, and in the full state.
    static constexpr std::size_t kMaxPartItems = 256;

    /// Sends the notices in as many datagrams as they need. The datagrams have no sequence number,
    /// as the notices may be merged in any order and more than once.
    void sendPartNotices(const PartNotices &notices);
    /// Sends the report on replicas if one is due.
    void sendOutcomes();
    void sendLimitNotices(const std::vector<RequestLimitNotice> &notices);
    /// Updates the list of peers that may take relayed requests.
    void updateRelayPeers();
    /// Sends the recent notices again.
    void repeatNotices(TimePoint now);
    /// Applies a datagram that consists of notices of one kind. Returns false if it is another.
    bool handleNotices(std::string_view bytes);
    bool handleNotice(std::string_view bytes);
    /// Whether all VMs of the fleet read compressed datagrams.
    bool knowAllCompressed() const;
    void applyLimits(const std::vector<RequestLimitNotice> &notices);
    std::string encodedEvacuations() const;
    /// Sends the evacuated zones again if that is due.
    void repeatEvacuations(TimePoint now);
    /// Waits until this VM knows which zones are evacuated. Gives up if no peer tells, as one of an
    /// older build doesn't.
    Task<void> awaitEvacuations(Udp::endpoint peer);
    void send(const std::string &bytes, const Udp::endpoint &to, PeerMessageKind kind);
    void logTraffic();
    void dropUnresponsivePeers(TimePoint now);
    void updateStoreReaders();
    /// Names of the other VMs that the store lists.
    std::vector<std::string> listedOthers() const;
    PeerStatus status() const;

    asio::io_context &m_context;
    GatewayState &m_state;
    StoreWatcher &m_store;
    Udp::socket m_socket;
    asio::steady_timer m_flushTimer;
    PeerDatagram m_outbox;
    UpdateOutbox m_updates;
    RepeatedNotices<Departure> m_recentDepartures;
    RepeatedNotices<SuspectNotice> m_recentSuspects;
    std::vector<RequestLimitNotice> m_limitOutbox;
    RepeatedNotices<RequestLimitNotice> m_recentLimits;
    PartNotices m_partOutbox;
    RepeatedNotices<PartNotices> m_recentPartNotices;
    /// Each heartbeat repeats the evacuated zones until then.
    TimePoint m_repeatEvacuationsUntil{};
    TimePoint m_nextEvacuationsAt{};
    /// Empty if no flush is scheduled.
    std::optional<TimePoint> m_flushAt;
    TimePoint m_startedAt{};
    TimePoint m_lastBroadcastAt{};
    TimePoint m_nextStatusAt{};
    TimePoint m_nextRequestListAt{};
    TimePoint m_nextTrafficLogAt{};
    bool m_isFetching = false;
    /// The highest version of the configuration that a peer told.
    std::uint64_t m_peerConfigVersion = 0;
    Udp::endpoint m_snapshotSource;
    /// Peers that told since the last fetch that they have what this VM lacks.
    std::size_t m_snapshotSources = 0;
    PeerTable m_peers;
    PeerBuilds m_builds;
    /// The VMs of the fleet as the store lists them.
    std::vector<VmRegistration> m_vms;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    PeerStatus m_sentStatus;
    PeerTraffic m_traffic;
    std::array<char, 65536> m_receiveBuffer{};
};

} // namespace arbutuspier
