// Where a request goes: one replica, or one that writes and several that help it read the prompt.
//
// Short prompts are packed onto few replicas as long as they make their objective there, and long
// ones are split over the emptiest, so that reading a long prompt rarely stops the writers of short
// answers. Both look at the same order of replicas from opposite ends, which makes the part of the
// fleet that reads long prompts follow demand at once.
#pragma once

#include "arbutuspier/fleetload.h"
#include "arbutuspier/routetable.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace arbutuspier {

/// A replica that may take a part of a request.
struct PlacementCandidate
{
    std::string replica;
    std::uint32_t slots = 0;
    ReplicaLoad load;
    /// How many times slower than published the replica proved to be.
    double pace = 1;
    /// Failed of late; used only where nothing else is left.
    bool isEjected = false;
    bool isLocalZone = false;
    /// The same on every VM; the packing goes by it.
    std::uint64_t order = 0;
};

struct PromptShape
{
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    Duration objective{};
    Duration eventGapObjective{};
    /// Time until the caller gives up.
    Duration timeLeft = Duration::max();
    /// A prompt may be read by several replicas.
    bool maySplit = true;
};

struct PlacementOptions
{
    /// Part of its slots up to which a replica is filled before the next one gets short prompts.
    double packedSlots = 0.9;
    /// Part of the objective up to which a forecast counts as on time for sure.
    double safeObjective = 0.75;
    /// Part of the objective, beyond the safe one, over which the chance to be late grows to one.
    double lateSpan = 0.5;
    /// Memory that is left free for answers longer than expected.
    double memoryMargin = 0.04;
    std::uint32_t maxHelpers = 16;
    /// Reading time beyond which a split is weighed.
    double splitMs = 60;
    /// Reading time beyond which a prompt counts as long.
    double longMs = 90;
    /// Prompt tokens that weigh as much as one short answer that comes late.
    double tokensPerAnswer = 10'000;
    /// Time that an answer takes to write, to tell from the number of writers how many come.
    double answerMs = 1500;
    /// Short answers that a busy replica serves in a millisecond.
    double answersPerReplicaMs = 0.005;
    /// Part of an answer's worth that is lost if it comes late.
    double lateLoss = 0.75;
    /// Cost of one more replica in a split, in late short answers.
    double helperCost = 0.05;
};

/// A replica that reads a part of a prompt for another.
struct HelperPlacement
{
    std::string replica;
    /// Memory to set aside there for the prompt; zero if the writer holds all of it.
    std::uint64_t reservedTokens = 0;
};

struct Placement
{
    std::string replica;
    std::vector<HelperPlacement> helpers;
    /// Reading time of each of the replicas.
    double partPrefillMs = 0;
    double firstEventMs = 0;
};

/// What the answer to a prompt is worth, in short answers.
double promptWeight(std::uint64_t promptTokens, const PlacementOptions &options);

/// Memory of a replica that prompts are planned into.
double usableTokens(const EngineFigures &figures, const PlacementOptions &options);

/// Empty if no candidate has a slot and the memory at present, nor several together.
std::optional<Placement> placePrompt(const EngineFigures &figures, const PromptShape &prompt,
                                     std::span<const PlacementCandidate> candidates,
                                     const PlacementOptions &options, TimePoint now);

/// The least loaded replica of a plain service; empty if none has a slot.
std::optional<std::string> placeCall(std::span<const PlacementCandidate> candidates);

} // namespace arbutuspier
