// Tells the crash of a replica from a broken network.
//
// Both look alike from one connection. A request that crashes replicas takes down one or two in a
// moment; a cut makes many unreachable at once, and the same lives answer again afterwards.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/upstreamdirectory.h"

#include <cstddef>
#include <map>
#include <set>

namespace arbutuspier {

struct CrashDetectorOptions
{
    /// Replicas that became unreachable this shortly before or after count as one event.
    Duration window = std::chrono::milliseconds{600};
    /// Most replicas that one request can take down in a window.
    std::size_t maxCrashes = 2;
};

class CrashDetector
{
public:
    explicit CrashDetector(CrashDetectorOptions options)
        : m_options(options)
    {
    }

    void onUnreachable(const ReplicaIncarnation &incarnation, TimePoint now);
    /// Whether so few replicas became unreachable lately that this one may have crashed.
    bool mayHaveCrashed(const ReplicaIncarnation &incarnation, TimePoint now);
    /// The life was counted as ended by a crash.
    void recordCrash(const ReplicaIncarnation &incarnation) { m_crashed.insert(incarnation); }
    /// The life answered. True if it had been counted as ended, which was wrong then.
    bool onAnswer(const ReplicaIncarnation &incarnation);

private:
    void expire(TimePoint now);

    CrashDetectorOptions m_options;
    std::map<ReplicaIncarnation, TimePoint> m_unreachable;
    std::set<ReplicaIncarnation> m_crashed;
};

} // namespace arbutuspier
