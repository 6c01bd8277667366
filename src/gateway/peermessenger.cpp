// Datagrams: a hint that is late is worth nothing, so none is ever sent again.
#include "gateway/peermessenger.h"

#include "kernel/logline.h"
#include "net/httpchannel.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace arbutuspier {

namespace {

/// News of this long share a datagram.
constexpr Duration kFlushDelay = std::chrono::milliseconds{3};
constexpr Duration kBeat = std::chrono::milliseconds{500};
/// Every so many beats the status is told, and everything that runs: both are told when they change
/// or when a peer has missed a hint, so these only mend what that leaves.
constexpr std::uint64_t kBeatsPerStatus = 2;
constexpr std::uint64_t kBeatsPerWhole = 16;
/// A line on the traffic between VMs follows each so many beats.
constexpr std::uint64_t kBeatsPerTrafficLine = 20;
/// Departures are told again with every sign of life for this long, as a hint may be lost.
constexpr Duration kRepeatDepartures = std::chrono::seconds{3};
constexpr Duration kFetchTimeout = std::chrono::milliseconds{800};
constexpr std::size_t kMaxDatagram = 60'000;

} // namespace

PeerMessenger::PeerMessenger(asio::io_context &context, GatewayState &state, StoreWatcher &store)
    : m_context(context)
    , m_state(state)
    , m_store(store)
    , m_socket(context)
    , m_flushTimer(context)
    , m_peers(state.settings.vm)
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
    std::vector<VmRow> seeds;
    for (const std::string &host : m_state.settings.seedHosts)
        seeds.push_back({{}, host + ':' + std::to_string(m_state.settings.peers.port)});
    knowVms(seeds);
}

void PeerMessenger::start()
{
    onSettingsReloaded();
    asio::co_spawn(m_context, receive(), asio::detached);
    asio::co_spawn(m_context, beat(), asio::detached);
}

void PeerMessenger::setVms(const std::vector<VmRow> &vms)
{
    std::vector<std::string> names;
    for (const VmRow &vm : vms)
        names.push_back(vm.vm);
    const std::uint64_t before = m_state.groups.revision();
    m_state.groups.setVms(std::move(names));
    if (m_state.groups.revision() != before) {
        LOG(INFO) << LogLine("groups_changed")
                         .add("vms", m_state.groups.vmCount())
                         .add("groups", m_state.groups.count())
                         .text();
    }
    knowVms(vms);
}

void PeerMessenger::knowVms(const std::vector<VmRow> &vms)
{
    for (const VmRow &vm : vms) {
        if (!vm.vm.empty() && !m_state.groups.isInOwnGroup(vm.vm))
            continue;
        Address address;
        const bool isOther =
            parseAddress(vm.address, address) && address.text() != m_state.settings.peers.text();
        if (!isOther)
            continue;
        const Tcp::endpoint endpoint = endpointOf(address);
        m_peers.setKnown({endpoint.address(), endpoint.port()}, m_state.clock.now());
    }
}

PeerStatus PeerMessenger::status() const
{
    PeerStatus status;
    status.vm = m_state.settings.vm;
    status.incarnation = m_incarnation;
    status.configVersion = m_state.routes() ? m_state.routes()->version() : 0;
    status.replicaRevision = m_store.changeRevision();
    status.readsStore = m_state.directory.isReachable();
    status.isLeaving = m_state.isDraining();
    return status;
}

void PeerMessenger::tell(const ActiveRequestUpdate &news)
{
    m_outbox.news.push_back(news);
    scheduleFlush();
}

void PeerMessenger::tell(const SuspectNotice &notice)
{
    m_outbox.suspects.push_back(notice);
    scheduleFlush();
}

void PeerMessenger::tellChanges()
{
    const TimePoint now = m_state.clock.now();
    for (Departure &departure : m_state.directory.takeNewDepartures()) {
        m_outbox.departures.push_back(departure);
        m_recentDepartures.push_back({now, std::move(departure)});
    }
    scheduleFlush();
}

