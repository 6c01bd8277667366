// A moving average of the failure rate, and ejections that double with consecutive failures.
#include "arbutuspier/replicahealth.h"

#include <algorithm>

namespace arbutuspier {

Duration ejectionLength(std::uint32_t ejectionsInARow, Duration initial, Duration max)
{
    constexpr std::uint32_t kMaxDoublings = 8;
    const std::uint32_t doublings = std::min(ejectionsInARow - 1, kMaxDoublings);
    return std::min(initial * (1U << doublings), max);
}

void ReplicaHealth::onSuccess(const ReplicaIncarnation &incarnation, double durationRatio)
{
    Record &record = m_records[incarnation];
    record.consecutiveFailures = 0;
    record.failureRate *= 1.0 - m_options.averagingWeight;
    if (durationRatio <= 0)
        return;
    const double sample =
        std::clamp(record.slowdown * durationRatio, m_options.minSlowdown, m_options.maxSlowdown);
    record.slowdown += m_options.averagingWeight * (sample - record.slowdown);
}

void ReplicaHealth::eject(Record &record, TimePoint now)
{
    const Duration ejection = ejectionLength(record.consecutiveFailures, m_options.initialEjection,
                                             m_options.maxEjection);
    record.ejectedUntil = std::max(record.ejectedUntil, now + ejection);
}

void ReplicaHealth::onFailure(const ReplicaIncarnation &incarnation, TimePoint now)
{
    Record &record = m_records[incarnation];
    ++record.consecutiveFailures;
    record.failureRate += m_options.averagingWeight * (1.0 - record.failureRate);
    const bool shouldEject =
        record.consecutiveFailures > 1 || record.failureRate > m_options.ejectionFailureRate;
    if (shouldEject)
        eject(record, now);
}

void ReplicaHealth::onUnreachable(const ReplicaIncarnation &incarnation, TimePoint now)
{
    Record &record = m_records[incarnation];
    ++record.consecutiveFailures;
    eject(record, now);
}

void ReplicaHealth::endEjection(const ReplicaIncarnation &incarnation)
{
    const auto found = m_records.find(incarnation);
    if (found == m_records.end())
        return;
    found->second.consecutiveFailures = 0;
    found->second.ejectedUntil = TimePoint{};
}

bool ReplicaHealth::isEjected(const ReplicaIncarnation &incarnation, TimePoint now) const
{
    const auto found = m_records.find(incarnation);
    return found != m_records.end() && now < found->second.ejectedUntil;
}

double ReplicaHealth::slowdown(const ReplicaIncarnation &incarnation) const
{
    const auto found = m_records.find(incarnation);
    return found == m_records.end() ? 1.0 : found->second.slowdown;
}

} // namespace arbutuspier
