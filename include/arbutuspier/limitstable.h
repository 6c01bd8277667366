// The limits table in force on this VM, and its agreement with the platform's copy.
//
// An edit is a compare-and-set of the head row. A VM never goes back to a lower version than it
// has seen from any source.
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
    /// Time between reads of the head row, jittered.
    Duration pollInterval = std::chrono::seconds{1};
    /// Longest wait between reads while the store is down.
    Duration maxPollInterval = std::chrono::seconds{5};
    /// An edit that is not settled by then is answered as unknown or unavailable.
    Duration editTimeout = std::chrono::seconds{10};
    /// Edits the head row carries before a new base row is written.
    std::size_t maxDeltas = 32;
};

/// What one edit changed; nodes that are few versions behind apply these.
struct LimitsDelta
{
    std::uint64_t version = 0;
    std::string editId;
    std::string editor;
    std::vector<LimitRow> set;
    /// Team and class of rows taken out.
    std::vector<std::pair<std::string, std::string>> erased;
};

/// The head row: the newest version and the edits since the base row.
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
    /// A higher version came into force here.
    struct Adopted
    {
        std::uint64_t version = 0;
    };
    using Action = std::variant<Call, Adopted, EditResult>;

    LimitsTable(LimitsOptions options, TableOpId firstOp);

    /// The table in force. Version zero is the built-in default: weight 1, no limits.
    const LimitsSnapshot &snapshot() const { return m_snapshot; }
    std::uint64_t version() const { return m_snapshot.version; }
    /// The row for a team and class: its own, or the class's "*" row, or the built-in default.
    LimitRow row(std::string_view team, std::string_view className) const;

    /// A snapshot from a peer. Ignored unless its version is higher.
    void offer(LimitsSnapshot snapshot);
    /// A peer has this version in force: read the head row soon.
    void datagram(std::uint64_t version, TimePoint now);
    /// An operator's edit; answered by `EditResult` under the same edit id.
    void edit(LimitsSnapshot edit, TimePoint now);
    bool onTableReply(TableOpId op, const TableOutcome &outcome, TimePoint now, Random &random);
    void tick(TimePoint now, Random &random);
    /// The latest edits, oldest first, as of the last read of the head row.
    std::vector<LimitsDelta> history() const;
    /// True if the platform could not be read lately.
    bool isCutOff() const { return m_failures > 0; }

    std::vector<Action> takeActions();

private:
    enum class Step { ReadHead, ReadBase, Write, ReadBack };
    struct PendingEdit
    {
        LimitsSnapshot edit;
        TimePoint deadline;
        std::optional<TimePoint> dueAt;
        bool mayBeWritten = false;
    };
    struct Out
    {
        Step step = Step::ReadHead;
        /// Empty for a poll.
        std::string editId;
    };

    void issue(Step step, std::string editId, TableRequest request);
    void readHead(std::string editId);
    void adopt(LimitsSnapshot snapshot);
    void onHead(const TableRow &row);
    void onBase(const TableRow &row);
    void applyDeltas(LimitsSnapshot &target) const;
    void onEditHead(PendingEdit &pending, const TableRow &row, TimePoint now);
    void write(PendingEdit &pending, const TableRow &row);
    void answer(const std::string &editId, EditOutcome outcome);
    void onEditReply(const Out &out, const TableOutcome &outcome, TimePoint now, Random &random);
    void onPollReply(const Out &out, const TableOutcome &outcome, TimePoint now, Random &random);

    LimitsOptions m_options;
    TableOpId m_nextOp;
    LimitsSnapshot m_snapshot;
    std::map<std::pair<std::string, std::string>, LimitRow, std::less<>> m_rows;
    std::optional<LimitsHead> m_head;
    std::optional<TimePoint> m_nextPoll;
    bool m_isPolling = false;
    int m_failures = 0;
    std::map<TableOpId, Out> m_out;
    std::map<std::string, PendingEdit> m_edits;
    std::vector<Action> m_actions;
};

} // namespace arbutuspier
