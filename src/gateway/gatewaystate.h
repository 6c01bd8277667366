// The state that all requests of one gateway share. Used by the gateway's one thread only.
#pragma once

#include "arbutuspier/coldreplicas.h"
#include "arbutuspier/costestimates.h"
#include "arbutuspier/fleetgroups.h"
#include "arbutuspier/fleetretrybudget.h"
#include "arbutuspier/random.h"
#include "arbutuspier/remainingwork.h"
#include "arbutuspier/replicahealth.h"
#include "arbutuspier/replicaheartbeats.h"
#include "arbutuspier/replicarequestlimits.h"
#include "arbutuspier/replicarests.h"
#include "arbutuspier/routedurations.h"
#include "arbutuspier/routetable.h"
#include "arbutuspier/sharedreplicahealth.h"
#include "arbutuspier/upstreamdirectory.h"
#include "arbutuspier/zoneevacuations.h"
#include "arbutuspier/zonehealth.h"
#include "gateway/dispatchqueue.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/gatewaysettings.h"
#include "gateway/memorybudget.h"
#include "gateway/relaypeers.h"
#include "gateway/suspecttracker.h"
#include "gateway/upstreampaths.h"
#include "gateway/upstreampool.h"
#include "platform/httpheaders.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutuspier {

class GatewayState
{
public:
    GatewayState(asio::any_io_executor executor, const GatewaySettings &settings,
                 const Clock &clock);

    /// Most VMs of a fleet group that poll the store for the others. Several of them may be lost,
    /// or cut off from the store, at the same time.
    static constexpr std::size_t kMaxReaders = 6;

    /// In a smaller group each VM sees the failures of a replica soon enough by itself.
    static constexpr std::size_t kMinVmsSharingOutcomes = 16;

    /// Called when the path to a service was lost, or is back.
    std::function<void()> onPathsChanged;

    /// Activates a configuration if its version is higher than the active one's. True if it was.
    bool applyConfiguration(std::shared_ptr<const RouteTable> table, std::string_view source);
    /// The active configuration; null until one is known.
    const std::shared_ptr<const RouteTable> &routes() const { return m_routes; }

    /// Applies changes of `evacuations`: requests that wait are placed anew. `source` is the store
    /// or the peer.
    void applyEvacuations(const std::vector<ZoneEvacuation> &changed, std::string_view source);

    /// Records that a replica served a request, or began its output. `durationRatio` is the time
    /// that it took divided by the forecast, or zero if that shows nothing.
    void recordSuccess(const ReplicaEntry &replica, double durationRatio);
    /// Records that a replica failed a request, or broke off its response.
    void recordFailure(const ReplicaEntry &replica);
    /// Records that another process responded at the replica's address: the replica has ended.
    void recordReplaced(const ReplicaEntry &replica);
    /// Adds what a peer saw of replicas.
    void applyOutcomes(const OutcomeReport &report);
    /// Records that a replica responded.
    void recordResponse(const ReplicaEntry &replica);
    /// Records the request limit that a replica named in the head of a response to a request of
    /// `sentAt`, or that it named none. `isAuthentic` says that the replica itself responded.
    void recordRequestLimit(const ReplicaIncarnation &incarnation,
                            const platform::ResponseHead &head, bool isAuthentic, TimePoint sentAt);
    /// Records that the replica asked this VM for rest in the head of a response, if it did.
    void recordRest(const ReplicaIncarnation &incarnation, const platform::ResponseHead &head);
    /// Records that the replica is leaving, as it said in the head of a response.
    void recordLeaving(const ReplicaIncarnation &incarnation);
    /// The incarnations that the directory doesn't know yet.
    std::set<ReplicaIncarnation> unknownAmong(const std::vector<ReplicaRow> &rows) const;
    /// Records what the rows that the directory got say about cold replicas. `started` are those
    /// that this VM saw start.
    void recordColdReplicas(const std::vector<ReplicaRow> &rows,
                            const std::set<ReplicaIncarnation> &started);
    /// Records for how long the replica stays cold, if it said so in the head of a response.
    void recordColdLeft(const ReplicaIncarnation &incarnation, const platform::ResponseHead &head);
    void logRequestLimit(const RequestLimitNotice &notice, std::string_view source) const;
    /// Records that the replica refused a connection or didn't accept it in time.
    void recordUnreachable(const ReplicaEntry &replica);

