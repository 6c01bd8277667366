// The shares of all VMs are such that what they send in a window stays within the bound even if all
// buckets are full at its beginning, and what was sent shortly before arrives in it.
#include "arbutuspier/coldreplicas.h"

#include <algorithm>
#include <cmath>

namespace arbutuspier {

double ColdReplicas::boundOf(double startsPerSecond) const
{
    return startsPerSecond * toSeconds(m_options.window) * m_bound->overage + m_bound->tolerance;
}

SharedRequestRate ColdReplicas::sharedRate(double startsPerSecond) const
{
    constexpr double kMaxReservedFraction = 0.25;
    const double whole = boundOf(startsPerSecond);
    const double bound = whole - std::min(m_options.reservedRequests, kMaxReservedFraction * whole);
    const double windowSeconds = toSeconds(m_options.window + m_options.arrivalJitter);
    // A bucket holds a whole request at least.
    const double perSecond = std::min(startsPerSecond, std::max(0.0, bound - 1) / windowSeconds);
    return {perSecond, std::max(1.0, bound - perSecond * windowSeconds)};
}

void ColdReplicas::updateShare(const ReplicaIncarnation &incarnation, Record &record,
                               TimePoint now) const
{
    const std::vector<std::string> vms =
        sharingVms ? sharingVms(incarnation) : std::vector<std::string>{};
    if (vms.empty())
        record.share.clear(now);
    else
        record.share.update(sharedRate(figures(incarnation.id).startsPerSecond), m_ownVm,
                            incarnation.id, vms, now);
}

void ColdReplicas::refill(const ReplicaIncarnation &incarnation, Record &record, TimePoint now)
{
    record.share.refill(now);
    if (now >= record.share.updatedAt() + m_options.shareUpdateInterval)
        updateShare(incarnation, record, now);
    record.share.trim();
}

void ColdReplicas::setEnd(const ReplicaIncarnation &incarnation, TimePoint end, TimePoint now)
{
    const bool wasCold = isCold(incarnation, now);
    Record &record = m_records[incarnation];
    record.end = end;
    if (wasCold)
        return;
    record.starts = 0;
    record.share.begin(now);
    updateShare(incarnation, record, now);
    if (onCold)
        onCold(incarnation, end - now);
}

void ColdReplicas::setAssumedEnd(const ReplicaIncarnation &incarnation, TimePoint now)
{
    const ColdFigures known = figures(incarnation.id);
    if (known.duration <= Duration::zero())
        return;
    const TimePoint end = now + known.duration;
    setEnd(incarnation, std::max(end, coldEnd(incarnation, now).value_or(end)), now);
    m_records[incarnation].assumedEnd = end;
}

void ColdReplicas::onEntry(const ReplicaIncarnation &incarnation, Duration coldLeft,
                           Sighting sighting, TimePoint now)
{
    if (!m_bound)
        return;
    const auto found = m_records.find(incarnation);
    if (coldLeft > Duration::zero()) {
        const TimePoint assumedEnd =
            found == m_records.end() ? TimePoint{} : found->second.assumedEnd;
        setEnd(incarnation, std::max(now + coldLeft, assumedEnd), now);
    } else if (sighting == Sighting::Started) {
        setAssumedEnd(incarnation, now);
    } else if (found != m_records.end()) {
        found->second.end = std::min(found->second.end, std::max(now, found->second.assumedEnd));
    }
}

void ColdReplicas::onReturned(std::span<const ReplicaIncarnation> incarnations, TimePoint now)
{
    if (!m_bound)
        return;
    for (const ReplicaIncarnation &incarnation : incarnations)
        setAssumedEnd(incarnation, now);
}

bool ColdReplicas::isNews(const ReplicaIncarnation &incarnation, Duration coldLeft,
                          TimePoint now) const
{
    if (!m_bound)
        return false;
    const auto end = coldEnd(incarnation, now);
    if (!end)
        return coldLeft > Duration::zero();
    const TimePoint assumedEnd = m_records.at(incarnation).assumedEnd;
    const TimePoint newEnd = std::max(now + std::max(coldLeft, Duration::zero()), assumedEnd);
    const Duration difference = newEnd > *end ? newEnd - *end : *end - newEnd;
    return difference > m_options.endResolution;
}

std::optional<TimePoint> ColdReplicas::coldEnd(const ReplicaIncarnation &incarnation,
                                               TimePoint now) const
{
    const auto found = m_records.find(incarnation);
    const bool isKnown = found != m_records.end() && now < found->second.end;
    return isKnown ? std::optional(found->second.end) : std::nullopt;
}

bool ColdReplicas::isCold(const ReplicaIncarnation &incarnation, TimePoint now) const
{
    return coldEnd(incarnation, now).has_value();
}

void ColdReplicas::recordStart(const std::string &replicaId, TimePoint now)
{
    std::deque<TimePoint> &starts = m_starts[replicaId];
    while (!starts.empty() && starts.front() + m_options.window <= now)
        starts.pop_front();
    starts.push_back(now);
}

void ColdReplicas::onStart(const ReplicaIncarnation &incarnation, TimePoint now)
{
    if (!isLimited(incarnation.id))
        return;
    recordStart(incarnation.id, now);
    if (!isCold(incarnation, now))
        return;
    Record &record = m_records[incarnation];
    refill(incarnation, record, now);
    record.share.take();
    ++record.starts;
}

void ColdReplicas::onPeerStart(const std::string &replicaId, TimePoint now)
{
    if (isLimited(replicaId))
        recordStart(replicaId, now);
}

TimePoint ColdReplicas::nextObservedStart(const std::string &replicaId, TimePoint now) const
{
    const auto found = m_starts.find(replicaId);
    if (found == m_starts.end())
        return now;
    constexpr double kHeardFraction = 0.5;
    const double bound = kHeardFraction * boundOf(figures(replicaId).startsPerSecond);
    const auto most = static_cast<std::size_t>(std::max(1.0, std::floor(bound)));
    const std::deque<TimePoint> &starts = found->second;
    if (starts.size() < most)
        return now;
    return std::max(now, starts[starts.size() - most] + m_options.window);
}

TimePoint ColdReplicas::nextStart(const ReplicaIncarnation &incarnation, TimePoint now)
{
    if (!isLimited(incarnation.id))
        return now;
    const auto end = coldEnd(incarnation, now);
    if (!end)
        return nextObservedStart(incarnation.id, now);
    Record &record = m_records[incarnation];
    refill(incarnation, record, now);
    if (record.share.hasToken())
        return now;
    if (!record.share.isOwner())
        return *end;
    return std::min(*end, now + record.share.timeToToken());
}

double ColdReplicas::share(const ReplicaIncarnation &incarnation) const
{
    const auto found = m_records.find(incarnation);
    return found == m_records.end() ? 0 : found->second.share.perSecond();
}

std::size_t ColdReplicas::coldCount(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(),
                      [&](const auto &entry) { return now < entry.second.end; }));
}

void ColdReplicas::tick(TimePoint now)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        if (now < it->second.end) {
            ++it;
            continue;
        }
        if (onWarm)
            onWarm(it->first, it->second.starts);
        it = m_records.erase(it);
    }
    std::erase_if(m_starts, [&](const auto &entry) {
        return entry.second.empty() || entry.second.back() + m_options.window <= now;
    });
}

} // namespace arbutuspier
