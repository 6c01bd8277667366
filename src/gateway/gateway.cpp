// One thread runs both control and traffic: a VM has less than one core, and passing work between
// threads would cost more than it saves.
#include "gateway/gateway.h"

#include "kernel/logline.h"
#include "net/listen.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

#include <csignal>
#include <ctime>

namespace arbutuspier {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr Duration kTick = std::chrono::milliseconds{200};
/// The VM was suspended if two ticks are further apart than their interval plus this.
constexpr Duration kFreeze = std::chrono::milliseconds{700};
/// Time after which the load balancer sends no new connections: it needs two failed readiness
/// checks, which are one second apart.
constexpr Duration kBalancerNotices = std::chrono::milliseconds{2600};

std::chrono::nanoseconds bootTime()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
}

} // namespace

Gateway::Gateway(GatewaySettings settings, std::string settingsFile, const Clock &clock)
    : m_settings(std::move(settings))
    , m_settingsFile(std::move(settingsFile))
    , m_clock(clock)
    , m_state(m_context.get_executor(), m_settings, clock)
    , m_store(m_context, m_state)
    , m_hints(m_context, m_state, m_store)
    , m_readiness(m_context, m_settings.readiness,
                  [this](std::string_view path) { return answerReadiness(path); })
    , m_peers(m_context, m_settings.peers,
              [this](std::string_view path) { return answerPeer(path); })
    , m_metrics(m_context, m_settings.metrics,
                [this](std::string_view) {
                    return StatusResponse{kOk, "text/plain; version=0.0.4", metricsText()};
                })
    , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
{
    m_state.dispatchQueue.onNews = [this](const ActiveRequestUpdate &news) { m_hints.tell(news); };
    m_state.onSuspect = [this](const SuspectNotice &notice) { m_hints.tell(notice); };
    m_store.onVms = [this](const std::vector<VmRow> &vms) { m_hints.setVms(vms); };
    m_store.onConfiguration = [this] { m_hints.tellChanges(); };
    m_store.onReplicas = [this] {
        m_hints.tellChanges();
        m_state.dispatchQueue.dispatchWaiting();
    };
}

Result<bool> Gateway::listen()
{
    auto callers = openAcceptor(m_context, m_settings.callers, "listen.callers");
    if (!callers)
        return callers.error();
    m_callers = std::move(*callers);
    for (const Result<bool> &result :
         {m_readiness.listen("listen.readiness"), m_peers.listen("listen.peers"),
          m_metrics.listen("listen.metrics"), m_hints.open()}) {
        if (!result)
            return result.error();
    }
    return true;
}

bool Gateway::isReady() const
{
    return m_state.routes() && m_store.hasReplicas() && !m_state.isDraining();
}

StatusResponse Gateway::answerReadiness(std::string_view path) const
{
    if (path != "/readyz")
        return {};
    return isReady() ? StatusResponse{kOk, "text/plain", "ready\n"}
                     : StatusResponse{kUnavailable, "text/plain", "not ready\n"};
}

StatusResponse Gateway::answerPeer(std::string_view path) const
{
    if (path != kSnapshotPath)
        return {};
    return {kOk, "application/cbor", encodeSnapshot(m_store.snapshot())};
}

std::string Gateway::metricsText()
{
    GatewayMetrics &metrics = m_state.metrics;
    metrics.gauge("running", static_cast<double>(m_state.dispatchQueue.running()));
    metrics.gauge("waiting", static_cast<double>(m_state.dispatchQueue.waiting()));
    metrics.gauge("replicas", static_cast<double>(m_state.directory.size()));
    metrics.gauge("vms", static_cast<double>(m_state.vmCount()));
    metrics.gauge("idle_connections", static_cast<double>(m_state.pool.idleCount()));
    metrics.gauge("store_calls", static_cast<double>(m_store.calls()));
    metrics.gauge("config_version",
                  m_state.routes() ? static_cast<double>(m_state.routes()->version()) : 0);
    return metrics.prometheus();
}

Task<void> Gateway::acceptCallers()
{
    while (m_callers->is_open()) {
        auto [error, socket] = co_await m_callers->async_accept(kAwait);
        if (error)
            continue;
        ErrorCode ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        auto connection = std::make_shared<CallerConnection>(std::move(socket), m_state);
        m_connections.push_back(connection);
        asio::co_spawn(m_context, connection->run(connection), asio::detached);
    }
}

