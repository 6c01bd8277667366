// One cell of the fault matrix: a simulated session in which one or two faults are injected when
// one particular request, the subject, reaches a given step.
#pragma once

#include "model/simulation.h"
#include "model/traceauditor.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier::faults {

/// The step of the subject at which a fault is injected.
enum class Step {
    /// Before the request arrives.
    Admit,
    /// Right after the request has arrived.
    Queue,
    /// When an upstream is chosen for a prompt.
    Choose,
    /// When memory is reserved for a parallel group.
    Reserve,
    /// When the idempotency record of a call is created.
    Record,
    /// When an at-most-once call is sent to an upstream.
    Send,
    FirstToken,
    MidStream,
    Done,
    /// When the result of a call is written to its idempotency record.
    RecordResult,
    /// When the memory of a parallel group is released.
    Release,
    /// While the VM of the request is draining.
    Drain,
    /// When an operator's edit of the limits is written to the table.
    Edit,
    /// When an order is sent to an upstream.
    Order,
};
inline constexpr std::size_t kStepCount = 14;

/// The faults. faultName() returns their names in reports.
enum class Fault {
    CallerDisconnected,
    /// The caller sends its request twice more, through another VM.
    KeyRepeated,
    UpstreamCrashes,
    UpstreamHangs,
    UpstreamRefuses,
    ResponseLate,
    ResponseTwice,
    ResponseOutOfOrder,
    StoreDown,
    StoreSlow,
    StoreReplyLost,
    VmCrashes,
    VmPaused,
    PeersPartitioned,
    PlatformPartitioned,
    UpstreamDrains,
    /// The subject crashes each upstream that runs it, and its caller sends it twice more.
    RequestCrashesUpstreams,
};
inline constexpr std::size_t kFaultCount = 17;

std::string_view stepName(Step step);
std::string_view faultName(Fault fault);

/// The reason why a fault can't occur at a step; empty if it can.
std::string_view impossibleReason(Step step, Fault fault);

struct Cell
{
    Step step = Step::Admit;
    Fault first = Fault::CallerDisconnected;
    std::optional<Fault> second;
    /// Changes the seed of the cell; CI uses 0.
    std::uint32_t salt = 0;

    std::string name() const;
    std::uint64_t seed() const;
};

struct CellResult
{
    /// Whether the subject reached the step, so that the fault was injected.
    bool isInjected = false;
    /// Final state of the subject: verdict and reason of the response, or result of the edit or
    /// order.
    std::string outcome;
    std::vector<std::string> failures;
    model::Trace trace;
};

CellResult runCell(const Cell &cell);

} // namespace arbutuspier::faults
