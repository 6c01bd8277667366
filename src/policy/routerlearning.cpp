// Updates the state of each upstream from own attempts, load reports and failures.
#include "arbutuspier/router.h"

#include <algorithm>
#include <cmath>

namespace arbutuspier {

namespace {

constexpr double kSlowdownLearningRate = 0.1;
constexpr double kMinSlowdown = 0.5;
constexpr double kMaxSlowdown = 4.0;
constexpr int kFailuresToEject = 2;
constexpr int kMaxEjectionDoublings = 5;

} // namespace

void Router::onOpened(AttemptId attempt, const Route &route, const RequestSpec &spec,
                      LengthClass lengthClass, TimePoint now)
{
    State *state = find(route.upstream);
    if (!state)
        return;
    OpenAttempt open;
    open.upstream = route.upstream;
    open.contextTokens = spec.promptTokens;
    open.expectedCachedTokens = route.cachedTokens;
    open.uncachedTokens = spec.promptTokens - std::min(spec.promptTokens, route.cachedTokens);
    open.reservedTokens =
        lengthClass == LengthClass::ParallelGroup ? 0 : spec.promptTokens + spec.maxTokens;
    open.lengthClass = lengthClass;
    open.openedAt = now;
    const double seconds = prefillSeconds(*state, open);
    open.wasAlone = backlog(*state, LengthClass::ParallelGroup, now) < seconds / 4;
    open.predictedSeconds = backlog(*state, lengthClass, now) + seconds;
    state->ownBacklog[static_cast<std::size_t>(lengthClass)] += seconds;
    state->dispatchedSinceReport[static_cast<std::size_t>(lengthClass)] += seconds;
    ++state->ownStreams;
    ++state->streamsSinceReport;
    state->ownReservedTokens += open.reservedTokens;
    state->reservedSinceReport += open.reservedTokens;
    if (m_options.usesPrefixCache)
        state->cache.addExpected(spec.prefixBlocks);
    m_open[attempt] = open;
}

void Router::removeFromLoad(const OpenAttempt &open)
{
    State *state = find(open.upstream);
    --state->ownStreams;
    state->ownReservedTokens -= open.reservedTokens;
    if (!open.firstTokenAt)
        subtractBacklog(state->ownBacklog, open.lengthClass, prefillSeconds(*state, open));
    if (state->ownStreams == 0)
        state->ownBacklog = {};
}

void Router::onFirstToken(AttemptId attempt, TimePoint now)
{
    auto it = m_open.find(attempt);
    if (it == m_open.end() || it->second.firstTokenAt)
        return;
    OpenAttempt &open = it->second;
    State *state = find(open.upstream);
    subtractBacklog(state->ownBacklog, open.lengthClass, prefillSeconds(*state, open));
    if (m_options.learnsSlowdown && open.predictedSeconds > 0) {
        const double ratio = std::clamp(toSeconds(now - open.openedAt) / open.predictedSeconds,
                                        kMinSlowdown, kMaxSlowdown);
        state->slowdown += kSlowdownLearningRate * (ratio - state->slowdown);
    }
    if (open.wasAlone)
        state->cost.learnPrefill(open.uncachedTokens, open.contextTokens, now - open.openedAt);
    open.firstTokenAt = now;
}

void Router::onDone(AttemptId attempt, std::uint64_t tokens, std::uint64_t cachedTokens,
                    TimePoint now)
{
    auto it = m_open.find(attempt);
    if (it == m_open.end())
        return;
    const OpenAttempt open = it->second;
    State *state = find(open.upstream);
    state->consecutiveFailures = 0;
    state->cache.learn(open.expectedCachedTokens, cachedTokens);
    if (open.firstTokenAt && tokens > 1)
        state->cost.learnDecode(tokens - 1, now - *open.firstTokenAt);
    removeFromLoad(open);
    m_open.erase(it);
}

void Router::onEnded(AttemptId attempt)
{
    auto it = m_open.find(attempt);
    if (it == m_open.end())
        return;
    removeFromLoad(it->second);
    m_open.erase(it);
}

void Router::onFailure(UpstreamId upstream, TimePoint now)
{
    State *state = find(upstream);
    if (!state || ++state->consecutiveFailures < kFailuresToEject)
        return;
    const auto &group = m_byTarget.find(state->info.target)->second;
    const auto ejected = std::count_if(group.begin(), group.end(), [&](std::size_t i) {
        return now < m_states[i].ejectedUntil || m_states[i].isCrashed;
    });
    const double allowed =
        std::floor(static_cast<double>(group.size()) * m_options.maxEjectedFraction);
    if (static_cast<double>(ejected) >= allowed)
        return;
    const int doublings =
        std::min(state->consecutiveFailures - kFailuresToEject, kMaxEjectionDoublings);
    state->ejectedUntil = now + m_options.initialEjection * (1 << doublings);
}

void Router::onReport(const LoadReport &report, TimePoint now)
{
    State *state = find(report.upstream);
    if (!state)
        return;
    const bool isNewIncarnation = state->incarnation != report.incarnation;
    if (isNewIncarnation) {
        // An upstream seen for the first time may have run for long; only a later change of the
        // incarnation, or a report after a crash, means a restart that needs the slow start.
        if (state->incarnation.isValid() || state->isCrashed)
            state->startedAt = now;
        state->incarnation = report.incarnation;
        state->isDraining = false;
        state->cache.clear();
        state->consecutiveFailures = 0;
        state->ejectedUntil = {};
    }
    state->isCrashed = false;
    state->unresponsiveSince.reset();
    state->isDraining = state->isDraining || report.isDraining;
    const TimePoint at = now - report.age;
    if (state->hasReport && !isNewIncarnation && at < state->reportedAt)
        return;
    state->hasReport = true;
    state->reportedAt = at;
    state->reportedQueued = report.queuedTokens;
    state->reportedRunning = report.running;
    state->reportedFreeTokens = report.freeTokens;
    state->dispatchedSinceReport = {};
    state->streamsSinceReport = 0;
    state->reservedSinceReport = 0;
    for (const auto &[attempt, open] : m_open) {
        if (open.upstream != report.upstream || open.openedAt <= at)
            continue;
        state->dispatchedSinceReport[static_cast<std::size_t>(open.lengthClass)] +=
            prefillSeconds(*state, open);
        ++state->streamsSinceReport;
        state->reservedSinceReport += open.reservedTokens;
    }
}

void Router::onCrash(UpstreamId upstream, TimePoint)
{
    State *state = find(upstream);
    if (!state)
        return;
    state->isCrashed = true;
    state->unresponsiveSince.reset();
    state->hasReport = false;
    state->cache.clear();
}

void Router::onUnresponsive(UpstreamId upstream, TimePoint now)
{
    State *state = find(upstream);
    if (!state)
        return;
    if (!state->unresponsiveSince)
        state->unresponsiveSince = now;
    onFailure(upstream, now);
}

std::optional<TimePoint> Router::unresponsiveSince(UpstreamId upstream) const
{
    const State *state = find(upstream);
    return state ? state->unresponsiveSince : std::nullopt;
}

void Router::onCacheEvents(const CacheEvents &events)
{
    if (State *state = find(events.upstream))
        state->cache.apply(events.sequence, events.added, events.removed);
}

void Router::markDraining(UpstreamId upstream)
{
    if (State *state = find(upstream))
        state->isDraining = true;
}

bool Router::isDraining(UpstreamId upstream) const
{
    const State *state = find(upstream);
    return state && state->isDraining;
}

bool Router::isPresent(UpstreamId upstream) const
{
    const State *state = find(upstream);
    return state && !state->isDraining && !state->isCrashed && !state->unresponsiveSince;
}

bool Router::isUsable(UpstreamId upstream, TimePoint now) const
{
    const State *state = find(upstream);
    return state && isUsable(*state, now);
}

Incarnation Router::incarnation(UpstreamId upstream) const
{
    const State *state = find(upstream);
    return state ? state->incarnation : Incarnation{};
}

std::size_t Router::inFlight(UpstreamId upstream) const
{
    const State *state = find(upstream);
    return state ? state->ownStreams : 0;
}

} // namespace arbutuspier
