// Datagrams are never retransmitted: a late one is useless, and a peer that misses one requests the
// full state instead.
#include "gateway/peermessenger.h"

#include "arbutuspier/readerrank.h"
#include "gateway/configurationcodec.h"
#include "gateway/partnoticescodec.h"
#include "gateway/requestlimitcodec.h"
#include "kernel/logline.h"
#include "net/httpchannel.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace arbutuspier {

namespace {

/// Notices within this time are coalesced into one datagram.
constexpr Duration kFlushDelay = std::chrono::milliseconds{3};
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds{500};
/// A heartbeat without news is left out if the peers got another datagram within this time.
constexpr Duration kRecentBroadcast = std::chrono::milliseconds{200};
/// The status and all active requests are sent along from time to time. Changes are sent with the
/// next heartbeat at the latest, and peers that missed a datagram request both, so the repetitions
/// only repair what differs after that.
constexpr Duration kStatusInterval = std::chrono::seconds{3};
constexpr Duration kRequestListInterval = std::chrono::seconds{8};
/// Interval of the log lines on the traffic between VMs.
constexpr Duration kTrafficLogInterval = std::chrono::seconds{10};
/// Time from the start within which the peers that run are heard, if nothing is wrong.
constexpr Duration kHearingTime = std::chrono::seconds{2};
/// Each heartbeat repeats the departures and suspects of this time, as datagrams may be lost.
constexpr Duration kRepeatTime = std::chrono::seconds{3};
/// Most suspects that are sent with the full state; it has to fit into a datagram.
constexpr std::size_t kMaxSuspectsInFullState = 256;
/// Longest time before a snapshot is fetched, as a fraction of the configuration bound: VMs that
/// all lack it don't ask one peer at the same time.
constexpr double kMaxSnapshotDelayFraction = 0.08;
/// Status of a peer whose build doesn't know a path.
constexpr int kNotFound = 404;
constexpr Duration kFetchTimeout = std::chrono::milliseconds{800};
constexpr std::size_t kMaxDatagramBytes = 60'000;
/// The retry budget of a fleet of at most this many VMs is divided among the responsive ones; that
/// of a larger one among all, as several large parts of it may be responsive to themselves only.
constexpr std::size_t kMaxVmsCountedByResponse = 48;

HttpRequest fetchRequest(std::string_view path)
{
    HttpRequest request;
    request.target = std::string(path);
    request.timeout = kFetchTimeout;
    return request;
}

/// Returns true, and sets `next` to the time after `interval`, if `next` has come.
bool takeDue(TimePoint &next, Duration interval, TimePoint now)
{
    if (now < next)
        return false;
    next = now + interval;
    return true;
}

PeerMessageKind kindOf(const PeerDatagram &datagram)
{
    const bool hasFullState = datagram.activeRequests || datagram.requestsFullState;
    return hasFullState ? PeerMessageKind::FullState : PeerMessageKind::Changes;
}

/// The endpoint of an address as VMs register it; empty if the text is none.
std::optional<UdpEndpoint> peerEndpoint(const std::string &text)
{
    Address address;
    if (!parseAddress(text, address))
        return std::nullopt;
    const Tcp::endpoint endpoint = endpointOf(address);
    return UdpEndpoint(endpoint.address(), endpoint.port());
}

} // namespace

PeerMessenger::PeerMessenger(asio::io_context &context, GatewayState &state, StoreWatcher &store)
    : m_context(context)
    , m_state(state)
    , m_store(store)
    , m_socket(context)
    , m_flushTimer(context)
    , m_updates(UpdateOutboxOptions{})
    , m_recentDepartures(kRepeatTime)
    , m_recentSuspects(kRepeatTime)
    , m_recentLimits(kRepeatTime)
    , m_recentPartNotices(kRepeatTime)
    , m_peers(state.settings.vm)
    , m_builds(PeerBuildsOptions{})
    , m_incarnation(
          static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                         state.clock.wallNow().time_since_epoch())
                                         .count()))
{
}

Result<bool> PeerMessenger::open()
{
    const Tcp::endpoint address = endpointOf(m_state.settings.peers);
    ErrorCode error;
    m_socket.open(Udp::v4(), error);
    if (!error)
        m_socket.bind(Udp::endpoint(address.address(), address.port()), error);
    if (error)
        return Error("listen.peers " + m_state.settings.peers.text() + ": " + error.message());
    return true;
}

