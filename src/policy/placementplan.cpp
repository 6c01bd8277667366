// Gives each possible placement a cost, in late short responses, and chooses the cheapest.
#include "arbutuspier/placementplan.h"

#include "arbutuspier/forecast.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <limits>
#include <tuple>

namespace arbutuspier {

namespace {

/// Costs that differ by less than this count as equal; the packing order then decides.
constexpr double kCostResolution = 0.05;
/// Numbers of replicas, the primary included, over which a split is tried.
constexpr std::array<std::uint32_t, 10> kSplitCounts = {2, 3, 4, 5, 6, 8, 10, 12, 14, 17};

/// A candidate with its progress through its passes, which is the same for all placements.
struct EvaluatedCandidate
{
    const PlacementCandidate *candidate = nullptr;
    PassState pass;
};

using EvaluatedCandidates = std::vector<EvaluatedCandidate>;

/// A candidate with the cost of placing a part of a certain prefill time on it.
struct CostedCandidate
{
    EvaluatedCandidate evaluated;
    double cost = 0;
};

using CostedCandidates = std::vector<CostedCandidate>;

class PromptPlacer
{
public:
    PromptPlacer(const EngineFigures &figures, const PromptShape &prompt,
                 const PlacementOptions &options, TimePoint now)
        : m_figures(figures)
        , m_prompt(prompt)
        , m_options(options)
        , m_now(now)
        , m_fullPrefillMs(prefillMs(figures, prompt.promptTokens))
    {
    }

    std::optional<Placement> place(std::span<const PlacementCandidate> all)
    {
        m_replicaCount = all.size();
        for (const PlacementCandidate &candidate : all) {
            m_decodingRequests += candidate.load.decodingRequests;
            m_prefillingReplicas += candidate.load.pendingPrefills.empty() ? 0 : 1;
        }
        const EvaluatedCandidates allEvaluated = evaluate(all);
        EvaluatedCandidates primaries;
        std::copy_if(
            allEvaluated.begin(), allEvaluated.end(), std::back_inserter(primaries),
            [&](const EvaluatedCandidate &evaluated) { return hasRoom(*evaluated.candidate); });
        std::optional<Placement> best;
        if (!primaries.empty())
            best = placeOnOneReplica(primaries);
        if (!m_prompt.maySplit || !isWorthSplitting())
            return best;
        EvaluatedCandidates helpers;
        std::copy_if(
            allEvaluated.begin(), allEvaluated.end(), std::back_inserter(helpers),
            [](const EvaluatedCandidate &evaluated) { return canHelp(*evaluated.candidate); });
        for (std::uint32_t parts : kSplitCounts) {
            const bool isPossible = parts <= helpers.size() && parts <= m_options.maxHelpers + 1;
            if (!isPossible)
                continue;
            if (primaries.empty())
                trySplitMemory(parts, allEvaluated, helpers, best);
            else
                trySplit(parts, primaries, helpers, best);
        }
        return best;
    }

private:
    EvaluatedCandidates evaluate(std::span<const PlacementCandidate> all) const
    {
        EvaluatedCandidates allEvaluated;
        allEvaluated.reserve(all.size());
        for (const PlacementCandidate &candidate : all) {
            allEvaluated.push_back(
                {&candidate, passState(m_figures, candidate.load, candidate.slowdown, m_now)});
        }
        return allEvaluated;
    }

    /// False for a prompt so short that a part would take hardly less time than the pass that
    /// prefills it.
    bool isWorthSplitting() const { return m_fullPrefillMs > m_options.minSplitPrefillMs; }

    /// Long prompts use the end of the packing order, where few short responses are decoded.
    bool isLong() const { return m_fullPrefillMs > m_options.longPrefillMs; }

    std::uint64_t neededTokens() const { return m_prompt.promptTokens + m_prompt.outputTokens; }

    std::uint64_t freeTokens(const PlacementCandidate &candidate) const
    {
        const auto usable = static_cast<std::uint64_t>(usableTokens(m_figures, m_options));
        return usable - std::min(usable, candidate.load.memoryTokens);
    }

    static bool hasSlot(const PlacementCandidate &candidate)
    {
        return candidate.load.running < candidate.slots;
    }

    static bool canHelp(const PlacementCandidate &candidate)
    {
        return !candidate.isRateLimited && candidate.load.helperPrefills < candidate.slots;
    }

