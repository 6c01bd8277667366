// The part of StoreWatcher that reads the replicas, and passes on what is new.
//
// They are polled at intervals, as every heartbeat of every replica would end a long poll.
#include "gateway/storewatcher.h"

#include "kernel/logline.h"
#include "platform/replicadecoder.h"
#include "platform/tablenames.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

namespace arbutuspier {

using Outcome = platform::StoreRead::Outcome;

namespace {

/// Interval of a VM that has to find heartbeats, but reads for no other.
constexpr Duration kHeartbeatPollInterval = std::chrono::seconds{8};
/// Interval of a VM for which others read: it only shows that the store can be read.
constexpr Duration kMaxFollowerPollInterval = std::chrono::seconds{60};
/// Upper bound of the pause after a failed poll of the replicas. The grace period of missing
/// entries begins with the first poll after an outage, so the pause extends it.
constexpr Duration kMaxReplicaPause = std::chrono::milliseconds{400};

} // namespace

void StoreWatcher::onReplicasChanged(platform::StoreRevision revision)
{
    // While the store can't be read, polling it more often has no use.
    const bool isNewer = revision > m_replicaNews.covered() && revision > m_reportedRevision
        && m_state.directory.isReachable();
    if (!isNewer)
        return;
    m_reportedRevision = revision;
    m_reportedAt = m_state.clock.now();
    m_replicaTimer.cancel();
}

Task<void> StoreWatcher::awaitReplicaPoll(TimePoint due)
{
    m_replicaSchedule.scheduleAt(due);
    const bool neededHeartbeats = needsHeartbeats();
    const auto nextPoll = [this] {
        const bool isUnread = m_reportedRevision > m_replicaNews.covered();
        const TimePoint unreadDue = isUnread
            ? m_reportedAt + fromSeconds(kCoalesceFraction * toSeconds(m_state.settings.drainBound))
            : TimePoint::max();
        return std::min({m_replicaSchedule.due(), m_replicaInterval.staleAt(), unreadDue});
    };
    const auto isNewNeed = [&] { return !neededHeartbeats && needsHeartbeats(); };
    while (m_state.clock.now() < nextPoll() && !isNewNeed()) {
        m_replicaTimer.expires_at(std::min(nextPoll(), m_state.clock.now() + kReaderCheck));
        co_await m_replicaTimer.async_wait(kAwait);
    }
}

TimePoint StoreWatcher::nextReplicaPoll(TimePoint polledAt)
{
    const TimePoint due =
        m_replicaInterval.nextPoll(polledAt, m_state.pollingReaderCount(), m_state.random);
    if (m_state.isStoreReader())
        return due;
    const Duration interval = needsHeartbeats() ? kHeartbeatPollInterval : kMaxFollowerPollInterval;
    return polledAt + jittered(m_state.random, interval);
}

bool StoreWatcher::needsHeartbeats() const
{
    return m_state.isStoreReader() || m_state.suspects.hasRecentCrash(m_state.clock.now());
}

void StoreWatcher::recordHeartbeats(const std::vector<platform::StoreRow> &rows,
                                    const std::vector<ReplicaRow> &decoded)
{
    const bool isSameEra = m_storeEra == m_replicaRevision.era;
    if (!m_replicaRevisionPolledAt || !isSameEra)
        return;
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const bool isNewer = rows[i].version > m_replicaRevision;
        if (!isNewer || !decoded[i].entry)
            continue;
        const ReplicaIncarnation incarnation = decoded[i].entry->incarnation();
        m_state.suspects.onHeartbeat(incarnation, *m_replicaRevisionPolledAt);
        m_state.heartbeats.onHeartbeat(incarnation, m_state.clock.now());
    }
}

