// Every way to place the prompt is given a cost in late short answers, and the cheapest is taken.
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

/// Costs closer than this count as equal, so that packing decides.
constexpr double kCostGrain = 0.05;
constexpr std::array<std::uint32_t, 10> kSplits = {2, 3, 4, 5, 6, 8, 10, 12, 14, 17};

/// A candidate and where it stands in its passes, which is the same for every way to place.
struct Option
{
    const PlacementCandidate *candidate = nullptr;
    PassState pass;
};

using Options = std::vector<Option>;

/// An option at the cost of giving it a part of a certain length.
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
        Options decodingRequests;
        std::copy_if(options.begin(), options.end(), std::back_inserter(decodingRequests),
                     [&](const Option &option) { return hasRoom(*option.candidate); });
        std::optional<Placement> best;
        if (!decodingRequests.empty())
            best = placeAlone(decodingRequests);
        if (!m_prompt.maySplit || !isWorthSplitting())
            return best;
        Options helpers;
        std::copy_if(options.begin(), options.end(), std::back_inserter(helpers),
                     [](const Option &option) { return canHelp(*option.candidate); });
        for (std::uint32_t parts : kSplits) {
            const bool isPossible = parts <= helpers.size() && parts <= m_options.maxHelpers + 1;
            if (!isPossible)
                continue;
            if (decodingRequests.empty())
                tryOverMemories(parts, options, helpers, best);
            else
                trySplit(parts, decodingRequests, helpers, best);
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

    /// Below this a part is hardly shorter than the pass that reads it.
    bool isWorthSplitting() const { return m_wholeReadMs > m_options.splitMs; }

    /// Long prompts keep to the back of the order, where few short answers are written.
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
        // A little slope beyond certainty, so that later is still worse.
        constexpr double kSlope = 0.05;
        return std::clamp(chance, 0.0, 1.0) + kSlope * std::max(0.0, ratio - 1.0);
    }

    double weight() const { return promptWeight(m_prompt.promptTokens, m_options); }

    /// Answers made late on a replica that reads for `partMs` more.
    double harm(const Option &option, double partMs) const
    {
        const PlacementCandidate &candidate = *option.candidate;
        const double pause =
            pauseMs(m_figures, candidate.load, option.pass, partMs, candidate.pace);
        const double delay =
            candidate.pace * partMs / std::max(1.0, toMilliseconds(m_prompt.objective));
        return candidate.load.weightDelayedBy(fromMilliseconds(pause))
            + option.pass.waitingPrefills * delay;
    }

    /// Answers that come meanwhile and are made late by `parts` replicas that read for `partMs`
    /// each.
    double blockCost(std::uint32_t parts, double partMs) const
    {
        const double share = static_cast<double>(parts) / static_cast<double>(m_replicas);
        const double arrivalsPerMs = m_fleetWriters / m_options.answerMs;
        return arrivalsPerMs * partMs * share * share * share;
    }

    /// Time to write the answer where the prompt lies on `parts` replicas.
    double answerMs(std::uint32_t parts) const
    {
        const double passes = std::ceil(static_cast<double>(m_prompt.outputTokens)
                                        / std::max(1U, m_figures.stepsPerPass));
        return passes * decodeStepsMs(m_figures, 1, m_prompt.promptTokens / parts);
    }

    /// Answers that the time of the replicas which this prompt takes would serve otherwise: none
    /// while the fleet is idle, all of them while every replica reads.
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

    std::optional<Placement> placeAlone(const Options &decodingRequests)
    {
        const Option *best = nullptr;
        std::tuple<double, bool, bool, std::uint64_t> bestKey;
        const bool fromBack = isLong();
        for (const Option &writer : decodingRequests) {
            const PlacementCandidate &candidate = *writer.candidate;
            const double first = firstMs(writer, m_wholeReadMs);
            const double cost =
                weight() * lateChance(first) + harm(writer, m_wholeReadMs) + shunCost(writer);
            const double packed = m_options.packedSlots * candidate.slots;
            const bool isFull = candidate.load.running >= packed;
            const std::uint64_t order = fromBack ? ~candidate.order : candidate.order;
            const std::tuple key = {std::floor(cost / kCostGrain), isFull, !candidate.isLocalZone,
                                    order};
            if (best && key >= bestKey)
                continue;
            best = &writer;
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

    /// Cost of giving a part to this replica, without the chance to be late.
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

    /// The `count` cheapest helpers beside the writer; empty if there are fewer.
    template <class Less>
    static std::optional<PricedOptions> cheapestBeside(const PricedOption &writer,
                                                       PricedOptions helpers, std::size_t count,
                                                       Less isCheaper)
    {
        std::erase_if(helpers, [&](const PricedOption &helper) {
            return helper.option.candidate == writer.option.candidate;
        });
        if (helpers.size() < count)
            return std::nullopt;
        std::sort(helpers.begin(), helpers.end(), isCheaper);
        helpers.resize(count);
        return helpers;
    }

    void trySplit(std::uint32_t parts, const Options &decodingRequests, const Options &helpers,
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
        const PricedOptions pricedWriters = priced(decodingRequests, partMs);
        const PricedOption &writer =
            *std::min_element(pricedWriters.begin(), pricedWriters.end(), isCheaper);
        const auto others = cheapestBeside(writer, priced(helpers, partMs), parts - 1, isCheaper);
        if (!others)
            return;
        double first = firstMs(writer.option, partMs);
        double cost = harm(writer.option, partMs) + shunCost(writer.option)
            + m_options.helperCost * parts + blockCost(parts, partMs);
        for (const PricedOption &helper : *others) {
            first = std::max(first, firstMs(helper.option, partMs));
            cost += harm(helper.option, partMs) + shunCost(helper.option);
        }
        cost += weight() * lateChance(first);
        if (cost + kCostGrain >= m_bestCost)
            return;
        m_bestCost = cost;
        best = Placement{writer.option.candidate->replica, {}, partMs, first};
        for (const PricedOption &helper : *others)
            best->helpers.push_back({helper.option.candidate->replica, 0});
    }

    /// For a prompt that no replica has the memory for: the writer holds what it can, and helpers
    /// with the most free memory hold the rest.
    void tryOverMemories(std::uint32_t parts, const Options &options, const Options &helpers,
                         std::optional<Placement> &best)
    {
        const double partMs = m_wholeReadMs / parts;
        const auto isCheaper = [](const PricedOption &a, const PricedOption &b) {
            return a.cost < b.cost;
        };
        Options able;
        std::copy_if(options.begin(), options.end(), std::back_inserter(able),
                     [&](const Option &option) {
                         return hasSlot(*option.candidate)
                             && freeTokens(*option.candidate) > m_prompt.outputTokens;
                     });
        const PricedOptions decodingRequests = priced(able, partMs);
        if (decodingRequests.empty())
            return;
        const PricedOption &writer =
            *std::min_element(decodingRequests.begin(), decodingRequests.end(), isCheaper);
        const auto others = cheapestBeside(writer, priced(helpers, partMs), parts - 1, isCheaper);
        if (!others)
            return;
        Placement placement{
            writer.option.candidate->replica, {}, partMs, firstMs(writer.option, partMs)};
        double total = writer.cost + m_options.helperCost * parts + blockCost(parts, partMs);
        for (const PricedOption &helper : *others) {
            placement.firstEventMs =
                std::max(placement.firstEventMs, firstMs(helper.option, partMs));
            placement.helpers.push_back({helper.option.candidate->replica, 0});
            total += helper.cost;
        }
        if (placement.firstEventMs + answerMs(parts) > toMilliseconds(m_prompt.timeLeft))
            return;
        const double lateness = lateChance(placement.firstEventMs);
        const double gain = weight() * (1.0 - m_options.lateLoss * std::min(1.0, lateness));
        if (total + displacedCost() > gain)
            return;
        total += weight() * lateness;
        if (best && total >= m_bestCost)
            return;
        if (!spreadMemory(*others, freeTokens(*writer.option.candidate), placement))
            return;
        m_bestCost = total;
        best = std::move(placement);
    }

    /// Gives helpers the memory that the writer lacks, the emptiest first. False if they lack it
    /// too.
    bool spreadMemory(PricedOptions holders, std::uint64_t writerTokens, Placement &placement) const
    {
        std::uint64_t missing = neededTokens() - std::min(neededTokens(), writerTokens);
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
    /// Answers being written on all replicas.
    double m_fleetWriters = 0;
    /// Replicas that have a prompt to read.
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
