// What an engine will take for a prompt, from its published figures.
//
// An engine works in passes. A pass with writers runs a fixed number of token steps, and reads
// prompts between them; the first event of an answer comes at the end of the pass that reads the
// last of its prompt.
#pragma once

#include "arbutuspier/fleetload.h"
#include "arbutuspier/routetable.h"

#include <cstdint>

namespace arbutuspier {

/// Milliseconds that one idle replica takes to read a prompt of `tokens`.
double readMs(const EngineFigures &figures, std::uint64_t tokens);

/// Milliseconds of a pass with the writers of `load` and `extraContext` tokens of one more writer.
double passMs(const EngineFigures &figures, const ReplicaLoad &load, std::uint64_t extraContext);

/// Milliseconds until a prompt sent now, of which this replica reads `partReadMs`, has its first
/// event there. `pace` is how many times slower than published the replica is.
double firstEventMs(const EngineFigures &figures, const ReplicaLoad &load, double partReadMs,
                    std::uint64_t contextTokens, double pace, TimePoint now);

} // namespace arbutuspier
