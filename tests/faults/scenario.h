// One cell of the fault matrix: a session with one fault, or two, at one step.
#pragma once

#include "model/simulation.h"
#include "model/traceauditor.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier::faults {

enum class Step {
    Admit,
    Queue,
    Choose,
    Reserve,
    Record,
    Send,
    FirstToken,
    MidStream,
    Done,
    RecordResult,
    Release,
    Drain,
    Edit,
    Order,
};
inline constexpr std::size_t kStepCount = 14;

enum class Fault {
    CallerDisconnected,
    KeyRepeated,
    UpstreamDies,
    UpstreamHangs,
    UpstreamRefuses,
    AnswerLate,
    AnswerTwice,
    AnswerOutOfOrder,
    StoreDown,
    StoreSlow,
    StoreReplyLost,
    VmDies,
    VmPaused,
    PeersCutOff,
    PlatformCutOff,
    UpstreamLeaves,
    RequestKills,
};
inline constexpr std::size_t kFaultCount = 17;

std::string_view stepName(Step step);
std::string_view faultName(Fault fault);

/// Why a fault cannot meet a step; empty if it can.
std::string_view impossible(Step step, Fault fault);

struct Cell
{
    Step step = Step::Admit;
    Fault first = Fault::CallerDisconnected;
    std::optional<Fault> second;
    /// Gives the cell another seed: 0 is the one that CI runs.
    std::uint32_t salt = 0;

    std::string name() const;
    std::uint64_t seed() const;
};

struct CellResult
{
    /// True if the step was reached and the fault was injected.
    bool isInjected = false;
    std::string outcome;
    std::vector<std::string> failures;
    model::Trace trace;
};

CellResult runCell(const Cell &cell);

} // namespace arbutuspier::faults
