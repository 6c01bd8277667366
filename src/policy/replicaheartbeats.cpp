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

bool ReplicaHeartbeats::isOverdue(const ReplicaIncarnation &incarnation) const
{
    const auto found = m_lastFound.find(incarnation);
    return found != m_lastFound.end()
        && m_lastPoll >= found->second + fromSeconds(kOverdueIntervals * toSeconds(m_interval));
}

} // namespace arbutuspier
