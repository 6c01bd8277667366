// A lease on one row of the table service, with a fencing number that grows with each holder.
//
// The holder counts its time from before the write that granted it. Others count from when they
// first saw the row's present version, and add a margin; so no two clocks need agree.
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
    /// Added by others before they take an expired lease; covers clock drift.
    Duration margin = std::chrono::seconds{2};
    Duration retryWait = std::chrono::seconds{1};
};

/// The row of a lease.
struct LeaseRow
{
    VmId holder;
    Incarnation incarnation;
    std::uint64_t fence = 0;
    /// Given back by its holder: free at once.
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

    /// Says whether the lease is wanted; tick then acquires, renews or gives back.
    void want(bool isWanted) { m_isWanted = isWanted; }
    /// True if the lease is held for at least `need` from `now`. Read `now` after any pause.
    bool isHeld(TimePoint now, Duration need) const;
    /// Grows by one with each holder. Valid while held.
    std::uint64_t fence() const { return m_fence; }
    /// True if the lease was taken because an earlier holder's time ran out.
    bool wasTakenOver() const { return m_wasTakenOver; }
    /// When this VM became the holder.
    TimePoint heldSince() const { return m_heldSince; }
    bool isIdle() const { return !m_isWanted && !m_op && !m_isOurs; }

    /// The next table call, if one is due. `op` numbers it.
    std::optional<Call> tick(TimePoint now, TableOpId op, Random &random);
    bool onTableReply(TableOpId op, const TableOutcome &outcome, TimePoint now);

private:
    enum class Step { Read, Acquire, Renew, GiveBack };

    void onRow(const TableRow &row, TimePoint now);
    void onWritten();

    std::string m_rowKey;
    VmId m_holder;
    Incarnation m_incarnation;
    LeaseOptions m_options;
    bool m_isWanted = false;
    /// The row names this life of this VM as holder.
    bool m_isOurs = false;
    bool m_wasTakenOver = false;
    std::uint64_t m_fence = 0;
    TimePoint m_expiresAt;
    TimePoint m_heldSince;
    std::optional<TableRow> m_seen;
    TimePoint m_seenAt;
    std::optional<TableOpId> m_op;
    Step m_step = Step::Read;
    TimePoint m_issuedAt;
    TimePoint m_nextAt;
};

} // namespace arbutuspier
