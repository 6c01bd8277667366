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
constexpr double kCostGrain = 0.05;
/// Numbers of replicas, the primary included, over which a split is tried.
constexpr std::array<std::uint32_t, 10> kSplits = {2, 3, 4, 5, 6, 8, 10, 12, 14, 17};

/// A candidate with its progress through its passes, which is the same for all placements.
struct Option
{
    const PlacementCandidate *candidate = nullptr;
    PassState pass;
};

using Options = std::vector<Option>;

/// A candidate with the cost of placing a part of a certain prefill time on it.
struct PricedOption
{
    Option option;
    double cost = 0;
};

using PricedOptions = std::vector<PricedOption>;

class PromptPlacer
{
public:
    PromptPlacer(const EngineFigures &figures, const PromptShape &prompt,
                 const PlacementOptions &options, TimePoint now)
        : m_figures(figures)
        , m_prompt(prompt)
        , m_options(options)
        , m_now(now)
        , m_wholeReadMs(prefillMs(figures, prompt.promptTokens))
    {
    }

    std::optional<Placement> place(std::span<const PlacementCandidate> all)
    {
        m_replicas = all.size();
        for (const PlacementCandidate &candidate : all) {
            m_fleetWriters += candidate.load.decodingRequests;
            m_readingReplicas += candidate.load.reads.empty() ? 0 : 1;
        }
        const Options options = optionsOf(all);
        Options primaries;
        std::copy_if(options.begin(), options.end(), std::back_inserter(primaries),
                     [&](const Option &option) { return hasRoom(*option.candidate); });
        std::optional<Placement> best;
        if (!primaries.empty())
            best = placeAlone(primaries);
        if (!m_prompt.maySplit || !isWorthSplitting())
            return best;
        Options helpers;
        std::copy_if(options.begin(), options.end(), std::back_inserter(helpers),
                     [](const Option &option) { return canHelp(*option.candidate); });
        for (std::uint32_t parts : kSplits) {
            const bool isPossible = parts <= helpers.size() && parts <= m_options.maxHelpers + 1;
            if (!isPossible)
                continue;
            if (primaries.empty())
                tryOverMemories(parts, options, helpers, best);
            else
                trySplit(parts, primaries, helpers, best);
        }
        return best;
    }

private:
    Options optionsOf(std::span<const PlacementCandidate> all) const
    {
        Options options;
        options.reserve(all.size());
        for (const PlacementCandidate &candidate : all) {
            options.push_back(
                {&candidate, passState(m_figures, candidate.load, candidate.pace, m_now)});
        }
        return options;
    }

    /// False for a prompt so short that a part would take hardly less time than the pass that
    /// prefills it.
    bool isWorthSplitting() const { return m_wholeReadMs > m_options.splitMs; }

