// Datagrams: a hint that is late is worth nothing, so none is ever sent again.
#include "gateway/peerhints.h"

#include "kernel/logline.h"
#include "net/httpchannel.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

#include <algorithm>

namespace arbutuspier {

namespace {

/// News of this long share a datagram.
constexpr Duration kFlushDelay = std::chrono::milliseconds{3};
constexpr Duration kBeat = std::chrono::milliseconds{500};
/// A peer not heard for this long is taken to run nothing.
constexpr Duration kSilent = std::chrono::milliseconds{1800};
/// A peer not heard for this long gets no more hints unless the store still names it.
constexpr Duration kForget = std::chrono::seconds{20};
/// Departures are told again with every whole hint for this long, as a hint may be lost.
constexpr Duration kRepeatDepartures = std::chrono::seconds{3};
constexpr Duration kFetchTimeout = std::chrono::milliseconds{800};
constexpr std::size_t kMaxDatagram = 60'000;

} // namespace

PeerHints::PeerHints(asio::io_context &context, GateState &state, StoreWatch &store)
    : m_context(context)
    , m_state(state)
    , m_store(store)
    , m_socket(context)
    , m_flushTimer(context)
    , m_life(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                            state.clock.wallNow().time_since_epoch())
                                            .count()))
{
}

Result<bool> PeerHints::open()
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

void PeerHints::start()
{
    std::vector<VmRow> seeds;
    for (const std::string &host : m_state.settings.seedHosts)
        seeds.push_back({{}, host + ':' + std::to_string(m_state.settings.peers.port)});
    setVms(seeds);
    asio::co_spawn(m_context, receive(), asio::detached);
    asio::co_spawn(m_context, beat(), asio::detached);
}

void PeerHints::setVms(const std::vector<VmRow> &vms)
{
    for (const VmRow &vm : vms) {
        Address address;
        const bool isOther =
            parseAddress(vm.address, address) && address.text() != m_state.settings.peers.text();
        if (!isOther)
            continue;
        const Tcp::endpoint endpoint = endpointOf(address);
        Peer &peer = m_peers[Udp::endpoint(endpoint.address(), endpoint.port())];
        peer.knownAt = m_state.clock.now();
    }
}

std::size_t PeerHints::alivePeers() const
{
    return static_cast<std::size_t>(std::count_if(
        m_peers.begin(), m_peers.end(), [](const auto &entry) { return entry.second.isHeard; }));
}

Hint PeerHints::emptyHint()
{
    Hint hint;
    hint.vm = m_state.settings.vm;
    hint.life = m_life;
    hint.configVersion = m_state.routes() ? m_state.routes()->version() : 0;
    hint.replicaRevision = m_store.changeRevision();
    hint.readsStore = m_state.directory.isReachable();
    hint.isLeaving = m_state.isDraining();
    return hint;
}

void PeerHints::tell(const WorkNews &news)
{
    m_outbox.news.push_back(news);
    scheduleFlush();
}

void PeerHints::tell(const SuspectNotice &notice)
{
    m_outbox.suspects.push_back(notice);
    scheduleFlush();
}

void PeerHints::tellChanges()
{
    const TimePoint now = m_state.clock.now();
    for (Departure &departure : m_state.directory.takeNewlyLeft()) {
        m_outbox.departures.push_back(departure);
        m_recentDepartures.push_back({now, std::move(departure)});
    }
    scheduleFlush();
}

void PeerHints::scheduleFlush()
{
    if (m_isFlushDue)
        return;
    m_isFlushDue = true;
    m_flushTimer.expires_after(kFlushDelay);
    m_flushTimer.async_wait([this](ErrorCode error) {
        m_isFlushDue = false;
        if (error)
            return;
        Hint hint = emptyHint();
        hint.news = std::move(m_outbox.news);
        hint.departures = std::move(m_outbox.departures);
        hint.suspects = std::move(m_outbox.suspects);
        m_outbox = Hint{};
        send(std::move(hint));
    });
}

void PeerHints::send(Hint hint)
{
    hint.sequence = ++m_sequence;
    const std::string bytes = encodeHint(hint);
    if (bytes.size() > kMaxDatagram) {
        LOG(WARNING) << LogLine("hint_too_large").add("bytes", bytes.size()).text();
        return;
    }
    for (const auto &[endpoint, peer] : m_peers) {
        // A hint that can't be sent now is dropped; the next whole one makes up for it.
        ErrorCode dropped;
        m_socket.send_to(asio::buffer(bytes), endpoint, 0, dropped);
    }
}

Task<void> PeerHints::beat()
{
    asio::steady_timer timer(m_context);
    while (true) {
        Hint hint = emptyHint();
        hint.whole = m_state.load.worksOf(m_state.settings.vm);
        hint.departures = recentDepartures();
        send(std::move(hint));
        forgetSilent(m_state.clock.now());
        timer.expires_after(jittered(m_state.random, kBeat));
        co_await timer.async_wait(kAwait);
    }
}

