// Calm traffic causes no probes: a check starts only after several replicas were unreachable.
#include "gateway/upstreampaths.h"

#include "kernel/logline.h"
#include "net/connectionprobe.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

#include <algorithm>

namespace arbutuspier {

namespace {

/// Pause before the next probe of a path that is lost.
constexpr Duration kMinProbeInterval = std::chrono::milliseconds{250};
constexpr Duration kMaxProbeInterval = std::chrono::milliseconds{800};
constexpr double kProbeIntervalGrowth = 1.3;
/// Replicas of another service that are probed first, as it can mostly be reached.
constexpr std::size_t kFirstProbes = 3;

} // namespace

/// Probes that run at the same time.
struct UpstreamPaths::Probes
{
    Probes(asio::any_io_executor executor, std::size_t count)
        : pending(count)
        , endTimer(std::move(executor), TimePoint::max())
    {
    }

    std::size_t pending;
    bool wasAnyAccepted = false;
    /// Never expires; cancelled when the outcome is known.
    asio::steady_timer endTimer;
};

UpstreamPaths::UpstreamPaths(asio::any_io_executor executor, const Clock &clock,
                             const UpstreamDirectory &directory, Random &random)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_directory(directory)
    , m_random(random)
{
}

UpstreamPath &UpstreamPaths::path(const std::string &service)
{
    return m_paths.try_emplace(service, UpstreamPathOptions{}).first->second;
}

void UpstreamPaths::onUnreachable(const ReplicaEntry &replica)
{
    const bool mustCheck =
        path(replica.service).onUnreachable(replica.incarnation(), m_clock.now());
    if (mustCheck)
        asio::co_spawn(m_executor, check(replica.service), asio::detached);
}

void UpstreamPaths::onConnected(const ReplicaEntry &replica)
{
    const bool isBack = path(replica.service).onConnected(replica.incarnation(), m_clock.now());
    if (isBack)
        announce(replica.service);
}

void UpstreamPaths::onResponse(const ReplicaEntry &replica)
{
    path(replica.service).onResponse(replica.incarnation(), m_clock.now());
}

bool UpstreamPaths::isLost(const std::string &service) const
{
    const auto found = m_paths.find(service);
    return found != m_paths.end() && found->second.isLost();
}

bool UpstreamPaths::areAllLost() const
{
    const std::set<std::string> services = m_directory.services();
    return services.size() > 1
        && std::all_of(services.begin(), services.end(),
                       [this](const std::string &service) { return isLost(service); });
}

std::vector<std::string> UpstreamPaths::lostServices() const
{
    std::vector<std::string> services;
    for (const auto &[service, path] : m_paths) {
        if (path.isLost())
            services.push_back(service);
    }
    return services;
}

void UpstreamPaths::announce(const std::string &service)
{
    LOG(INFO) << LogLine(isLost(service) ? "upstream_path_lost" : "upstream_path_restored")
                     .add("service", service)
                     .add("replicas", m_directory.usable(service).size())
                     .text();
    if (onChange)
        onChange(service);
}

Task<bool> UpstreamPaths::accepts(ReplicaEntry replica)
{
    Address address;
    if (!parseAddress(replica.address, address))
        co_return false;
    co_return co_await probeConnection(m_executor, address) == ProbeResult::StaysOpen;
}

Task<void> UpstreamPaths::probe(std::shared_ptr<Probes> probes, ReplicaEntry replica)
{
    const bool isAccepted = co_await accepts(replica);
    if (isAccepted)
        onConnected(replica);
    else
        path(replica.service).onUnreachable(replica.incarnation(), m_clock.now());
    probes->wasAnyAccepted = probes->wasAnyAccepted || isAccepted;
    --probes->pending;
    if (isAccepted || probes->pending == 0)
        probes->endTimer.cancel();
}

Task<bool> UpstreamPaths::isAnyAccepted(std::vector<ReplicaEntry> replicas)
{
    const auto probes = std::make_shared<Probes>(m_executor, replicas.size());
    for (const ReplicaEntry &replica : replicas)
        asio::co_spawn(m_executor, probe(probes, replica), asio::detached);
    while (probes->pending > 0 && !probes->wasAnyAccepted)
        co_await probes->endTimer.async_wait(kAwait);
    co_return probes->wasAnyAccepted;
}

Task<void> UpstreamPaths::check(std::string service)
{
    const auto replicas = path(service).replicasToProbe(m_directory.usable(service));
    // Without replicas there is nothing to reach.
    if (replicas.empty())
        co_return;
    const bool wasAnyAccepted = co_await isAnyAccepted(replicas);
    if (!path(service).onCheckEnded(wasAnyAccepted, m_clock.now()))
        co_return;
    announce(service);
    checkOtherServices(service);
    co_await probeUntilBack(service);
}

void UpstreamPaths::checkOtherServices(const std::string &lost)
{
    for (const std::string &service : m_directory.services()) {
        const bool mustCheck = service != lost && path(service).onOtherPathLost(m_clock.now());
        if (mustCheck)
            asio::co_spawn(m_executor, checkOther(service), asio::detached);
    }
}

Task<void> UpstreamPaths::checkOther(std::string service)
{
    auto replicas = path(service).replicasToProbe(m_directory.usable(service));
    if (replicas.size() > kFirstProbes)
        replicas.erase(replicas.begin() + kFirstProbes, replicas.end());
    const bool wasAnyAccepted = co_await isAnyAccepted(std::move(replicas));
    if (!wasAnyAccepted)
        co_await check(service);
}

Task<void> UpstreamPaths::probeUntilBack(std::string service)
{
    asio::steady_timer timer(m_executor);
    Duration interval = kMinProbeInterval;
    while (isLost(service)) {
        timer.expires_after(jittered(m_random, interval));
        co_await timer.async_wait(kAwait);
        const auto replicas = path(service).nextProbes(m_directory.usable(service));
        if (replicas.empty()) {
            path(service).reset();
            announce(service);
            co_return;
        }
        const bool wasAnyAccepted = co_await isAnyAccepted(replicas);
        interval = wasAnyAccepted
            ? kMinProbeInterval
            : std::min(fromSeconds(kProbeIntervalGrowth * toSeconds(interval)), kMaxProbeInterval);
    }
}

} // namespace arbutuspier
