// Chooses the replicas of a request: one, or a primary replica and helpers for the prefill.
//
// Short prompts are packed onto few replicas as long as they meet their objective there. Long
// prompts are split over the least loaded replicas, so that their prefill rarely delays the decode
// of short responses. The two kinds fill the same order of replicas from opposite ends, so that the
// part of the fleet that prefills long prompts follows demand without delay.
#pragma once

#include "arbutuspier/fleetload.h"
#include "arbutuspier/routetable.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace arbutuspier {

/// A replica that may run a request or a part of it.
struct PlacementCandidate
{
    std::string replica;
    std::uint32_t slots = 0;
    ReplicaLoad load;
    /// Measured slowdown factor of the replica; 1 is as published.
    double slowdown = 1;
    /// The replica failed recently; it is used only if no other replica is left.
    bool isEjected = false;
    /// The replica limits its requests, so that it helps with no prompt of another.
    bool isRateLimited = false;
    bool isLocalZone = false;
    /// One of the replicas that this VM and its section of the fleet group fill with short prompts
    /// first.
    bool isPreferred = true;
    /// Rank of the replica for packing; the same on every VM.
    std::uint64_t packingOrder = 0;
};

struct PromptShape
{
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    Duration objective{};
    Duration eventGapObjective{};
    /// Remaining time until the caller gives up.
    Duration timeLeft = Duration::max();
    /// Several replicas may share the prefill.
    bool maySplit = true;
};

struct PlacementOptions
{
    /// Fraction of a replica's slots that short prompts fill before they go to the next replica.
    double packedSlotFraction = 0.9;
    /// Fraction of the objective up to which a forecast counts as certainly on time.
    double safeObjectiveFraction = 0.75;
    /// Fraction of the objective, beyond the safe one, over which the probability of a late
    /// response grows from zero to one.
    double lateObjectiveFraction = 0.5;
    /// Fraction of the memory that is kept free for responses longer than expected.
    double memoryMarginFraction = 0.04;
    std::uint32_t maxHelpers = 16;
    /// Prefill time beyond which splitting the prompt is considered.
    double minSplitPrefillMs = 60;
    /// Prefill time beyond which a prompt counts as long.
    double longPrefillMs = 90;
    /// Prompt tokens whose response is worth as much as one short response.
    double promptTokensPerShortResponse = 10'000;
    /// Mean decode time of a response. The arrival rate of requests is estimated as the number of
    /// decoding requests divided by it.
    double meanDecodeMs = 1500;
    /// Short responses that a busy replica completes per millisecond.
    double shortResponsesPerReplicaMs = 0.005;
    /// Fraction of a response's value that is lost if it is late.
    double lateLossFraction = 0.75;
    /// Cost of each replica of a split, in late short responses.
    double helperCost = 0.05;
};

/// A replica that prefills a part of the prompt for the primary replica.
struct HelperPlacement
{
    std::string replica;
    /// Memory to reserve there for the prompt; zero if the primary replica holds all of it.
    std::uint64_t reservedTokens = 0;
};

struct Placement
{
    /// The primary replica.
    std::string replica;
    std::vector<HelperPlacement> helpers;
    /// Prefill time of the part that each replica gets.
    double partPrefillMs = 0;
    double timeToFirstTokenMs = 0;
};

/// Value of the response to a prompt, in units of one short response; at least 1.
double promptWeight(std::uint64_t promptTokens, const PlacementOptions &options);

/// Memory of a replica that placements may use, in tokens: all but the margin.
double usableTokens(const EngineFigures &figures, const PlacementOptions &options);

/// Chooses the placement with the lowest cost. Empty if no replica has a free slot and the memory
/// for the prompt, and no split over several replicas is possible or worth its cost.
std::optional<Placement> placePrompt(const EngineFigures &figures, const PromptShape &prompt,
                                     std::span<const PlacementCandidate> candidates,
                                     const PlacementOptions &options, TimePoint now);

/// The least loaded replica of a service without engines; empty if no replica has a free slot.
std::optional<std::string> placeCall(std::span<const PlacementCandidate> candidates);

} // namespace arbutuspier