void Gateway::noteFreeze(TimePoint now)
{
    const std::chrono::nanoseconds boot = bootTime();
    const bool isFirst = m_lastTick == TimePoint{};
    const Duration steadyGap = now - m_lastTick;
    const std::chrono::nanoseconds bootGap = boot - m_lastBoot;
    m_lastTick = now;
    m_lastBoot = boot;
    const bool wasFrozen = !isFirst && (steadyGap > kTick + kFreeze || bootGap > kTick + kFreeze);
    if (!wasFrozen)
        return;
    LOG(INFO) << LogLine("resumed_after_freeze")
                     .addSeconds("steady_gap", toSeconds(steadyGap))
                     .addSeconds("boot_gap", toSeconds(bootGap))
                     .text();
    m_state.pool.clear();
    m_store.refresh();
}

Task<void> Gateway::tick()
{
    asio::steady_timer timer(m_context);
    while (true) {
        const TimePoint now = m_clock.now();
        noteFreeze(now);
        m_state.directory.tick(now);
        m_state.pool.tick(now);
        m_state.quarantine.tick(now);
        m_state.dispatchQueue.dispatchWaiting();
        std::erase_if(m_connections, [](const auto &connection) { return connection.expired(); });
        if (isReady() != m_wasReady) {
            m_wasReady = isReady();
            LOG(INFO) << LogLine(m_wasReady ? "ready" : "not_ready").text();
        }
        timer.expires_after(kTick);
        co_await timer.async_wait(kAwait);
    }
}

void Gateway::closeIdleCallers()
{
    for (const auto &weak : m_connections) {
        if (const auto connection = weak.lock())
            connection->closeIfIdle();
    }
}

void Gateway::beginDrain()
{
    if (m_state.isDraining())
        return;
    m_state.beginDrain();
    LOG(INFO) << LogLine("drain_begins").add("running", m_state.dispatchQueue.running()).text();
    asio::co_spawn(m_context, drain(), asio::detached);
}

Task<void> Gateway::drain()
{
    asio::steady_timer timer(m_context);
    timer.expires_after(kBalancerNotices);
    co_await timer.async_wait(kAwait);
    const TimePoint end = *m_state.drainEnd() + kTick;
    bool hasCallers = true;
    while (hasCallers && m_clock.now() < end) {
        closeIdleCallers();
        timer.expires_after(std::chrono::milliseconds{50});
        co_await timer.async_wait(kAwait);
        std::erase_if(m_connections, [](const auto &connection) { return connection.expired(); });
        hasCallers = !m_connections.empty();
    }
    LOG(INFO) << LogLine("drain_done").add("callers", m_connections.size()).text();
    m_context.stop();
}

Task<void> Gateway::watchSignals()
{
    while (true) {
        const auto [error, signal] = co_await m_signals.async_wait(kAwait);
        if (error)
            co_return;
        if (signal == SIGHUP) {
            reloadSettings();
            continue;
        }
        beginDrain();
    }
}

void Gateway::reloadSettings()
{
    const auto fresh = loadGatewaySettings(m_settingsFile);
    if (!fresh) {
        LOG(WARNING) << LogLine("settings_unreadable")
                            .add("file", m_settingsFile)
                            .add("error", fresh.error().message)
                            .text();
        return;
    }
    std::string needsRestart;
    for (const std::string &name : applyGatewaySettings(m_settings, *fresh))
        needsRestart += (needsRestart.empty() ? "" : ",") + name;
    m_state.onSettingsReloaded();
    m_store.onSettingsReloaded();
    m_hints.onSettingsReloaded();
    LOG(INFO) << LogLine("settings_changed")
                     .add("file", m_settingsFile)
                     .add("needs_restart", needsRestart)
                     .text();
}

void Gateway::run()
{
    LOG(INFO) << LogLine("started")
                     .add("vm", m_settings.vm)
                     .add("zone", m_settings.zone)
                     .add("callers", m_settings.callers.text())
                     .add("store", m_settings.store.text())
                     .text();
    m_store.start();
    m_hints.start();
    asio::co_spawn(m_context, m_readiness.accept(), asio::detached);
    asio::co_spawn(m_context, m_peers.accept(), asio::detached);
    asio::co_spawn(m_context, m_metrics.accept(), asio::detached);
    asio::co_spawn(m_context, acceptCallers(), asio::detached);
    asio::co_spawn(m_context, tick(), asio::detached);
    asio::co_spawn(m_context, watchSignals(), asio::detached);
    m_context.run();
    LOG(INFO) << LogLine("stopped").text();
}

} // namespace arbutuspier
