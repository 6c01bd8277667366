// The part of PeerMessenger that tells peers. Datagrams are never retransmitted: a late one is
// useless, and a peer that misses one requests the full state instead.
#include "gateway/peermessenger.h"

#include "arbutuspier/readerrank.h"
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
constexpr std::size_t kMaxDatagramBytes = 60'000;
/// The retry budget of a fleet of at most this many VMs is divided among the responsive ones; that
/// of a larger one among all, as several large parts of it may be responsive to themselves only.
constexpr std::size_t kMaxVmsCountedByResponse = 48;

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

} // namespace arbutuspier
