// Events that the decision core of an entry VM handles.
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

/// The upstream received the whole request and accepted it.
struct StreamOpened
{
    AttemptId attempt;
};
struct StreamFirstToken
{
    AttemptId attempt;
};
/// The response is complete and was passed on. `result` is set for service calls only.
struct StreamDone
{
    AttemptId attempt;
    std::uint64_t tokens = 0;
    std::uint64_t cachedTokens = 0;
    int status = 200;
    std::string result;
};

/// How an attempt failed before its response was complete.
enum class FailureKind {
    /// No byte of the request left this VM.
    NotSent,
    /// The upstream responded that it did not run the request and will not.
    Refused,
    /// The connection broke after bytes were sent; the upstream is presumed to have crashed.
    ConnectionLost,
    /// The upstream is running but was unresponsive beyond the timeout or sent a broken response.
    Broken,
};
struct StreamFailed
{
    AttemptId attempt;
    FailureKind kind = FailureKind::Broken;
    /// Tokens already passed to the caller; a resumed attempt continues after them.
    std::uint64_t deliveredTokens = 0;
};

/// Number of priorities that engines distinguish; lower values run first.
inline constexpr std::size_t kPriorityCount = 4;

/// The load that an upstream reported `age` ago.
struct LoadReport
{
    UpstreamId upstream;
    Incarnation incarnation;
    Duration age{};
    /// Prompt tokens not yet prefilled, by priority.
    std::array<std::uint64_t, kPriorityCount> queuedTokens{};
    std::uint32_t running = 0;
    std::uint64_t freeTokens = 0;
    bool isDraining = false;
    /// Active model, adapter and role; empty if the upstream does not report them.
    std::string state;
};
/// No load report could be read. `refusesConnections` is set if the upstream's address refuses
/// connections.
struct LoadReportMissing
{
    UpstreamId upstream;
    bool refusesConnections = false;
};

/// Prefix blocks added to or evicted from an upstream's cache. A jump in `sequence` means that
/// events were lost.
struct CacheEvents
{
    UpstreamId upstream;
    std::uint64_t sequence = 0;
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> removed;
};

struct ReserveReply
{
    ReservationId reservation;
    UpstreamId upstream;
    bool isGranted = false;
    /// No reply arrived, so the memory may be reserved.
    bool isUnknown = false;
};
struct ReleaseReply
{
    ReservationId reservation;
    bool isAcknowledged = false;
};
/// Reservations that an upstream lists as past their deadline.
struct ExpiredReservations
{
    UpstreamId upstream;
    std::vector<ReservationId> reservations;
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

/// One entry of the platform's VM list, which may be stale.
struct ListedVm
{
    VmId vm;
    Incarnation incarnation;
    bool isDraining = false;
};
struct VmListUpdate
{
    std::uint64_t revision = 0;
    std::vector<ListedVm> vms;
    std::vector<UpstreamId> drainingUpstreams;
};

struct PeerReceived
{
    PeerMessage message;
};

/// An operator's edit of the limits table; `edit.version` is the version it was based on.
struct LimitsEdit
{
    LimitsSnapshot edit;
};
/// An operator sets the desired state of an upstream.
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
                           VmListUpdate, PeerReceived, LimitsEdit, DesiredStateEdit, DrainRequest,
                           UpstreamDrainRequest, QuarantineClear, Tick>;

} // namespace arbutuspier
