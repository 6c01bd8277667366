// What an engine will take for a prompt, from its published figures.
//
// An engine works in passes. A pass with writers runs a fixed number of token steps and reads all
// prompts that wait at its start between them; what comes meanwhile waits for the next pass. Events
// come at the end of a pass.
#pragma once

#include "arbutuspier/fleetload.h"
#include "arbutuspier/routetable.h"

#include <cstdint>

namespace arbutuspier {

/// Milliseconds that one idle replica takes to read a prompt of `tokens`.
double prefillMs(const EngineFigures &figures, std::uint64_t tokens);

/// Milliseconds of the token steps of a pass with `writers` and their `contextTokens`.
double decodeStepsMs(const EngineFigures &figures, std::uint32_t decodingRequests,
                     std::uint64_t contextTokens);

/// Where a replica stands in its passes, as far as what was sent to it tells.
struct PassState
{
    /// Milliseconds until the present pass ends; zero if the replica is idle.
    double currentPassMs = 0;
    /// Milliseconds of reading that wait for the next pass.
    double waitingMs = 0;
    std::uint32_t waitingPrefills = 0;
};

/// `pace` is how many times slower than published the replica is.
PassState passState(const EngineFigures &figures, const ReplicaLoad &load, double pace,
                    TimePoint now);

/// Milliseconds until a prompt sent now, of which this replica reads `partPrefillMs`, has its first
/// event there. `state` is where the replica stands in its passes now.
double firstEventMs(const EngineFigures &figures, const ReplicaLoad &load, const PassState &state,
                    double partPrefillMs, std::uint64_t contextTokens, double pace);

/// Milliseconds of the pass that would read a part of `partPrefillMs` sent now: the pause that all
/// writers of the replica have then.
double pauseMs(const EngineFigures &figures, const ReplicaLoad &load, const PassState &state,
               double partPrefillMs, double pace);

} // namespace arbutuspier
