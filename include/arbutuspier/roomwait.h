// How long a prompt waits that needs the memory of several replicas.
//
// Shorter prompts find room within moments, as one of them ends. A larger one has to find memory
// and time for its prefill on several replicas at once. It waits as long as it can still be on
// time.
#pragma once

#include "arbutuspier/placementplan.h"

#include <cstddef>

namespace arbutuspier {

/// Whether prompt and response exceed the memory of one replica.
bool needsSeveralReplicas(const EngineFigures &figures, const PromptShape &prompt);

/// Longest time for which a prompt that needs several replicas waits for room, of `replicaCount`
/// replicas: until its latest start, from which it is on time only on idle replicas. A prompt that
/// is late even there waits for a moment, so that its caller learns soon that it has to retry.
Duration maxRoomWait(const EngineFigures &figures, const PromptShape &prompt,
                     std::size_t replicaCount, const PlacementOptions &options);

/// The prompt after it has waited: what is left of its objective and of the caller's time. A small
/// part of the objective is always left, as the least late of several placements is the best one.
PromptShape afterWait(PromptShape prompt, Duration waited);

} // namespace arbutuspier