void PeerMessenger::onSettingsReloaded()
{
    std::vector<VmRegistration> seeds;
    for (const std::string &host : m_state.settings.seedHosts)
        seeds.push_back({{}, host + ':' + std::to_string(m_state.settings.peers.port), {}});
    addPeers(seeds);
}

void PeerMessenger::start()
{
    m_startedAt = m_state.clock.now();
    onSettingsReloaded();
    asio::co_spawn(m_context, receive(), asio::detached);
    asio::co_spawn(m_context, sendHeartbeats(), asio::detached);
}

void PeerMessenger::setVms(const std::vector<VmRegistration> &vms)
{
    m_vms = vms;
    std::vector<std::string> names;
    std::map<std::string, platform::StoreRevision> others;
    for (const VmRegistration &vm : vms) {
        names.push_back(vm.vm);
        if (vm.vm != m_state.settings.vm)
            others.emplace(vm.vm, vm.revision);
    }
    m_builds.setVms(others);
    const std::uint64_t before = m_state.groups.revision();
    m_state.groups.setBounds(groupBounds(m_state.clock.now()));
    m_state.groups.setVms(std::move(names));
    if (m_state.groups.revision() != before)
        logGroups();
    addPeers(vms);
    updateStoreReaders();
}

void PeerMessenger::logGroups() const
{
    LOG(INFO) << LogLine("groups_changed")
                     .add("vms", m_state.groups.vmCount())
                     .add("groups", m_state.groups.groupCount())
                     .add("max_ungrouped", m_state.groups.bounds().maxUngroupedVms)
                     .add("older_builds", m_builds.hasOlder(m_state.clock.now()) ? "yes" : "no")
                     .text();
}

void PeerMessenger::updateBuilds(TimePoint now)
{
    if (!m_state.groups.dependsOnBuilds())
        return;
    for (const std::string &vm : m_builds.takeVmsToAsk(now)) {
        const auto registration =
            std::find_if(m_vms.begin(), m_vms.end(),
                         [&](const VmRegistration &listed) { return listed.vm == vm; });
        if (registration == m_vms.end())
            continue;
        if (const auto endpoint = peerEndpoint(registration->address))
            requestFullState(*endpoint);
    }
    const std::uint64_t before = m_state.groups.revision();
    m_state.groups.setBounds(groupBounds(now));
    if (m_state.groups.revision() == before)
        return;
    logGroups();
    addPeers(m_vms);
    m_state.dispatchQueue.dispatchWaiting();
}

FleetGroupBounds PeerMessenger::groupBounds(TimePoint now) const
{
    return m_builds.groupBounds(m_state.groups.options(), m_state.settings.capacity, now);
}

std::string PeerMessenger::encodedProtocol() const
{
    return encodeProtocol(
        {m_state.settings.vm, m_incarnation, kProtocol, m_state.settings.capacity});
}

void PeerMessenger::addPeers(const std::vector<VmRegistration> &vms)
{
    const auto own = peerEndpoint(m_state.settings.peers.text());
    for (const VmRegistration &vm : vms) {
        if (!vm.vm.empty() && !m_state.groups.isInOwnGroup(vm.vm))
            continue;
        const auto endpoint = peerEndpoint(vm.address);
        const bool isOther = endpoint && endpoint != own;
        if (isOther)
            m_peers.setListed(*endpoint, m_state.clock.now());
    }
}

PeerStatus PeerMessenger::status() const
{
    PeerStatus status;
    status.vm = m_state.settings.vm;
    status.incarnation = m_incarnation;
    status.configVersion = m_state.routes() ? m_state.routes()->version() : 0;
    status.replicaRevision = m_store.changeRevision();
    status.canReadStore = m_state.directory.isReachable();
    status.isDraining = m_state.isDraining();
    return status;
}

void PeerMessenger::broadcast(const ActiveRequestUpdate &update)
{
    m_updates.add(update, m_state.clock.now());
    if (const auto due = m_updates.due())
        scheduleFlush(*due);
}

void PeerMessenger::broadcastDepartures()
{
    std::vector<Departure> departures = m_state.directory.takeNewDepartures();
    if (departures.empty())
        return;
    const TimePoint now = m_state.clock.now();
    for (Departure &departure : departures) {
        m_outbox.departures.push_back(departure);
        m_recentDepartures.add(std::move(departure), now);
    }
    scheduleFlush();
}

void PeerMessenger::broadcastChanges()
{
    broadcastDepartures();
    scheduleFlush();
}

