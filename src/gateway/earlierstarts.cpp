// Remembers one entry for each id whose start time went back.
#include "gateway/earlierstarts.h"

namespace arbutuspier {

bool EarlierStarts::hasReplaced(const ReplicaEntry &known, const ReplicaEntry &read,
                                platform::StoreRevision version)
{
    if (read.startedAtMs >= known.startedAtMs) {
        m_seen.erase(read.id);
        return false;
    }
    const auto [seen, isFirst] = m_seen.try_emplace(read.id, Start{read.startedAtMs, version});
    if (!isFirst && seen->second.startedAtMs != read.startedAtMs)
        seen->second = {read.startedAtMs, version};
    const bool isSecondWrite = version > seen->second.version;
    if (isSecondWrite)
        m_seen.erase(seen);
    return isSecondWrite;
}

} // namespace arbutuspier
