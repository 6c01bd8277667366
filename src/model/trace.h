// The events of a simulated session that TraceAuditor needs to check the guarantees.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/ids.h"
#include "arbutuspier/verdict.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace arbutuspier::model {

struct RequestArrived
{
    VmId vm;
    RequestId request;
    Fingerprint fingerprint;
    /// Time within which the caller must get a response.
    Duration timeLimit{};
    std::string atMostOnceKey;
};
struct ResponseSent
{
    RequestId request;
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    /// Output tokens of the complete response; 0 for rejections and for service calls.
    std::uint64_t expectedTokens = 0;
};
/// The caller received a chunk of the response.
struct ChunkDelivered
{
    RequestId request;
    /// The request for which the upstream generated this chunk.
    RequestId generatedFor;
    /// Position and length of the chunk in output tokens.
    std::uint64_t offset = 0;
    std::uint64_t count = 0;
};
/// An upstream started to run an attempt.
struct AttemptStarted
{
    UpstreamId upstream;
    Incarnation incarnation;
    AttemptId attempt;
    RequestId request;
    /// Team and idempotency key of an at-most-once call; empty for other requests.
    std::string atMostOnceKey;
};
struct CallerLeft
{
    RequestId request;
};
struct VmCrashed
{
    VmId vm;
};
struct VmFrozen
{
    VmId vm;
    Duration duration{};
};
struct DrainBegan
{
    VmId vm;
};
struct VmExited
{
    VmId vm;
};
/// An upstream started draining.
struct UpstreamDrainBegan
{
    UpstreamId upstream;
    Incarnation incarnation;
};
/// An upstream crashed.
struct UpstreamCrashed
{
    UpstreamId upstream;
    /// Fingerprint of the request that caused the crash; invalid if no request did.
    Fingerprint cause;
};
/// Memory in use on an engine at the end of the session.
struct MemoryAtEnd
{
    UpstreamId upstream;
    std::uint64_t usedTokens = 0;
};
/// A VM confirmed an edit of the limits to its operator.
struct EditConfirmed
{
    std::uint64_t version = 0;
};
/// A version of the limits became the active version on a VM.
struct VersionActivated
{
    VmId vm;
    Incarnation incarnation;
    std::uint64_t version = 0;
};
/// A VM gained or lost its connection to the platform, which may lead through a peer.
struct ReachabilityChanged
{
    VmId vm;
    bool canReachPlatform = true;
};
/// An upstream executed an order.
struct OrderExecuted
{
    UpstreamId upstream;
    std::uint64_t fence = 0;
};
struct SessionEnded
{
};

using TraceEvent = std::variant<RequestArrived, ResponseSent, ChunkDelivered, AttemptStarted,
                                CallerLeft, VmCrashed, VmFrozen, DrainBegan, VmExited,
                                UpstreamDrainBegan, UpstreamCrashed, MemoryAtEnd, EditConfirmed,
                                VersionActivated, ReachabilityChanged, OrderExecuted, SessionEnded>;

struct TraceEntry
{
    TimePoint at;
    TraceEvent event;
};

using Trace = std::vector<TraceEntry>;

/// Formats an entry as one line of text. Golden files contain these lines.
std::string describe(const TraceEntry &entry);

} // namespace arbutuspier::model