void PeerMessenger::scheduleFlush()
{
    scheduleFlush(m_state.clock.now() + kFlushDelay);
}

void PeerMessenger::scheduleFlush(TimePoint at)
{
    if (m_flushAt && *m_flushAt <= at)
        return;
    m_flushAt = at;
    m_flushTimer.expires_at(at);
    m_flushTimer.async_wait([this](ErrorCode error) {
        // It was cancelled by an earlier flush.
        if (error)
            return;
        m_flushAt.reset();
        flush();
    });
}

void PeerMessenger::flush()
{
    PeerDatagram datagram = std::exchange(m_outbox, PeerDatagram{});
    PeerStatus current = status();
    if (current != m_sentStatus)
        datagram.status = std::move(current);
    const bool hasNews = datagram.status || m_updates.due() || !datagram.departures.empty()
        || !datagram.suspects.empty();
    if (hasNews)
        sendToAll(std::move(datagram));
    sendPartNotices(std::exchange(m_partOutbox, {}));
    sendLimitNotices(std::exchange(m_limitOutbox, {}));
    sendOutcomes();
}

void PeerMessenger::sendToAll(PeerDatagram datagram)
{
    datagram.incarnationTag = incarnationTagOf(m_incarnation);
    datagram.sequence = ++m_sequence;
    datagram.updates = m_updates.takeAll();
    if (datagram.status)
        m_sentStatus = *datagram.status;
    m_lastBroadcastAt = m_state.clock.now();
    sendToAll(encodePeerDatagram(datagram), kindOf(datagram));
}

void PeerMessenger::sendToAll(const std::string &bytes, PeerMessageKind kind)
{
    const auto isInGroup = [this](const std::string &vm) {
        return vm.empty() || m_state.groups.isInOwnGroup(vm);
    };
    for (const Udp::endpoint &endpoint : m_peers.endpoints(isInGroup))
        send(bytes, endpoint, kind);
}

void PeerMessenger::send(const std::string &bytes, const Udp::endpoint &to, PeerMessageKind kind)
{
    if (bytes.size() > kMaxDatagramBytes) {
        LOG(WARNING) << LogLine("hint_too_large").add("bytes", bytes.size()).text();
        return;
    }
    // A datagram that can't be sent now is dropped; the peer then requests the full state.
    ErrorCode dropped;
    m_socket.send_to(asio::buffer(bytes), to, 0, dropped);
    m_traffic.onSent(kind, bytes.size());
}

void PeerMessenger::requestFullState(const Udp::endpoint &to)
{
    PeerDatagram datagram;
    datagram.incarnationTag = incarnationTagOf(m_incarnation);
    datagram.sequence = m_sequence;
    datagram.requestsFullState = true;
    send(encodePeerDatagram(datagram), to, PeerMessageKind::FullState);
}

void PeerMessenger::sendFullState(const Udp::endpoint &to)
{
    PeerDatagram datagram;
    datagram.incarnationTag = incarnationTagOf(m_incarnation);
    datagram.sequence = m_sequence;
    datagram.status = status();
    datagram.activeRequests = m_state.load.activeRequestsOf(m_state.settings.vm);
    datagram.suspects = m_state.suspects.quarantine().records(kMaxSuspectsInFullState);
    send(encodedProtocol(), to, PeerMessageKind::Protocol);
    send(encodePeerDatagram(datagram), to, PeerMessageKind::FullState);
    const std::vector<RequestLimitNotice> limits = m_state.limits.notices();
    if (!limits.empty())
        send(encodeRequestLimits(limits), to, PeerMessageKind::RequestLimits);
    const PartNotices notices = m_state.suspects.promptParts().notices(kMaxPartItems);
    if (!notices.empty())
        send(encodePartRow({{}, notices}), to, PeerMessageKind::PromptParts);
    // Also if there is none: a VM that starts has to know that.
    if (m_state.evacuations.isKnown())
        send(encodedEvacuations(), to, PeerMessageKind::Evacuations);
}

