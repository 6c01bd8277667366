// Assigns requests to replicas: at once if one has capacity, otherwise in order of priority and
// arrival.
#pragma once

#include "arbutuspier/callplacement.h"
#include "arbutuspier/coldreplicas.h"
#include "arbutuspier/fleetgroups.h"
#include "arbutuspier/fleetload.h"
#include "arbutuspier/placementplan.h"
#include "arbutuspier/remainingwork.h"
#include "arbutuspier/replicahealth.h"
#include "arbutuspier/replicarequestlimits.h"
#include "arbutuspier/replicarests.h"
#include "arbutuspier/routetable.h"
#include "arbutuspier/sharedreplicahealth.h"
#include "arbutuspier/upstreamdirectory.h"
#include "arbutuspier/zonehealth.h"
#include "gateway/activerequestupdate.h"
#include "net/asiotypes.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutuspier {

/// What a request needs from a replica.
struct DispatchRequirements
{
    std::shared_ptr<const RouteTable> table;
    std::string service;
    PromptShape prompt;
    /// Zero is the most urgent.
    std::uint32_t priority = 0;
    /// The request waits for capacity until this time at most.
    TimePoint waitDeadline{};
    /// Time from the assignment to the end of the request, as far as is known.
    Duration expectedDuration{};
    /// Forecast of the work of a call to a service without an engine, in milliseconds. If it is
    /// set, the replica is chosen by when the call is expected to end there.
    std::optional<CostForecast> cost;
    /// Ids of replicas that this request was already sent to. They are used only if no other is
    /// left.
    std::set<std::string> excluded;
    /// Ids of replicas that must not be used even if no other is left.
    std::set<std::string> forbidden;
};

/// A replica that prefills a part of the prompt for the primary replica.
struct HelperAssignment
{
    ReplicaEntry replica;
    /// Memory to reserve on the helper, in tokens; zero if no reservation is needed.
    std::uint64_t reservedTokens = 0;
};

/// The replicas that a request was assigned to.
struct DispatchGrant
{
    /// Serves the request; of a parallel group, the primary replica.
    ReplicaEntry replica;
    std::vector<HelperAssignment> helpers;
    /// Identifies the active request until `end` is called with it.
    std::uint64_t activeRequestId = 0;
    /// Expected time to first event from now on; zero for calls to a service without an engine.
    Duration forecast{};
    /// The replica had no other prompt to prefill (or, without an engine, no other request), so
    /// that the measured time to first event shows its slowdown factor.
    bool wasIdle = false;
    /// The peer that the request is relayed to; `replica` then names the peer, and the request has
    /// no entry in the fleet's load here. Empty if the request goes to a replica.
    std::string relayVm;

    bool isRelay() const { return !relayVm.empty(); }
};

/// Why a request was rejected.
enum class DispatchRejection : std::uint8_t {
    /// No usable replica of the service is known.
    NoReplica,
    /// No replica had capacity before the request stopped waiting.
    NoCapacity,
    /// Prompt and output need more memory than all replicas that may serve them together have.
    TooLarge,
    /// The prefill alone takes longer than the request's remaining time.
    CannotMeetDeadline,
    /// All replicas limit their requests, and this VM's shares are used up for too long.
    RateLimited,
    /// All replicas that are left have asked this VM for rest.
    Resting,
    /// All replicas of the service are in evacuated zones.
    Evacuated,
    /// No connection to a replica can be opened, and no peer is known that has a path to them.
    NoPath,
    /// This VM drains, and stops before the request is expected to end.
    Draining,
    /// The request was cancelled while it waited, as its caller disconnected.
    Cancelled,
};

struct DispatchResult
{
    /// Empty if the request was rejected.
    std::optional<DispatchGrant> grant;
    /// Valid only without a grant.
    DispatchRejection rejection = DispatchRejection::NoCapacity;
    /// Time after which the request could be assigned; empty if it isn't known.
    std::optional<Duration> retryAfter;
};

