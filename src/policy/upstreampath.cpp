// One replica that accepts a connection is enough against a loss, but not for the return: a path
// that comes and goes would send requests to and fro.
#include "arbutuspier/upstreampath.h"

#include <algorithm>

namespace arbutuspier {

bool UpstreamPath::onUnreachable(const ReplicaIncarnation &incarnation, TimePoint now)
{
    m_accepting.erase(incarnation);
    m_unreachable[incarnation] = now;
    std::erase_if(m_unreachable,
                  [&](const auto &entry) { return entry.second + m_options.window < now; });
    return m_unreachable.size() >= m_options.minUnreachable && tryBeginCheck(now);
}

bool UpstreamPath::tryBeginCheck(TimePoint now)
{
    const bool isCheckDue = !m_lastCheckAt || now >= *m_lastCheckAt + m_options.checkInterval;
    if (isLost() || !isCheckDue)
        return false;
    m_lastCheckAt = now;
    return true;
}

bool UpstreamPath::onConnected(const ReplicaIncarnation &incarnation, TimePoint now)
{
    if (!isLost()) {
        m_unreachable.clear();
        return false;
    }
    if (m_accepting.empty())
        m_acceptingSince = now;
    m_unreachable.erase(incarnation);
    m_accepting.insert(incarnation);
    if (now < m_acceptingSince + m_confirmTime)
        return false;
    reset();
    m_restoredAt = now;
    return true;
}

void UpstreamPath::onResponse(const ReplicaIncarnation &incarnation, TimePoint now)
{
    constexpr std::size_t kMaxRecords = 4096;
    if (m_lastResponse.size() >= kMaxRecords)
        m_lastResponse.clear();
    m_lastResponse[incarnation] = now;
}

std::vector<ReplicaEntry> UpstreamPath::replicasToProbe(
    std::span<const ReplicaEntry *const> replicas) const
{
    const auto lastResponse = [this](const ReplicaEntry *replica) {
        const auto found = m_lastResponse.find(replica->incarnation());
        return found == m_lastResponse.end() ? TimePoint{} : found->second;
    };
    std::vector<const ReplicaEntry *> ordered(replicas.begin(), replicas.end());
    std::stable_sort(ordered.begin(), ordered.end(), [&](const auto *a, const auto *b) {
        const bool isUnreachableA = m_unreachable.contains(a->incarnation());
        const bool isUnreachableB = m_unreachable.contains(b->incarnation());
        return std::pair(!isUnreachableA, lastResponse(a))
            > std::pair(!isUnreachableB, lastResponse(b));
    });
    std::set<std::string> zones;
    std::stable_partition(ordered.begin(), ordered.end(), [&](const ReplicaEntry *replica) {
        return zones.insert(replica->zone).second;
    });
    std::vector<ReplicaEntry> probed;
    for (const ReplicaEntry *replica : ordered) {
        if (probed.size() < m_options.maxProbes)
            probed.push_back(*replica);
    }
    return probed;
}

bool UpstreamPath::onCheckEnded(bool wasAnyAccepted, TimePoint now)
{
    if (wasAnyAccepted || isLost())
        return false;
    const bool isUnstable = m_restoredAt && now < *m_restoredAt + m_options.stableTime;
    m_confirmTime =
        isUnstable ? std::min(2 * m_confirmTime, m_options.maxConfirmTime) : m_options.confirmTime;
    m_accepting.clear();
    m_isLost = true;
    return true;
}

std::vector<ReplicaEntry> UpstreamPath::nextProbes(std::span<const ReplicaEntry *const> replicas)
{
    std::vector<ReplicaEntry> probed;
    for (const ReplicaEntry *replica : replicas) {
        if (m_accepting.contains(replica->incarnation()) && probed.empty())
            probed.push_back(*replica);
    }
    const std::size_t inTurn =
        std::min(m_options.maxProbesWhileLost - probed.size(), replicas.size());
    for (std::size_t i = 0; i < inTurn; ++i)
        probed.push_back(*replicas[m_nextProbe++ % replicas.size()]);
    return probed;
}

void UpstreamPath::reset()
{
    m_isLost = false;
    m_unreachable.clear();
    m_accepting.clear();
}

} // namespace arbutuspier
