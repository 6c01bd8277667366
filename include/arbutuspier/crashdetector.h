// Distinguishes the crash of a replica from a network partition.
//
// A single lost connection doesn't show which of the two happened. A request that crashes replicas
// takes down one or two at a time; a network partition makes many unreachable at once, and the same
// incarnations respond again afterwards.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/upstreamdirectory.h"

#include <cstddef>
#include <map>
#include <set>

namespace arbutuspier {

struct CrashDetectorOptions
{
    /// Replicas that become unreachable within this time of each other count as one event.
    Duration window = std::chrono::milliseconds{600};
    /// If more replicas than this become unreachable within `window`, the cause is taken to be a
    /// network partition: one request can't crash that many.
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
    /// Whether so few replicas became unreachable within the window that this one may have crashed
    /// rather than be behind a network partition.
    bool mayHaveCrashed(const ReplicaIncarnation &incarnation, TimePoint now);
    /// Replicas that became unreachable within the window before the last call.
    std::size_t unreachableCount() const { return m_unreachable.size(); }
    /// Records that the caller has counted this incarnation as crashed.
    void recordCrash(const ReplicaIncarnation &incarnation) { m_crashed.insert(incarnation); }
    /// The incarnation sent a response. Returns true if it had been recorded as crashed, which was
    /// a mistake that the caller has to correct.
    bool onResponse(const ReplicaIncarnation &incarnation);

private:
    void expire(TimePoint now);

    CrashDetectorOptions m_options;
    std::map<ReplicaIncarnation, TimePoint> m_unreachable;
    std::set<ReplicaIncarnation> m_crashed;
};

} // namespace arbutuspier
