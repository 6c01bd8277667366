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

double stepsMs(const EngineFigures &figures, std::uint32_t writers, std::uint64_t contextTokens)
{
    const double step = figures.stepMs + figures.stepMsPerSequence * writers
        + figures.stepMsPerThousandContext * static_cast<double>(contextTokens) / kThousand;
    return step * figures.stepsPerPass;
}

PassState passState(const EngineFigures &figures, const ReplicaLoad &load, double pace,
                    TimePoint now)
{
    const double steps =
        load.writers > 0 ? pace * stepsMs(figures, load.writers, load.contextTokens) : 0;
    PassState state;
    if (load.reads.empty()) {
        state.presentMs = kPassLeft * steps;
        return state;
    }
    // Times in milliseconds from the first read on; it met a pass of the writers half way.
    const TimePoint origin = load.reads.front().sentAt;
    const double end = toMilliseconds(now - origin);
    double passStart = kPassLeft * steps;
    std::size_t next = 0;
    while (next < load.reads.size()) {
        double length = steps;
        std::size_t last = next;
        while (last < load.reads.size()
               && toMilliseconds(load.reads[last].sentAt - origin) <= passStart) {
            length += pace * load.reads[last].readMs;
            ++last;
        }
        if (last == next)
            break;
        next = last;
        passStart += length;
        if (passStart > end)
            break;
    }
    state.presentMs = std::max(0.0, passStart - end);
    for (; next < load.reads.size(); ++next) {
        state.waitingMs += pace * load.reads[next].readMs;
        ++state.waitingReads;
    }
    return state;
}

double firstEventMs(const EngineFigures &figures, const ReplicaLoad &load, const PassState &state,
                    double partReadMs, std::uint64_t contextTokens, double pace)
{
    const double steps = stepsMs(figures, load.writers + 1, load.contextTokens + contextTokens);
    return state.presentMs + state.waitingMs + pace * (partReadMs + steps);
}

double pauseMs(const EngineFigures &figures, const ReplicaLoad &load, const PassState &state,
               double partReadMs, double pace)
{
    const double steps = stepsMs(figures, load.writers, load.contextTokens);
    return state.waitingMs + pace * (partReadMs + steps);
}

} // namespace arbutuspier
