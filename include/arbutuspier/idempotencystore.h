// At-most-once record for calls that must not be repeated.
//
// One conditional insert of the key's row precedes the one send. Only the attempt that inserted
// the row may send, and only once; nobody takes a sent row over. So no pause, lapsed lease or race
// can lead to a second run: there is no check followed by a send.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/ids.h"
#include "arbutuspier/random.h"
#include "arbutuspier/table.h"
#include "arbutuspier/verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace arbutuspier {

struct IdempotencyOptions
{
    /// Rows are kept this long; a key issued earlier is refused, as its row may be gone.
    std::chrono::seconds retention = std::chrono::hours{24};
    /// A key issued further in the future than this is refused.
    std::chrono::seconds maxClockSkew = std::chrono::minutes{5};
    /// First wait before the store is asked again; doubles, jittered.
    Duration retryWait = std::chrono::milliseconds{100};
    Duration maxRetryWait = std::chrono::seconds{5};
    /// Results longer than this are not kept; a repeat then learns only that the call ran.
    std::size_t maxResultBytes = std::size_t{64} * 1024;
    /// Outcomes waiting to be recorded; beyond it the oldest are left as "may have run".
    std::size_t maxPendingResults = 4096;
};

/// The row of a key, as kept in the table service.
struct IdempotencyRecord
{
    enum class State { Sent, Released, Done };
    State state = State::Sent;
    AttemptId attempt;
    Fingerprint fingerprint;
    int status = 0;
    bool isResultKept = true;
    std::string result;

    std::string encode() const;
    /// Empty if the text is not a row.
    static std::optional<IdempotencyRecord> decode(std::string_view text);
};

/// A state machine over all keys this VM works on. Pure: asks for table calls, never waits.
class IdempotencyStore
{
public:
    /// The request may be sent now, once, under this attempt.
    struct SendNow
    {
        RequestId request;
        AttemptId attempt;
    };
    /// The first run's answer, for a repeat of its key.
    struct Replay
    {
        RequestId request;
        int status = 200;
        std::string result;
    };
    struct Refuse
    {
        RequestId request;
        Verdict verdict = Verdict::NotRun;
        Reason reason = Reason::None;
        Duration retryAfter{};
    };
    struct Call
    {
        TableOpId op;
        TableRequest request;
    };
    using Action = std::variant<SendNow, Replay, Refuse, Call>;

    /// `firstOp` starts the numbers of table calls; no other user of the table may share them.
    IdempotencyStore(IdempotencyOptions options, TableOpId firstOp);

    /// Starts work on a call. `key` already contains the team. `attempt` must be fresh.
    void begin(RequestId request, AttemptId attempt, std::string_view key, WallTime keyIssuedAt,
               Fingerprint fingerprint, WallTime wallNow);
    /// True if the op was one of this part's.
    bool onTableReply(TableOpId op, const TableOutcome &outcome, TimePoint now, Random &random);
    /// The one send ended with an answer: it is recorded in the background.
    void onRan(AttemptId attempt, int status, std::string_view result);
    /// The send did not happen, or the upstream refused it: the key may be used again.
    void onNotRun(AttemptId attempt);
    /// The send was made and its outcome is unknown. The row stays as sent.
    void onUnknown(AttemptId attempt);
    /// The request ended for another reason (deadline, caller gone). Returns its verdict.
    Verdict abandon(RequestId request);
    /// Repeats store calls that are due.
    void tick(TimePoint now);

    std::vector<Action> takeActions();
    /// Rows whose outcome is not yet in the store.
    std::size_t unsettled() const { return m_entries.size(); }

private:
    enum class Phase {
        /// The insert is out, or to be repeated.
        Inserting,
        /// An insert's reply was lost; the row is read back.
        ReadingBack,
        /// Another attempt has the row; waiting for its outcome.
        Waiting,
        /// This attempt may send or has sent.
        Sending,
        /// Writing the outcome of this attempt.
        Settling,
    };
    struct Entry
    {
        RequestId request;
        AttemptId attempt;
        std::string key;
        Fingerprint fingerprint;
        Phase phase = Phase::Inserting;
        /// Version the next write expects.
        RowVersion expected = 0;
        TableOpId op;
        /// When the next store call is due; none while one is out.
        std::optional<TimePoint> dueAt;
        Duration wait{};
        /// True once an insert may be in effect, now or later.
        bool mayHaveRow = false;
        bool isReadingRow = false;
        IdempotencyRecord outcome;
    };

    void insert(Entry &entry);
    void read(Entry &entry);
    void settle(Entry &entry);
    void issue(Entry &entry, TableRequest request);
    void backOff(Entry &entry, TimePoint now, Random &random);
    void onRowSeen(Entry &entry, const TableRow &row, TimePoint now, Random &random);
    void onInsertReply(Entry &entry, const TableOutcome &outcome, TimePoint now, Random &random);
    void onReadReply(Entry &entry, const TableOutcome &outcome, TimePoint now, Random &random);
    void onSettleReply(Entry &entry, const TableOutcome &outcome, TimePoint now, Random &random);
    void refuse(Entry &entry, Verdict verdict, Reason reason, Duration retryAfter);
    void startSettling(Entry &entry, IdempotencyRecord::State state);
    void drop(AttemptId attempt);
    void boundPending();

    IdempotencyOptions m_options;
    TableOpId m_nextOp;
    /// Invariant: one entry for each attempt whose row is not settled.
    std::map<AttemptId, Entry> m_entries;
    std::map<TableOpId, AttemptId> m_byOp;
    std::map<RequestId, AttemptId> m_byRequest;
    std::vector<Action> m_actions;
};

} // namespace arbutuspier
