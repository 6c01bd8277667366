// What this VM has reported itself doesn't count: its own polls are further apart than reports.
#include "gateway/overduereports.h"

namespace arbutuspier {

void OverdueReports::dropExpired(TimePoint now)
{
    std::erase_if(m_reportedAt,
                  [&](const auto &entry) { return entry.second + m_interval <= now; });
}

void OverdueReports::onReported(const std::vector<ReplicaIncarnation> &incarnations, TimePoint now)
{
    dropExpired(now);
    for (const ReplicaIncarnation &incarnation : incarnations)
        m_reportedAt[incarnation] = now;
}

std::vector<ReplicaIncarnation> OverdueReports::unreported(
    const std::vector<ReplicaIncarnation> &overdue, TimePoint now)
{
    dropExpired(now);
    std::vector<ReplicaIncarnation> result;
    for (const ReplicaIncarnation &incarnation : overdue) {
        if (m_reportedAt.count(incarnation) == 0)
            result.push_back(incarnation);
    }
    return result;
}

} // namespace arbutuspier
