// A simulation of how the gateways of a large fleet place prompts, in virtual time and without a
// network: which VMs know of which requests, and how late, decides where prompts go.
//
// Each VM places prompts with placePrompt() by its own view of the load, and tells the VMs of its
// group, as the gateways do. The replicas work in passes, as forecast.h describes.
#pragma once

#include "arbutuspier/placementplan.h"
#include "arbutuspier/random.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace arbutuspier::model {

/// Requests of one length.
struct PromptClass
{
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    double perSecond = 0;
    Duration objective{};
    Duration eventGapObjective{};
    Duration timeout = std::chrono::seconds{15};
    /// Value of a response whose first token is in time; a late one has a quarter of it.
    double value = 1;
};

/// How VMs learn of each other's requests.
struct LoadReports
{
    /// VMs and replicas are split into this many parts that know nothing of each other.
    std::size_t groupCount = 1;
    /// Time between two VMs.
    Duration networkDelay = std::chrono::milliseconds{1};
    /// Longest time that reports wait which are not urgent; zero if all are sent at once.
    Duration maxDelay = std::chrono::milliseconds{300};
    /// All VMs know everything without messages.
    bool isOracle = false;
};

struct GatewayFleetOptions
{
    std::size_t vmCount = 78;
    std::size_t replicaCount = 112;
    /// VMs and replicas are spread evenly over the zones, and VMs prefer those of their own.
    std::size_t zoneCount = 5;
    EngineFigures engine;
    std::vector<PromptClass> classes;
    LoadReports reports;
    /// The class at this index arrives so many times as often in the middle third of the run.
    std::size_t crestClass = 0;
    double crestFactor = 1;
    /// Fraction of the requests that arrive at a third of the VMs in the last third of the run, as
    /// callers have moved, beyond the equal part of these VMs.
    double shiftedFraction = 0;
    Duration duration = std::chrono::seconds{30};
    std::uint64_t seed = 1;
};

struct PromptClassResult
{
    std::size_t arrived = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;
    /// Times to first token of those that were served, in seconds, sorted.
    std::vector<double> firstTokenSeconds;

    double inTimeFraction() const;
    /// The quantile of the times to first token; zero if none was served.
    double quantile(double fraction) const;
};

struct GatewayFleetResult
{
    std::vector<PromptClassResult> classes;
    /// Sum of the values of the responses, as a fraction of what arrived.
    double worth = 0;
    /// Datagrams with reports that VMs sent to each other, each counted once per receiver.
    std::uint64_t datagrams = 0;
};

/// A fleet whose replicas are well used by prompts of 5,000, 45,000 and 220,000 tokens, of which
/// the longest arrive 2.8 times as often for a while, and whose callers move later.
GatewayFleetOptions crestOfLongPrompts(std::size_t vmCount, std::size_t replicaCount);

GatewayFleetResult simulateGatewayFleet(const GatewayFleetOptions &options);

} // namespace arbutuspier::model
