// Hands requests to replicas: at once where there is room, else in order of urgency.
#pragma once

#include "arbutuspier/fleetgroups.h"
#include "arbutuspier/fleetload.h"
#include "arbutuspier/placementplan.h"
#include "arbutuspier/replicahealth.h"
#include "arbutuspier/routetable.h"
#include "arbutuspier/upstreamdirectory.h"
#include "arbutuspier/zonehealth.h"
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

/// What a request needs of a replica.
struct DispatchRequirements
{
    std::shared_ptr<const RouteTable> table;
    std::string service;
    PromptShape prompt;
    /// Zero is the most urgent.
    std::uint32_t priority = 0;
    /// Waits for room no longer than this.
    TimePoint until{};
    /// Replicas that were tried already.
    std::set<std::string> excluded;
};

/// A replica that reads a part of the prompt.
struct HelperGrant
{
    ReplicaEntry replica;
    /// Memory to set aside there; zero for none.
    std::uint64_t reservedTokens = 0;
};

struct DispatchGrant
{
    ReplicaEntry replica;
    std::vector<HelperGrant> helpers;
    /// Names the work until it is ended.
    std::uint64_t activeRequest = 0;
    /// Forecast of the first event; zero for plain calls.
    Duration forecast{};
    /// The replica had nothing else to read, so that its time tells its pace.
    bool wasIdle = false;
};

enum class DispatchRefusal : std::uint8_t {
    /// No replica of the service is known to be up.
    NoReplica,
    /// No replica had room in time.
    NoRoom,
    /// The prompt is larger than what replicas can hold.
    TooLarge,
    /// Even reading the prompt alone takes longer than the caller will wait.
    NoTime,
    Cancelled,
};

struct DispatchResult
{
    std::optional<DispatchGrant> grant;
    DispatchRefusal refusal = DispatchRefusal::NoRoom;
};

/// What VMs tell each other about their work.
struct ActiveRequestUpdate
{
    enum class Kind : std::uint8_t { Began, Decoding, Ended };
    Kind kind = Kind::Began;
    std::uint64_t id = 0;
    /// Set where the work began.
    std::optional<ActiveRequest> activeRequest;
};

class DispatchQueue
{
public:
    /// A request that waits. Its owner may cancel it.
    struct Ticket
    {
        DispatchRequirements need;
        std::uint64_t order = 0;
        std::shared_ptr<asio::steady_timer> wake;
        DispatchResult result;
        bool isSettled = false;
    };

    DispatchQueue(asio::any_io_executor executor, const Clock &clock, std::string vm,
                  std::string zone, const UpstreamDirectory &directory, const FleetGroups &groups,
                  FleetLoad &load, const ReplicaHealth &health, const ZoneHealth &zones);

    /// Waits for a replica. The grant must be ended with `end`.
    Task<DispatchResult> acquire(std::shared_ptr<Ticket> ticket);
    std::shared_ptr<Ticket> makeTicket(DispatchRequirements need);
    /// The request's caller has gone.
    void cancel(Ticket &ticket);
    void beginDecode(std::uint64_t activeRequest);
    void end(std::uint64_t activeRequest);
    /// Room or replicas changed: grants what can be granted.
    void dispatchWaiting();

    std::size_t waiting() const { return m_waiting.size(); }
    std::size_t running() const { return m_load.activeRequestsOf(m_vm).size(); }
    /// Called with each change of this VM's own work.
    std::function<void(const ActiveRequestUpdate &)> onNews;

private:
    bool trySettle(Ticket &ticket);
    /// Replicas of the service that this VM's group may use.
    const std::vector<const ReplicaEntry *> &usable(const std::string &service) const;
    std::vector<PlacementCandidate> candidates(const DispatchRequirements &need) const;
    /// How long a request may wait for room before it is refused.
    Duration longestWait(const DispatchRequirements &need) const;
    /// True if the prompt would not fit even if nothing else ran.
    bool isTooLarge(const DispatchRequirements &need, const EngineFigures &figures,
                    std::size_t replicas) const;
    void grantPrompt(Ticket &ticket, const Placement &placement);
    void grantCall(Ticket &ticket, const std::string &replica);
    void begin(ActiveRequest activeRequest);
    void settle(Ticket &ticket);
    void refuse(Ticket &ticket, DispatchRefusal refusal);

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    std::string m_vm;
    std::string m_zone;
    const UpstreamDirectory &m_directory;
    const FleetGroups &m_groups;
    FleetLoad &m_load;
    const ReplicaHealth &m_health;
    const ZoneHealth &m_zones;
    PlacementOptions m_options;
    /// Invariant: sorted by (priority, order); none is settled.
    std::list<std::shared_ptr<Ticket>> m_waiting;
    struct UsableReplicas
    {
        std::uint64_t directoryRevision = 0;
        std::uint64_t groupsRevision = 0;
        std::vector<const ReplicaEntry *> entries;
    };
    /// Kept as long as neither the directory nor the groups change; entries then stay in place.
    mutable std::map<std::string, UsableReplicas> m_usable;
    std::uint64_t m_nextOrder = 1;
    std::uint64_t m_nextWork = 1;
};

} // namespace arbutuspier
