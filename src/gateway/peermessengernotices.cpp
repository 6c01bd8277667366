// The part of PeerMessenger that exchanges notices in datagrams of their own: on parts of prompts,
// request limits, lost paths, reads of the store and protocols. They have no sequence numbers, as
// they may be merged in any order.
#include "gateway/peermessenger.h"

#include "gateway/cborfields.h"
#include "gateway/compresseddatagram.h"
#include "gateway/lostpathscodec.h"
#include "gateway/outcomereportcodec.h"
#include "gateway/partnoticescodec.h"
#include "gateway/protocolcodec.h"
#include "gateway/replicanoticecodec.h"
#include "gateway/replicasreadcodec.h"
#include "gateway/requestlimitcodec.h"
#include "gateway/zoneevacuationcodec.h"
#include "kernel/logline.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace arbutuspier {

namespace {

/// Time for which the evacuated zones are sent with each heartbeat after a change, as datagrams may
/// be lost.
constexpr Duration kEvacuationRepeatTime = std::chrono::seconds{3};
/// Interval at which readers send them again while a zone is evacuated.
constexpr Duration kEvacuationInterval = std::chrono::seconds{3};
/// Longest time for which a VM that has no configuration waits for a peer to tell which zones are
/// evacuated, and the interval at which it asks.
constexpr Duration kMaxEvacuationWait = std::chrono::seconds{1};
constexpr Duration kEvacuationRequestInterval = std::chrono::milliseconds{100};

} // namespace

void PeerMessenger::broadcast(const SuspectNotice &notice)
{
    m_outbox.suspects.push_back(notice);
    m_recentSuspects.add(notice, m_state.clock.now());
    scheduleFlush();
}

namespace {

template <class Item>
void append(std::vector<Item> &to, const std::vector<Item> &from)
{
    to.insert(to.end(), from.begin(), from.end());
}

void append(PartNotices &to, const PartNotices &from)
{
    append(to.evidence, from.evidence);
    append(to.clearances, from.clearances);
}

/// Removes and returns the first items.
template <class Item>
std::vector<Item> takeFirst(std::vector<Item> &items, std::size_t maxCount)
{
    const std::size_t count = std::min(items.size(), maxCount);
    const auto end = items.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<Item> first(items.begin(), end);
    items.erase(items.begin(), end);
    return first;
}

} // namespace

void PeerMessenger::broadcast(const PartNotices &notices)
{
    append(m_partOutbox, notices);
    m_recentPartNotices.add(notices, m_state.clock.now());
    scheduleFlush();
}

void PeerMessenger::broadcast(const RequestLimitNotice &notice)
{
    m_limitOutbox.push_back(notice);
    m_recentLimits.add(notice, m_state.clock.now());
    scheduleFlush();
}

void PeerMessenger::broadcastLostPaths()
{
    sendToAll(encodeLostPaths({m_state.settings.vm, m_state.paths.lostServices()}),
              PeerMessageKind::LostPaths);
}

void PeerMessenger::broadcastReplicasRead(const ReplicaNotice &notice)
{
    // Builds before the second protocol know this datagram only, and read for themselves what is
    // new.
    sendToAll(encodeReplicasRead(), PeerMessageKind::ReplicaNotice);
    const std::string bytes = encodeReplicaNotice(notice);
    const bool isCompressed = bytes.size() >= kMinCompressedBytes && knowAllCompressed();
    sendToAll(isCompressed ? encodeCompressed(bytes) : bytes, PeerMessageKind::ReplicaNotice);
}

bool PeerMessenger::knowAllCompressed() const
{
    // Smaller fleets don't ask which builds their VMs run.
    return m_state.groups.dependsOnBuilds()
        && m_builds.oldestProtocol(m_state.clock.now()) >= kCompressionProtocol;
}

void PeerMessenger::sendOutcomes()
{
    const auto due = m_state.sharedHealth.reportDue();
    if (!due)
        return;
    if (m_state.clock.now() < *due) {
        scheduleFlush(*due);
        return;
    }
    sendToAll(encodeOutcomeReport(m_state.sharedHealth.takeReport()), PeerMessageKind::Outcomes);
}

void PeerMessenger::updateRelayPeers()
{
    std::vector<RelayPeer> peers;
    for (const PeerTable::ResponsivePeer &peer : m_peers.responsivePeers())
        peers.push_back({peer.vm, peer.endpoint.address().to_string(), peer.isDraining});
    m_state.relayPeers.setPeers(std::move(peers));
}

