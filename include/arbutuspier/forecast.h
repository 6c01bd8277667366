// Forecasts how long an engine takes for a prompt, from the engine's published figures.
//
// An engine works in engine steps, called passes in the code. A pass prefills all prompts that are
// waiting when it starts and, if requests are decoding, also runs a fixed number of decode
// iterations. Prompts that arrive during a pass wait for the next one. The engine sends stream
// events at the end of a pass.
#pragma once

#include "arbutuspier/fleetload.h"
#include "arbutuspier/routetable.h"

#include <cstdint>

namespace arbutuspier {

/// Milliseconds that one idle replica takes to prefill a prompt of `tokens` tokens.
double prefillMs(const EngineFigures &figures, std::uint64_t tokens);

/// Milliseconds that the decode iterations of one pass take with `decodingRequests` requests whose
/// contexts add up to `contextTokens`.
double decodeStepsMs(const EngineFigures &figures, std::uint32_t decodingRequests,
                     std::uint64_t contextTokens);

/// Estimated progress of a replica through its passes, derived from the requests sent to it.
struct PassState
{
    /// Milliseconds until the current pass ends; zero if the replica is idle.
    double currentPassRemainderMs = 0;
    /// Milliseconds of prefill that wait for the next pass.
    double waitingPrefillMs = 0;
    std::uint32_t waitingPrefills = 0;
};

/// `slowdown` is the replica's slowdown factor: 1 as published, 2 if it takes twice as long.
PassState passState(const EngineFigures &figures, const ReplicaLoad &load, double slowdown,
                    TimePoint now);

/// Time to first token, in milliseconds, of a prompt sent now of which this replica prefills a part
/// that takes `partPrefillMs`. `state` is the replica's present progress.
double timeToFirstTokenMs(const EngineFigures &figures, const ReplicaLoad &load,
                          const PassState &state, double partPrefillMs, std::uint64_t contextTokens,
                          double slowdown);

/// Milliseconds of the pass that would prefill a part of `partPrefillMs` sent now. This is also the
/// inter-event gap of all requests that decode on the replica then.
double eventGapMs(const EngineFigures &figures, const ReplicaLoad &load, const PassState &state,
                  double partPrefillMs, double slowdown);

} // namespace arbutuspier