    /// Long prompts use the end of the packing order, where few short responses are decoded.
    bool isLong() const { return m_wholeReadMs > m_options.longMs; }

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
        return candidate.load.helperPrefills < candidate.slots;
    }

    bool hasRoom(const PlacementCandidate &candidate) const
    {
        return hasSlot(candidate) && neededTokens() <= freeTokens(candidate);
    }

    double lateChance(double firstMs) const
    {
        const double ratio = firstMs / std::max(1.0, toMilliseconds(m_prompt.objective));
        const double chance = (ratio - m_options.safeObjective) / m_options.lateSpan;
        // A small slope beyond a probability of one, so that an even later response costs more.
        constexpr double kSlope = 0.05;
        return std::clamp(chance, 0.0, 1.0) + kSlope * std::max(0.0, ratio - 1.0);
    }

    double weight() const { return promptWeight(m_prompt.promptTokens, m_options); }

    /// Responses that become late on a replica if it prefills for another `partMs`.
    double harm(const Option &option, double partMs) const
    {
        const PlacementCandidate &candidate = *option.candidate;
        const double gapMs =
            pauseMs(m_figures, candidate.load, option.pass, partMs, candidate.pace);
        const double delay =
            candidate.pace * partMs / std::max(1.0, toMilliseconds(m_prompt.objective));
        return candidate.load.weightDelayedBy(fromMilliseconds(gapMs))
            + option.pass.waitingPrefills * delay;
    }

    /// Responses to requests that arrive while `parts` replicas prefill for `partMs` each, and that
    /// become late because of it.
    double blockCost(std::uint32_t parts, double partMs) const
    {
        const double share = static_cast<double>(parts) / static_cast<double>(m_replicas);
        const double arrivalsPerMs = m_fleetWriters / m_options.answerMs;
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
        const double busy = m_readingReplicas / static_cast<double>(m_replicas);
        return m_options.answersPerReplicaMs * m_wholeReadMs * busy;
    }

    static double shunCost(const Option &option)
    {
        constexpr double kShunned = 100.0;
        return option.candidate->isEjected ? kShunned : 0.0;
    }

    std::optional<Placement> placeAlone(const Options &primaries)
    {
        const Option *best = nullptr;
        std::tuple<double, bool, bool, std::uint64_t> bestKey;
        const bool fromBack = isLong();
        for (const Option &primary : primaries) {
            const PlacementCandidate &candidate = *primary.candidate;
            const double firstTokenMs = firstMs(primary, m_wholeReadMs);
            const double cost = weight() * lateChance(firstTokenMs) + harm(primary, m_wholeReadMs)
                + shunCost(primary);
            const double packed = m_options.packedSlots * candidate.slots;
            const bool isFull = candidate.load.running >= packed;
            const std::uint64_t order = fromBack ? ~candidate.order : candidate.order;
            const std::tuple key = {std::floor(cost / kCostGrain), isFull, !candidate.isLocalZone,
                                    order};
            if (best && key >= bestKey)
                continue;
            best = &primary;
            bestKey = key;
        }
        m_bestCost = std::get<0>(bestKey) * kCostGrain;
        return Placement{
            best->candidate->replica, {}, m_wholeReadMs, firstMs(*best, m_wholeReadMs)};
    }

    double firstMs(const Option &option, double partMs) const
    {
        const PlacementCandidate &candidate = *option.candidate;
        return firstEventMs(m_figures, candidate.load, option.pass, partMs, m_prompt.promptTokens,
                            candidate.pace);
    }

    /// Cost of placing a part on this replica, without the cost of a late response of its own.
    double partCost(const Option &option, double partMs) const
    {
        const double waiting = option.pass.currentPassMs + option.pass.waitingMs;
        const double objective = std::max(1.0, toMilliseconds(m_prompt.objective));
        return harm(option, partMs) + weight() * waiting / objective + shunCost(option);
    }

    PricedOptions priced(const Options &options, double partMs) const
    {
        PricedOptions result;
        result.reserve(options.size());
        for (const Option &option : options)
            result.push_back({option, partCost(option, partMs)});
        return result;
    }

    /// The `count` cheapest helpers other than the primary; empty if there are fewer.
    template <class Less>
    static std::optional<PricedOptions> cheapestBeside(const PricedOption &primary,
                                                       PricedOptions helpers, std::size_t count,
                                                       Less isCheaper)
    {
        std::erase_if(helpers, [&](const PricedOption &helper) {
            return helper.option.candidate == primary.option.candidate;
        });
        if (helpers.size() < count)
            return std::nullopt;
        std::sort(helpers.begin(), helpers.end(), isCheaper);
        helpers.resize(count);
        return helpers;
    }

    void trySplit(std::uint32_t parts, const Options &primaries, const Options &helpers,
                  std::optional<Placement> &best)
    {
        const double partMs = m_wholeReadMs / parts;
        const auto key = [](const PricedOption &priced) {
            const PlacementCandidate &candidate = *priced.option.candidate;
            return std::tuple(priced.cost, !candidate.isLocalZone, ~candidate.order);
        };
        const auto isCheaper = [&](const PricedOption &a, const PricedOption &b) {
            return key(a) < key(b);
        };
        const PricedOptions pricedPrimaries = priced(primaries, partMs);
        const PricedOption &primary =
            *std::min_element(pricedPrimaries.begin(), pricedPrimaries.end(), isCheaper);
        const auto others = cheapestBeside(primary, priced(helpers, partMs), parts - 1, isCheaper);
        if (!others)
            return;
        double firstTokenMs = firstMs(primary.option, partMs);
        double cost = harm(primary.option, partMs) + shunCost(primary.option)
            + m_options.helperCost * parts + blockCost(parts, partMs);
        for (const PricedOption &helper : *others) {
            firstTokenMs = std::max(firstTokenMs, firstMs(helper.option, partMs));
            cost += harm(helper.option, partMs) + shunCost(helper.option);
        }
        cost += weight() * lateChance(firstTokenMs);
        if (cost + kCostGrain >= m_bestCost)
            return;
        m_bestCost = cost;
        best = Placement{primary.option.candidate->replica, {}, partMs, firstTokenMs};
        for (const PricedOption &helper : *others)
            best->helpers.push_back({helper.option.candidate->replica, 0});
    }

    /// For a prompt that exceeds the free memory of each replica: the primary holds as much as it
    /// can, and the helpers with the most free memory hold the rest.
    void tryOverMemories(std::uint32_t parts, const Options &options, const Options &helpers,
                         std::optional<Placement> &best)
    {
        const double partMs = m_wholeReadMs / parts;
        const auto isCheaper = [](const PricedOption &a, const PricedOption &b) {
            return a.cost < b.cost;
        };
        Options primaries;
        std::copy_if(options.begin(), options.end(), std::back_inserter(primaries),
                     [&](const Option &option) {
                         return hasSlot(*option.candidate)
                             && freeTokens(*option.candidate) > m_prompt.outputTokens;
                     });
        const PricedOptions pricedPrimaries = priced(primaries, partMs);
        if (pricedPrimaries.empty())
            return;
        const PricedOption &primary =
            *std::min_element(pricedPrimaries.begin(), pricedPrimaries.end(), isCheaper);
        const auto others = cheapestBeside(primary, priced(helpers, partMs), parts - 1, isCheaper);
        if (!others)
            return;
        Placement placement{
            primary.option.candidate->replica, {}, partMs, firstMs(primary.option, partMs)};
        double total = primary.cost + m_options.helperCost * parts + blockCost(parts, partMs);
        for (const PricedOption &helper : *others) {
            placement.firstEventMs =
                std::max(placement.firstEventMs, firstMs(helper.option, partMs));
            placement.helpers.push_back({helper.option.candidate->replica, 0});
            total += helper.cost;
        }
        if (placement.firstEventMs + decodeMs(parts) > toMilliseconds(m_prompt.timeLeft))
            return;
        const double lateProbability = lateChance(placement.firstEventMs);
        const double gain = weight() * (1.0 - m_options.lateLoss * std::min(1.0, lateProbability));
        if (total + displacedCost() > gain)
            return;
        total += weight() * lateProbability;
        if (best && total >= m_bestCost)
            return;
        if (!spreadMemory(*others, freeTokens(*primary.option.candidate), placement))
            return;
        m_bestCost = total;
        best = std::move(placement);
    }

    /// Reserves the memory that the primary lacks on the helpers, those with the most free memory
    /// first. Returns false if the helpers lack it too.
    bool spreadMemory(PricedOptions holders, std::uint64_t primaryTokens,
                      Placement &placement) const
    {
        std::uint64_t missing = neededTokens() - std::min(neededTokens(), primaryTokens);
        const auto freeOf = [&](const PricedOption &holder) {
            return freeTokens(*holder.option.candidate);
        };
        std::sort(holders.begin(), holders.end(),
                  [&](const auto &a, const auto &b) { return freeOf(a) > freeOf(b); });
        for (const PricedOption &holder : holders) {
            const std::uint64_t tokens = std::min(missing, freeOf(holder));
            const auto helper =
                std::find_if(placement.helpers.begin(), placement.helpers.end(),
                             [&](const HelperPlacement &other) {
                                 return other.replica == holder.option.candidate->replica;
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
    double m_wholeReadMs;
    std::size_t m_replicas = 1;
    /// Requests that decode on any replica.
    double m_fleetWriters = 0;
    /// Replicas with a pending prefill.
    double m_readingReplicas = 0;
    double m_bestCost = std::numeric_limits<double>::max();
};

} // namespace

double promptWeight(std::uint64_t promptTokens, const PlacementOptions &options)
{
    return std::max(1.0, static_cast<double>(promptTokens) / options.tokensPerAnswer);
}

double usableTokens(const EngineFigures &figures, const PlacementOptions &options)
{
    return (1.0 - options.memoryMargin) * static_cast<double>(figures.memoryTokens);
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
        return std::tuple(candidate.isEjected, candidate.load.running * candidate.pace,
                          !candidate.isLocalZone, candidate.order);
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
