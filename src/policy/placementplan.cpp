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
        Candidates writers;
        for (const PlacementCandidate &candidate : all) {
            if (hasRoom(candidate))
                writers.push_back(&candidate);
        }
        if (writers.empty())
            return std::nullopt;
        std::optional<Placement> best = placeAlone(writers);
        if (!m_prompt.maySplit || !isWorthSplitting())
            return best;
        Candidates helpers;
        for (const PlacementCandidate &candidate : all) {
            if (candidate.load.helping < candidate.slots)
                helpers.push_back(&candidate);
        }
        for (std::uint32_t parts : kSplits) {
            const bool isPossible =
                parts > 1 && parts <= helpers.size() && parts <= m_options.maxHelpers + 1;
            if (isPossible)
                trySplit(parts, writers, helpers, best);
        }
        return best;
    }

private:
    bool isWorthSplitting() const
    {
        constexpr double kShortPart = 0.3;
        return m_wholeReadMs > kShortPart * toMs(m_prompt.objective);
    }

    bool hasRoom(const PlacementCandidate &candidate) const
    {
        if (candidate.load.running >= candidate.slots)
            return false;
        const double capacity =
            (1.0 - m_options.memoryMargin) * static_cast<double>(m_figures.memoryTokens);
        const std::uint64_t needed = m_prompt.promptTokens + m_prompt.answerTokens;
        return static_cast<double>(candidate.load.memoryTokens + needed) <= capacity;
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

    static double shunCost(const PlacementCandidate &candidate)
    {
        constexpr double kShunned = 100.0;
        return candidate.isShunned ? kShunned : 0.0;
    }

    std::optional<Placement> placeAlone(const Candidates &writers)
    {
        const PlacementCandidate *best = nullptr;
        std::tuple<double, int, std::uint64_t> bestKey;
        const bool isLong = isWorthSplitting();
        for (const PlacementCandidate *candidate : writers) {
            const double first = firstMs(*candidate, m_wholeReadMs);
            const double cost = weight() * lateChance(first) + harm(*candidate, m_wholeReadMs)
                + shunCost(*candidate);
            const double packed = m_options.packedSlots * candidate->slots;
            const bool isFull = candidate->load.running >= packed;
            const std::uint64_t order = isLong ? ~candidate->order : candidate->order;
            const std::tuple<double, int, std::uint64_t> key = {std::floor(cost / kCostGrain),
                                                                isFull ? 1 : 0, order};
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
            return std::tuple(partCost(*a, partMs), ~a->order)
                < std::tuple(partCost(*b, partMs), ~b->order);
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
        double cost = harm(*writer, partMs) + shunCost(*writer) + m_options.helperCost * parts;
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
            best->helpers.push_back(helper->replica);
    }

    const EngineFigures &m_figures;
    const PromptShape &m_prompt;
    const PlacementOptions &m_options;
    TimePoint m_now;
    double m_wholeReadMs;
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