void PeerMessenger::scheduleFlush()
{
    if (m_isFlushDue)
        return;
    m_isFlushDue = true;
    m_flushTimer.expires_after(kFlushDelay);
    m_flushTimer.async_wait([this](ErrorCode error) {
        m_isFlushDue = false;
        if (error)
            return;
        PeerDatagram datagram = std::exchange(m_outbox, PeerDatagram{});
        if (status() != m_toldStatus)
            datagram.status = status();
        sendToAll(std::move(datagram));
    });
}

void PeerMessenger::sendToAll(PeerDatagram datagram)
{
    datagram.incarnationTag = incarnationTagOf(m_incarnation);
    datagram.sequence = ++m_sequence;
    if (datagram.status)
        m_toldStatus = *datagram.status;
    const std::string bytes = encodePeerDatagram(datagram);
    const auto isOfGroup = [this](const std::string &vm) {
        return vm.empty() || m_state.groups.isInOwnGroup(vm);
    };
    for (const Udp::endpoint &endpoint : m_peers.endpoints(isOfGroup))
        send(bytes, endpoint);
}

void PeerMessenger::send(const std::string &bytes, const Udp::endpoint &to)
{
    if (bytes.size() > kMaxDatagram) {
        LOG(WARNING) << LogLine("hint_too_large").add("bytes", bytes.size()).text();
        return;
    }
    // A hint that can't be sent now is dropped; the peer asks for what it missed.
    ErrorCode dropped;
    m_socket.send_to(asio::buffer(bytes), to, 0, dropped);
    ++m_datagramsSent;
    m_bytesSent += bytes.size();
}

void PeerMessenger::ask(const Udp::endpoint &to)
{
    PeerDatagram datagram;
    datagram.incarnationTag = incarnationTagOf(m_incarnation);
    datagram.sequence = m_sequence;
    datagram.asksWhole = true;
    send(encodePeerDatagram(datagram), to);
}

void PeerMessenger::answer(const Udp::endpoint &to)
{
    PeerDatagram datagram;
    datagram.incarnationTag = incarnationTagOf(m_incarnation);
    datagram.sequence = m_sequence;
    datagram.status = status();
    datagram.whole = m_state.load.activeRequestsOf(m_state.settings.vm);
    send(encodePeerDatagram(datagram), to);
}

void PeerMessenger::logTraffic()
{
    LOG(INFO) << LogLine("peer_traffic")
                     .add("peers", alivePeers())
                     .add("datagrams", m_datagramsSent)
                     .add("bytes", m_bytesSent)
                     .add("store_calls", m_store.calls())
                     .add("config_calls", m_store.configCalls())
                     .add("replica_calls", m_store.replicaCalls())
                     .add("running", m_state.dispatchQueue.running())
                     .add("waiting", m_state.dispatchQueue.waiting())
                     .text();
    m_state.metrics.gauge("hint_bytes_sent", static_cast<double>(m_bytesSent));
    m_state.metrics.gauge("hint_datagrams_sent", static_cast<double>(m_datagramsSent));
}

Task<void> PeerMessenger::beat()
{
    asio::steady_timer timer(m_context);
    for (std::uint64_t beats = 1;; ++beats) {
        if (beats % kBeatsPerTrafficLine == 0)
            logTraffic();
        PeerDatagram datagram;
        if (beats % kBeatsPerStatus == 1)
            datagram.status = status();
        if (beats % kBeatsPerWhole == 1)
            datagram.whole = m_state.load.activeRequestsOf(m_state.settings.vm);
        datagram.departures = recentDepartures();
        sendToAll(std::move(datagram));
        forgetSilent(m_state.clock.now());
        timer.expires_after(jittered(m_state.random, kBeat));
        co_await timer.async_wait(kAwait);
    }
}

std::vector<Departure> PeerMessenger::recentDepartures()
{
    const TimePoint oldest = m_state.clock.now() - kRepeatDepartures;
    std::erase_if(m_recentDepartures,
                  [&](const SeenDeparture &seen) { return seen.seenAt < oldest; });
    std::vector<Departure> result;
    for (const SeenDeparture &seen : m_recentDepartures)
        result.push_back(seen.departure);
    return result;
}

void PeerMessenger::forgetSilent(TimePoint now)
{
    for (const std::string &vm : m_peers.forgetSilent(now)) {
        m_state.load.dropVm(vm, now);
        LOG(INFO) << LogLine("peer_lost").add("vm", vm).text();
    }
    const std::size_t inGroup = m_peers.alive() + 1;
    m_state.setSharingVmCount(inGroup);
    m_state.setVmCount(m_state.groups.count() == 1 ? inGroup : m_state.groups.vmCount());
    m_state.setStoreReaderCount(m_peers.readers() + 1);
}

