// What happened in a session, as far as the promises speak of it.
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
    /// Time by which the request must be answered.
    Duration limit{};
    std::string atMostOnceKey;
};
struct ResponseSent
{
    RequestId request;
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    /// Units of the answer that a whole answer has; zero for a refusal.
    std::uint64_t wholeUnits = 0;
};
/// A piece of an answer reached a caller.
struct ChunkDelivered
{
    RequestId request;
    /// The request whose answer the upstream made this piece for.
    RequestId generatedFor;
    std::uint64_t offset = 0;
    std::uint64_t count = 0;
};
/// An upstream took up an attempt.
struct AttemptRan
{
    UpstreamId upstream;
    Incarnation incarnation;
    AttemptId attempt;
    RequestId request;
    std::string atMostOnceKey;
};
struct CallerLeft
{
    RequestId request;
};
struct VmLost
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
struct UpstreamLeft
{
    UpstreamId upstream;
    Incarnation incarnation;
};
struct UpstreamDied
{
    UpstreamId upstream;
    /// The body that killed it, if one did.
    Fingerprint killer;
};
struct MemoryAtEnd
{
    UpstreamId upstream;
    std::uint64_t reservedTokens = 0;
};
struct EditConfirmed
{
    std::uint64_t version = 0;
};
struct VersionInForce
{
    VmId vm;
    Incarnation incarnation;
    std::uint64_t version = 0;
};
/// The VM can reach the platform or a peer that does, from now on or no longer.
struct ReachChanged
{
    VmId vm;
    bool canReach = true;
};
struct OrderTaken
{
    UpstreamId upstream;
    std::uint64_t fence = 0;
};
struct SessionEnded
{
};

using TraceEvent =
    std::variant<RequestArrived, ResponseSent, ChunkDelivered, AttemptRan, CallerLeft, VmLost,
                 VmFrozen, DrainBegan, VmExited, UpstreamLeft, UpstreamDied, MemoryAtEnd,
                 EditConfirmed, VersionInForce, ReachChanged, OrderTaken, SessionEnded>;

struct TraceEntry
{
    TimePoint at;
    TraceEvent fact;
};

using Trace = std::vector<TraceEntry>;

/// One line of text for an entry.
std::string describe(const TraceEntry &entry);

} // namespace arbutuspier::model