class DispatchQueue
{
public:
    /// A request that waits for a replica.
    struct Ticket
    {
        DispatchRequirements requirements;
        /// Position in the order of arrival; decides between requests of the same priority.
        std::uint64_t order = 0;
        /// Expires at the wait deadline, and is cancelled once there is a result.
        std::shared_ptr<asio::steady_timer> wakeTimer;
        DispatchResult result;
        bool isDone = false;
        /// It waits, or has waited, for a cold replica.
        bool hasWaitedForCold = false;
    };

    DispatchQueue(asio::any_io_executor executor, const Clock &clock, std::string vm,
                  std::string zone, const UpstreamDirectory &directory, const FleetGroups &groups,
                  FleetLoad &load, const ReplicaHealth &health,
                  const SharedReplicaHealth &sharedHealth, const ZoneHealth &zones,
                  ReplicaRequestLimits &limits, ColdReplicas &cold, const ReplicaRests &rests,
                  const RemainingWork &work);

    /// Waits until the request is assigned to a replica or rejected. A grant must be ended with
    /// `end`.
    Task<DispatchResult> acquire(std::shared_ptr<Ticket> ticket);
    std::shared_ptr<Ticket> makeTicket(DispatchRequirements requirements);
    /// Rejects a waiting request whose caller disconnected. Has no effect once it has a result.
    void cancel(Ticket &ticket);
    /// From now on, requests are rejected that are expected to end after `deadline`.
    void beginDrain(TimePoint deadline);
    /// Whether a request that is assigned now is expected to end before this VM stops.
    bool endsBeforeStop(Duration expectedDuration) const
    {
        return !m_drainDeadline || m_clock.now() + expectedDuration <= *m_drainDeadline;
    }
    /// Records that the replica sent the first event: the prefill is over.
    void beginDecode(std::uint64_t activeRequestId);
    /// Records that the active request has ended, and frees its slot and memory.
    void end(std::uint64_t activeRequestId);
    /// Assigns the waiting requests that now can be. Call it when capacity or replicas changed.
    void dispatchWaiting();

    /// When the first replica of the service has rested; empty if one isn't resting.
    std::optional<TimePoint> allRestUntil(const std::string &service) const;

    /// How a call would be placed now, and why. Changes nothing.
    CallChoice explainCall(const DispatchRequirements &requirements) const;

    std::size_t waiting() const { return m_waiting.size(); }
    /// Requests that waited, or were rejected, as this VM could send none to a cold replica.
    std::uint64_t coldWaits() const { return m_coldWaits; }
    std::uint64_t coldRejections() const { return m_coldRejections; }
    std::size_t running() const { return m_load.activeRequestsOf(m_vm).size(); }
    /// Called on each change of this VM's own active requests.
    std::function<void(const ActiveRequestUpdate &)> onActiveRequestUpdate;

private:
    /// Assigns or rejects the request if that can be decided now. False if it has to wait.
    bool tryDispatch(Ticket &ticket);
    /// Replicas of the service that this VM's fleet group may use.
    const std::vector<const ReplicaEntry *> &usable(const std::string &service) const
    {
        return usableReplicas(service).entries;
    }
    struct UsableReplicas;
    const UsableReplicas &usableReplicas(const std::string &service) const;
    /// The replicas that may get a request now.
    struct Candidates
    {
        std::vector<PlacementCandidate> replicas;
        /// One of them that should get the next request, as a probe of its request limit.
        std::optional<PlacementCandidate> probed;
        /// When the next of the replicas that are left out for their request limits may get one.
        std::optional<TimePoint> nextStart;
        /// When the first of the replicas that are left out because they rest has rested.
        std::optional<TimePoint> restEnd;
        /// This VM's shares of all those replicas, in requests a second.
        double limitedPerSecond = 0;
        /// Replicas that are left out for their request limits.
        std::size_t limitedCount = 0;
        /// When the first of those replicas that are cold is no longer so.
        std::optional<TimePoint> firstColdEnd;
    };

