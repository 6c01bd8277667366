// Linear terms for tokens and steps, a square one for attention over the prompt.
#include "arbutuspier/forecast.h"

#include <algorithm>

namespace arbutuspier {

namespace {

constexpr double kMillion = 1e6;
constexpr double kThousand = 1e3;
/// A new request meets a pass on average half way.
constexpr double kPassLeft = 0.5;

} // namespace

double readMs(const EngineFigures &figures, std::uint64_t tokens)
{
    const auto n = static_cast<double>(tokens);
    const double linear = figures.readTokensPerMs > 0 ? n / figures.readTokensPerMs : 0;
    constexpr double kPairsPerSquare = 0.5;
    return linear + figures.pairMsPerMillion * kPairsPerSquare * n * n / kMillion;
}

double passMs(const EngineFigures &figures, const ReplicaLoad &load, std::uint64_t extraContext)
{
    const double writers = load.writers + 1.0;
    const double context = static_cast<double>(load.contextTokens + extraContext);
    const double step = figures.stepMs + figures.stepMsPerSequence * writers
        + figures.stepMsPerThousandContext * context / kThousand;
    return step * figures.stepsPerPass;
}

double firstEventMs(const EngineFigures &figures, const ReplicaLoad &load, double partReadMs,
                    std::uint64_t contextTokens, double pace, TimePoint now)
{
    const double waiting = std::max(0.0, toSeconds(load.busyUntil - now) * kThousand);
    const double present = load.writers > 0 ? kPassLeft * passMs(figures, load, 0) : 0;
    const double own = partReadMs + passMs(figures, load, contextTokens);
    return waiting + pace * (present + own);
}

} // namespace arbutuspier
