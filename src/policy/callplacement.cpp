// Rates each candidate by the expected duration of the call and the probability that it is late.
#include "arbutuspier/callplacement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace arbutuspier {

namespace {

class CallPlacer
{
public:
    CallPlacer(std::span<const CallCandidate> candidates, const CallDemand &demand,
               const CallPlacementOptions &options)
        : m_candidates(candidates)
        , m_demand(demand)
        , m_options(options)
        , m_meanOthers(meanOthers())
        , m_reportWeight(reportWeight())
    {
    }

    CallChoice choose() const
    {
        CallChoice choice;
        for (const CallCandidate &candidate : m_candidates)
            choice.candidates.push_back(rate(candidate));
        const bool hasSound = std::any_of(m_candidates.begin(), m_candidates.end(),
                                          [](const CallCandidate &candidate) {
                                              return hasSlot(candidate) && !candidate.isEjected;
                                          });
        const auto isLeft = [&](std::size_t i) {
            return hasSlot(m_candidates[i]) && !(hasSound && m_candidates[i].isEjected);
        };
        std::optional<double> leastMs;
        for (std::size_t i = 0; i < m_candidates.size(); ++i) {
            if (isLeft(i))
                leastMs = std::min(leastMs.value_or(ratingMs(choice.candidates[i])),
                                   ratingMs(choice.candidates[i]));
        }
        if (!leastMs)
            return withVerdicts(std::move(choice), hasSound, 0, nullptr);
        const double boundMs = *leastMs * (1 + nearEqualFraction());
        const CallCandidate *best = nullptr;
        for (std::size_t i = 0; i < m_candidates.size(); ++i) {
            if (!isLeft(i) || ratingMs(choice.candidates[i]) > boundMs)
                continue;
            if (!best || key(m_candidates[i]) < key(*best))
                best = &m_candidates[i];
        }
        choice.replica = best->replica;
        return withVerdicts(std::move(choice), hasSound, boundMs, best);
    }

private:
    static bool hasSlot(const CallCandidate &candidate)
    {
        return candidate.running < candidate.slots;
    }

    /// The fresher the reports are, the smaller the differences that hold.
    double nearEqualFraction() const
    {
        return m_options.nearEqualFraction
            + (1 - m_reportWeight) * m_options.staleNearEqualFraction;
    }

    static std::tuple<bool, std::uint64_t> key(const CallCandidate &candidate)
    {
        return {!candidate.isLocalZone, candidate.turn};
    }

    /// Calls of other VMs and their work.
    struct Others
    {
        double calls = 0;
        double workMs = 0;
    };

    /// The mean over the candidates.
    Others meanOthers() const
    {
        Others sum;
        for (const CallCandidate &candidate : m_candidates) {
            sum.calls += candidate.work.othersCalls;
            sum.workMs += candidate.work.othersMs;
        }
        const auto count = static_cast<double>(std::max<std::size_t>(1, m_candidates.size()));
        return {sum.calls / count, sum.workMs / count};
    }

    /// How much of a reported difference still holds: calls that ran at the time of the report have
    /// ended since, and others have begun.
    double reportWeight() const
    {
        if (m_demand.usualWorkMs <= 0)
            return 1;
        return std::exp(-toMilliseconds(m_demand.reportAge) / m_demand.usualWorkMs);
    }

    /// What other VMs are expected to have there now.
    Others othersAt(const CallCandidate &candidate) const
    {
        const auto blend = [this](double mean, double reported) {
            return mean + m_reportWeight * (reported - mean);
        };
        return {blend(m_meanOthers.calls, candidate.work.othersCalls),
                blend(m_meanOthers.workMs, candidate.work.othersMs)};
    }

