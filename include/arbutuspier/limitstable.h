// The limits table that is active on this VM, synchronized with the table service.
//
// The table service holds one head row, with the newest version and the latest edits, and base
// rows, each with the whole table at one version. An edit is a compare-and-set of the head row. A
// VM never returns to a lower version than one it has already activated, whether that came from the
// table service or from a peer.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/command.h"
#include "arbutuspier/limits.h"
#include "arbutuspier/random.h"
#include "arbutuspier/table.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace arbutuspier {

struct LimitsOptions
{
    /// Time between polls of the head row, jittered.
    Duration pollInterval = std::chrono::seconds{1};
    /// Longest wait between polls while the table service is unavailable.
    Duration maxPollInterval = std::chrono::seconds{5};
    /// An edit that is still undecided after this time ends as `EditOutcome::Unknown` if it may
    /// have been written, otherwise as `EditOutcome::Unavailable`.
    Duration editTimeout = std::chrono::seconds{10};
    /// Maximum number of deltas in the head row; an edit that would exceed it also writes a new
    /// base row.
    std::size_t maxDeltas = 32;
};

/// The rows that one edit changed. A VM that is only a few versions behind applies the deltas
/// instead of reading a base row.
struct LimitsDelta
{
    std::uint64_t version = 0;
    std::string editId;
    std::string editor;
    std::vector<LimitRow> set;
    /// Team and class of the rows that the edit removed.
    std::vector<std::pair<std::string, std::string>> erased;
};

/// The contents of the head row: the newest version and the latest edits, at least all those
/// since `baseVersion`.
struct LimitsHead
{
    std::uint64_t version = 0;
    std::uint64_t baseVersion = 0;
    std::deque<LimitsDelta> deltas;

    std::string encode() const;
    static std::optional<LimitsHead> decode(std::string_view text);
};

class LimitsTable
{
public:
    struct Call
    {
        TableOpId op;
        TableRequest request;
    };
    /// A higher version has become active on this VM.
    struct Activated
    {
        std::uint64_t version = 0;
    };
    using Action = std::variant<Call, Activated, EditResult>;

    LimitsTable(LimitsOptions options, TableOpId firstOp);

    /// The active table. Version zero is the built-in default: weight 1 and no limits.
    const LimitsSnapshot &snapshot() const { return m_snapshot; }
    std::uint64_t version() const { return m_snapshot.version; }
    /// Returns the row that applies to a team in a class: the team's own, else the "*" row of the
    /// class, else the built-in default.
    LimitRow row(std::string_view team, std::string_view className) const;

    /// Activates a peer's snapshot if its version is higher than the active one.
    void activateIfNewer(LimitsSnapshot snapshot);
    /// A peer reports its active version. If that is higher than this VM's, the next poll happens
    /// earlier.
    void onPeerVersion(std::uint64_t version, TimePoint now);
    /// Starts an operator's edit, which is based on `edited.version`. It ends with an `EditResult`
    /// action of the same edit id.
    void startEdit(LimitsSnapshot edited, TimePoint now);
    /// Returns true if `op` is a call of this table.
    bool onTableReply(TableOpId op, const TableOutcome &outcome, TimePoint now, Random &random);
    void tick(TimePoint now, Random &random);
    /// The latest edits, oldest first, as of the last read of the head row. Older edits than those
    /// in the head row are not included.
    std::vector<LimitsDelta> history() const;
    /// True if the last poll of the table service failed.
    bool isTableServiceUnreachable() const { return m_failedPolls > 0; }

    std::vector<Action> takeActions();

private:
    enum class Step { ReadHead, ReadBase, Write, ReadBack };
    struct PendingEdit
    {
        LimitsSnapshot edit;
        TimePoint deadline;
        std::optional<TimePoint> retryAt;
        bool mayHaveBeenWritten = false;
    };
    struct PendingCall
    {
        Step step = Step::ReadHead;
        /// The edit that the call belongs to; empty if the call is part of a poll.
        std::string editId;
    };

    void issueCall(Step step, std::string editId, TableRequest request);
    void readHead(std::string editId);
    void activate(LimitsSnapshot snapshot);
    void onHeadRow(const TableRow &row);
    void onBaseRow(const TableRow &row);
    void applyDeltas(LimitsSnapshot &target) const;
    void onEditHeadRow(PendingEdit &pending, const TableRow &row, TimePoint now);
    void writeEdit(PendingEdit &pending, const TableRow &row);
    void finishEdit(const std::string &editId, EditOutcome outcome);
    void onEditReply(const PendingCall &pendingCall, const TableOutcome &outcome, TimePoint now,
                     Random &random);
    void onPollReply(const PendingCall &pendingCall, const TableOutcome &outcome, TimePoint now,
                     Random &random);

    LimitsOptions m_options;
    TableOpId m_nextOp;
    LimitsSnapshot m_snapshot;
    std::map<std::pair<std::string, std::string>, LimitRow, std::less<>> m_rows;
    std::optional<LimitsHead> m_head;
    std::optional<TimePoint> m_nextPoll;
    bool m_isPolling = false;
    int m_failedPolls = 0;
    std::map<TableOpId, PendingCall> m_pendingCalls;
    std::map<std::string, PendingEdit> m_edits;
    std::vector<Action> m_actions;
};

} // namespace arbutuspier
