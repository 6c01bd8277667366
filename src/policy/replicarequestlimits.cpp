// The burst of the shares is such that all owners together stay within what the window allows,
// whenever each of them sends.
#include "arbutuspier/replicarequestlimits.h"

#include <algorithm>

namespace arbutuspier {

namespace {

/// Whether the first of two limits with the same sequence holds. VMs may find different changes at
/// the same time.
bool isStricter(const std::optional<double> &limit, const std::optional<double> &other)
{
    if (!limit)
        return false;
    return !other || *limit < *other;
}

} // namespace

bool ReplicaRequestLimits::apply(const RequestLimitNotice &notice, TimePoint now)
{
    Record &record = m_records[notice.incarnation];
    record.lastNewsAt = now;
    const bool isLater = notice.sequence > record.sequence
        || (notice.sequence == record.sequence && isStricter(notice.perSecond, record.perSecond));
    if (!isLater)
        return false;
    const bool wasLimited = record.perSecond.has_value();
    if (wasLimited)
        refill(notice.incarnation, record, now);
    record.sequence = notice.sequence;
    const bool hasChanged = record.perSecond != notice.perSecond;
    record.perSecond = notice.perSecond;
    if (!record.perSecond)
        return hasChanged;
    if (!wasLimited) {
        record.limitedSince = now;
        record.share.begin(now);
    }
    updateShare(notice.incarnation, record, now);
    record.share.trim();
    delayProbe(record, now);
    return hasChanged;
}

void ReplicaRequestLimits::updateShare(const ReplicaIncarnation &incarnation, Record &record,
                                       TimePoint now) const
{
    const std::vector<std::string> vms =
        sharingVms ? sharingVms(incarnation) : std::vector<std::string>{};
    const double limit = record.perSecond.value_or(0);
    const double burst =
        m_options.burstFraction * toSeconds(m_options.window) * limit + m_options.burstRequests;
    record.share.update({limit, burst}, m_ownVm, incarnation.id, vms, now);
}

void ReplicaRequestLimits::refill(const ReplicaIncarnation &incarnation, Record &record,
                                  TimePoint now)
{
    record.share.refill(now);
    if (now >= record.share.updatedAt() + m_options.shareUpdateInterval)
        updateShare(incarnation, record, now);
    record.share.trim();
}

void ReplicaRequestLimits::delayProbe(Record &record, TimePoint now)
{
    constexpr double kLimitIntervals = 2;
    const double limit = record.perSecond.value_or(0);
    Duration interval = m_options.maxProbeInterval;
    if (limit * toSeconds(interval) > kLimitIntervals)
        interval = std::max(m_options.minProbeInterval, fromSeconds(kLimitIntervals / limit));
    record.nextProbeAt = now + fromSeconds((1 + uniform(m_random)) * toSeconds(interval));
}

void ReplicaRequestLimits::onResponse(const ReplicaIncarnation &incarnation,
                                      std::optional<double> perSecond, TimePoint sentAt,
                                      TimePoint now)
{
    const auto found = m_records.find(incarnation);
    const bool wasLimited = found != m_records.end() && found->second.perSecond;
    if (!perSecond && !wasLimited)
        return;
    // The answer may have been on its way when the replica named its limit.
    const bool isOlder = !perSecond && sentAt <= found->second.limitedSince;
    if (isOlder)
        return;
    const bool isConfirmed = wasLimited && found->second.perSecond == perSecond;
    if (isConfirmed) {
        Record &record = found->second;
        record.lastNewsAt = now;
        delayProbe(record, now);
        return;
    }
    const std::uint64_t sequence = found == m_records.end() ? 0 : found->second.sequence;
    const RequestLimitNotice notice{incarnation, sequence + 1, perSecond};
    apply(notice, now);
    if (onNotice)
        onNotice(notice);
}

bool ReplicaRequestLimits::merge(const RequestLimitNotice &notice, TimePoint now)
{
    return apply(notice, now);
}

void ReplicaRequestLimits::onStart(const ReplicaIncarnation &incarnation, TimePoint now)
{
    const auto found = m_records.find(incarnation);
    if (found == m_records.end() || !found->second.perSecond)
        return;
    Record &record = found->second;
    refill(incarnation, record, now);
    // Without a whole token, the request is a probe.
    record.share.take();
    delayProbe(record, now);
}

void ReplicaRequestLimits::onPeerStart(std::string_view replicaId, TimePoint now)
{
    const auto first = m_records.lower_bound({std::string(replicaId), 0});
    for (auto it = first; it != m_records.end() && it->first.id == replicaId; ++it)
        delayProbe(it->second, now);
}

bool ReplicaRequestLimits::isLimited(const ReplicaIncarnation &incarnation) const
{
    const auto found = m_records.find(incarnation);
    return found != m_records.end() && found->second.perSecond;
}

TimePoint ReplicaRequestLimits::nextStart(const ReplicaIncarnation &incarnation, TimePoint now)
{
    const auto found = m_records.find(incarnation);
    if (found == m_records.end() || !found->second.perSecond)
        return now;
    Record &record = found->second;
    refill(incarnation, record, now);
    if (record.share.hasToken())
        return now;
    const TimePoint probe = std::max(now, record.nextProbeAt);
    if (!record.share.isOwner())
        return probe;
    return std::min(probe, now + record.share.timeToToken());
}

bool ReplicaRequestLimits::isProbeDue(const ReplicaIncarnation &incarnation, TimePoint now) const
{
    const auto found = m_records.find(incarnation);
    const bool isKnown = found != m_records.end() && found->second.perSecond;
    return isKnown && now >= found->second.nextProbeAt;
}

double ReplicaRequestLimits::share(const ReplicaIncarnation &incarnation) const
{
    const auto found = m_records.find(incarnation);
    const bool isKnown = found != m_records.end() && found->second.perSecond;
    return isKnown ? found->second.share.perSecond() : 0;
}

std::vector<RequestLimitNotice> ReplicaRequestLimits::notices() const
{
    std::vector<RequestLimitNotice> result;
    for (const auto &[incarnation, record] : m_records)
        result.push_back({incarnation, record.sequence, record.perSecond});
    return result;
}

std::size_t ReplicaRequestLimits::limitedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(),
                      [](const auto &entry) { return entry.second.perSecond.has_value(); }));
}

void ReplicaRequestLimits::tick(TimePoint now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        return now >= entry.second.lastNewsAt + m_options.recordLifetime;
    });
}

} // namespace arbutuspier