    RatedCandidate rate(const CallCandidate &candidate) const
    {
        const Others others = othersAt(candidate);
        RatedCandidate rated;
        rated.replica = candidate.replica;
        rated.slowdown = candidate.slowdown;
        rated.workLeftMs = candidate.work.ownMs + others.workMs;
        const double slots = std::max(1U, candidate.slots);
        const double busy = std::min(1.0, (candidate.work.ownCalls + others.calls) / slots);
        // A call waits only if all slots are in use, which is the likelier the busier they are.
        const double waitMs = busy * busy * candidate.slowdown.factor * rated.workLeftMs / slots;
        rated.expectedMs = waitMs + candidate.slowdown.factor * m_demand.cost.mean();
        rated.lateProbability = lateProbability(candidate, waitMs);
        return rated;
    }

    double lateProbability(const CallCandidate &candidate, double waitMs) const
    {
        if (m_demand.objective <= Duration::zero())
            return 0;
        CostForecast duration = m_demand.cost;
        duration.logMean += std::log(candidate.slowdown.factor);
        duration.logSpread = std::hypot(duration.logSpread, candidate.slowdown.logSpread);
        return duration.exceedProbability(toMilliseconds(m_demand.objective) - waitMs);
    }

    /// A late call counts as one that takes another objective.
    double ratingMs(const RatedCandidate &rated) const
    {
        return rated.expectedMs + rated.lateProbability * toMilliseconds(m_demand.objective);
    }

    CallChoice withVerdicts(CallChoice choice, bool hasSound, double boundMs,
                            const CallCandidate *best) const
    {
        for (std::size_t i = 0; i < m_candidates.size(); ++i)
            choice.candidates[i].verdict =
                verdict(m_candidates[i], choice.candidates[i], hasSound, boundMs, best);
        return choice;
    }

    CallVerdict verdict(const CallCandidate &candidate, const RatedCandidate &rated, bool hasSound,
                        double boundMs, const CallCandidate *best) const
    {
        if (&candidate == best)
            return CallVerdict::Chosen;
        if (!hasSlot(candidate))
            return CallVerdict::NoFreeSlot;
        if (hasSound && candidate.isEjected)
            return CallVerdict::Ejected;
        if (ratingMs(rated) > boundMs)
            return CallVerdict::Slower;
        return candidate.isLocalZone == best->isLocalZone ? CallVerdict::UsedLater
                                                          : CallVerdict::OtherZone;
    }

    std::span<const CallCandidate> m_candidates;
    const CallDemand &m_demand;
    const CallPlacementOptions &m_options;
    Others m_meanOthers;
    double m_reportWeight;
};

} // namespace

std::uint64_t ReplicaTurns::turn(std::string_view replica) const
{
    constexpr std::uint64_t kFirstUse = 1ULL << 63U;
    const auto found = m_lastUse.find(replica);
    if (found != m_lastUse.end())
        return kFirstUse + found->second;
    const std::uint64_t vmHash = XXH64(m_vm.data(), m_vm.size(), 0);
    return XXH64(replica.data(), replica.size(), vmHash) >> 1U;
}

void ReplicaTurns::onUse(std::string_view replica)
{
    // Replicas that have gone are forgotten with all others, which only costs one turn.
    if (m_lastUse.size() >= kMaxReplicas)
        m_lastUse.clear();
    m_lastUse[std::string(replica)] = ++m_uses;
}

std::string_view toText(CallVerdict verdict)
{
    switch (verdict) {
    case CallVerdict::Chosen:
        return "chosen";
    case CallVerdict::NoFreeSlot:
        return "no-free-slot";
    case CallVerdict::Ejected:
        return "ejected";
    case CallVerdict::Slower:
        return "slower";
    case CallVerdict::OtherZone:
        return "other-zone";
    case CallVerdict::UsedLater:
        break;
    }
    return "used-later";
}

CallChoice chooseReplica(std::span<const CallCandidate> candidates, const CallDemand &demand,
                         const CallPlacementOptions &options)
{
    return CallPlacer(candidates, demand, options).choose();
}

} // namespace arbutuspier
