// For how long replicas stay cold, by entries that may repeat what they said earlier.
#pragma once

#include "arbutuspier/upstreamdirectory.h"

#include <map>

namespace arbutuspier {

/// A replica may write the same number with each heartbeat, long after it has become warm. The
/// first time that it says so counts.
class StatedColdTimes
{
public:
    /// How long the replica stays cold as of `now`, if its entry was read now and says `stated`.
    Duration coldLeft(const ReplicaIncarnation &incarnation, Duration stated, TimePoint now);
    /// Forgets replicas of which no entry was read for some time.
    void tick(TimePoint now);

private:
    struct Statement
    {
        Duration stated{};
        TimePoint firstReadAt{};
        TimePoint lastReadAt{};
    };

    /// Replicas whose entries last said that they are cold.
    std::map<ReplicaIncarnation, Statement> m_statements;
};

} // namespace arbutuspier
