// Every way to place the prompt is given a cost in late short answers, and the cheapest is taken.
#include "arbutuspier/placementplan.h"

#include "arbutuspier/forecast.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <tuple>

namespace arbutuspier {

namespace {

constexpr double kMsPerSecond = 1000.0;
/// Costs closer than this count as equal, so that packing decides.
constexpr double kCostGrain = 0.05;
constexpr std::array<std::uint32_t, 11> kSplits = {1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17};

double toMs(Duration duration)
{
    return toSeconds(duration) * kMsPerSecond;
}

Duration fromMs(double ms)
{
    return fromSeconds(ms / kMsPerSecond);
}

using Candidates = std::vector<const PlacementCandidate *>;

class PromptPlacer
{
public:
    PromptPlacer(const EngineFigures &figures, const PromptShape &prompt,
                 const PlacementOptions &options, TimePoint now)
        : m_figures(figures)
        , m_prompt(prompt)
        , m_options(options)
        , m_now(now)
        , m_wholeReadMs(readMs(figures, prompt.promptTokens))
    {
    }

    std::optional<Placement> place(std::span<const PlacementCandidate> all)
    {
        m_replicas = all.size();
        for (const PlacementCandidate &candidate : all) {
            m_fleetWriters += candidate.load.writers;
            m_readingReplicas += candidate.load.reads.empty() ? 0 : 1;
        }
        Candidates writers;
        for (const PlacementCandidate &candidate : all) {
            if (hasRoom(candidate))
                writers.push_back(&candidate);
        }
        std::optional<Placement> best;
        if (!writers.empty())
            best = placeAlone(writers);
        if (!m_prompt.maySplit || !isWorthSplitting())
            return best;
        Candidates helpers;
        for (const PlacementCandidate &candidate : all) {
            if (candidate.load.helping < candidate.slots)
                helpers.push_back(&candidate);
        }
        if (writers.empty())
            return placeOverMemories(all, helpers);
        for (std::uint32_t parts : kSplits) {
            const bool isPossible =
                parts > 1 && parts <= helpers.size() && parts <= m_options.maxHelpers + 1;
            if (isPossible)
                trySplit(parts, writers, helpers, best);
        }
        return best;
    }

private:
    /// Below this a part is hardly shorter than the pass that reads it.
    bool isWorthSplitting() const { return m_wholeReadMs > m_options.splitMs; }

    /// Long prompts keep to the back of the order, where few short answers are written.
    bool isLong() const { return m_wholeReadMs > m_options.longMs; }

    std::uint64_t neededTokens() const { return m_prompt.promptTokens + m_prompt.answerTokens; }

    std::uint64_t freeTokens(const PlacementCandidate &candidate) const
    {
        const double capacity =
            (1.0 - m_options.memoryMargin) * static_cast<double>(m_figures.memoryTokens);
        const auto usable = static_cast<std::uint64_t>(capacity);
        return usable - std::min(usable, candidate.load.memoryTokens);
    }

    static bool hasSlot(const PlacementCandidate &candidate)
    {
        return candidate.load.running < candidate.slots;
    }

    bool hasRoom(const PlacementCandidate &candidate) const
    {
        return hasSlot(candidate) && neededTokens() <= freeTokens(candidate);
    }

    double lateChance(double firstMs) const
    {
        const double ratio = firstMs / std::max(1.0, toMs(m_prompt.objective));
        const double chance = (ratio - m_options.safeObjective) / m_options.lateSpan;
        // A little slope beyond certainty, so that later is still worse.
        constexpr double kSlope = 0.05;
        return std::clamp(chance, 0.0, 1.0) + kSlope * std::max(0.0, ratio - 1.0);
    }

    double weight() const { return promptWeight(m_prompt.promptTokens, m_options); }

    /// Answers made late on a replica that reads for `partMs` more.
    double harm(const PlacementCandidate &candidate, double partMs) const
    {
        const double pause = pauseMs(m_figures, candidate.load, partMs, candidate.pace, m_now);
        const PassState state = passState(m_figures, candidate.load, candidate.pace, m_now);
        const double delay = candidate.pace * partMs / std::max(1.0, toMs(m_prompt.objective));
        return candidate.load.weightHarmedBy(fromMs(pause)) + state.waitingReads * delay;
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
        const double passes = std::ceil(static_cast<double>(m_prompt.answerTokens)
                                        / std::max(1U, m_figures.stepsPerPass));
        return passes * stepsMs(m_figures, 1, m_prompt.promptTokens / parts);
    }

    /// Answers that the time of the replicas which this prompt takes would serve otherwise: none
    /// while the fleet is idle, all of them while every replica reads.
    double displacedCost() const
    {
        const double busy = m_readingReplicas / static_cast<double>(m_replicas);
        return m_options.answersPerReplicaMs * m_wholeReadMs * busy;
    }

    static double shunCost(const PlacementCandidate &candidate)
    {
        constexpr double kShunned = 100.0;
        return candidate.isShunned ? kShunned : 0.0;
    }

    std::optional<Placement> placeAlone(const Candidates &writers)
    {
        const PlacementCandidate *best = nullptr;
        std::tuple<double, bool, bool, std::uint64_t> bestKey;
        const bool fromBack = isLong();
        for (const PlacementCandidate *candidate : writers) {
            const double first = firstMs(*candidate, m_wholeReadMs);
            const double cost = weight() * lateChance(first) + harm(*candidate, m_wholeReadMs)
                + shunCost(*candidate);
            const double packed = m_options.packedSlots * candidate->slots;
            const bool isFull = candidate->load.running >= packed;
            const std::uint64_t order = fromBack ? ~candidate->order : candidate->order;
            const std::tuple key = {std::floor(cost / kCostGrain), isFull, !candidate->isLocalZone,
                                    order};
            if (best && key >= bestKey)
                continue;
            best = candidate;
            bestKey = key;
        }
        m_bestCost = std::get<0>(bestKey) * kCostGrain;
        return Placement{best->replica, {}, m_wholeReadMs, firstMs(*best, m_wholeReadMs)};
    }