    bool hasRoom(const PlacementCandidate &candidate) const
    {
        return hasSlot(candidate) && neededTokens() <= freeTokens(candidate);
    }

    double lateProbability(double ttftMs) const
    {
        const double ratio = ttftMs / std::max(1.0, toMilliseconds(m_prompt.objective));
        const double chance =
            (ratio - m_options.safeObjectiveFraction) / m_options.lateObjectiveFraction;
        // A small slope beyond a probability of one, so that an even later response costs more.
        constexpr double kSlope = 0.05;
        return std::clamp(chance, 0.0, 1.0) + kSlope * std::max(0.0, ratio - 1.0);
    }

    double weight() const { return promptWeight(m_prompt.promptTokens, m_options); }

    /// Responses that become late on a replica if it prefills for another `partMs`.
    double delayCost(const EvaluatedCandidate &evaluated, double partMs) const
    {
        const PlacementCandidate &candidate = *evaluated.candidate;
        const double gapMs =
            eventGapMs(m_figures, candidate.load, evaluated.pass, partMs, candidate.slowdown);
        const double delay =
            candidate.slowdown * partMs / std::max(1.0, toMilliseconds(m_prompt.objective));
        return candidate.load.weightDelayedBy(fromMilliseconds(gapMs))
            + evaluated.pass.waitingPrefills * delay;
    }

    /// Responses to requests that arrive while `parts` replicas prefill for `partMs` each, and that
    /// become late because of it.
    double arrivalDelayCost(std::uint32_t parts, double partMs) const
    {
        const double share = static_cast<double>(parts) / static_cast<double>(m_replicaCount);
        const double arrivalsPerMs = m_decodingRequests / m_options.meanDecodeMs;
        return arrivalsPerMs * partMs * share * share * share;
    }

    /// Milliseconds to decode the response if the prompt is spread over `parts` replicas.
    double decodeMs(std::uint32_t parts) const
    {
        const double passes = std::ceil(static_cast<double>(m_prompt.outputTokens)
                                        / std::max(1U, m_figures.stepsPerPass));
        return passes * decodeStepsMs(m_figures, 1, m_prompt.promptTokens / parts);
    }

    /// Short responses that the replicas could complete in the time that this prompt takes: none
    /// while the fleet is idle, all of them while every replica has a prefill.
    double displacedCost() const
    {
        const double busy = m_prefillingReplicas / static_cast<double>(m_replicaCount);
        return m_options.shortResponsesPerReplicaMs * m_fullPrefillMs * busy;
    }

    static double ejectionCost(const EvaluatedCandidate &evaluated)
    {
        constexpr double kEjectedCost = 100.0;
        return evaluated.candidate->isEjected ? kEjectedCost : 0.0;
    }

    std::optional<Placement> placeOnOneReplica(const EvaluatedCandidates &primaries)
    {
        const EvaluatedCandidate *best = nullptr;
        std::tuple<double, bool, bool, bool, std::uint64_t> bestKey;
        const bool fromBack = isLong();
        for (const EvaluatedCandidate &primary : primaries) {
            const PlacementCandidate &candidate = *primary.candidate;
            const double firstTokenMs = candidateTtftMs(primary, m_fullPrefillMs);
            const double cost = weight() * lateProbability(firstTokenMs)
                + delayCost(primary, m_fullPrefillMs) + ejectionCost(primary);
            const double packed = m_options.packedSlotFraction * candidate.slots;
            const bool isFull = candidate.load.running >= packed;
            const std::uint64_t order = fromBack ? ~candidate.packingOrder : candidate.packingOrder;
            const bool isForOthers = !fromBack && !candidate.isPreferred;
            const std::tuple key = {std::floor(cost / kCostResolution), isFull,
                                    !candidate.isLocalZone, isForOthers, order};
            if (best && key >= bestKey)
                continue;
            best = &primary;
            bestKey = key;
        }
        m_bestCost = std::get<0>(bestKey) * kCostResolution;
        return Placement{
            best->candidate->replica, {}, m_fullPrefillMs, candidateTtftMs(*best, m_fullPrefillMs)};
    }

    double candidateTtftMs(const EvaluatedCandidate &evaluated, double partMs) const
    {
        const PlacementCandidate &candidate = *evaluated.candidate;
        return timeToFirstTokenMs(m_figures, candidate.load, evaluated.pass, partMs,
                                  m_prompt.promptTokens, candidate.slowdown);
    }

