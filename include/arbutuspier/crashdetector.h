// Distinguishes the crash of a replica from a network partition.
//
// A single lost connection doesn't show which of the two happened. A request that crashes replicas
// takes down one or two at a time; a network partition makes many unreachable at once, and the same
// incarnations write heartbeats afterwards. A response doesn't show that an incarnation is alive:
// after a crash, another process may have its address, and even its id.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/upstreamdirectory.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace arbutuspier {

struct CrashDetectorOptions
{
    /// Replicas that become unreachable within this time of each other count as one event.
    Duration window = std::chrono::milliseconds{600};
    /// If more replicas than this become unreachable within `window`, the cause is taken to be a
    /// network partition: one request can't crash that many.
    std::size_t maxCrashes = 2;
    /// A heartbeat that was written this long after the crash can't come from before it, even if
    /// the store carried it out late.
    Duration lateHeartbeatTime = std::chrono::milliseconds{9600};
    /// A replica that lives has mostly written such a heartbeat by this time.
    Duration heartbeatWait = std::chrono::seconds{20};
    /// A crash can be taken back for this long.
    Duration crashMemory = std::chrono::minutes{10};
};

enum class CrashEvidence : std::uint8_t {
    /// The list has no entry of the incarnation any more. It may also have left without notice.
    Removed,
    /// It can't be reached.
    Unreachable,
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
    /// Something responded at the address of the incarnation.
    void onResponse(const ReplicaIncarnation &incarnation) { m_unreachable.erase(incarnation); }
    /// Records that the caller has counted this incarnation as crashed, as `evidence` shows.
    void recordCrash(const ReplicaIncarnation &incarnation, CrashEvidence evidence, TimePoint now);
    /// When the incarnation was first counted as crashed; empty if it wasn't.
    std::optional<TimePoint> crashedAt(const ReplicaIncarnation &incarnation) const;
    /// When it was first found unreachable by such a count; empty if it wasn't.
    std::optional<TimePoint> unreachableSince(const ReplicaIncarnation &incarnation) const;
    /// The incarnation wrote a heartbeat at `writtenAfter` or later. Returns true if it had been
    /// recorded as crashed before that, which was a mistake that the caller has to correct.
    bool onHeartbeat(const ReplicaIncarnation &incarnation, TimePoint writtenAfter);

    /// Whether a crash was counted within the time in which a heartbeat mostly shows a mistake.
    bool hasRecentCrash(TimePoint now) const;

    /// Forgets the crashes counted at `since` or later of incarnations that couldn't be reached,
    /// and returns these: it has turned out that nothing could be reached.
    std::vector<ReplicaIncarnation> forgetUnreachable(TimePoint since);

private:
    void expire(TimePoint now);

    CrashDetectorOptions m_options;
    std::map<ReplicaIncarnation, TimePoint> m_unreachable;
    struct Crash
    {
        TimePoint countedAt{};
        std::optional<TimePoint> unreachableSince;
    };

    std::map<ReplicaIncarnation, Crash> m_crashed;
};

} // namespace arbutuspier
