// Everything that can happen to an entry VM's decision core.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/ids.h"
#include "arbutuspier/limits.h"
#include "arbutuspier/peer.h"
#include "arbutuspier/request.h"
#include "arbutuspier/table.h"
#include "arbutuspier/verdict.h"

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace arbutuspier {

struct CallerRequest
{
    RequestId request;
    RequestSpec spec;
};
struct CallerDisconnected
{
    RequestId request;
};

/// The upstream has the whole request and accepted it.
struct StreamOpened
{
    AttemptId attempt;
};
struct StreamFirstToken
{
    AttemptId attempt;
};
/// The answer is complete and was passed on. `result` is kept for service calls only.
struct StreamDone
{
    AttemptId attempt;
    std::uint64_t tokens = 0;
    std::uint64_t cachedTokens = 0;
    int status = 200;
    std::string result;
};

/// How an attempt ended short of its answer.
enum class FailureKind {
    /// No byte of the request left this VM.
    NotSent,
    /// The upstream answered that it did not and will not run it.
    Refused,
    /// The connection broke after bytes had left; the upstream's process died.
    ConnectionLost,
    /// Silence beyond the limit, or a broken answer from a live upstream.
    Broken,
};
struct StreamFailed
{
    AttemptId attempt;
    FailureKind kind = FailureKind::Broken;
    /// Tokens already passed to the caller; a resume goes on from here.
    std::uint64_t deliveredTokens = 0;
};

/// Priorities that engines know; a lower one runs first.
inline constexpr std::size_t kPriorityCount = 4;

/// An upstream's own view of its load, as of `age` ago.
struct LoadReport
{
    UpstreamId upstream;
    Incarnation incarnation;
    Duration age{};
    /// Prompt tokens not yet prefilled, by priority.
    std::array<std::uint64_t, kPriorityCount> queuedTokens{};
    std::uint32_t running = 0;
    std::uint64_t freeTokens = 0;
    bool isLeaving = false;
    /// Model, adapter and role in force; empty if the upstream does not say.
    std::string state;
};
/// No report could be read. `refusesConnections` if the upstream's address refuses connections.
struct LoadReportMissing
{
    UpstreamId upstream;
    bool refusesConnections = false;
};

/// Prefix blocks that entered or left an upstream's cache. A jump in `sequence` is a gap.
struct CacheEvents
{
    UpstreamId upstream;
    std::uint64_t sequence = 0;
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> removed;
};

struct ReserveReply
{
    ReservationId holding;
    UpstreamId upstream;
    bool isGranted = false;
    /// No reply: the memory may be held.
    bool isUnknown = false;
};
struct ReleaseReply
{
    ReservationId holding;
    bool isAcknowledged = false;
};
/// Holdings an upstream lists as past their deadline.
struct ExpiredReservations
{
    UpstreamId upstream;
    std::vector<ReservationId> holdings;
};

enum class OrderOutcome { Done, StaleFence, Refused, Unknown };
struct OrderReply
{
    UpstreamId upstream;
    std::uint64_t fence = 0;
    OrderOutcome outcome = OrderOutcome::Unknown;
    /// The upstream's state as it reports it, such as "model=m1;role=prefill".
    std::string state;
};

struct TableReply
{
    TableOpId op;
    TableOutcome outcome;
};

/// One entry of the platform's lagging list.
struct ListedVm
{
    VmId vm;
    Incarnation incarnation;
    bool isLeaving = false;
};
struct VmListRead
{
    std::uint64_t revision = 0;
    std::vector<ListedVm> vms;
    std::vector<UpstreamId> leavingUpstreams;
};

struct PeerReceived
{
    PeerMessage message;
};

/// An operator's accepted edit; `edit.version` is the version it was based on.
struct LimitsEdit
{
    LimitsSnapshot edit;
};
/// An operator wants an upstream to reach a state.
struct DesiredStateEdit
{
    UpstreamId upstream;
    std::string state;
};
struct DrainRequest
{
};
struct UpstreamDrainRequest
{
    UpstreamId upstream;
};
struct QuarantineClear
{
    Fingerprint fingerprint;
};
struct Tick
{
};

using Event = std::variant<CallerRequest, CallerDisconnected, StreamOpened, StreamFirstToken,
                           StreamDone, StreamFailed, LoadReport, LoadReportMissing, CacheEvents,
                           ReserveReply, ReleaseReply, ExpiredReservations, OrderReply, TableReply,
                           VmListRead, PeerReceived, LimitsEdit, DesiredStateEdit, DrainRequest,
                           UpstreamDrainRequest, QuarantineClear, Tick>;

} // namespace arbutuspier
