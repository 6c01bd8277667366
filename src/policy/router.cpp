// Choice of an upstream: predicts the TTFT from delayed load reports and own dispatches.
#include "arbutuspier/router.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace arbutuspier {

namespace {

constexpr double kNearBestFactor = 1.10;
constexpr double kNearBestSeconds = 0.005;
constexpr double kSlowStartFloor = 0.1;
/// Fraction of an engine's memory that parallel groups plan with.
constexpr double kUsableMemoryFraction = 0.9;

std::uint64_t parallelGroupOrder(std::string_view target, UpstreamId upstream)
{
    return XXH64(target.data(), target.size(), upstream.value);
}

std::uint64_t fingerprintOrder(Fingerprint fingerprint, UpstreamId upstream)
{
    return XXH64(&upstream.value, sizeof(upstream.value), fingerprint.value);
}

bool contains(std::span<const UpstreamId> list, UpstreamId upstream)
{
    return std::find(list.begin(), list.end(), upstream) != list.end();
}

std::uint64_t neededTokens(const RequestSpec &spec)
{
    return spec.promptTokens + spec.maxTokens;
}

} // namespace

Router::State::State(const UpstreamInfo &i)
    : info(i)
    , cache(std::max<std::uint64_t>(i.memoryTokens / kPrefixBlockTokens, 1))
{
}

Router::Router(std::string zone, std::span<const UpstreamInfo> upstreams, RouterOptions options)
    : m_zone(std::move(zone))
    , m_options(options)
{
    for (const UpstreamInfo &upstream : upstreams) {
        m_index[upstream.id] = m_states.size();
        m_byTarget[upstream.target].push_back(m_states.size());
        m_states.emplace_back(upstream);
    }
    for (auto &[target, list] : m_byTarget) {
        std::sort(list.begin(), list.end(), [&, &name = target](std::size_t a, std::size_t b) {
            return parallelGroupOrder(name, m_states[a].info.id)
                < parallelGroupOrder(name, m_states[b].info.id);
        });
    }
}

Router::State *Router::find(UpstreamId upstream)
{
    auto it = m_index.find(upstream);
    return it == m_index.end() ? nullptr : &m_states[it->second];
}

const Router::State *Router::find(UpstreamId upstream) const
{
    auto it = m_index.find(upstream);
    return it == m_index.end() ? nullptr : &m_states[it->second];
}

const UpstreamInfo *Router::info(UpstreamId upstream) const
{
    const State *state = find(upstream);
    return state ? &state->info : nullptr;
}

std::vector<UpstreamId> Router::upstreamsFor(RequestKind kind, std::string_view target) const
{
    std::vector<UpstreamId> found;
    auto it = m_byTarget.find(target);
    if (it == m_byTarget.end())
        return found;
    for (std::size_t i : it->second) {
        if (m_states[i].info.kind == kind)
            found.push_back(m_states[i].info.id);
    }
    return found;
}

bool Router::isUsable(const State &state, TimePoint now) const
{
    return !state.isDraining && !state.isCrashed && now >= state.ejectedUntil;
}

std::size_t Router::usableCount(RequestKind kind, std::string_view target, TimePoint now) const
{
    auto it = m_byTarget.find(target);
    if (it == m_byTarget.end())
        return 0;
    return static_cast<std::size_t>(
        std::count_if(it->second.begin(), it->second.end(), [&](std::size_t i) {
            return m_states[i].info.kind == kind && isUsable(m_states[i], now);
        }));
}

double Router::backlog(const State &state, LengthClass lengthClass, TimePoint now) const
{
    double own = 0;
    double reported = 0;
    double dispatched = 0;
    for (std::size_t i = 0; i <= static_cast<std::size_t>(lengthClass); ++i) {
        own += state.ownBacklog[i];
        dispatched += state.dispatchedSinceReport[i];
        reported +=
            static_cast<double>(state.reportedQueued[i]) * state.cost.parameters().secondsPerToken;
    }
    if (!state.hasReport)
        return own;
    const double drained = toSeconds(now - state.reportedAt) / state.slowdown;
    const double dispatchingVms =
        m_options.assumesOthersDispatch ? static_cast<double>(m_fleetSize) : 1.0;
    return std::max(own, std::max(0.0, reported + dispatched * dispatchingVms - drained));
}

double Router::prefillSeconds(const State &state, const OpenAttempt &open) const
{
    return toSeconds(state.cost.prefill(open.uncachedTokens, open.contextTokens));
}

void Router::subtractBacklog(LengthClassSeconds &seconds, LengthClass lengthClass,
                             double prefillSeconds)
{
    double &target = seconds[static_cast<std::size_t>(lengthClass)];
    target = std::max(0.0, target - prefillSeconds);
}

