// One place puts configurations in force, so that none older ever can be.
#include "gateway/gatestate.h"

#include "kernel/logline.h"

#include <glog/logging.h>
#include <xxhash.h>

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

QuarantineOptions quarantineOptions()
{
    QuarantineOptions options;
    options.memory = kSuspectMemory;
    return options;
}

} // namespace

GateState::GateState(asio::any_io_executor executorToUse, const GateSettings &settingsToUse,
                     const Clock &clockToUse)
    : settings(settingsToUse)
    , clock(clockToUse)
    , executor(std::move(executorToUse))
    , directory({})
    , health({})
    , pool({})
    , quarantine(quarantineOptions())
    , workList(executor, clock, settings.vm, settings.zone, directory, load, health)
    , random(seedOf(settings.vm, clock))
{
}

bool GateState::applyConfiguration(std::shared_ptr<const RouteTable> table, std::string_view source)
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

void GateState::beginDrain()
{
    const TimePoint now = clock.now();
    m_drainEnd = now + fromSeconds(kDrainPart * toSeconds(settings.grace));
    m_lastStreamAt = now + fromSeconds(kStreamsPart * toSeconds(settings.grace));
}

bool GateState::takesStreams() const
{
    return clock.now() < m_lastStreamAt;
}

RetryAllowance &GateState::allowance(const std::string &service)
{
    const auto found = m_allowances.find(service);
    if (found != m_allowances.end())
        return found->second;
    RetryAllowanceOptions options;
    options.ratio = settings.retryRatio;
    options.slack = settings.retrySlack;
    options.window = settings.retryWindow;
    return m_allowances.emplace(service, RetryAllowance(options)).first->second;
}

} // namespace arbutuspier
