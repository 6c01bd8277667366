// One place puts configurations in force, so that none older ever can be.
#include "gateway/gatewaystate.h"

#include "kernel/logline.h"

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace arbutuspier {

namespace {

/// A body is remembered this long after a replica died with it.
constexpr Duration kSuspectMemory = std::chrono::minutes{5};

/// Part of the grace by which everything in flight has ended.
constexpr double kDrainPart = 0.88;
/// Part of the grace in which streams are still begun; the balancer sends them until it has
/// noticed.
constexpr double kStreamsPart = 0.35;

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

QuarantineOptions quarantineOptions()
{
    QuarantineOptions options;
    options.memory = kSuspectMemory;
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
    , deaths({})
    , workList(executor, clock, settings.vm, settings.zone, directory, groups, load, health, zones)
    , random(seedOf(settings.vm, clock))
{
    pool.maxIdleConnections = [this](const ReplicaIncarnation &incarnation) {
        return idleShare(incarnation);
    };
}

std::size_t GatewayState::idleShare(const ReplicaIncarnation &incarnation) const
{
    const ReplicaEntry *entry = directory.find(incarnation.id);
    const ServiceSpec *service = entry && m_routes ? m_routes->service(entry->service) : nullptr;
    const bool isBounded = service && service->maxConnections > 0;
    if (!isBounded)
        return std::numeric_limits<std::size_t>::max();
    // The other half is for connections in use.
    constexpr std::size_t kIdlePart = 2;
    const std::size_t share = service->maxConnections / (m_sharingVms * kIdlePart);
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

void GatewayState::tellSuspects(const std::vector<SuspectNotice> &notices)
{
    for (const SuspectNotice &notice : notices) {
        LOG(INFO) << LogLine(notice.isCleared ? "suspect_cleared" : "suspect")
                         .add("fingerprint", notice.fingerprint.value)
                         .add("deaths", notice.deaths.size())
                         .text();
        if (onSuspect)
            onSuspect(notice);
    }
}

void GatewayState::noteCrash(const ReplicaIncarnation &incarnation, Fingerprint fingerprint)
{
    deaths.recordCrash(incarnation);
    const std::vector<Fingerprint> inFlight = {fingerprint};
    tellSuspects(quarantine.onUpstreamCrash(upstreamId(incarnation), incarnationOf(incarnation),
                                            inFlight, clock.now()));
}

void GatewayState::noteCompleted(Fingerprint fingerprint)
{
    tellSuspects(quarantine.onCompleted(fingerprint));
}

void GatewayState::noteAnswer(const ReplicaEntry &replica)
{
    const ReplicaIncarnation incarnation = replica.incarnation();
    zones.onAnswer(replica.zone);
    if (deaths.onAnswer(incarnation))
        tellSuspects(quarantine.retract(upstreamId(incarnation), incarnationOf(incarnation)));
}

void GatewayState::noteUnreachable(const ReplicaEntry &replica)
{
    const ReplicaIncarnation incarnation = replica.incarnation();
    zones.onUnresponsive(replica.zone, replica.id, clock.now());
    deaths.onUnreachable(incarnation, clock.now());
    health.onUnreachable(incarnation, clock.now());
    pool.drop(incarnation);
}

void GatewayState::beginDrain()
{
    const TimePoint now = clock.now();
    m_drainEnd = now + fromSeconds(kDrainPart * toSeconds(settings.grace));
    m_lastStreamAt = now + fromSeconds(kStreamsPart * toSeconds(settings.grace));
}

bool GatewayState::takesStreams() const
{
    return clock.now() < m_lastStreamAt;
}

FleetRetryBudgetOptions GatewayState::allowanceOptions() const
{
    FleetRetryBudgetOptions options;
    options.ratio = settings.retryRatio;
    options.slack = settings.retrySlack;
    options.window = settings.retryWindow;
    return options;
}

FleetRetryBudget &GatewayState::allowance(const std::string &service)
{
    const auto found = m_allowances.find(service);
    if (found != m_allowances.end())
        return found->second;
    return m_allowances.emplace(service, FleetRetryBudget(allowanceOptions())).first->second;
}

void GatewayState::onSettings()
{
    for (auto &[service, allowance] : m_allowances)
        allowance.setOptions(allowanceOptions());
}

} // namespace arbutuspier