std::uint64_t Router::freeTokens(const State &state) const
{
    const std::uint64_t total = state.info.memoryTokens;
    const std::uint64_t ownFree =
        total > state.ownReservedTokens ? total - state.ownReservedTokens : 0;
    if (!state.hasReport)
        return ownFree;
    const std::uint64_t free = state.reportedFreeTokens > state.reservedSinceReport
        ? state.reportedFreeTokens - state.reservedSinceReport
        : 0;
    return std::min(free, ownFree);
}

Duration Router::predictOn(const State &state, const RequestSpec &spec, LengthClass lengthClass,
                           TimePoint now, std::uint64_t *cachedOut) const
{
    std::uint64_t cached = 0;
    if (m_options.usesPrefixCache)
        cached = std::min(state.cache.cachedTokens(spec.prefixBlocks), spec.promptTokens);
    if (cachedOut)
        *cachedOut = cached;
    const double wait = backlog(state, lengthClass, now);
    const double prefill =
        toSeconds(state.cost.prefill(spec.promptTokens - cached, spec.promptTokens));
    Duration predicted = fromSeconds((wait + prefill) * state.slowdown);
    if (state.info.zone != m_zone)
        predicted += m_options.otherZonePenalty;
    return predicted;
}

bool Router::hasRoom(const State &state, const RequestSpec &spec, LengthClass lengthClass,
                     TimePoint now) const
{
    double rampUp = 1.0;
    if (now < state.startedAt + m_options.slowStart && state.startedAt != TimePoint{}) {
        const double age = toSeconds(now - state.startedAt) / toSeconds(m_options.slowStart);
        rampUp = std::max(kSlowStartFloor, age);
    }
    const auto maxStreams = static_cast<std::size_t>(std::ceil(m_options.maxStreams * rampUp));
    const std::size_t streams = std::max<std::size_t>(
        state.ownStreams, state.hasReport ? state.reportedRunning + state.streamsSinceReport : 0);
    if (streams >= maxStreams)
        return false;
    if (spec.kind == RequestKind::ServiceCall)
        return true;
    if (lengthClass != LengthClass::ParallelGroup && freeTokens(state) < neededTokens(spec))
        return false;
    const Duration limit =
        lengthClass == LengthClass::Short ? m_options.maxShortBacklog : m_options.maxLongBacklog;
    return backlog(state, lengthClass, now) * state.slowdown <= toSeconds(limit) * rampUp;
}

std::optional<Route> Router::choose(const RequestSpec &spec, LengthClass lengthClass,
                                    std::span<const UpstreamId> avoid, TimePoint now,
                                    Random &random)
{
    if (m_options.mode != RoutingMode::Predicted)
        return chooseBaseline(spec, avoid, now, random);
    auto it = m_byTarget.find(spec.target);
    if (it == m_byTarget.end())
        return std::nullopt;
    std::vector<Route> routes;
    Duration best = Duration::max();
    for (std::size_t i : it->second) {
        const State &state = m_states[i];
        if (state.info.kind != spec.kind || !isUsable(state, now))
            continue;
        if (contains(avoid, state.info.id))
            continue;
        if (!hasRoom(state, spec, lengthClass, now))
            continue;
        Route route{state.info.id, {}, 0};
        route.firstToken = predictOn(state, spec, lengthClass, now, &route.cachedTokens);
        best = std::min(best, route.firstToken);
        routes.push_back(route);
    }
    if (routes.empty())
        return std::nullopt;
    const Duration nearBest = fromSeconds(toSeconds(best) * kNearBestFactor + kNearBestSeconds);
    const Duration bound = m_options.avoidsHerding ? nearBest : best;
    std::erase_if(routes, [&](const Route &route) { return route.firstToken > bound; });
    if (!m_options.avoidsHerding || !spec.fingerprint.isValid())
        return routes[uniformIndex(random, routes.size())];
    // All VMs send requests with equal content to the same upstream. Different requests get
    // different upstreams, so that VMs that act on the same report do not herd.
    return *std::min_element(routes.begin(), routes.end(), [&](const Route &a, const Route &b) {
        return fingerprintOrder(spec.fingerprint, a.upstream)
            < fingerprintOrder(spec.fingerprint, b.upstream);
    });
}

