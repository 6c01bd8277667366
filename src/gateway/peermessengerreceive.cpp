// The part of PeerMessenger that handles the datagrams of peers, and fetches from one of them what
// this VM lacks.
#include "gateway/peermessenger.h"

#include "gateway/configurationcodec.h"
#include "kernel/logline.h"
#include "net/httpchannel.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace arbutuspier {

namespace {

/// Longest time before a snapshot is fetched, as a fraction of the configuration bound: VMs that
/// all lack it don't ask one peer at the same time.
constexpr double kMaxSnapshotDelayFraction = 0.08;
/// Status of a peer whose build doesn't know a path.
constexpr int kNotFound = 404;
constexpr Duration kFetchTimeout = std::chrono::milliseconds{800};

HttpRequest fetchRequest(std::string_view path)
{
    HttpRequest request;
    request.target = std::string(path);
    request.timeout = kFetchTimeout;
    return request;
}

} // namespace

Task<void> PeerMessenger::receive()
{
    while (true) {
        Udp::endpoint from;
        const auto [error, size] =
            co_await m_socket.async_receive_from(asio::buffer(m_receiveBuffer), from, kAwait);
        if (error)
            continue;
        const std::string_view bytes{m_receiveBuffer.data(), size};
        if (handleNotices(bytes))
            continue;
        const auto datagram = decodePeerDatagram(bytes);
        if (!datagram) {
            m_state.metrics.incrementCounter("hints", "unreadable");
            continue;
        }
        handleDatagram(*datagram, from);
    }
}

void PeerMessenger::handleDatagram(const PeerDatagram &datagram, const Udp::endpoint &from)
{
    const TimePoint now = m_state.clock.now();
    const PeerTable::Reaction reaction = m_peers.handleDatagram(datagram, from, now);
    if (reaction.isNewIncarnation) {
        LOG(INFO) << LogLine("peer_heard")
                         .add("vm", reaction.vm)
                         .add("life", datagram.status->incarnation)
                         .text();
        m_state.load.dropVm(reaction.vm, now);
        // The list decides how a large fleet is split, and divides its retry budget.
        const bool isMissed =
            m_state.groups.dependsOnBuilds() && !m_state.groups.isKnown(reaction.vm);
        if (isMissed)
            m_store.onUnlistedVm();
    }
    if (reaction.mustSendFullState)
        sendFullState(from);
    if (reaction.mustRequestFullState)
        requestFullState(from);
    if (reaction.hasStatus)
        handleStatus(*datagram.status, from);
    if (!reaction.isAccepted)
        return;
    m_store.onPeerMessage(reaction.vm);
    applyContents(reaction.vm, datagram);
}

void PeerMessenger::handleStatus(const PeerStatus &status, const Udp::endpoint &from)
{
    m_builds.onStatus(status.vm, status.incarnation, m_state.clock.now());
    m_store.onReplicasChanged(status.replicaRevision);
    if (!m_store.needsSnapshot(status))
        return;
    // Each of the peers that have it is asked by an equal part of the VMs that lack it.
    ++m_snapshotSources;
    const bool isChosen = uniform(m_state.random) * m_snapshotSources < 1;
    if (isChosen)
        m_snapshotSource = from;
    m_peerConfigVersion = std::max(m_peerConfigVersion, status.configVersion);
    if (m_isFetching)
        return;
    m_isFetching = true;
    asio::co_spawn(m_context, fetchFromPeer(), asio::detached);
}

void PeerMessenger::onPeerStart(const std::string &replicaId, TimePoint now)
{
    m_state.limits.onPeerStart(replicaId, now);
    m_state.cold.onPeerStart(replicaId, now);
}

void PeerMessenger::applyContents(const std::string &vm, const PeerDatagram &datagram)
{
    const TimePoint now = m_state.clock.now();
    if (datagram.activeRequests)
        m_state.load.replace(vm, *datagram.activeRequests, now);
    for (const ActiveRequestUpdate &update : datagram.updates) {
        switch (update.kind) {
        case ActiveRequestUpdate::Kind::Began:
            for (const ActiveRequestPart &part : update.activeRequest->parts)
                onPeerStart(part.replica, now);
            m_state.load.begin(vm, *update.activeRequest, now);
            break;
        case ActiveRequestUpdate::Kind::Decoding:
            m_state.load.beginDecode(vm, update.id, now);
            break;
        case ActiveRequestUpdate::Kind::Ended:
            m_state.load.end(vm, update.id);
            break;
        }
    }
    // Those that this VM has found itself must not be taken for the peer's.
    broadcastDepartures();
    for (const Departure &departure : datagram.departures) {
        if (!m_state.directory.applyDeparture(departure))
            continue;
        LOG(INFO) << LogLine("replica_leaving")
                         .add("replica", departure.incarnation.id)
                         .add("draining", departure.wasDraining ? "yes" : "no")
                         .add("source", vm)
                         .text();
    }
    // Departures reported by a peer are not forwarded: it sends them to all VMs itself.
    m_state.directory.takeNewDepartures();
    for (const SuspectNotice &notice : datagram.suspects)
        m_state.suspects.merge(notice, vm);
    m_state.dispatchQueue.dispatchWaiting();
}

bool PeerMessenger::needsFetch() const
{
    const std::uint64_t version = m_state.routes() ? m_state.routes()->version() : 0;
    return m_store.lacksReplicas() || version < m_peerConfigVersion;
}

Task<void> PeerMessenger::fetchFromPeer()
{
    asio::steady_timer timer(m_context);
    timer.expires_after(fromSeconds(uniform(m_state.random) * kMaxSnapshotDelayFraction
                                    * toSeconds(m_state.settings.configBound)));
    co_await timer.async_wait(kAwait);
    const Udp::endpoint source = m_snapshotSource;
    const Address address{source.address().to_string(), source.port()};
    m_snapshotSources = 0;
    // A VM serves once it has a configuration.
    co_await awaitEvacuations(source);
    if (!needsFetch()) {
        m_isFetching = false;
        co_return;
    }
    HttpReply reply;
    if (!m_store.lacksReplicas())
        reply = co_await callOnce(address, fetchRequest(kConfigurationPath));
    const bool needsSnapshot = m_store.lacksReplicas() || reply.status == kNotFound;
    if (needsSnapshot)
        reply = co_await callOnce(address, fetchRequest(kSnapshotPath));
    m_isFetching = false;
    if (reply.isOk() && applyFetched(reply.body, address))
        co_return;
    LOG(INFO) << LogLine("snapshot_not_fetched")
                     .add("peer", address.text())
                     .add("status", static_cast<std::uint64_t>(reply.status))
                     .add("bytes", reply.body.size())
                     .text();
}

bool PeerMessenger::applyFetched(std::string_view body, const Address &peer)
{
    if (auto configuration = decodePeerConfiguration(body)) {
        m_store.applyPeerConfiguration(std::move(*configuration), peer.text());
        return true;
    }
    const auto snapshot = decodeSnapshot(body);
    if (snapshot)
        m_store.applySnapshot(*snapshot, peer.text());
    return snapshot.has_value();
}

} // namespace arbutuspier
