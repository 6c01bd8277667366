// Only applyConfiguration activates configurations, so that an older one never replaces a newer
// one.
#include "gateway/gatewaystate.h"

#include "kernel/logline.h"

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace arbutuspier {

namespace {

/// How long a suspect request is remembered after the last replica crash that it was in flight at.
constexpr Duration kSuspectRetention = std::chrono::minutes{5};

/// Fraction of the grace period after which everything in flight has ended.
constexpr double kDrainFraction = 0.88;
/// Fraction of the grace period in which new streams are still accepted. The load balancer sends
/// them until it has noticed that this VM drains.
constexpr double kNewStreamsFraction = 0.35;

std::uint64_t seedOf(const std::string &vm, const Clock &clock)
{
    const auto start = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
    return XXH64(vm.data(), vm.size(), start);
}

UpstreamId upstreamId(const ReplicaIncarnation &incarnation)
{
    return UpstreamId{XXH64(incarnation.id.data(), incarnation.id.size(), 0)};
}

Incarnation incarnationOf(const ReplicaIncarnation &incarnation)
{
    return Incarnation{static_cast<std::uint64_t>(incarnation.startedAtMs)};
}

CrashDetectorOptions crashDetectorOptions(const GatewaySettings &settings)
{
    // The platform removes the entry of a replica that has been silent for this many heartbeats.
    constexpr int kHeartbeatsUntilRemoval = 3;
    CrashDetectorOptions options;
    options.lateHeartbeatTime = kHeartbeatsUntilRemoval * settings.replicaHeartbeat;
    return options;
}

QuarantineOptions quarantineOptions()
{
    QuarantineOptions options;
    options.recordLifetime = kSuspectRetention;
    return options;
}

} // namespace

GatewayState::GatewayState(asio::any_io_executor executorToUse,
                           const GatewaySettings &settingsToUse, const Clock &clockToUse)
    : settings(settingsToUse)
    , clock(clockToUse)
    , executor(std::move(executorToUse))
    , directory({})
    , groups(settings.vm, FleetGroupsOptions{})
    , health({})
    , zones({})
    , pool({})
    , quarantine(quarantineOptions())
    , crashDetector(crashDetectorOptions(settings))
    , dispatchQueue(executor, clock, settings.vm, settings.zone, directory, groups, load, health,
                    zones)
    , random(seedOf(settings.vm, clock))
{
    pool.maxIdleConnections = [this](const ReplicaIncarnation &incarnation) {
        return maxIdleConnectionsTo(incarnation);
    };
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

void GatewayState::publishSuspects(const std::vector<SuspectNotice> &notices,
                                   std::string_view cause, const ReplicaEntry &replica)
{
    for (const SuspectNotice &notice : notices) {
        LOG(INFO) << LogLine(notice.isCleared() ? "suspect_cleared" : "suspect")
                         .add("fingerprint", notice.fingerprint.value)
                         .add("cause", cause)
                         .add("replica", replica.id)
                         .add("born", static_cast<std::uint64_t>(replica.startedAtMs))
                         .add("deaths", notice.crashes.size())
                         .text();
        if (onSuspect)
            onSuspect(notice);
    }
}

void GatewayState::applySuspectNotice(const SuspectNotice &notice, std::string_view vm)
{
    const bool hasChanged = quarantine.merge(notice, clock.now());
    LOG(INFO) << LogLine("suspect_reported")
                     .add("fingerprint", notice.fingerprint.value)
                     .add("source", vm)
                     .add("cleared", notice.isCleared() ? "yes" : "no")
                     .add("deaths", notice.crashes.size())
                     .add("changed", hasChanged ? "yes" : "no")
                     .text();
}

void GatewayState::recordCrash(const ReplicaEntry &replica, Fingerprint fingerprint,
                               CrashState state)
{
    const ReplicaIncarnation incarnation = replica.incarnation();
    crashDetector.recordCrash(incarnation, clock.now());
    const std::vector<Fingerprint> inFlight = {fingerprint};
    publishSuspects(quarantine.onUpstreamCrash(upstreamId(incarnation), incarnationOf(incarnation),
                                               inFlight, clock.now(), state),
                    state == CrashState::Confirmed ? "crash" : "unconfirmed-crash", replica);
}

void GatewayState::recordCompletion(const ReplicaEntry &replica, Fingerprint fingerprint)
{
    publishSuspects(quarantine.onCompleted(fingerprint), "completed", replica);
}

void GatewayState::recordResponse(const ReplicaEntry &replica)
{
    zones.onResponse(replica.zone);
    crashDetector.onResponse(replica.incarnation());
}

void GatewayState::recordHeartbeat(const ReplicaEntry &replica, TimePoint writtenAfter)
{
    const ReplicaIncarnation incarnation = replica.incarnation();
    if (crashDetector.onHeartbeat(incarnation, writtenAfter))
        publishSuspects(quarantine.retract(upstreamId(incarnation), incarnationOf(incarnation)),
                        "heartbeat", replica);
}

void GatewayState::recordUnreachable(const ReplicaEntry &replica)
{
    const ReplicaIncarnation incarnation = replica.incarnation();
    zones.onUnresponsive(replica.zone, replica.id, clock.now());
    crashDetector.onUnreachable(incarnation, clock.now());
    health.onUnreachable(incarnation, clock.now());
    pool.closeIdle(incarnation);
}

void GatewayState::beginDrain()
{
    const TimePoint now = clock.now();
    m_drainDeadline = now + fromSeconds(kDrainFraction * toSeconds(settings.grace));
    m_newStreamDeadline = now + fromSeconds(kNewStreamsFraction * toSeconds(settings.grace));
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
}

} // namespace arbutuspier