void StoreWatcher::recordEarlierStarts(const std::vector<platform::StoreRow> &rows,
                                       const std::vector<ReplicaRow> &decoded)
{
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const ReplicaEntry *known = m_state.directory.find(decoded[i].id);
        if (!decoded[i].entry || !known)
            continue;
        const ReplicaIncarnation incarnation = known->incarnation();
        if (!m_earlierStarts.hasReplaced(*known, *decoded[i].entry, rows[i].version))
            continue;
        m_state.directory.applyDeparture({incarnation, false});
        LOG(INFO) << LogLine("replica_restarted")
                         .add("replica", incarnation.id)
                         .add("born", static_cast<std::uint64_t>(decoded[i].entry->startedAtMs))
                         .add("previous", static_cast<std::uint64_t>(incarnation.startedAtMs))
                         .text();
    }
}

bool StoreWatcher::handleReplicaRead(const platform::StoreRead &read, bool isFullRead,
                                     TimePoint polledAt)
{
    // A stale response would restore replicas that were removed.
    const platform::StoreRevision known = std::max(m_replicaRevision, m_replicaNews.covered());
    if (read.revision < known) {
        LOG(INFO) << LogLine("stale_read")
                         .add("revision", read.revision.number)
                         .add("known", known.number)
                         .text();
        return false;
    }
    const TimePoint now = m_state.clock.now();
    const bool isRestored = m_replicaRevisionPolledAt && read.revision.era > m_replicaRevision.era;
    std::vector<ReplicaRow> rows;
    for (const platform::StoreRow &row : read.rows) {
        ReplicaRow decoded{row.key, std::nullopt};
        if (!row.isDeleted)
            decoded.entry = platform::decodeReplica(row.key, row.bytes);
        if (decoded.entry)
            decoded.entry->coldLeft =
                m_coldTimes.coldLeft(decoded.entry->incarnation(), decoded.entry->coldLeft, now);
        rows.push_back(std::move(decoded));
    }
    m_coldTimes.tick(now);
    recordHeartbeats(read.rows, rows);
    m_state.heartbeats.onPoll(polledAt);
    m_replicaRevision = read.revision;
    m_replicaRevisionPolledAt = polledAt;
    m_state.directory.setReachable(now);
    // Entries that the copy lacks may be written again, as after an outage.
    if (isRestored)
        m_state.directory.startGracePeriod(now);
    recordEarlierStarts(read.rows, rows);
    const std::vector<ReplicaRow> news = newsAmong(read.rows, rows);
    const std::uint64_t before = m_state.directory.revision();
    const std::set<ReplicaIncarnation> started = startedAmong(rows);
    if (isFullRead)
        m_state.directory.replaceAll(rows, now,
                                     isRestored ? UpstreamDirectory::ListAge::Restored
                                                : UpstreamDirectory::ListAge::Current);
    else
        m_state.directory.applyChanges(rows, now);
    m_state.recordColdReplicas(rows, started);
    if (isFullRead)
        m_replicaNews.reset(read.revision);
    else
        m_replicaNews.advance(read.revision, news, now);
    if (m_state.directory.revision() != before) {
        m_changeRevision = read.revision;
        LOG(INFO) << LogLine("replicas_changed")
                         .add("store_revision", read.revision.number)
                         .add("directory", m_state.directory.revision())
                         .add("known", m_state.directory.size())
                         .text();
    }
    m_state.suspects.onDirectoryChanged(m_state.directory);
    m_hasReplicas = true;
    if (onReplicas)
        onReplicas();
    return true;
}

std::vector<ReplicaRow> StoreWatcher::newsAmong(const std::vector<platform::StoreRow> &rows,
                                                const std::vector<ReplicaRow> &decoded) const
{
    std::vector<ReplicaRow> news;
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const std::optional<ReplicaEntry> &entry = decoded[i].entry;
        const bool isColdNews = entry
            && m_state.cold.isNews(entry->incarnation(), entry->coldLeft, m_state.clock.now());
        // A replica that came and went since the last poll may be known to others.
        if (rows[i].isDeleted || isColdNews || m_state.directory.isNews(decoded[i]))
            news.push_back(decoded[i]);
    }
    return news;
}

std::set<ReplicaIncarnation> StoreWatcher::startedAmong(const std::vector<ReplicaRow> &rows) const
{
    return m_hasReplicas ? m_state.unknownAmong(rows) : std::set<ReplicaIncarnation>{};
}

