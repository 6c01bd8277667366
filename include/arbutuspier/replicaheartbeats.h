// Notices that a replica has stopped writing heartbeats, sooner than the platform's list drops its
// entry.
//
// Only polls that succeeded count: while the list can't be read, nothing is known of heartbeats. A
// missed heartbeat alone is no proof of an end, as the replica's path to the store may be lost.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/upstreamdirectory.h"

#include <map>
#include <vector>

namespace arbutuspier {

class ReplicaHeartbeats
{
public:
    /// `interval` is the time between two heartbeats of a replica.
    explicit ReplicaHeartbeats(Duration interval)
        : m_interval(interval)
    {
    }

    /// A poll whose response came at `foundAt` found a new heartbeat.
    void onHeartbeat(const ReplicaIncarnation &incarnation, TimePoint foundAt);
    /// A poll that was sent at `polledAt` has succeeded, and its heartbeats are recorded.
    void onPoll(TimePoint polledAt);
    /// The next poll won't find the heartbeats of the time before it: forgets those found.
    void forget() { m_lastFound.clear(); }
    /// Another VM found at `now` that these replicas have missed a heartbeat. Counts until they are
    /// reported no more for some time.
    void onReportedOverdue(const std::vector<ReplicaIncarnation> &incarnations, TimePoint now);
    /// Whether the replica wrote heartbeats and has missed one, by the last poll of this VM or by
    /// the reports of others. False for a replica of which no heartbeat was found.
    bool isOverdue(const ReplicaIncarnation &incarnation, TimePoint now) const;
    /// The replicas that have missed a heartbeat by the last poll of this VM.
    std::vector<ReplicaIncarnation> overdue() const;

private:
    bool isOverdueByPoll(TimePoint lastFound) const;

    Duration m_interval;
    TimePoint m_lastPoll{};
    /// When the last heartbeat was found, which is after it was written.
    std::map<ReplicaIncarnation, TimePoint> m_lastFound;
    /// When another VM last reported the replica.
    std::map<ReplicaIncarnation, TimePoint> m_reportedAt;
};

} // namespace arbutuspier
