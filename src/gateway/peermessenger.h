// Sends hints to the other VMs and takes theirs.
#pragma once

#include "gateway/gatewaystate.h"
#include "gateway/peerdatagramcodec.h"
#include "gateway/peertable.h"
#include "gateway/storewatcher.h"
#include "net/asiotypes.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace arbutuspier {

class PeerMessenger
{
public:
    PeerMessenger(asio::io_context &context, GatewayState &state, StoreWatcher &store);

    Result<bool> open();
    void start();
    /// The settings were read anew: there may be other seeds.
    void onSettingsReloaded();
    void setVms(const std::vector<VmRow> &vms);
    /// Tells all peers soon; several pieces of news share one datagram.
    void tell(const ActiveRequestUpdate &news);
    void tell(const SuspectNotice &notice);
    /// Tells peers of replicas that left, and of a new configuration.
    void tellChanges();
    /// Peers heard of late.
    std::size_t alivePeers() const { return m_peers.alive(); }

private:
    using Udp = asio::ip::udp;

    struct SeenDeparture
    {
        TimePoint seenAt{};
        Departure departure;
    };
    /// Sends hints to those of the VMs that share replicas with this one.
    void knowVms(const std::vector<VmRow> &vms);
    Task<void> receive();
    Task<void> beat();
    Task<void> fetchSnapshot(Udp::endpoint endpoint);
    void take(const PeerDatagram &datagram, const Udp::endpoint &from);
    void takeStatus(const PeerStatus &status, const Udp::endpoint &from);
    void takeNews(const std::string &vm, const PeerDatagram &datagram);
    void ask(const Udp::endpoint &to);
    void answer(const Udp::endpoint &to);
    void scheduleFlush();
    void sendToAll(PeerDatagram datagram);
    void send(const std::string &bytes, const Udp::endpoint &to);
    void logTraffic();
    void forgetSilent(TimePoint now);
    PeerStatus status() const;
    std::vector<Departure> recentDepartures();

    asio::io_context &m_context;
    GatewayState &m_state;
    StoreWatcher &m_store;
    Udp::socket m_socket;
    asio::steady_timer m_flushTimer;
    PeerDatagram m_outbox;
    std::vector<SeenDeparture> m_recentDepartures;
    bool m_isFlushDue = false;
    bool m_isFetching = false;
    PeerTable m_peers;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    PeerStatus m_toldStatus;
    std::uint64_t m_datagramsSent = 0;
    std::uint64_t m_bytesSent = 0;
    std::array<char, 65536> m_buffer{};
};

} // namespace arbutuspier
