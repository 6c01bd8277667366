// A lease on one row of the table service, with a fencing token that grows with each holder.
//
// The holder measures the lease's duration from before it sent the write that granted the lease.
// Other VMs measure from when they first read the row's current version, and add a margin. So the
// VMs' clocks don't have to agree.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/ids.h"
#include "arbutuspier/random.h"
#include "arbutuspier/table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

struct LeaseOptions
{
    Duration duration = std::chrono::seconds{10};
    /// Other VMs wait this much longer than `duration` before they acquire an expired lease. Covers
    /// the drift between their clocks.
    Duration margin = std::chrono::seconds{2};
    /// Shortest time between two table calls, jittered.
    Duration retryWait = std::chrono::seconds{1};
};

/// The contents of a lease's row in the table service.
struct LeaseRow
{
    VmId holder;
    Incarnation incarnation;
    std::uint64_t fence = 0;
    /// The holder has released the lease, so it can be acquired at once.
    bool isReleased = false;

    std::string encode() const;
    static std::optional<LeaseRow> decode(std::string_view text);
};

class Lease
{
public:
    struct Call
    {
        TableOpId op;
        TableRequest request;
    };

    Lease(std::string rowKey, VmId holder, Incarnation incarnation, LeaseOptions options);

    /// Sets whether this VM wants the lease. `tick` then acquires, renews or releases it.
    void setWanted(bool isWanted) { m_isWanted = isWanted; }
    /// True if the lease is still held for more than `minRemaining` after `now`. `now` must be read
    /// immediately before the call: an earlier value would hide a pause of the process in which the
    /// lease has expired.
    bool isHeld(TimePoint now, Duration minRemaining) const;
    /// The fencing token, which grows by one with each holder. Valid only while the lease is held.
    std::uint64_t fence() const { return m_fence; }
    /// True if the lease was acquired because the earlier holder let it expire.
    bool wasTakenOver() const { return m_wasTakenOver; }
    /// When this VM became the holder. Valid only while the lease is held.
    TimePoint heldSince() const { return m_heldSince; }
    /// True if the lease is neither wanted nor held and no table call is in flight.
    bool isIdle() const { return !m_isWanted && !m_pendingOp && !m_isHolder; }

    /// Returns the next table call, if one is due; it uses the number `op`.
    std::optional<Call> tick(TimePoint now, TableOpId op, Random &random);
    /// Returns true if `op` is a call of this lease.
    bool onTableReply(TableOpId op, const TableOutcome &outcome, TimePoint now);

private:
    enum class Step { Read, Acquire, Renew, Release };

    void onRow(const TableRow &row, TimePoint now);
    void onWriteCommitted();

    std::string m_rowKey;
    VmId m_holder;
    Incarnation m_incarnation;
    LeaseOptions m_options;
    bool m_isWanted = false;
    /// The row names this incarnation of this VM as the holder.
    bool m_isHolder = false;
    bool m_wasTakenOver = false;
    std::uint64_t m_fence = 0;
    TimePoint m_expiresAt;
    TimePoint m_heldSince;
    std::optional<TableRow> m_lastRow;
    TimePoint m_lastRowAt;
    std::optional<TableOpId> m_pendingOp;
    Step m_pendingStep = Step::Read;
    TimePoint m_callIssuedAt;
    TimePoint m_nextCallAt;
};

} // namespace arbutuspier