    /// Cost of placing a part on this replica, without the cost of a late response of its own.
    double partCost(const EvaluatedCandidate &evaluated, double partMs) const
    {
        const double waiting =
            evaluated.pass.currentPassRemainderMs + evaluated.pass.waitingPrefillMs;
        const double objective = std::max(1.0, toMilliseconds(m_prompt.objective));
        return delayCost(evaluated, partMs) + weight() * waiting / objective
            + ejectionCost(evaluated);
    }

    CostedCandidates withCosts(const EvaluatedCandidates &allEvaluated, double partMs) const
    {
        CostedCandidates result;
        result.reserve(allEvaluated.size());
        for (const EvaluatedCandidate &evaluated : allEvaluated)
            result.push_back({evaluated, partCost(evaluated, partMs)});
        return result;
    }

    /// The `count` cheapest helpers other than the primary; empty if there are fewer.
    template <class Less>
    static std::optional<CostedCandidates> cheapestHelpers(const CostedCandidate &primary,
                                                           CostedCandidates helpers,
                                                           std::size_t count, Less isCheaper)
    {
        std::erase_if(helpers, [&](const CostedCandidate &helper) {
            return helper.evaluated.candidate == primary.evaluated.candidate;
        });
        if (helpers.size() < count)
            return std::nullopt;
        std::sort(helpers.begin(), helpers.end(), isCheaper);
        helpers.resize(count);
        return helpers;
    }

    void trySplit(std::uint32_t parts, const EvaluatedCandidates &primaries,
                  const EvaluatedCandidates &helpers, std::optional<Placement> &best)
    {
        const double partMs = m_fullPrefillMs / parts;
        const auto key = [](const CostedCandidate &costed) {
            const PlacementCandidate &candidate = *costed.evaluated.candidate;
            return std::tuple(costed.cost, !candidate.isLocalZone, ~candidate.packingOrder);
        };
        const auto isCheaper = [&](const CostedCandidate &a, const CostedCandidate &b) {
            return key(a) < key(b);
        };
        const CostedCandidates costedPrimaries = withCosts(primaries, partMs);
        const CostedCandidate &primary =
            *std::min_element(costedPrimaries.begin(), costedPrimaries.end(), isCheaper);
        const auto others =
            cheapestHelpers(primary, withCosts(helpers, partMs), parts - 1, isCheaper);
        if (!others)
            return;
        double firstTokenMs = candidateTtftMs(primary.evaluated, partMs);
        double cost = delayCost(primary.evaluated, partMs) + ejectionCost(primary.evaluated)
            + m_options.helperCost * parts + arrivalDelayCost(parts, partMs);
        for (const CostedCandidate &helper : *others) {
            firstTokenMs = std::max(firstTokenMs, candidateTtftMs(helper.evaluated, partMs));
            cost += delayCost(helper.evaluated, partMs) + ejectionCost(helper.evaluated);
        }
        cost += weight() * lateProbability(firstTokenMs);
        if (cost + kCostResolution >= m_bestCost)
            return;
        m_bestCost = cost;
        best = Placement{primary.evaluated.candidate->replica, {}, partMs, firstTokenMs};
        for (const CostedCandidate &helper : *others)
            best->helpers.push_back({helper.evaluated.candidate->replica, 0});
    }

