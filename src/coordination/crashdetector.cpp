// Counts unreachable replicas rather than lost requests: the crash of one replica can lose many
// requests, but only a network partition makes many replicas unreachable at once.
#include "arbutuspier/crashdetector.h"

namespace arbutuspier {

void CrashDetector::expire(TimePoint now)
{
    std::erase_if(m_unreachable,
                  [&](const auto &entry) { return entry.second + m_options.window < now; });
}

void CrashDetector::onUnreachable(const ReplicaIncarnation &incarnation, TimePoint now)
{
    expire(now);
    m_unreachable.try_emplace(incarnation, now);
}

bool CrashDetector::mayHaveCrashed(const ReplicaIncarnation &incarnation, TimePoint now)
{
    expire(now);
    const std::size_t others = m_unreachable.size() - m_unreachable.count(incarnation);
    return others < m_options.maxCrashes;
}

bool CrashDetector::onResponse(const ReplicaIncarnation &incarnation)
{
    m_unreachable.erase(incarnation);
    return m_crashed.erase(incarnation) != 0;
}

} // namespace arbutuspier
