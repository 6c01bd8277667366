// Counts replicas, not requests: a crash loses many requests and a cut many replicas.
#include "arbutuspier/deathjudge.h"

namespace arbutuspier {

void DeathJudge::expire(TimePoint now)
{
    std::erase_if(m_unreachable,
                  [&](const auto &entry) { return entry.second + m_options.window < now; });
}

void DeathJudge::onUnreachable(const ReplicaLife &life, TimePoint now)
{
    expire(now);
    m_unreachable.try_emplace(life, now);
}

bool DeathJudge::mayHaveCrashed(const ReplicaLife &life, TimePoint now)
{
    expire(now);
    const std::size_t others = m_unreachable.size() - m_unreachable.count(life);
    return others < m_options.mostDeaths;
}

bool DeathJudge::onAnswer(const ReplicaLife &life)
{
    m_unreachable.erase(life);
    return m_crashed.erase(life) != 0;
}

} // namespace arbutuspier