void PeerMessenger::sendLimitNotices(const std::vector<RequestLimitNotice> &notices)
{
    if (!notices.empty())
        sendToAll(encodeRequestLimits(notices), PeerMessageKind::RequestLimits);
}

void PeerMessenger::applyLimits(const std::vector<RequestLimitNotice> &notices)
{
    for (const RequestLimitNotice &notice : notices) {
        if (!m_state.limits.merge(notice, m_state.clock.now()))
            continue;
        m_state.logRequestLimit(notice, "peer");
        if (!notice.perSecond)
            m_state.dispatchQueue.dispatchWaiting();
    }
}

bool PeerMessenger::handleNotices(std::string_view bytes)
{
    if (!isNamedFormat(bytes))
        return false;
    if (const auto datagram = decodeCompressed(bytes))
        return handleNotice(*datagram);
    return handleNotice(bytes);
}

bool PeerMessenger::handleNotice(std::string_view bytes)
{
    if (const auto parts = decodePartRow(bytes)) {
        m_state.suspects.merge(parts->notices);
        return true;
    }
    if (isReplicasRead(bytes)) {
        m_store.onPeerReadReplicas();
        return true;
    }
    if (const auto notice = decodeReplicaNotice(bytes)) {
        // Departures that this VM has found itself must not be taken for the peer's.
        broadcastDepartures();
        m_store.applyNotice(*notice);
        m_state.directory.takeNewDepartures();
        return true;
    }
    if (const auto lost = decodeLostPaths(bytes)) {
        m_state.relayPeers.applyLostPaths(*lost, m_state.clock.now());
        return true;
    }
    if (const auto announcement = decodeProtocol(bytes)) {
        m_builds.onAnnouncement(*announcement, m_state.clock.now());
        return true;
    }
    if (const auto evacuations = decodeZoneEvacuations(bytes)) {
        const auto changed = m_state.evacuations.merge(*evacuations, m_state.clock.now());
        m_state.applyEvacuations(changed, "peer");
        return true;
    }
    if (const auto report = decodeOutcomeReport(bytes)) {
        m_state.applyOutcomes(*report);
        return true;
    }
    const auto limits = decodeRequestLimits(bytes);
    if (limits)
        applyLimits(*limits);
    return limits.has_value();
}

void PeerMessenger::sendPartNotices(const PartNotices &notices)
{
    PartNotices rest = notices;
    while (!rest.empty()) {
        const PartNotices first{takeFirst(rest.evidence, kMaxPartItems),
                                takeFirst(rest.clearances, kMaxPartItems)};
        sendToAll(encodePartRow({{}, first}), PeerMessageKind::PromptParts);
    }
}

void PeerMessenger::repeatNotices(TimePoint now)
{
    PartNotices parts;
    for (const PartNotices &recent : m_recentPartNotices.current(now))
        append(parts, recent);
    sendPartNotices(parts);
    sendLimitNotices(m_recentLimits.current(now));
    repeatEvacuations(now);
}

std::string PeerMessenger::encodedEvacuations() const
{
    return encodeZoneEvacuations(m_state.evacuations.notice(m_state.clock.now()));
}

void PeerMessenger::broadcastEvacuations()
{
    const TimePoint now = m_state.clock.now();
    m_repeatEvacuationsUntil = now + kEvacuationRepeatTime;
    m_nextEvacuationsAt = now + kEvacuationInterval;
    sendToAll(encodedEvacuations(), PeerMessageKind::Evacuations);
}

void PeerMessenger::repeatEvacuations(TimePoint now)
{
    const bool isRecent = now < m_repeatEvacuationsUntil;
    const bool isDue = m_state.isStoreReader() && now >= m_nextEvacuationsAt
        && !m_state.evacuations.evacuated().empty();
    if (!isRecent && !isDue)
        return;
    m_nextEvacuationsAt = now + kEvacuationInterval;
    sendToAll(encodedEvacuations(), PeerMessageKind::Evacuations);
}

Task<void> PeerMessenger::awaitEvacuations(Udp::endpoint peer)
{
    asio::steady_timer timer(m_context);
    const TimePoint end = m_state.clock.now() + kMaxEvacuationWait;
    while (!m_state.evacuations.isKnown() && m_state.clock.now() < end) {
        requestFullState(peer);
        timer.expires_after(kEvacuationRequestInterval);
        co_await timer.async_wait(kAwait);
    }
    if (!m_state.evacuations.isKnown())
        LOG(WARNING)
            << LogLine("evacuations_unknown").add("peer", peer.address().to_string()).text();
}

} // namespace arbutuspier
