// A moving rate and a time out that grows with failures in a row.
#include "arbutuspier/replicahealth.h"

#include <algorithm>

namespace arbutuspier {

void ReplicaHealth::onSuccess(const ReplicaLife &life, double ratio)
{
    Record &record = m_records[life];
    record.failuresInRow = 0;
    record.failureRate *= 1.0 - m_options.step;
    if (ratio <= 0)
        return;
    const double seen = std::clamp(record.pace * ratio, m_options.minPace, m_options.maxPace);
    record.pace += m_options.step * (seen - record.pace);
}

void ReplicaHealth::shun(Record &record, TimePoint now)
{
    constexpr std::uint32_t kMaxDoublings = 8;
    const std::uint32_t doublings = std::min(record.failuresInRow - 1, kMaxDoublings);
    const Duration time = std::min(m_options.firstShun * (1U << doublings), m_options.maxShun);
    record.shunnedUntil = std::max(record.shunnedUntil, now + time);
}

void ReplicaHealth::onFailure(const ReplicaLife &life, TimePoint now)
{
    Record &record = m_records[life];
    ++record.failuresInRow;
    record.failureRate += m_options.step * (1.0 - record.failureRate);
    const bool isBad = record.failuresInRow > 1 || record.failureRate > m_options.greyRate;
    if (isBad)
        shun(record, now);
}

void ReplicaHealth::onUnreachable(const ReplicaLife &life, TimePoint now)
{
    Record &record = m_records[life];
    ++record.failuresInRow;
    shun(record, now);
}

bool ReplicaHealth::isShunned(const ReplicaLife &life, TimePoint now) const
{
    const auto found = m_records.find(life);
    return found != m_records.end() && now < found->second.shunnedUntil;
}

double ReplicaHealth::pace(const ReplicaLife &life) const
{
    const auto found = m_records.find(life);
    return found == m_records.end() ? 1.0 : found->second.pace;
}

} // namespace arbutuspier