std::vector<Departure> PeerHints::recentDepartures()
{
    const TimePoint oldest = m_state.clock.now() - kRepeatDepartures;
    std::erase_if(m_recentDepartures,
                  [&](const SeenDeparture &seen) { return seen.seenAt < oldest; });
    std::vector<Departure> result;
    for (const SeenDeparture &seen : m_recentDepartures)
        result.push_back(seen.departure);
    return result;
}

void PeerHints::forgetSilent(TimePoint now)
{
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        Peer &peer = it->second;
        if (peer.isHeard && now >= peer.heardAt + kSilent) {
            peer.isHeard = false;
            m_state.load.dropVm(peer.vm, now);
            LOG(INFO) << LogLine("peer_lost").add("vm", peer.vm).text();
        }
        const bool isOld = now >= peer.heardAt + kForget && now >= peer.knownAt + kForget;
        it = isOld ? m_peers.erase(it) : std::next(it);
    }
    m_state.setVmCount(alivePeers() + 1);
    const auto isReader = [](const auto &entry) {
        return entry.second.isHeard && entry.second.readsStore && !entry.second.isLeaving;
    };
    m_state.setReaderCount(
        1 + static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), isReader)));
}

Task<void> PeerHints::receive()
{
    while (true) {
        Udp::endpoint from;
        const auto [error, size] =
            co_await m_socket.async_receive_from(asio::buffer(m_buffer), from, kAwait);
        if (error)
            continue;
        const auto hint = decodeHint({m_buffer.data(), size});
        if (!hint) {
            m_state.metrics.count("hints", "unreadable");
            continue;
        }
        take(*hint, from);
    }
}

void PeerHints::take(const Hint &hint, const Udp::endpoint &from)
{
    if (hint.vm == m_state.settings.vm)
        return;
    const TimePoint now = m_state.clock.now();
    Peer &peer = m_peers[from];
    const bool isOld =
        hint.life < peer.life || (hint.life == peer.life && hint.sequence <= peer.sequence);
    if (isOld)
        return;
    if (hint.life != peer.life)
        m_state.load.dropVm(hint.vm, now);
    if (!peer.isHeard)
        LOG(INFO) << LogLine("peer_heard").add("vm", hint.vm).add("life", hint.life).text();
    peer.vm = hint.vm;
    peer.life = hint.life;
    peer.sequence = hint.sequence;
    peer.heardAt = now;
    peer.isHeard = true;
    peer.readsStore = hint.readsStore;
    peer.isLeaving = hint.isLeaving;
    takeNews(hint);
    m_store.onReplicasChanged(hint.replicaRevision);
    const std::uint64_t mine = m_state.routes() ? m_state.routes()->version() : 0;
    if (hint.configVersion > mine && !m_isFetching) {
        m_isFetching = true;
        asio::co_spawn(m_context, fetchConfiguration(from), asio::detached);
    }
}

void PeerHints::takeNews(const Hint &hint)
{
    const TimePoint now = m_state.clock.now();
    if (hint.whole)
        m_state.load.replace(hint.vm, *hint.whole, now);
    for (const WorkNews &news : hint.news) {
        switch (news.kind) {
        case WorkNews::Kind::Began:
            m_state.load.begin(hint.vm, *news.work, now);
            break;
        case WorkNews::Kind::Writing:
            m_state.load.beginWriting(hint.vm, news.id, now);
            break;
        case WorkNews::Kind::Ended:
            m_state.load.end(hint.vm, news.id);
            break;
        }
    }
    for (const Departure &departure : hint.departures) {
        if (!m_state.directory.markLeaving(departure))
            continue;
        LOG(INFO) << LogLine("replica_leaving")
                         .add("replica", departure.life.id)
                         .add("draining", departure.isDraining ? "yes" : "no")
                         .add("source", hint.vm)
                         .text();
    }
    // What a peer told is not told on: it tells everyone itself.
    m_state.directory.takeNewlyLeft();
    for (const SuspectNotice &notice : hint.suspects)
        m_state.quarantine.merge(notice, now);
    m_state.workList.pump();
}

Task<void> PeerHints::fetchConfiguration(Udp::endpoint endpoint)
{
    HttpRequest request;
    request.target = "/configuration";
    request.timeout = kFetchTimeout;
    const Address address{endpoint.address().to_string(), endpoint.port()};
    const HttpReply reply = co_await callOnce(address, std::move(request));
    m_isFetching = false;
    if (!reply.isOk()) {
        LOG(INFO) << LogLine("configuration_not_fetched").add("peer", address.text()).text();
        co_return;
    }
    m_store.offerConfiguration(reply.body, "peer");
}

} // namespace arbutuspier