void PeerMessenger::logTraffic()
{
    LogLine line("peer_traffic");
    line.add("peers", alivePeerCount())
        .add("datagrams", m_traffic.messages())
        .add("bytes", m_traffic.bytes());
    for (std::size_t i = 0; i < kPeerMessageKinds; ++i) {
        const auto kind = static_cast<PeerMessageKind>(i);
        if (m_traffic.messages(kind) != 0)
            line.add(std::string(nameOf(kind)) + "_bytes", m_traffic.bytes(kind));
    }
    line.add("store_calls", m_store.calls())
        .add("config_calls", m_store.configCalls())
        .add("replica_calls", m_store.replicaCalls())
        .add("store_bytes", m_store.bytesRead())
        .add("running", m_state.dispatchQueue.running())
        .add("waiting", m_state.dispatchQueue.waiting());
    LOG(INFO) << line.text();
    m_state.metrics.setGauge("hint_bytes_sent", static_cast<double>(m_traffic.bytes()));
    m_state.metrics.setGauge("hint_datagrams_sent", static_cast<double>(m_traffic.messages()));
}

PeerDatagram PeerMessenger::dueRepetitions(TimePoint now)
{
    PeerDatagram datagram;
    PeerStatus current = status();
    if (takeDue(m_nextStatusAt, kStatusInterval, now) || current != m_sentStatus)
        datagram.status = std::move(current);
    if (takeDue(m_nextRequestListAt, kRequestListInterval, now))
        datagram.activeRequests = m_state.load.activeRequestsOf(m_state.settings.vm);
    datagram.departures = m_recentDepartures.current(now);
    datagram.suspects = m_recentSuspects.current(now);
    return datagram;
}

bool PeerMessenger::isHeartbeatDue(const PeerDatagram &repetitions, TimePoint now) const
{
    const bool hasContents = repetitions.status || repetitions.activeRequests
        || !repetitions.departures.empty() || !repetitions.suspects.empty();
    return hasContents || now >= m_lastBroadcastAt + kRecentBroadcast;
}

Task<void> PeerMessenger::sendHeartbeats()
{
    asio::steady_timer timer(m_context);
    while (true) {
        const TimePoint now = m_state.clock.now();
        if (takeDue(m_nextTrafficLogAt, kTrafficLogInterval, now))
            logTraffic();
        PeerDatagram repetitions = dueRepetitions(now);
        if (repetitions.activeRequests && m_state.groups.dependsOnBuilds())
            sendToAll(encodedProtocol(), PeerMessageKind::Protocol);
        if (isHeartbeatDue(repetitions, now))
            sendToAll(std::move(repetitions));
        repeatNotices(now);
        if (!m_state.paths.lostServices().empty())
            broadcastLostPaths();
        dropUnresponsivePeers(now);
        updateBuilds(now);
        timer.expires_after(jittered(m_state.random, kHeartbeatInterval));
        co_await timer.async_wait(kAwait);
    }
}

void PeerMessenger::dropUnresponsivePeers(TimePoint now)
{
    for (const std::string &vm : m_peers.dropUnresponsivePeers(now)) {
        m_state.load.dropVm(vm, now);
        m_builds.onUnresponsive(vm);
        LOG(INFO) << LogLine("peer_lost").add("vm", vm).text();
    }
    const std::size_t groupVmCount = m_peers.aliveCount() + 1;
    m_state.setSharingVmCount(groupVmCount);
    m_state.setResponsivePeers(m_peers.aliveVms());
    updateRelayPeers();
    const std::size_t listedCount = m_state.groups.vmCount();
    m_state.setVmCount(listedCount <= kMaxVmsCountedByResponse ? groupVmCount : listedCount);
    updateStoreReaders();
    m_state.setHearsAllVms(m_state.groups.groupCount() == 1 && !m_peers.hasUnresponsivePeer(now));
}

std::vector<std::string> PeerMessenger::listedOthers() const
{
    std::vector<std::string> others;
    for (const VmRegistration &vm : m_vms) {
        if (vm.vm != m_state.settings.vm)
            others.push_back(vm.vm);
    }
    return others;
}

void PeerMessenger::updateStoreReaders()
{
    std::vector<std::string> others = m_peers.possibleStoreReaders();
    // A VM that has just started has heard few of those that run. In a fleet whose VMs all start
    // together each would read for all others.
    const bool hasHeardPeers = m_state.clock.now() >= m_startedAt + kHearingTime;
    if (!hasHeardPeers && !m_vms.empty())
        others = listedOthers();
    std::erase_if(others,
                  [this](const std::string &vm) { return !m_state.groups.isInOwnGroup(vm); });
    m_state.setStoreReaderCount(others.size() + 1);
    m_state.setStoreReader(isAmongReaders(m_state.settings.vm, others, GatewayState::kMaxReaders));
}

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
