// Control requests are counted over all rests that follow each other without a pause, which is the
// stricter way.
#include "arbutuspier/replicarests.h"

#include <algorithm>

namespace arbutuspier {

bool ReplicaRests::onRest(const ReplicaIncarnation &incarnation, Duration rest, TimePoint now)
{
    if (rest <= Duration::zero())
        return false;
    const TimePoint end = now + std::min(rest, m_options.maxRest);
    Rest &record = m_rests[incarnation];
    record.end = std::max(record.end, end);
    return true;
}

std::optional<TimePoint> ReplicaRests::restEnd(const ReplicaIncarnation &incarnation,
                                               TimePoint now) const
{
    const auto found = m_rests.find(incarnation);
    const bool isResting = found != m_rests.end() && now < found->second.end;
    return isResting ? std::optional(found->second.end) : std::nullopt;
}

bool ReplicaRests::tryControlRequest(const ReplicaIncarnation &incarnation, TimePoint now)
{
    if (!isResting(incarnation, now))
        return true;
    return ++m_rests[incarnation].controlRequests <= m_options.maxControlRequests;
}

std::size_t ReplicaRests::restingCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_rests.begin(), m_rests.end(), [&](const auto &rest) { return now < rest.second.end; }));
}

void ReplicaRests::tick(TimePoint now)
{
    std::erase_if(m_rests, [&](const auto &rest) { return now >= rest.second.end; });
}

} // namespace arbutuspier
