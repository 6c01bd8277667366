// The silence is measured from the response that had the last heartbeat to the last poll, so that
// it is never overstated.
#include "arbutuspier/replicaheartbeats.h"

namespace arbutuspier {

namespace {

/// Silence from which a heartbeat is missed, in intervals: polls find heartbeats later than they
/// are written, and replicas write them only about as often as they should.
constexpr double kOverdueIntervals = 1.5;
/// Records of replicas that have been silent for this many intervals are dropped.
constexpr int kRetainedIntervals = 50;

/// Time for which a report of another VM counts, in intervals: readers report again with each poll.
constexpr int kReportLifetimeIntervals = 3;

} // namespace

void ReplicaHeartbeats::onHeartbeat(const ReplicaIncarnation &incarnation, TimePoint foundAt)
{
    m_lastFound[incarnation] = foundAt;
}

void ReplicaHeartbeats::onPoll(TimePoint polledAt)
{
    m_lastPoll = polledAt;
    std::erase_if(m_lastFound, [&](const auto &entry) {
        return entry.second + kRetainedIntervals * m_interval < polledAt;
    });
}

bool ReplicaHeartbeats::isOverdueByPoll(TimePoint lastFound) const
{
    return m_lastPoll >= lastFound + fromSeconds(kOverdueIntervals * toSeconds(m_interval));
}

void ReplicaHeartbeats::onReportedOverdue(const std::vector<ReplicaIncarnation> &incarnations,
                                          TimePoint now)
{
    std::erase_if(m_reportedAt, [&](const auto &entry) {
        return entry.second + kReportLifetimeIntervals * m_interval < now;
    });
    for (const ReplicaIncarnation &incarnation : incarnations)
        m_reportedAt[incarnation] = now;
}

bool ReplicaHeartbeats::isOverdue(const ReplicaIncarnation &incarnation, TimePoint now) const
{
    const auto reported = m_reportedAt.find(incarnation);
    const bool isReported = reported != m_reportedAt.end()
        && now <= reported->second + kReportLifetimeIntervals * m_interval;
    const auto found = m_lastFound.find(incarnation);
    return isReported || (found != m_lastFound.end() && isOverdueByPoll(found->second));
}

std::vector<ReplicaIncarnation> ReplicaHeartbeats::overdue() const
{
    std::vector<ReplicaIncarnation> result;
    for (const auto &[incarnation, lastFound] : m_lastFound) {
        if (isOverdueByPoll(lastFound))
            result.push_back(incarnation);
    }
    return result;
}

} // namespace arbutuspier
