// Counts failures and successes in a sliding window, by VM and availability zone.
#include "arbutuspier/sharedreplicahealth.h"

#include "arbutuspier/replicahealth.h"

#include <algorithm>
#include <set>
#include <utility>

namespace arbutuspier {

bool SharedReplicaHealth::isWatched(const ReplicaIncarnation &incarnation, TimePoint now) const
{
    const auto found = m_records.find(incarnation);
    return found != m_records.end() && now < found->second.watchedUntil;
}

void SharedReplicaHealth::onFailure(const ReplicaIncarnation &incarnation, TimePoint now)
{
    addOwn({incarnation, 1, 0, 0}, Duration::zero(), now);
}

void SharedReplicaHealth::onUnreachable(const ReplicaIncarnation &incarnation, TimePoint now)
{
    addOwn({incarnation, 0, 1, 0}, Duration::zero(), now);
}

void SharedReplicaHealth::onSuccess(const ReplicaIncarnation &incarnation, TimePoint now)
{
    if (isWatched(incarnation, now))
        addOwn({incarnation, 0, 0, 1}, m_options.reportDelay, now);
}

void SharedReplicaHealth::addOwn(const ReplicaOutcomes &outcomes, Duration delay, TimePoint now)
{
    ReplicaOutcomes &unreported = m_unreported[outcomes.incarnation];
    unreported.incarnation = outcomes.incarnation;
    unreported.failures += outcomes.failures;
    unreported.unreachable += outcomes.unreachable;
    unreported.successes += outcomes.successes;
    m_reportDue = std::min(m_reportDue.value_or(TimePoint::max()), now + delay);
    add(outcomes.incarnation,
        {now, m_ownVm, true, outcomes.failures, outcomes.unreachable, outcomes.successes}, now);
}

OutcomeReport SharedReplicaHealth::takeReport()
{
    OutcomeReport report{m_ownVm, m_ownZone, {}};
    for (const auto &[incarnation, outcomes] : std::exchange(m_unreported, {}))
        report.outcomes.push_back(outcomes);
    m_reportDue.reset();
    return report;
}

std::vector<ReplicaIncarnation> SharedReplicaHealth::merge(const OutcomeReport &report,
                                                           TimePoint now)
{
    std::vector<ReplicaIncarnation> unreachable;
    if (report.vm == m_ownVm)
        return unreachable;
    const bool isOwnZone = report.zone == m_ownZone;
    for (const ReplicaOutcomes &outcomes : report.outcomes) {
        const bool wasEjected = isEjected(outcomes.incarnation, now);
        add(outcomes.incarnation,
            {now, report.vm, isOwnZone, outcomes.failures, isOwnZone ? outcomes.unreachable : 0,
             outcomes.successes},
            now);
        const bool isNewEjection = !wasEjected && isEjected(outcomes.incarnation, now);
        if (isNewEjection && isOwnZone && outcomes.unreachable > 0)
            unreachable.push_back(outcomes.incarnation);
    }
    return unreachable;
}

void SharedReplicaHealth::add(const ReplicaIncarnation &incarnation, Evidence evidence,
                              TimePoint now)
{
    const bool isFailure = evidence.failures + evidence.unreachable > 0;
    if (!isFailure && !isWatched(incarnation, now))
        return;
    Record &record = m_records[incarnation];
    // Requests that were sent before the ejection tell nothing of the time after it.
    if (now < record.ejectedUntil)
        return;
    std::erase_if(record.evidence,
                  [&](const Evidence &other) { return other.at + m_options.window < now; });
    record.evidence.push_back(std::move(evidence));
    if (!isFailure)
        return;
    record.watchedUntil = now + m_options.window;
    if (isFailing(record, false, now) || isFailing(record, true, now))
        eject(incarnation, record, now);
}

bool SharedReplicaHealth::isFailing(const Record &record, bool isOwnZoneOnly, TimePoint now) const
{
    std::uint32_t failures = 0;
    std::uint32_t successes = 0;
    std::set<std::string_view> vms;
    for (const Evidence &evidence : record.evidence) {
        if (isOwnZoneOnly && !evidence.isOwnZone)
            continue;
        const std::uint32_t failed = evidence.failures + evidence.unreachable;
        failures += failed;
        successes += evidence.successes;
        if (failed > 0)
            vms.insert(evidence.vm);
    }
    const bool isEnough = vms.size() >= m_options.minVms
        && (wasEjectedLately(record, now) || failures >= m_options.minFailures);
    return isEnough && failures > m_options.minFailureFraction * (failures + successes);
}

void SharedReplicaHealth::eject(const ReplicaIncarnation &incarnation, Record &record,
                                TimePoint now) const
{
    record.ejections = wasEjectedLately(record, now) ? record.ejections + 1 : 1;
    const Duration ejection =
        ejectionLength(record.ejections, m_options.initialEjection, m_options.maxEjection);
    record.ejectedUntil = now + ejection;
    record.watchedUntil = record.ejectedUntil + m_options.window;
    record.evidence.clear();
    if (onEjected)
        onEjected(incarnation, ejection);
}

bool SharedReplicaHealth::isEjected(const ReplicaIncarnation &incarnation, TimePoint now) const
{
    const auto found = m_records.find(incarnation);
    return found != m_records.end() && now < found->second.ejectedUntil;
}

void SharedReplicaHealth::endEjection(const ReplicaIncarnation &incarnation)
{
    m_records.erase(incarnation);
}

std::size_t SharedReplicaHealth::ejectedCount(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(),
                      [&](const auto &entry) { return now < entry.second.ejectedUntil; }));
}

void SharedReplicaHealth::tick(TimePoint now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        const Record &record = entry.second;
        return now >= std::max(record.watchedUntil, record.ejectedUntil + m_options.window);
    });
}

} // namespace arbutuspier
