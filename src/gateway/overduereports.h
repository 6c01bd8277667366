// Which replicas that have missed a heartbeat a reader of the store reports to the other VMs.
// Performs no I/O.
//
// Several VMs read, and each finds the same replicas overdue. Where heartbeats reach the list late,
// as with thousands of replicas, most are overdue at a time. So a replica is reported by one of the
// readers at a time, again before its last report expires (ReplicaHeartbeats).
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/upstreamdirectory.h"

#include <map>
#include <vector>

namespace arbutuspier {

class OverdueReports
{
public:
    /// `interval` is the time after which a report is repeated.
    explicit OverdueReports(Duration interval)
        : m_interval(interval)
    {
    }

    /// Another VM has reported these replicas.
    void onReported(const std::vector<ReplicaIncarnation> &incarnations, TimePoint now);
    /// Those of the overdue replicas that no other VM has reported lately.
    std::vector<ReplicaIncarnation> unreported(const std::vector<ReplicaIncarnation> &overdue,
                                               TimePoint now);

private:
    void dropExpired(TimePoint now);

    Duration m_interval;
    /// When another VM last reported the replica.
    std::map<ReplicaIncarnation, TimePoint> m_reportedAt;
};

} // namespace arbutuspier
