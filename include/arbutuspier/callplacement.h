// Chooses the replica of a call to a service without engines by when the call is expected to end
// there, and says how it chose.
//
// Peers' reports are late, and all VMs would send their next calls to the replica that was idle in
// the same report. So reported work counts the less the older the reports are, and among replicas
// where the call ends at nearly the same time a VM takes the one that it used least recently.
#pragma once

#include "arbutuspier/costestimates.h"
#include "arbutuspier/remainingwork.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

/// A replica that may run a call.
struct CallCandidate
{
    std::string replica;
    std::uint32_t slots = 1;
    /// Calls that are known to run there.
    std::uint32_t running = 0;
    WorkLeft work;
    Slowdown slowdown;
    /// The replica failed recently; it is used only if no other has a free slot.
    bool isEjected = false;
    bool isLocalZone = false;
    /// Decides between near equals, the lowest first.
    std::uint64_t turn = 0;
};

/// The order in which one VM last used the replicas.
class ReplicaTurns
{
public:
    explicit ReplicaTurns(std::string vm)
        : m_vm(std::move(vm))
    {
    }

    /// The lower, the longer ago the replica was used. Replicas that weren't used yet come first,
    /// in an order that differs between VMs.
    std::uint64_t turn(std::string_view replica) const;
    void onUse(std::string_view replica);

private:
    static constexpr std::size_t kMaxReplicas = 4096;

    std::string m_vm;
    std::uint64_t m_uses = 0;
    std::map<std::string, std::uint64_t, std::less<>> m_lastUse;
};

struct CallPlacementOptions
{
    /// Difference of the expected duration, as a fraction of that at the best replica, up to which
    /// replicas count as equal even if all is known of them.
    double nearEqualFraction = 0.02;
    /// Further difference up to which they count as equal if reports say nothing of the present.
    double staleNearEqualFraction = 0.1;
};

/// Why a candidate wasn't chosen.
enum class CallVerdict : std::uint8_t {
    Chosen,
    /// All of its slots are in use.
    NoFreeSlot,
    /// Another candidate hasn't failed recently.
    Ejected,
    /// The call would end later than at the best candidate, or more likely too late.
    Slower,
    /// As good as the chosen one, but in another zone.
    OtherZone,
    /// As good as the chosen one, but used more recently.
    UsedLater,
};

std::string_view toText(CallVerdict verdict);

/// How a candidate was rated.
struct RatedCandidate
{
    std::string replica;
    CallVerdict verdict = CallVerdict::Slower;
    Slowdown slowdown;
    /// Work left there at a usual replica's speed; other VMs' part as discounted for its age.
    double workLeftMs = 0;
    /// Expected time from now until the call ends.
    double expectedMs = 0;
    /// Probability that it ends after the objective.
    double lateProbability = 0;
};

struct CallChoice
{
    /// Empty if no candidate has a free slot.
    std::optional<std::string> replica;
    /// All candidates, in the order in which they were given.
    std::vector<RatedCandidate> candidates;
};

/// What the choice depends on beside the candidates.
struct CallDemand
{
    CostForecast cost;
    /// Time until which the call should end; zero if it has no objective.
    Duration objective{};
    /// Usual age of what is known of other VMs' calls.
    Duration reportAge{};
    /// Mean work of a call of the service, in milliseconds.
    double usualWorkMs = 0;
};

CallChoice chooseReplica(std::span<const CallCandidate> candidates, const CallDemand &demand,
                         const CallPlacementOptions &options);

} // namespace arbutuspier
