// Only applyConfiguration activates configurations, so that an older one never replaces a newer
// one.
#include "gateway/gatewaystate.h"

#include "kernel/logline.h"

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <set>

namespace arbutuspier {

namespace {

/// Fraction of the grace period after which everything in flight has ended.
constexpr double kDrainFraction = 0.88;
/// Fraction of the grace period after which the process stops. The responses of what was still in
/// flight have been sent by then.
constexpr double kStopFraction = 0.94;
/// Fraction of the grace period in which new streams are still accepted. The load balancer sends
/// them until it has noticed that this VM drains.
constexpr double kNewStreamsFraction = 0.35;

std::uint64_t seedOf(const std::string &vm, const Clock &clock)
{
    const auto start = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
    return XXH64(vm.data(), vm.size(), start);
}

} // namespace

GatewayState::GatewayState(asio::any_io_executor executorToUse,
                           const GatewaySettings &settingsToUse, const Clock &clockToUse)
    : settings(settingsToUse)
    , clock(clockToUse)
    , executor(std::move(executorToUse))
    , directory({})
    , evacuations({})
    , groups(settings.vm, FleetGroupsOptions{})
    , health({})
    , sharedHealth(settings.vm, settings.zone, {})
    , zones({})
    , limits(settings.vm, ReplicaRequestLimitOptions{}, seedOf(settings.vm, clock))
    , cold(settings.vm, ColdReplicaOptions{})
    , rests({})
    , heartbeats(settings.replicaHeartbeat)
    , durations({})
    , work({}, {})
    , outputLengths({})
    , requestMemory(requestMemoryOf(settings.memoryBytes))
    , responseMemory(responseMemoryOf(settings.memoryBytes))
    , pool({})
    , suspects(executor, clock, metrics, settings.replicaHeartbeat)
    , dispatchQueue(executor, clock, settings.vm, settings.zone, directory, groups, load, health,
                    sharedHealth, zones, limits, cold, rests, work)
    , random(seedOf(settings.vm, clock))
    , paths(executor, clock, directory, random)
{
    pool.maxIdleConnections = [this](const ReplicaIncarnation &incarnation) {
        return maxIdleConnectionsTo(incarnation);
    };
    limits.sharingVms = [this](const ReplicaIncarnation &incarnation) {
        return vmsSharing(incarnation);
    };
    setUpCold();
    suspects.wasRemoved = [this](const ReplicaIncarnation &incarnation) {
        return directory.wasRemovedOrReplaced(incarnation);
    };
    suspects.tryAsk = [this](const ReplicaEntry &replica) {
        return !directory.isEvacuated(replica)
            && rests.tryControlRequest(replica.incarnation(), this->clock.now());
    };
    suspects.isEngine = [this](const ReplicaEntry &replica) {
        const ServiceSpec *service = m_routes ? m_routes->service(replica.service) : nullptr;
        return service && service->engine;
    };
    suspects.onReplicaDown = [this](const ReplicaEntry &replica) { recordUnreachable(replica); };
    sharedHealth.onEjected = [this](const ReplicaIncarnation &incarnation, Duration ejection) {
        metrics.incrementCounter("shared_ejections", "ejected");
        LOG(INFO) << LogLine("replica_ejected")
                         .add("replica", incarnation.id)
                         .addSeconds("seconds", toSeconds(ejection))
                         .add("source", "peers")
                         .text();
    };
    paths.onChange = [this](const std::string &service) { onPathChanged(service); };
}

std::size_t GatewayState::maxIdleConnectionsTo(const ReplicaIncarnation &incarnation) const
{
    const ReplicaEntry *entry = directory.find(incarnation.id);
    const ServiceSpec *service = entry && m_routes ? m_routes->service(entry->service) : nullptr;
    const bool isBounded = service && service->maxConnections > 0;
    if (!isBounded)
        return std::numeric_limits<std::size_t>::max();
    // Half of this VM's share is for idle connections, the other half for connections in use.
    constexpr std::size_t kIdleDivisor = 2;
    const std::size_t share = service->maxConnections / (m_sharingVmCount * kIdleDivisor);
    return std::max<std::size_t>(share, 1);
}

std::vector<std::string> GatewayState::vmsSharing(const ReplicaIncarnation &incarnation) const
{
    const ReplicaEntry *entry = directory.find(incarnation.id);
    const std::size_t replicaCount = entry ? directory.usable(entry->service).size() : 0;
    const std::vector<std::string> listed = groups.vmsSharingReplicas(replicaCount);
    std::set<std::string> vms(listed.begin(), listed.end());
    // The list of VMs may be unknown, or older than a VM.
    vms.insert(m_responsivePeers.begin(), m_responsivePeers.end());
    return {vms.begin(), vms.end()};
}

ColdFigures GatewayState::coldFigures(const std::string &replicaId) const
{
    const ReplicaEntry *entry = directory.find(replicaId);
    const ServiceSpec *service = entry && m_routes ? m_routes->service(entry->service) : nullptr;
    return service ? ColdFigures{service->coldDuration, service->coldStartsPerSecond}
                   : ColdFigures{};
}

void GatewayState::setUpCold()
{
    cold.setBound(settings.coldBound);
    cold.figures = [this](const std::string &replicaId) { return coldFigures(replicaId); };
    cold.sharingVms = [this](const ReplicaIncarnation &incarnation) {
        // A VM that knows no others would take the share of all.
        return groups.isKnown(settings.vm) ? vmsSharing(incarnation) : std::vector<std::string>{};
    };
    cold.onCold = [this](const ReplicaIncarnation &incarnation, Duration left) {
        metrics.incrementCounter("cold_periods", "begun");
        LOG(INFO) << LogLine("replica_cold")
                         .add("replica", incarnation.id)
                         .addSeconds("seconds", toSeconds(left))
                         .addSeconds("per_second", coldFigures(incarnation.id).startsPerSecond)
                         .addSeconds("share", cold.share(incarnation))
                         .text();
    };
    cold.onWarm = [this](const ReplicaIncarnation &incarnation, std::uint64_t starts) {
        metrics.incrementCounter("cold_periods", "ended");
        LOG(INFO)
            << LogLine("replica_warm").add("replica", incarnation.id).add("sends", starts).text();
    };
}

std::set<ReplicaIncarnation> GatewayState::unknownAmong(const std::vector<ReplicaRow> &rows) const
{
    std::set<ReplicaIncarnation> unknown;
    for (const ReplicaRow &row : rows) {
        if (!row.entry)
            continue;
        const ReplicaIncarnation incarnation = row.entry->incarnation();
        const ReplicaEntry *known = directory.find(row.id);
        const bool isKnown = (known && known->startedAtMs == incarnation.startedAtMs)
            || directory.wasRemovedOrReplaced(incarnation);
        if (!isKnown)
            unknown.insert(incarnation);
    }
    return unknown;
}

void GatewayState::recordColdReplicas(const std::vector<ReplicaRow> &rows,
                                      const std::set<ReplicaIncarnation> &started)
{
    for (const ReplicaRow &row : rows) {
        // A draining replica gets no requests.
        if (!row.entry || row.entry->state == ReplicaState::Draining)
            continue;
        const ReplicaIncarnation incarnation = row.entry->incarnation();
        const auto sighting = started.contains(incarnation) ? ColdReplicas::Sighting::Started
                                                            : ColdReplicas::Sighting::Known;
        cold.onEntry(incarnation, row.entry->coldLeft, sighting, clock.now());
    }
}

void GatewayState::recordColdLeft(const ReplicaIncarnation &incarnation,
                                  const platform::ResponseHead &head)
{
    if (head.coldLeft)
        cold.onEntry(incarnation, *head.coldLeft, ColdReplicas::Sighting::Known, clock.now());
}

bool GatewayState::applyConfiguration(std::shared_ptr<const RouteTable> table,
                                      std::string_view source)
{
    const bool isNewer = !m_routes || table->version() > m_routes->version();
    if (!isNewer)
        return false;
    LOG(INFO) << LogLine("configuration_applied")
                     .add("version", table->version())
                     .add("previous", m_routes ? m_routes->version() : 0)
                     .add("source", source)
                     .add("routes", table->configuration().routes.size())
                     .add("teams", table->configuration().teams.size())
                     .text();
    m_routes = std::move(table);
    return true;
}

void GatewayState::onZoneReturned(const std::string &zone)
{
    std::vector<ReplicaIncarnation> returned;
    for (const ReplicaEntry &entry : directory.entries()) {
        if (entry.zone == zone)
            returned.push_back(entry.incarnation());
    }
    cold.onReturned(returned, clock.now());
}

void GatewayState::applyEvacuations(const std::vector<ZoneEvacuation> &changed,
                                    std::string_view source)
{
    if (changed.empty())
        return;
    for (const ZoneEvacuation &zone : changed) {
        metrics.incrementCounter("zone_changes", zone.isEvacuated ? "evacuated" : "returned");
        LOG(INFO) << LogLine(zone.isEvacuated ? "zone_evacuated" : "zone_returned")
                         .add("zone", zone.zone)
                         .add("source", source)
                         .add("era", zone.revision.era)
                         .add("store_revision", zone.revision.number)
                         .text();
        if (!zone.isEvacuated)
            onZoneReturned(zone.zone);
    }
    directory.setEvacuatedZones(evacuations.evacuated());
    dispatchQueue.dispatchWaiting();
}

void GatewayState::recordSuccess(const ReplicaEntry &replica, double durationRatio)
{
    health.onSuccess(replica.incarnation(), durationRatio);
    shareOutcome(&SharedReplicaHealth::onSuccess, replica.incarnation());
}

void GatewayState::recordFailure(const ReplicaEntry &replica)
{
    health.onFailure(replica.incarnation(), clock.now());
    shareOutcome(&SharedReplicaHealth::onFailure, replica.incarnation());
}

void GatewayState::recordReplaced(const ReplicaEntry &replica)
{
    // One such response is enough for this VM. Only the list of replicas removes one.
    health.onUnreachable(replica.incarnation(), clock.now());
    shareOutcome(&SharedReplicaHealth::onFailure, replica.incarnation());
}

void GatewayState::shareOutcome(void (SharedReplicaHealth::*record)(const ReplicaIncarnation &,
                                                                    TimePoint),
                                const ReplicaIncarnation &incarnation)
{
    if (!sharesOutcomes())
        return;
    (sharedHealth.*record)(incarnation, clock.now());
    const auto due = sharedHealth.reportDue();
    if (due && onOutcomes)
        onOutcomes(*due);
}

void GatewayState::applyOutcomes(const OutcomeReport &report)
{
    if (!sharesOutcomes())
        return;
    const TimePoint now = clock.now();
    for (const ReplicaIncarnation &incarnation : sharedHealth.merge(report, now)) {
        const ReplicaEntry *entry = directory.find(incarnation.id);
        if (entry && entry->incarnation() == incarnation)
            zones.onUnresponsive(entry->zone, entry->id, now);
    }
}

void GatewayState::recordResponse(const ReplicaEntry &replica)
{
    zones.onResponse(replica.zone);
    suspects.onResponse(replica.incarnation());
    paths.onResponse(replica);
}

void GatewayState::recordRequestLimit(const ReplicaIncarnation &incarnation,
                                      const platform::ResponseHead &head, bool isAuthentic,
                                      TimePoint sentAt)
{
    if (!head.invalidRequestLimit.empty()) {
        metrics.incrementCounter("request_limits", "invalid");
        LOG(WARNING) << LogLine("request_limit_invalid")
                            .add("replica", incarnation.id)
                            .add("value", head.invalidRequestLimit)
                            .text();
        return;
    }
    if (head.requestLimit || isAuthentic)
        limits.onResponse(incarnation, head.requestLimit, sentAt, clock.now());
}

void GatewayState::recordRest(const ReplicaIncarnation &incarnation,
                              const platform::ResponseHead &head)
{
    if (!head.invalidRest.empty())
        LOG(WARNING) << LogLine("rest_invalid")
                            .add("replica", incarnation.id)
                            .add("value", head.invalidRest)
                            .text();
    if (!head.rest || !rests.onRest(incarnation, *head.rest, clock.now()))
        return;
    metrics.incrementCounter("rests", "asked");
    LOG(INFO) << LogLine("replica_rests")
                     .add("replica", incarnation.id)
                     .addSeconds("seconds", toSeconds(*head.rest))
                     .text();
}

void GatewayState::recordLeaving(const ReplicaIncarnation &incarnation)
{
    // Peers get it with the departures that this VM has found.
    if (!directory.applyDeparture({incarnation, true}))
        return;
    LOG(INFO) << LogLine("replica_leaving")
                     .add("replica", incarnation.id)
                     .add("draining", "yes")
                     .add("source", "replica")
                     .text();
}

void GatewayState::logRequestLimit(const RequestLimitNotice &notice, std::string_view source) const
{
    const bool hasEnded = !notice.perSecond;
    LOG(INFO) << LogLine(hasEnded ? "request_limit_ended" : "request_limit")
                     .add("replica", notice.incarnation.id)
                     .add("source", source)
                     .add("sequence", notice.sequence)
                     .addSeconds("per_second", notice.perSecond.value_or(0))
                     .addSeconds("share", limits.share(notice.incarnation))
                     .text();
}

void GatewayState::recordUnreachable(const ReplicaEntry &replica)
{
    const ReplicaIncarnation incarnation = replica.incarnation();
    zones.onUnresponsive(replica.zone, replica.id, clock.now());
    suspects.onUnreachable(replica);
    health.onUnreachable(incarnation, clock.now());
    pool.closeIdle(incarnation);
    paths.onUnreachable(replica);
    // A VM without a path tells nothing of the replicas.
    if (!paths.isLost(replica.service))
        shareOutcome(&SharedReplicaHealth::onUnreachable, incarnation);
}

void GatewayState::onPathChanged(const std::string &service)
{
    if (!paths.isLost(service)) {
        // The failures before were those of the path.
        for (const ReplicaEntry *replica : directory.usable(service)) {
            health.endEjection(replica->incarnation());
            sharedHealth.endEjection(replica->incarnation());
            zones.onResponse(replica->zone);
        }
    }
    suspects.setCutOff(paths.areAllLost());
    if (onPathsChanged)
        onPathsChanged();
    dispatchQueue.dispatchWaiting();
}

bool GatewayState::canServeNothing() const
{
    if (!m_routes || m_routes->configuration().services.empty())
        return false;
    const auto hasWay = [this](const ServiceSpec &service) {
        return !paths.isLost(service.name) || relayPeers.knowsPath(service.name, clock.now());
    };
    const auto &services = m_routes->configuration().services;
    return std::none_of(services.begin(), services.end(), hasWay);
}

void GatewayState::beginDrain()
{
    const TimePoint now = clock.now();
    m_drainBegunAt = now;
    m_drainDeadline = now + fromSeconds(kDrainFraction * toSeconds(settings.grace));
    m_newStreamDeadline = now + fromSeconds(kNewStreamsFraction * toSeconds(settings.grace));
    m_stopDeadline = now + fromSeconds(kStopFraction * toSeconds(settings.grace));
    dispatchQueue.beginDrain(*m_drainDeadline);
}

bool GatewayState::acceptsStreams() const
{
    return clock.now() < m_newStreamDeadline;
}

FleetRetryBudgetOptions GatewayState::retryBudgetOptions() const
{
    FleetRetryBudgetOptions options;
    options.ratio = settings.retryRatio;
    options.slack = settings.retrySlack;
    options.window = settings.retryWindow;
    return options;
}

FleetRetryBudget &GatewayState::retryBudget(const std::string &service)
{
    const auto found = m_retryBudgets.find(service);
    if (found != m_retryBudgets.end())
        return found->second;
    return m_retryBudgets.emplace(service, FleetRetryBudget(retryBudgetOptions())).first->second;
}

void GatewayState::onSettingsReloaded()
{
    for (auto &[service, retryBudget] : m_retryBudgets)
        retryBudget.setOptions(retryBudgetOptions());
    cold.setBound(settings.coldBound);
}

} // namespace arbutuspier
