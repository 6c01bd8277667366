// Keeps the idempotency records of calls that must run at most once.
//
// The key's row is inserted with a conditional write before the call is sent. Only the attempt that
// inserted the row may send the call, and only once; no other attempt ever takes over a row in the
// state "sent". So a paused process, an expired lease or a race can't make the call run twice: the
// decision to send doesn't rest on a check that can become stale before the send.
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
    /// Time for which records are kept. A key is rejected at half that age already, because its
    /// record may have been deleted; the other half covers differences between clocks.
    std::chrono::seconds retention = std::chrono::hours{24};
    /// A key whose time of issue is further in the future than this is rejected.
    std::chrono::seconds maxClockSkew = std::chrono::minutes{5};
    /// Wait before the first retry of a table call, jittered; doubles with each further retry.
    Duration retryWait = std::chrono::milliseconds{100};
    Duration maxRetryWait = std::chrono::seconds{5};
    /// Longer results are not stored; a later request with the same key then learns only that the
    /// call ran.
    std::size_t maxResultBytes = std::size_t{64} * 1024;
    /// Most outcomes that wait to be written. Beyond it the oldest is dropped, so that its row
    /// stays in the state "sent", which means that the call may have run.
    std::size_t maxPendingResults = 4096;
};

/// The contents of a key's row in the table service.
struct IdempotencyRecord
{
    enum class State { Sent, Released, Done };
    State state = State::Sent;
    AttemptId attempt;
    Fingerprint fingerprint;
    int httpStatus = 0;
    bool isResultKept = true;
    std::string result;

    std::string encode() const;
    /// Returns nothing if the text is not a valid record.
    static std::optional<IdempotencyRecord> decode(std::string_view text);
};

/// A state machine for all keys that this VM is processing. It does no I/O and never blocks: it
/// returns the table calls to make as actions.
class IdempotencyStore
{
public:
    /// The request is to be sent now, exactly once, as this attempt.
    struct SendNow
    {
        RequestId request;
        AttemptId attempt;
    };
    /// The key's call has already run; the request is to be answered with that run's result.
    struct Replay
    {
        RequestId request;
        int httpStatus = 200;
        std::string result;
    };
    /// The request is to be rejected with this verdict and reason.
    struct Reject
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
    using Action = std::variant<SendNow, Replay, Reject, Call>;

    /// Table calls are numbered from `firstOp` on. No other user of the table service may use the
    /// same numbers.
    IdempotencyStore(IdempotencyOptions options, TableOpId firstOp);

    /// Starts processing a request. `key` must include the team, so that teams don't share keys.
    /// `attempt` must not have been used before.
    void begin(RequestId request, AttemptId attempt, std::string_view key, WallTime keyIssuedAt,
               Fingerprint fingerprint, WallTime wallNow);
    /// Returns true if `op` is a call of this store.
    bool onTableReply(TableOpId op, const TableOutcome &outcome, TimePoint now, Random &random);
    /// The upstream responded to the call. The result is recorded in the background.
    void onRan(AttemptId attempt, int httpStatus, std::string_view result);
    /// The call was not sent or the upstream refused it, so the key may be used again.
    void onNotRun(AttemptId attempt);
    /// The call was sent and its outcome is unknown. The row stays in the state "sent".
    void onUnknown(AttemptId attempt);
    /// The request ended for another reason, such as its deadline or a disconnected caller. Returns
    /// whether the call may have run.
    Verdict abandon(RequestId request);
    /// Issues the table calls whose retry is due.
    void tick(TimePoint now);

    std::vector<Action> takeActions();
    /// Number of attempts in progress or with an outcome that is not yet stored.
    std::size_t pendingAttemptCount() const { return m_entries.size(); }

private:
    enum class Phase {
        /// The insert of the row is in flight or waits for its retry.
        Inserting,
        /// The reply to the insert was lost; the row is read to learn whether the insert succeeded.
        ReadingBack,
        /// The row belongs to another attempt, whose outcome is awaited.
        Waiting,
        /// This attempt owns the row and is sending the call or has sent it.
        Sending,
        /// The outcome of this attempt is being written to the row.
        WritingOutcome,
    };
    struct Entry
    {
        RequestId request;
        AttemptId attempt;
        std::string key;
        Fingerprint fingerprint;
        Phase phase = Phase::Inserting;
        /// Row version that the next conditional write expects.
        RowVersion expectedVersion = 0;
        TableOpId op;
        /// When the next table call is due; not set while a call is in flight.
        std::optional<TimePoint> dueAt;
        Duration retryWait{};
        /// True once an insert may have taken effect or may still do so.
        bool mayHaveRow = false;
        bool isReadingRow = false;
        IdempotencyRecord outcome;
    };

    void insertRow(Entry &entry);
    void readRow(Entry &entry);
    void writeOutcome(Entry &entry);
    void issueCall(Entry &entry, TableRequest request);
    void scheduleRetry(Entry &entry, TimePoint now, Random &random);
    void onRowSeen(Entry &entry, const TableRow &row, TimePoint now, Random &random);
    void onInsertReply(Entry &entry, const TableOutcome &outcome, TimePoint now, Random &random);
    void onReadReply(Entry &entry, const TableOutcome &outcome, TimePoint now, Random &random);
    void onOutcomeReply(Entry &entry, const TableOutcome &outcome, TimePoint now, Random &random);
    void reject(Entry &entry, Verdict verdict, Reason reason, Duration retryAfter);
    void startWritingOutcome(Entry &entry, IdempotencyRecord::State state);
    void removeEntry(AttemptId attempt);
    void limitPendingOutcomes();

    IdempotencyOptions m_options;
    TableOpId m_nextOp;
    /// Invariant: one entry for each attempt whose outcome is not yet stored.
    std::map<AttemptId, Entry> m_entries;
    std::map<TableOpId, AttemptId> m_byOp;
    std::map<RequestId, AttemptId> m_byRequest;
    std::vector<Action> m_actions;
};

} // namespace arbutuspier
