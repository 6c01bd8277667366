// A simulation of how the VMs of a fleet place calls to a plain service, in virtual time and
// without a network: what each VM knows of the others' calls, and how late, decides where calls go.
//
// A replica runs as many calls at a time as it has slots, and the others wait there in the order of
// arrival. Zones, failures and limits are left out. Where all slots seem taken, a call goes to the
// replica that the rule prefers, as if that one had a free slot.
#pragma once

#include "arbutuspier/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace arbutuspier::model {

enum class CallRule : std::uint8_t {
    /// `placeCall`: fewest running calls, then the same order on all VMs.
    FewestRunning,
    /// Two random replicas, and of them the one with fewer running calls.
    TwoRandomChoices,
    /// Fewest running calls, ties broken at random.
    LeastOutstanding,
    /// Least expected work, from the true mean of each kind of call; ties broken at random.
    ShortestExpectedWork,
    /// `chooseReplica`, with what each VM has learned.
    LearnedCost,
    /// Knows the true work of each call, the speeds and all queues without delay.
    Oracle,
};

std::string toText(CallRule rule);

/// Calls of similar work.
struct CallKind
{
    std::string name;
    /// Mean work without the tail.
    double meanMs = 60;
    /// Standard deviation of the logarithm of the work.
    double logSpread = 0.5;
    /// Fraction of the calls that take `tailFactor` times as long.
    double tailFraction = 0.01;
    double tailFactor = 5;
    /// Fraction of all calls.
    double share = 0.5;
};

struct CallFleetOptions
{
    std::size_t vmCount = 33;
    std::size_t replicaCount = 7;
    std::uint32_t slots = 6;
    std::vector<CallKind> kinds = {{"short", 40}, {"long", 80}};
    /// The first so many replicas take `slowFactor` times as long.
    std::size_t slowReplicas = 0;
    double slowFactor = 2;
    /// Fraction of what the replicas can do.
    double load = 0.8;
    /// Time until the begin or the end of a call is known to the other VMs.
    Duration reportAge = std::chrono::milliseconds{200};
    /// False if no VM hears another.
    bool hasReports = true;
    Duration objective = std::chrono::milliseconds{300};
    CallRule rule = CallRule::LearnedCost;
    /// Calls that arrive before aren't measured.
    Duration warmUp = std::chrono::seconds{20};
    Duration duration = std::chrono::seconds{80};
    std::uint64_t seed = 1;
};

struct CallKindResult
{
    std::string kind;
    std::size_t calls = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    /// Fraction of the calls that ended after the objective.
    double lateFraction = 0;
};

struct CallFleetResult
{
    std::vector<CallKindResult> kinds;
    /// Of all calls together.
    CallKindResult all;
};

CallFleetResult runCallFleet(const CallFleetOptions &options);

} // namespace arbutuspier::model
