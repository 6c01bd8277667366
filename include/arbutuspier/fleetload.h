// The load of each replica, summed over the active requests of this VM and its peers.
//
// Every VM sends its peers an update for each request that it dispatches. The load of a replica is
// thus known after one message delay, while the replica's own reports lag further behind. All
// active requests of a VM that becomes unresponsive are dropped together.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/costestimates.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutuspier {

/// The part of an active request that one replica runs.
struct ActiveRequestPart
{
    std::string replica;
    /// Time in which the replica, when idle, prefills its part of the prompt.
    double prefillMs = 0;
    /// Context of each decode iteration, in tokens.
    std::uint64_t contextTokens = 0;
    /// Memory that is reserved while the request runs, in tokens.
    std::uint64_t memoryTokens = 0;
    /// The replica also decodes the response; the request then takes one of its slots.
    bool isPrimary = false;
};

struct ActiveRequest
{
    /// Unique among the requests of one incarnation of a VM.
    std::uint64_t id = 0;
    /// Longest inter-event gap that is on time; zero if the response is not an event stream.
    Duration eventGapObjective{};
    /// Value of its response, in units of one short response.
    double weight = 1;
    bool isDecoding = false;
    std::vector<ActiveRequestPart> parts;
    /// Forecast of the work of a call, in milliseconds. Known for this VM's own calls only: it
    /// isn't sent to peers.
    std::optional<CostForecast> cost;
    /// When this VM learned of the request; set by `FleetLoad::begin`.
    TimePoint begunAt{};
};

/// A request without a prompt to prefill, which runs on one replica.
struct RunningCall
{
    std::uint64_t requestId = 0;
    TimePoint begunAt{};
    /// Empty if it is that of another VM.
    std::optional<CostForecast> cost;
};

/// A prompt, or a part of one, whose prefill a replica has not finished.
struct PendingPrefill
{
    TimePoint sentAt{};
    double prefillMs = 0;
};

/// A response that a replica decodes, or will decode after the prefill.
struct PlannedDecode
{
    Duration eventGapObjective{};
    double weight = 1;
};

/// The sum of what is known to run on one replica.
struct ReplicaLoad
{
    /// Requests that take a slot of the replica.
    std::uint32_t running = 0;
    /// Requests whose prefill is done and that decode here.
    std::uint32_t decodingRequests = 0;
    /// Prompts of which this replica, as a helper, prefills a part for another replica.
    std::uint32_t helperPrefills = 0;
    std::uint64_t contextTokens = 0;
    std::uint64_t memoryTokens = 0;
    /// In the order in which they were sent.
    std::vector<PendingPrefill> pendingPrefills;
    /// Invariant: has `running` entries.
    std::vector<PlannedDecode> plannedDecodes;

    /// Total weight of the responses that an inter-event gap of this length is likely to make late.
    /// A gap that nearly reaches an objective counts in part, as it may turn out longer.
    double weightDelayedBy(Duration gap) const;
};

class FleetLoad
{
public:
    /// Adds an active request of a VM, unless one with its id is known already.
    void begin(std::string_view vm, ActiveRequest request, TimePoint now);
    /// Moves a request from prefill to decode.
    void beginDecode(std::string_view vm, std::uint64_t requestId, TimePoint now);
    void end(std::string_view vm, std::uint64_t requestId);
    /// Replaces all active requests of a VM by `requests`.
    void replace(std::string_view vm, std::vector<ActiveRequest> requests, TimePoint now);
    void dropVm(std::string_view vm, TimePoint now);

    /// The load of a replica; an idle load if nothing is known to run on it.
    const ReplicaLoad &of(std::string_view replica) const;
    /// The calls that are known to run on a replica. Valid until the next change.
    std::span<const RunningCall> callsOf(std::string_view replica) const;
    /// An active request of a VM; null if it isn't known.
    const ActiveRequest *find(std::string_view vm, std::uint64_t requestId) const;
    std::vector<ActiveRequest> activeRequestsOf(std::string_view vm) const;

private:
    using ActiveRequests = std::map<std::uint64_t, ActiveRequest>;
    using Loads = std::map<std::string, ReplicaLoad, std::less<>>;

    void addPart(const ActiveRequest &request, const ActiveRequestPart &part, TimePoint now);
    void removePart(const ActiveRequest &request, const ActiveRequestPart &part);
    void startDecoding(ActiveRequest &request, TimePoint now);
    void removeAllParts(const ActiveRequest &request);
    void addCall(const ActiveRequest &request);
    void removeCall(const ActiveRequest &request);

    std::map<std::string, ActiveRequests, std::less<>> m_activeRequests;
    /// Invariant: each entry is the sum over the parts that run on the replica.
    Loads m_loads;
    /// Invariant: by replica, an entry for each known request whose primary part has no prefill.
    std::map<std::string, std::vector<RunningCall>, std::less<>> m_calls;
};

} // namespace arbutuspier