void StoreWatcher::continueFromNotices()
{
    const bool foundAll = std::exchange(m_findsHeartbeats, needsHeartbeats());
    if (foundAll)
        return;
    // The heartbeats of the time that is left out aren't found.
    m_replicaRevision = std::max(m_replicaRevision, m_replicaNews.covered());
    m_state.heartbeats.forget();
}

ReplicaNotice StoreWatcher::replicaNotice()
{
    const TimePoint now = m_state.clock.now();
    ReplicaNotice notice = m_replicaNews.notice(now);
    notice.graceLeft = m_state.directory.graceLeft(now);
    const std::vector<ReplicaIncarnation> overdue =
        m_overdueReports.unreported(m_state.heartbeats.overdue(), now);
    for (const ReplicaIncarnation &incarnation : overdue) {
        if (m_state.directory.isServing(incarnation))
            notice.overdue.push_back(incarnation);
    }
    return notice;
}

void StoreWatcher::applyNotice(const ReplicaNotice &notice)
{
    const TimePoint now = m_state.clock.now();
    onPeerReadReplicas();
    m_state.heartbeats.onReportedOverdue(notice.overdue, now);
    m_overdueReports.onReported(notice.overdue, now);
    if (!m_replicaNews.isComplete(notice)) {
        onReplicasChanged(notice.to);
        return;
    }
    m_state.directory.onReadByPeer(now, notice.graceLeft);
    m_state.suspects.onDirectoryChanged(m_state.directory);
    if (notice.to <= m_replicaNews.covered()) {
        m_replicaNews.onHeard(notice);
        return;
    }
    const std::uint64_t before = m_state.directory.revision();
    const std::set<ReplicaIncarnation> started = startedAmong(notice.rows);
    m_state.directory.applyChanges(notice.rows, now);
    m_state.recordColdReplicas(notice.rows, started);
    m_replicaNews.advance(notice.to, notice.rows, now);
    m_replicaNews.onHeard(notice);
    if (m_state.directory.revision() == before)
        return;
    // Only VMs that have read a change themselves report its revision.
    LOG(INFO) << LogLine("replicas_changed")
                     .add("source", "peer")
                     .add("store_revision", notice.to.number)
                     .add("directory", m_state.directory.revision())
                     .add("known", m_state.directory.size())
                     .text();
    m_state.suspects.onDirectoryChanged(m_state.directory);
    if (onReplicas)
        onReplicas();
}

Task<void> StoreWatcher::watchReplicas()
{
    std::uint32_t failures = 0;
    bool isFullRead = true;
    while (true) {
        const TimePoint polledAt = m_state.clock.now();
        continueFromNotices();
        platform::StoreRead read;
        if (isFullRead) {
            read = co_await m_replicaClient.readTable(platform::kReplicaTable, kCallTimeout);
        } else {
            read = co_await m_replicaClient.readChanges(platform::kReplicaTable, m_replicaRevision,
                                                        Duration::zero(), kCallTimeout);
        }
        noteEra(read);
        updateStoreState(read.outcome == Outcome::Done, "replicas", read.status);
        const bool isApplied =
            read.outcome == Outcome::Done && handleReplicaRead(read, isFullRead, polledAt);
        if (isApplied) {
            failures = 0;
            isFullRead = false;
            if (onReplicasRead)
                onReplicasRead(replicaNotice());
            co_await awaitReplicaPoll(nextReplicaPoll(polledAt));
            continue;
        }
        const bool needsFullRead = !isFullRead && read.outcome == Outcome::HistoryTruncated;
        isFullRead = isFullRead || needsFullRead;
        if (needsFullRead)
            continue;
        if (read.outcome != Outcome::Done)
            m_state.directory.setUnreachable();
        co_await awaitPoll(m_replicaSchedule, m_replicaTimer,
                           m_state.clock.now()
                               + std::min(pauseAfter(failures++), kMaxReplicaPause));
    }
}

} // namespace arbutuspier
