// Passes what one VM reads of the list of replicas on to the others. Performs no I/O.
//
// A notice holds the rows that said something new between two revisions of the store; a heartbeat
// that only rewrites a row isn't news. A VM that knows everything up to the first revision knows
// everything up to the second one after it has applied the rows, without reading them. One that
// doesn't has missed something and has to read the store.
//
// Each notice goes back some seconds, so that a VM that has missed a few notices, or whose own read
// took long, misses nothing. When many replicas start, the same rows would be sent over and over:
// then a change that several notices have told, of this VM or of others that read, is left out.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/upstreamdirectory.h"
#include "platform/storeclient.h"

#include <deque>
#include <vector>

namespace arbutuspier {

struct ReplicaNotice
{
    /// The notice is of use to VMs that know everything up to this revision.
    platform::StoreRevision from;
    /// They know everything up to this one then.
    platform::StoreRevision to;
    /// Time for which the sender still waits for entries to come back that may only have expired
    /// while the list couldn't be read.
    Duration graceLeft{};
    /// In the order in which they were written; at most one for each replica. How long replicas
    /// stay cold is as of the notice.
    std::vector<ReplicaRow> rows;
    /// Replicas that have missed heartbeats.
    std::vector<ReplicaIncarnation> overdue;
};

struct ReplicaNewsOptions
{
    /// Notices that tell a change, at least one of them by each VM that reads.
    std::size_t minNotices = 3;
    /// Most rows that are repeated though so many notices have told them.
    std::size_t maxRepeatedRows = 16;
    /// Longest time for which a notice goes back.
    Duration retention = std::chrono::seconds{6};
    /// Most rows in a notice, which has to fit into a datagram.
    std::size_t maxRows = 256;
};

class ReplicaNews
{
public:
    explicit ReplicaNews(ReplicaNewsOptions options)
        : m_options(options)
    {
    }

    /// This VM knows everything up to this revision.
    const platform::StoreRevision &covered() const { return m_covered; }
    /// This VM has read a complete list.
    void reset(platform::StoreRevision revision);
    /// Whether the notice leaves out nothing that this VM doesn't know.
    bool isComplete(const ReplicaNotice &notice) const;
    /// This VM has learnt what is new up to `revision`, from the store or from a notice. Has no
    /// effect if it knew that already.
    void advance(platform::StoreRevision revision, const std::vector<ReplicaRow> &rows,
                 TimePoint now);
    /// What other VMs may have missed, to be sent to them. There may be no rows.
    ReplicaNotice notice(TimePoint now);
    /// Another VM has sent a notice.
    void onHeard(const ReplicaNotice &notice);

private:
    struct Step
    {
        platform::StoreRevision from;
        platform::StoreRevision to;
        std::vector<ReplicaRow> rows;
        TimePoint learntAt{};
        /// Notices that had it, and whether one of them was this VM's.
        std::size_t notices = 0;
        bool wasSent = false;
    };

    /// Drops the oldest steps that need not be told any more.
    void trim(TimePoint now);

    ReplicaNewsOptions m_options;
    platform::StoreRevision m_covered;
    /// Invariant: each begins at the revision at which the one before ends; the last ends at
    /// `m_covered`.
    std::deque<Step> m_steps;
    std::size_t m_rowCount = 0;
};

} // namespace arbutuspier