    double firstMs(const PlacementCandidate &candidate, double partMs) const
    {
        return arbutuspier::firstEventMs(m_figures, candidate.load, partMs, m_prompt.promptTokens,
                                         candidate.pace, m_now);
    }

    /// Cost of giving a part to this replica, without the chance to be late.
    double partCost(const PlacementCandidate &candidate, double partMs) const
    {
        const PassState state = passState(m_figures, candidate.load, candidate.pace, m_now);
        const double waiting = state.presentMs + state.waitingMs;
        const double objective = std::max(1.0, toMs(m_prompt.objective));
        return harm(candidate, partMs) + weight() * waiting / objective + shunCost(candidate);
    }

    void trySplit(std::uint32_t parts, const Candidates &writers, const Candidates &helpers,
                  std::optional<Placement> &best)
    {
        const double partMs = m_wholeReadMs / parts;
        const auto isCheaper = [&](const PlacementCandidate *a, const PlacementCandidate *b) {
            return std::tuple(partCost(*a, partMs), !a->isLocalZone, ~a->order)
                < std::tuple(partCost(*b, partMs), !b->isLocalZone, ~b->order);
        };
        const PlacementCandidate *writer =
            *std::min_element(writers.begin(), writers.end(), isCheaper);
        Candidates others = helpers;
        std::erase(others, writer);
        std::sort(others.begin(), others.end(), isCheaper);
        if (others.size() < parts - 1)
            return;
        others.resize(parts - 1);
        double first = firstMs(*writer, partMs);
        double cost = harm(*writer, partMs) + shunCost(*writer) + m_options.helperCost * parts
            + blockCost(parts, partMs);
        for (const PlacementCandidate *helper : others) {
            first = std::max(first, firstMs(*helper, partMs));
            cost += harm(*helper, partMs) + shunCost(*helper);
        }
        cost += weight() * lateChance(first);
        if (cost + kCostGrain >= m_bestCost)
            return;
        m_bestCost = cost;
        best = Placement{writer->replica, {}, partMs, first};
        for (const PlacementCandidate *helper : others)
            best->helpers.push_back({helper->replica, 0});
    }

    /// For a prompt that no replica has the memory for: the writer holds what it can, and helpers
    /// with the most free memory hold the rest.
    std::optional<Placement> placeOverMemories(std::span<const PlacementCandidate> all,
                                               const Candidates &helpers)
    {
        std::optional<Placement> best;
        for (std::uint32_t parts : kSplits) {
            const bool isPossible =
                parts > 1 && parts <= helpers.size() && parts <= m_options.maxHelpers + 1;
            if (isPossible)
                tryOverMemories(parts, all, helpers, best);
        }
        return best;
    }

    void tryOverMemories(std::uint32_t parts, std::span<const PlacementCandidate> all,
                         const Candidates &helpers, std::optional<Placement> &best)
    {
        const double partMs = m_wholeReadMs / parts;
        const auto cost = [&](const PlacementCandidate *candidate) {
            return partCost(*candidate, partMs);
        };
        const PlacementCandidate *writer = nullptr;
        for (const PlacementCandidate &candidate : all) {
            const bool isBetter = hasSlot(candidate)
                && freeTokens(candidate) > m_prompt.answerTokens
                && (!writer || cost(&candidate) < cost(writer));
            if (isBetter)
                writer = &candidate;
        }
        if (!writer)
            return;
        Candidates others = helpers;
        std::erase(others, writer);
        std::sort(others.begin(), others.end(),
                  [&](const auto *a, const auto *b) { return cost(a) < cost(b); });
        if (others.size() < parts - 1)
            return;
        others.resize(parts - 1);
        Placement placement{writer->replica, {}, partMs, firstMs(*writer, partMs)};
        double total = cost(writer) + m_options.helperCost * parts + blockCost(parts, partMs);
        for (const PlacementCandidate *helper : others) {
            placement.firstEventMs = std::max(placement.firstEventMs, firstMs(*helper, partMs));
            placement.helpers.push_back({helper->replica, 0});
            total += cost(helper);
        }
        if (placement.firstEventMs + answerMs(parts) > toMs(m_prompt.timeLeft))
            return;
        const double late = std::min(1.0, lateChance(placement.firstEventMs));
        const double gain = weight() * (1.0 - m_options.lateLoss * late);
        if (total + displacedCost() > gain)
            return;
        total += weight() * lateChance(placement.firstEventMs);
        if (best && total >= m_bestCost)
            return;
        if (!spreadMemory(others, freeTokens(*writer), placement))
            return;
        m_bestCost = total;
        best = std::move(placement);
    }

    /// Gives helpers the memory that the writer lacks, the emptiest first. False if they lack it
    /// too.
    bool spreadMemory(Candidates holders, std::uint64_t writerTokens, Placement &placement) const
    {
        std::uint64_t missing = neededTokens() - std::min(neededTokens(), writerTokens);
        std::sort(holders.begin(), holders.end(),
                  [&](const auto *a, const auto *b) { return freeTokens(*a) > freeTokens(*b); });
        for (const PlacementCandidate *holder : holders) {
            const std::uint64_t tokens = std::min(missing, freeTokens(*holder));
            const auto helper = std::find_if(
                placement.helpers.begin(), placement.helpers.end(),
                [&](const HelperPlacement &other) { return other.replica == holder->replica; });
            helper->heldTokens = tokens;
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
        return std::tuple(candidate.isShunned, candidate.load.running * candidate.pace,
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