    /// Adds the replica to those that are left out if this VM may send it no request yet. Returns
    /// whether it is left out.
    bool isLimited(const ReplicaEntry &entry, Candidates &result) const;
    Candidates candidates(const DispatchRequirements &requirements) const;
    /// Assigns the request to the replica that should be probed, if that doesn't make it late.
    bool tryProbe(Ticket &ticket, const PlacementCandidate &probed, const EngineFigures *figures);
    /// Rejects the request if its turn at replicas with request limits comes too late. False if it
    /// has to wait.
    bool rejectIfLimitedForTooLong(Ticket &ticket, const Candidates &found);
    /// Assigns waiting requests when the next one of this VM may be sent to a limited replica.
    void dispatchAt(TimePoint nextStart);
    void recordStart(const ReplicaEntry &replica);
    /// Requests for the service that are to be assigned before this one.
    std::size_t waitingBefore(const Ticket &ticket) const;
    /// How long a request may wait for capacity before it is rejected.
    Duration maxWait(const DispatchRequirements &requirements) const;
    /// Whether prompt and output exceed the memory of the replicas even if nothing else runs there.
    bool isTooLarge(const DispatchRequirements &requirements, const EngineFigures &figures,
                    std::size_t replicas) const;
    void grantPrompt(Ticket &ticket, const Placement &placement);
    void grantCall(Ticket &ticket, const std::string &replica);
    /// The replica that a call goes to; empty if none has a free slot.
    std::optional<std::string> chooseForCall(const DispatchRequirements &requirements,
                                             std::span<const PlacementCandidate> candidates) const;
    CallChoice rateForCall(const DispatchRequirements &requirements,
                           std::span<const PlacementCandidate> candidates) const;
    /// Usual age of what is known of peers' calls to the service.
    Duration reportAge(const std::string &service) const;
    void begin(ActiveRequest activeRequest);
    /// Whether the replica failed recently, by what this VM or its peers saw.
    bool isEjected(const ReplicaEntry &replica, TimePoint now) const;
    /// Whether at least half of the slots of the service's replicas are in use.
    bool areSlotsScarce(const std::string &service) const;
    /// Whether the end of the request, or of its prefill, is urgent news: it is long, or its
    /// replica limits its requests, or slots are scarce.
    bool isUrgent(const ActiveRequest &activeRequest) const;
    void notify(ActiveRequestUpdate update);
    void complete(Ticket &ticket);
    void reject(Ticket &ticket, DispatchRejection rejection);

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    std::string m_vm;
    std::string m_zone;
    const UpstreamDirectory &m_directory;
    const FleetGroups &m_groups;
    FleetLoad &m_load;
    const ReplicaHealth &m_health;
    const SharedReplicaHealth &m_sharedHealth;
    const ZoneHealth &m_zones;
    ReplicaRequestLimits &m_limits;
    ColdReplicas &m_cold;
    const ReplicaRests &m_rests;
    const RemainingWork &m_work;
    ReplicaTurns m_turns;
    PlacementOptions m_options;
    /// Invariant: sorted by (priority, order); none has a result yet.
    std::list<std::shared_ptr<Ticket>> m_waiting;
    struct UsableReplicas
    {
        std::uint64_t directoryRevision = 0;
        std::uint64_t groupsRevision = 0;
        std::vector<const ReplicaEntry *> entries;
        /// Those that short prompts fill first.
        std::set<std::string> preferred;
    };
    /// Cache of `usable`, valid while the revisions of directory and groups stay the same. The
    /// pointers stay valid that long too.
    mutable std::map<std::string, UsableReplicas> m_usable;
    /// When everything must have ended; empty unless this VM drains.
    std::optional<TimePoint> m_drainDeadline;
    /// Expires when the next request may be sent to a limited replica, if one waits.
    asio::steady_timer m_startTimer;
    std::optional<TimePoint> m_nextStart;
    std::uint64_t m_coldWaits = 0;
    std::uint64_t m_coldRejections = 0;
    std::uint64_t m_nextOrder = 1;
    std::uint64_t m_nextActiveRequestId = 1;
};

} // namespace arbutuspier