Task<void> PeerMessenger::receive()
{
    while (true) {
        Udp::endpoint from;
        const auto [error, size] =
            co_await m_socket.async_receive_from(asio::buffer(m_buffer), from, kAwait);
        if (error)
            continue;
        const auto datagram = decodePeerDatagram({m_buffer.data(), size});
        if (!datagram) {
            m_state.metrics.count("hints", "unreadable");
            continue;
        }
        take(*datagram, from);
    }
}

void PeerMessenger::take(const PeerDatagram &datagram, const Udp::endpoint &from)
{
    const TimePoint now = m_state.clock.now();
    const PeerTable::Reaction reaction = m_peers.take(datagram, from, now);
    if (reaction.isNewIncarnation) {
        LOG(INFO) << LogLine("peer_heard")
                         .add("vm", reaction.vm)
                         .add("life", datagram.status->incarnation)
                         .text();
        m_state.load.dropVm(reaction.vm, now);
        const bool movesGroups = m_state.groups.count() > 1 && !m_state.groups.isKnown(reaction.vm);
        if (movesGroups)
            m_store.onVmsChanged();
    }
    if (reaction.answers)
        answer(from);
    if (reaction.asks)
        ask(from);
    if (reaction.hasStatus)
        takeStatus(*datagram.status, from);
    if (!reaction.hasNews)
        return;
    m_store.onPeerHeard(reaction.vm);
    takeNews(reaction.vm, datagram);
}

void PeerMessenger::takeStatus(const PeerStatus &status, const Udp::endpoint &from)
{
    m_store.onReplicasChanged(status.replicaRevision);
    if (m_isFetching || !m_store.needsSnapshot(status))
        return;
    m_isFetching = true;
    asio::co_spawn(m_context, fetchSnapshot(from), asio::detached);
}

void PeerMessenger::takeNews(const std::string &vm, const PeerDatagram &datagram)
{
    const TimePoint now = m_state.clock.now();
    if (datagram.whole)
        m_state.load.replace(vm, *datagram.whole, now);
    for (const ActiveRequestUpdate &news : datagram.news) {
        switch (news.kind) {
        case ActiveRequestUpdate::Kind::Began:
            m_state.load.begin(vm, *news.activeRequest, now);
            break;
        case ActiveRequestUpdate::Kind::Decoding:
            m_state.load.beginDecode(vm, news.id, now);
            break;
        case ActiveRequestUpdate::Kind::Ended:
            m_state.load.end(vm, news.id);
            break;
        }
    }
    for (const Departure &departure : datagram.departures) {
        if (!m_state.directory.markLeaving(departure))
            continue;
        LOG(INFO) << LogLine("replica_leaving")
                         .add("replica", departure.incarnation.id)
                         .add("draining", departure.isDraining ? "yes" : "no")
                         .add("source", vm)
                         .text();
    }
    // What a peer told is not told on: it tells everyone itself.
    m_state.directory.takeNewDepartures();
    for (const SuspectNotice &notice : datagram.suspects)
        m_state.quarantine.merge(notice, now);
    m_state.dispatchQueue.dispatchWaiting();
}

Task<void> PeerMessenger::fetchSnapshot(Udp::endpoint endpoint)
{
    HttpRequest request;
    request.target = std::string(kSnapshotPath);
    request.timeout = kFetchTimeout;
    const Address address{endpoint.address().to_string(), endpoint.port()};
    const HttpReply reply = co_await callOnce(address, std::move(request));
    m_isFetching = false;
    const auto snapshot = reply.isOk() ? decodeSnapshot(reply.body) : std::nullopt;
    if (!snapshot) {
        LOG(INFO) << LogLine("snapshot_not_fetched")
                         .add("peer", address.text())
                         .add("status", static_cast<std::uint64_t>(reply.status))
                         .add("bytes", reply.body.size())
                         .text();
        co_return;
    }
    m_store.offerSnapshot(*snapshot, address.text());
}

} // namespace arbutuspier
