// The latest start follows from the prefill on as many idle replicas as may share a prompt.
#include "arbutuspier/roomwait.h"

#include "arbutuspier/forecast.h"

#include <algorithm>

namespace arbutuspier {

namespace {

/// Fraction of the objective for which a prompt waits that would be late even on idle replicas.
constexpr double kShortWaitFraction = 0.15;
/// Fraction of the objective that is left at least.
constexpr double kLeastObjectiveFraction = 0.1;

} // namespace

bool needsSeveralReplicas(const EngineFigures &figures, const PromptShape &prompt)
{
    return prompt.promptTokens + prompt.outputTokens > figures.memoryTokens;
}

Duration maxRoomWait(const EngineFigures &figures, const PromptShape &prompt,
                     std::size_t replicaCount, const PlacementOptions &options)
{
    const std::size_t most = prompt.maySplit ? options.maxHelpers + 1 : 1;
    const auto parts = static_cast<double>(std::clamp<std::size_t>(replicaCount, 1, most));
    const Duration idlePrefill = fromMilliseconds(prefillMs(figures, prompt.promptTokens) / parts);
    const Duration shortWait = fromSeconds(kShortWaitFraction * toSeconds(prompt.objective));
    return std::max(prompt.objective - idlePrefill, shortWait);
}

PromptShape afterWait(PromptShape prompt, Duration waited)
{
    const Duration least = fromSeconds(kLeastObjectiveFraction * toSeconds(prompt.objective));
    prompt.objective = std::max(prompt.objective - waited, least);
    if (prompt.timeLeft != Duration::max())
        prompt.timeLeft = std::max(prompt.timeLeft - waited, Duration::zero());
    return prompt;
}

} // namespace arbutuspier