    /// This VM's retry budget for a service.
    FleetRetryBudget &retryBudget(const std::string &service);
    /// Applies the retry settings after the settings file was read again.
    void onSettingsReloaded();
    /// Number of VMs that serve now, including this one.
    std::size_t vmCount() const { return m_vmCount; }
    void setVmCount(std::size_t count) { m_vmCount = count; }
    /// Number of VMs in this VM's fleet group now, including this one.
    void setSharingVmCount(std::size_t count) { m_sharingVmCount = count; }
    /// Whether the VMs of the fleet group tell each other of the failures of replicas: they are so
    /// many that each sends a replica a request now and then only.
    bool sharesOutcomes() const { return m_sharingVmCount >= kMinVmsSharingOutcomes; }
    /// Most idle connections that this VM may keep to a replica: its share of the connections that
    /// the replica accepts, as the other VMs of the fleet group use the rest.
    std::size_t maxIdleConnectionsTo(const ReplicaIncarnation &incarnation) const;
    /// Names of the responsive peers.
    void setResponsivePeers(std::vector<std::string> vms) { m_responsivePeers = std::move(vms); }
    /// Number of VMs that can read the metadata store now, including this one.
    std::size_t storeReaderCount() const { return m_storeReaderCount; }
    /// Number of VMs that poll the store for all, including this one.
    std::size_t pollingReaderCount() const { return std::min(m_storeReaderCount, kMaxReaders); }
    void setStoreReaderCount(std::size_t count) { m_storeReaderCount = count; }
    /// Whether this VM is one of the few that poll the store for all VMs of the fleet group.
    bool isStoreReader() const { return m_isStoreReader; }
    void setStoreReader(bool isReader) { m_isStoreReader = isReader; }

    /// False while some listed VM is unresponsive, or if the fleet has several groups: then notices
    /// of other VMs may reach this one through the metadata store only.
    bool hearsAllVms() const { return m_hearsAllVms; }
    void setHearsAllVms(bool hearsAll) { m_hearsAllVms = hearsAll; }

    /// Whether this VM can serve no service of the configuration: it has a path to none of them,
    /// and knows no peer that has.
    bool canServeNothing() const;

    bool isDraining() const { return m_drainDeadline.has_value(); }
    /// Deadline of everything in flight; empty unless the VM drains.
    const std::optional<TimePoint> &drainDeadline() const { return m_drainDeadline; }
    /// When the drain began; empty unless the VM drains.
    const std::optional<TimePoint> &drainBegunAt() const { return m_drainBegunAt; }
    /// When the process stops after a drain, whatever is still in flight.
    TimePoint stopDeadline() const { return m_stopDeadline; }
    void beginDrain();
    /// Whether new streams are accepted. While the VM drains, only for its first part, as a later
    /// stream might not end before the VM stops.
    bool acceptsStreams() const;

    const GatewaySettings &settings;
    const Clock &clock;
    asio::any_io_executor executor;
    UpstreamDirectory directory;
    ZoneEvacuations evacuations;
    FleetGroups groups;
    FleetLoad load;
    ReplicaHealth health;
    SharedReplicaHealth sharedHealth;
    ZoneHealth zones;
    ReplicaRequestLimits limits;
    ColdReplicas cold;
    ReplicaRests rests;
    ReplicaHeartbeats heartbeats;
    RouteDurations durations;
    /// What calls to plain services cost, in milliseconds.
    RemainingWork work;
    /// How long responses of engines are, in output tokens.
    CostEstimates outputLengths;
    /// Bodies of requests, from their arrival until they are answered.
    MemoryBudget requestMemory;
    /// Responses that are collected whole.
    MemoryBudget responseMemory;
    UpstreamPool pool;
    GatewayMetrics metrics;
    SuspectTracker suspects;
    DispatchQueue dispatchQueue;
    Random random;
    UpstreamPaths paths;
    RelayPeers relayPeers;

    /// Called when the peers have to get a report of outcomes at this time at the latest.
    std::function<void(TimePoint)> onOutcomes;

private:
    /// An evacuated zone has returned. Its replicas count as cold, as they may have been restarted
    /// meanwhile. Called before they get requests again.
    void onZoneReturned(const std::string &zone);
    /// The path to a service was lost, or is back.
    void onPathChanged(const std::string &service);
    /// Records what this VM saw of a replica for the peers, if they are told.
    void shareOutcome(void (SharedReplicaHealth::*record)(const ReplicaIncarnation &, TimePoint),
                      const ReplicaIncarnation &incarnation);
    FleetRetryBudgetOptions retryBudgetOptions() const;
    /// VMs that may send requests to the replica.
    std::vector<std::string> vmsSharing(const ReplicaIncarnation &incarnation) const;
    ColdFigures coldFigures(const std::string &replicaId) const;
    void setUpCold();

    std::shared_ptr<const RouteTable> m_routes;
    std::map<std::string, FleetRetryBudget> m_retryBudgets;
    std::size_t m_vmCount = 1;
    std::size_t m_sharingVmCount = 1;
    std::size_t m_storeReaderCount = 1;
    bool m_isStoreReader = true;
    std::vector<std::string> m_responsivePeers;
    bool m_hearsAllVms = true;
    std::optional<TimePoint> m_drainBegunAt;
    std::optional<TimePoint> m_drainDeadline;
    TimePoint m_newStreamDeadline = TimePoint::max();
    TimePoint m_stopDeadline = TimePoint::max();
};

} // namespace arbutuspier