    /// For a prompt that exceeds the free memory of each replica: the primary holds as much as it
    /// can, and the helpers with the most free memory hold the rest.
    void trySplitMemory(std::uint32_t parts, const EvaluatedCandidates &allEvaluated,
                        const EvaluatedCandidates &helpers, std::optional<Placement> &best)
    {
        const double partMs = m_fullPrefillMs / parts;
        const auto isCheaper = [](const CostedCandidate &a, const CostedCandidate &b) {
            return a.cost < b.cost;
        };
        EvaluatedCandidates primaries;
        std::copy_if(allEvaluated.begin(), allEvaluated.end(), std::back_inserter(primaries),
                     [&](const EvaluatedCandidate &evaluated) {
                         return hasSlot(*evaluated.candidate)
                             && freeTokens(*evaluated.candidate) > m_prompt.outputTokens;
                     });
        const CostedCandidates costedPrimaries = withCosts(primaries, partMs);
        if (costedPrimaries.empty())
            return;
        const CostedCandidate &primary =
            *std::min_element(costedPrimaries.begin(), costedPrimaries.end(), isCheaper);
        const auto others =
            cheapestHelpers(primary, withCosts(helpers, partMs), parts - 1, isCheaper);
        if (!others)
            return;
        Placement placement{primary.evaluated.candidate->replica,
                            {},
                            partMs,
                            candidateTtftMs(primary.evaluated, partMs)};
        double total =
            primary.cost + m_options.helperCost * parts + arrivalDelayCost(parts, partMs);
        for (const CostedCandidate &helper : *others) {
            placement.timeToFirstTokenMs =
                std::max(placement.timeToFirstTokenMs, candidateTtftMs(helper.evaluated, partMs));
            placement.helpers.push_back({helper.evaluated.candidate->replica, 0});
            total += helper.cost;
        }
        if (placement.timeToFirstTokenMs + decodeMs(parts) > toMilliseconds(m_prompt.timeLeft))
            return;
        const double lateChance = lateProbability(placement.timeToFirstTokenMs);
        const double gain =
            weight() * (1.0 - m_options.lateLossFraction * std::min(1.0, lateChance));
        if (total + displacedCost() > gain)
            return;
        total += weight() * lateChance;
        if (best && total >= m_bestCost)
            return;
        if (!reserveOnHelpers(*others, freeTokens(*primary.evaluated.candidate), placement))
            return;
        m_bestCost = total;
        best = std::move(placement);
    }

    /// Reserves the memory that the primary lacks on the helpers, those with the most free memory
    /// first. Returns false if the helpers lack it too.
    bool reserveOnHelpers(CostedCandidates helperCandidates, std::uint64_t primaryTokens,
                          Placement &placement) const
    {
        std::uint64_t missing = neededTokens() - std::min(neededTokens(), primaryTokens);
        const auto freeOf = [&](const CostedCandidate &costed) {
            return freeTokens(*costed.evaluated.candidate);
        };
        std::sort(helperCandidates.begin(), helperCandidates.end(),
                  [&](const auto &a, const auto &b) { return freeOf(a) > freeOf(b); });
        for (const CostedCandidate &costed : helperCandidates) {
            const std::uint64_t tokens = std::min(missing, freeOf(costed));
            const auto helper =
                std::find_if(placement.helpers.begin(), placement.helpers.end(),
                             [&](const HelperPlacement &other) {
                                 return other.replica == costed.evaluated.candidate->replica;
                             });
            helper->reservedTokens = tokens;
            missing -= tokens;
        }
        return missing == 0;
    }

    const EngineFigures &m_figures;
    const PromptShape &m_prompt;
    const PlacementOptions &m_options;
    TimePoint m_now;
    double m_fullPrefillMs;
    std::size_t m_replicaCount = 1;
    /// Requests that decode on any replica.
    double m_decodingRequests = 0;
    /// Replicas with a pending prefill.
    double m_prefillingReplicas = 0;
    double m_bestCost = std::numeric_limits<double>::max();
};

} // namespace

double promptWeight(std::uint64_t promptTokens, const PlacementOptions &options)
{
    return std::max(1.0, static_cast<double>(promptTokens) / options.promptTokensPerShortResponse);
}

double usableTokens(const EngineFigures &figures, const PlacementOptions &options)
{
    return (1.0 - options.memoryMarginFraction) * static_cast<double>(figures.memoryTokens);
}

std::optional<Placement> placePrompt(const EngineFigures &figures, const PromptShape &prompt,
                                     std::span<const PlacementCandidate> candidates,
                                     const PlacementOptions &options, TimePoint now)
{
    return PromptPlacer(figures, prompt, options, now).place(candidates);
}

std::optional<std::string> placeCall(std::span<const PlacementCandidate> candidates)
{
    const PlacementCandidate *best = nullptr;
    const auto key = [](const PlacementCandidate &candidate) {
        return std::tuple(candidate.isEjected, candidate.load.running * candidate.slowdown,
                          !candidate.isLocalZone, candidate.packingOrder);
    };
    for (const PlacementCandidate &candidate : candidates) {
        if (candidate.load.running >= candidate.slots)
            continue;
        if (!best || key(candidate) < key(*best))
            best = &candidate;
    }
    return best ? std::optional(best->replica) : std::nullopt;
}

} // namespace arbutuspier
