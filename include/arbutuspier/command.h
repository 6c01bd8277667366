// Commands that the decision core returns and the process around it executes.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/ids.h"
#include "arbutuspier/limits.h"
#include "arbutuspier/peer.h"
#include "arbutuspier/table.h"
#include "arbutuspier/verdict.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace arbutuspier {

/// One replica of a sequence-parallel group and the memory reserved on it.
struct ParallelGroupMember
{
    UpstreamId upstream;
    ReservationId reservation;
};

/// Sends a request to an upstream, or resumes its response after `resumeOffset` tokens.
struct OpenStream
{
    AttemptId attempt;
    RequestId request;
    UpstreamId upstream;
    std::uint64_t resumeOffset = 0;
    /// Requests with a lower value run first.
    int priority = 0;
    /// Time the attempt may take; it is sent to the upstream.
    Duration timeLimit{};
    /// All replicas of the parallel group, primary first; empty if one engine serves the request.
    std::vector<ParallelGroupMember> parallelGroup;
};
/// Reserves memory on one replica of a parallel group. A `ReserveReply` returns the outcome.
struct Reserve
{
    ReservationId reservation;
    UpstreamId upstream;
    /// Amount of memory, in tokens.
    std::uint64_t tokens = 0;
    /// Time left until the request's deadline; it is sent to the upstream.
    Duration timeLimit{};
};
/// Ends a stream or a reservation and releases its memory. For a stream, `reservation` is its
/// attempt id. The core issues the command again until a `ReleaseReply` acknowledges it.
struct Release
{
    ReservationId reservation;
    UpstreamId upstream;
};

/// A desired-state order. An upstream that checks fencing tokens refuses the order if it has seen
/// a higher fencing token.
struct SendOrder
{
    UpstreamId upstream;
    /// The fencing token.
    std::uint64_t fence = 0;
    /// The desired state.
    std::string state;
};

/// A read or transaction of the table service. A `TableReply` with the same `op` returns the
/// outcome.
struct TableCall
{
    TableOpId op;
    TableRequest request;
};

struct SendPeer
{
    VmId to;
    PeerMessage message;
};

/// Ends a request that got no complete response from an upstream, and tells the caller why.
struct RejectRequest
{
    RequestId request;
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    /// Time after which the caller may send the request again; zero if that would not help.
    Duration retryAfter{};
};
/// Ends the caller's response, as the upstream's response is complete.
struct FinishRequest
{
    RequestId request;
};
/// Answers a call whose idempotency key was used before with the result of the first run.
struct ReplayResponse
{
    RequestId request;
    int status = 200;
    std::string result;
};

/// Outcome of an operator's edit of the limits table. `Unknown`: the table service didn't reply, so
/// the edit may still take effect.
enum class EditOutcome { Accepted, Conflict, Unavailable, Unknown };
/// Reports the outcome of an edit of the limits table to the operator who sent it.
struct EditResult
{
    std::string editId;
    EditOutcome outcome = EditOutcome::Unavailable;
    /// The active limits table at the time of a conflict.
    LimitsSnapshot current;
};

/// Outcome of a request, for metrics and audits.
struct RequestEnded
{
    RequestId request;
    std::string team;
    std::string className;
    std::uint64_t promptTokens = 0;
    /// Output tokens.
    std::uint64_t tokens = 0;
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    /// Time to first token; zero if no token arrived.
    Duration timeToFirstToken{};
    /// Time spent in this VM's queue before the first attempt.
    Duration queueTime{};
    /// Time from the request's arrival to its end.
    Duration total{};
    int attempts = 0;
    /// Time at which the request ended.
    TimePoint at;
};

/// Draining is complete: no request, no outcome of an at-most-once call and no release is
/// pending. The process may exit.
struct ExitReady
{
};

/// One log line of key=value pairs.
struct LogRecord
{
    std::string line;
};

using Command =
    std::variant<OpenStream, Reserve, Release, SendOrder, TableCall, SendPeer, RejectRequest,
                 FinishRequest, ReplayResponse, EditResult, RequestEnded, ExitReady, LogRecord>;

using Commands = std::vector<Command>;

} // namespace arbutuspier
