// Linear terms for tokens and decode iterations, and a quadratic one for attention in the prompt.
#include "arbutuspier/forecast.h"

#include <algorithm>

namespace arbutuspier {

namespace {

constexpr double kMillion = 1e6;
constexpr double kThousand = 1e3;
/// Fraction of a pass that remains on average when a request arrives at a random time.
constexpr double kMeanPassRemainder = 0.5;

} // namespace

double prefillMs(const EngineFigures &figures, std::uint64_t tokens)
{
    const auto n = static_cast<double>(tokens);
    const double linear = figures.prefillTokensPerMs > 0 ? n / figures.prefillTokensPerMs : 0;
    constexpr double kPairsPerSquare = 0.5;
    return linear + figures.pairMsPerMillion * kPairsPerSquare * n * n / kMillion;
}

double decodeStepsMs(const EngineFigures &figures, std::uint32_t decodingRequests,
                     std::uint64_t contextTokens)
{
    const double iterationMs = figures.stepMs + figures.stepMsPerSequence * decodingRequests
        + figures.stepMsPerThousandContext * static_cast<double>(contextTokens) / kThousand;
    return iterationMs * figures.stepsPerPass;
}

PassState passState(const EngineFigures &figures, const ReplicaLoad &load, double slowdown,
                    TimePoint now)
{
    const double decodeMs = load.decodingRequests > 0
        ? slowdown * decodeStepsMs(figures, load.decodingRequests, load.contextTokens)
        : 0;
    PassState state;
    if (load.pendingPrefills.empty()) {
        state.currentPassRemainderMs = kMeanPassRemainder * decodeMs;
        return state;
    }
    // Replays the passes since the first pending prefill was sent, in milliseconds from that time.
    // That prefill is assumed to have arrived in the middle of a pass.
    const TimePoint origin = load.pendingPrefills.front().sentAt;
    const double nowMs = toMilliseconds(now - origin);
    double passStartMs = kMeanPassRemainder * decodeMs;
    std::size_t next = 0;
    while (next < load.pendingPrefills.size()) {
        double passMs = decodeMs;
        std::size_t last = next;
        while (last < load.pendingPrefills.size()
               && toMilliseconds(load.pendingPrefills[last].sentAt - origin) <= passStartMs) {
            passMs += slowdown * load.pendingPrefills[last].prefillMs;
            ++last;
        }
        if (last == next)
            break;
        next = last;
        passStartMs += passMs;
        if (passStartMs > nowMs)
            break;
    }
    state.currentPassRemainderMs = std::max(0.0, passStartMs - nowMs);
    for (; next < load.pendingPrefills.size(); ++next) {
        state.waitingPrefillMs += slowdown * load.pendingPrefills[next].prefillMs;
        ++state.waitingPrefills;
    }
    return state;
}

double timeToFirstTokenMs(const EngineFigures &figures, const ReplicaLoad &load,
                          const PassState &state, double partPrefillMs, std::uint64_t contextTokens,
                          double slowdown)
{
    const double decodeMs =
        decodeStepsMs(figures, load.decodingRequests + 1, load.contextTokens + contextTokens);
    return state.currentPassRemainderMs + state.waitingPrefillMs
        + slowdown * (partPrefillMs + decodeMs);
}

double eventGapMs(const EngineFigures &figures, const ReplicaLoad &load, const PassState &state,
                  double partPrefillMs, double slowdown)
{
    const double decodeMs = decodeStepsMs(figures, load.decodingRequests, load.contextTokens);
    return state.waitingPrefillMs + slowdown * (partPrefillMs + decodeMs);
}

} // namespace arbutuspier