std::optional<Route> Router::chooseBaseline(const RequestSpec &spec,
                                            std::span<const UpstreamId> avoid, TimePoint now,
                                            Random &random)
{
    auto it = m_byTarget.find(spec.target);
    if (it == m_byTarget.end())
        return std::nullopt;
    std::vector<const State *> usable;
    for (std::size_t i : it->second) {
        const State &state = m_states[i];
        if (state.info.kind == spec.kind && !state.isDraining && !state.isCrashed
            && !contains(avoid, state.info.id))
            usable.push_back(&state);
    }
    if (usable.empty())
        return std::nullopt;
    const auto outstanding = [](const State *state) {
        return state->hasReport ? state->reportedRunning + state->streamsSinceReport
                                : state->ownStreams;
    };
    const State *chosen = nullptr;
    switch (m_options.mode) {
    case RoutingMode::RoundRobin:
        chosen = usable[m_roundRobin++ % usable.size()];
        break;
    case RoutingMode::LeastOutstanding:
        chosen =
            *std::min_element(usable.begin(), usable.end(), [&](const State *a, const State *b) {
                return outstanding(a) < outstanding(b);
            });
        break;
    case RoutingMode::TwoChoices:
    case RoutingMode::Predicted: {
        const State *a = usable[uniformIndex(random, usable.size())];
        const State *b = usable[uniformIndex(random, usable.size())];
        chosen = outstanding(a) <= outstanding(b) ? a : b;
        break;
    }
    }
    Route route{chosen->info.id, {}, 0};
    route.firstToken = predictOn(*chosen, spec, LengthClass::Medium, now, &route.cachedTokens);
    return route;
}

std::optional<Duration> Router::predictTimeToFirstToken(const RequestSpec &spec,
                                                        LengthClass lengthClass,
                                                        TimePoint now) const
{
    auto it = m_byTarget.find(spec.target);
    if (it == m_byTarget.end())
        return std::nullopt;
    std::optional<Duration> best;
    for (std::size_t i : it->second) {
        const State &state = m_states[i];
        if (state.info.kind != spec.kind || !isUsable(state, now))
            continue;
        const Duration predicted = predictOn(state, spec, lengthClass, now, nullptr);
        if (!best || predicted < *best)
            best = predicted;
    }
    return best;
}

Duration Router::typicalPrefill(const RequestSpec &spec) const
{
    auto it = m_byTarget.find(spec.target);
    if (it == m_byTarget.end() || it->second.empty())
        return CostModel().prefill(spec.promptTokens, spec.promptTokens);
    return m_states[it->second.front()].cost.prefill(spec.promptTokens, spec.promptTokens);
}

std::size_t Router::parallelGroupSize(const RequestSpec &spec) const
{
    auto it = m_byTarget.find(spec.target);
    if (it == m_byTarget.end())
        return 0;
    std::map<std::string_view, std::size_t> enginesByZone;
    std::uint64_t smallest = 0;
    for (std::size_t i : it->second) {
        const UpstreamInfo &info = m_states[i].info;
        if (info.kind != RequestKind::Prompt)
            continue;
        ++enginesByZone[info.zone];
        smallest = smallest == 0 ? info.memoryTokens : std::min(smallest, info.memoryTokens);
    }
    if (smallest == 0)
        return 0;
    const double usable = static_cast<double>(smallest) * kUsableMemoryFraction;
    const auto needed =
        static_cast<std::size_t>(std::ceil(static_cast<double>(neededTokens(spec)) / usable));
    const bool fitsSomeZone =
        std::any_of(enginesByZone.begin(), enginesByZone.end(),
                    [&](const auto &entry) { return entry.second >= needed; });
    return fitsSomeZone ? needed : 0;
}

std::vector<UpstreamId> Router::chooseParallelGroup(const RequestSpec &spec, bool isSuspect,
                                                    TimePoint now) const
{
    const std::size_t needed = parallelGroupSize(spec);
    auto it = m_byTarget.find(spec.target);
    if (needed == 0 || it == m_byTarget.end())
        return {};
    const std::uint64_t tokensPerEngine = neededTokens(spec) / needed + 1;
    std::map<std::string_view, std::vector<UpstreamId>> byZone;
    // Parallel groups use the order from the back, as long prompts fill the engines from the front.
    for (auto i = it->second.rbegin(); i != it->second.rend(); ++i) {
        const State &state = m_states[*i];
        const bool isEligible = isSuspect
            ? isPresent(state.info.id)
            : isUsable(state, now) && freeTokens(state) >= tokensPerEngine;
        if (state.info.kind == RequestKind::Prompt && isEligible)
            byZone[state.info.zone].push_back(state.info.id);
    }
    std::erase_if(byZone, [&](const auto &entry) { return entry.second.size() < needed; });
    if (byZone.empty())
        return {};
    auto best = byZone.find(m_zone);
    if (isSuspect || best == byZone.end())
        best = byZone.begin();
    std::vector<UpstreamId> chosen = best->second;
    if (isSuspect)
        std::sort(chosen.begin(), chosen.end(), [&](UpstreamId a, UpstreamId b) {
            return fingerprintOrder(spec.fingerprint, a) < fingerprintOrder(spec.fingerprint, b);
        });
    chosen.resize(needed);
    return chosen;
}

} // namespace arbutuspier
