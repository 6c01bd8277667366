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

void CrashDetector::recordCrash(const ReplicaIncarnation &incarnation, CrashEvidence evidence,
                                TimePoint now)
{
    std::erase_if(m_crashed, [&](const auto &entry) {
        return entry.second.countedAt + m_options.crashMemory < now;
    });
    Crash &crash = m_crashed.try_emplace(incarnation, Crash{now, std::nullopt}).first->second;
    const bool isFirstContact = evidence == CrashEvidence::Unreachable && !crash.unreachableSince;
    if (isFirstContact)
        crash.unreachableSince = now;
}

std::optional<TimePoint> CrashDetector::crashedAt(const ReplicaIncarnation &incarnation) const
{
    const auto found = m_crashed.find(incarnation);
    return found == m_crashed.end() ? std::nullopt : std::optional(found->second.countedAt);
}

std::optional<TimePoint> CrashDetector::unreachableSince(
    const ReplicaIncarnation &incarnation) const
{
    const auto found = m_crashed.find(incarnation);
    return found == m_crashed.end() ? std::nullopt : found->second.unreachableSince;
}

bool CrashDetector::onHeartbeat(const ReplicaIncarnation &incarnation, TimePoint writtenAfter)
{
    const auto found = m_crashed.find(incarnation);
    const bool isAlive = found != m_crashed.end()
        && writtenAfter >= found->second.countedAt + m_options.lateHeartbeatTime;
    if (!isAlive)
        return false;
    m_crashed.erase(found);
    return true;
}

std::vector<ReplicaIncarnation> CrashDetector::forgetUnreachable(TimePoint since)
{
    std::vector<ReplicaIncarnation> forgotten;
    for (const auto &[incarnation, crash] : m_crashed) {
        if (crash.unreachableSince && crash.countedAt >= since)
            forgotten.push_back(incarnation);
    }
    for (const ReplicaIncarnation &incarnation : forgotten)
        m_crashed.erase(incarnation);
    return forgotten;
}

bool CrashDetector::hasRecentCrash(TimePoint now) const
{
    return std::any_of(m_crashed.begin(), m_crashed.end(), [&](const auto &entry) {
        return now < entry.second.countedAt + m_options.heartbeatWait;
    });
}

} // namespace arbutuspier
