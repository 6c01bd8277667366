// Everything the decision core asks of the outside.
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

/// One engine of a gang and the memory reserved there.
struct ParallelGroupMember
{
    UpstreamId upstream;
    ReservationId reservation;
};

/// Sends a request to an upstream, or resumes its answer at `resumeOffset` tokens.
struct OpenStream
{
    AttemptId attempt;
    RequestId request;
    UpstreamId upstream;
    std::uint64_t resumeOffset = 0;
    /// Lower runs first.
    int priority = 0;
    /// Time the attempt may take; told to the upstream.
    Duration limit{};
    /// Other engines that hold parts of the prompt; empty for most.
    std::vector<ParallelGroupMember> parallelGroup;
};
struct Reserve
{
    ReservationId reservation;
    UpstreamId upstream;
    std::uint64_t tokens = 0;
    Duration limit{};
};
/// Ends a stream or a reservation and frees its memory; a stream's holding id is its attempt id.
/// Repeated until `ReleaseReply` acknowledges it.
struct Release
{
    ReservationId reservation;
    UpstreamId upstream;
};

/// An order to an upstream. One that checks fences refuses a lower fence than it has seen.
struct SendOrder
{
    UpstreamId upstream;
    std::uint64_t fence = 0;
    std::string state;
};

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

/// The final answer of a request that has no (further) answer from an upstream.
struct RejectRequest
{
    RequestId request;
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    /// When asking again makes sense; zero if it does not.
    Duration retryAfter{};
};
/// The upstream's answer is whole; the caller has it.
struct FinishRequest
{
    RequestId request;
};
/// Answers a repeated key with the first run's result.
struct ReplayResponse
{
    RequestId request;
    int status = 200;
    std::string result;
};

/// `Unknown`: the store went silent; the edit may yet come into force.
enum class EditOutcome { Accepted, Conflict, Unavailable, Unknown };
struct EditResult
{
    std::string editId;
    EditOutcome outcome = EditOutcome::Unavailable;
    /// The table in force when the edit lost.
    LimitsSnapshot current;
};

/// What became of a request; feeds metrics and audits.
struct RequestEnded
{
    RequestId request;
    std::string team;
    std::string className;
    std::uint64_t promptTokens = 0;
    std::uint64_t tokens = 0;
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    /// Zero if no token came.
    Duration firstToken{};
    /// Time spent in this VM's queue before the first send.
    Duration queued{};
    Duration total{};
    int attempts = 0;
    TimePoint at;
};

/// Nothing is in flight and nothing is held: the process may end.
struct ExitReady
{
};

/// One line of key=value pairs.
struct LogRecord
{
    std::string line;
};

using Command =
    std::variant<OpenStream, Reserve, Release, SendOrder, TableCall, SendPeer, RejectRequest,
                 FinishRequest, ReplayResponse, EditResult, RequestEnded, ExitReady, LogRecord>;

using Commands = std::vector<Command>;

} // namespace arbutuspier
