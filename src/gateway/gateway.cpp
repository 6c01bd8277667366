// One thread runs both control and traffic: a VM has less than one core, and passing work between
// threads would cost more than it saves.
#include "gateway/gateway.h"

#include "gateway/configurationcodec.h"
#include "kernel/logline.h"
#include "net/listen.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <csignal>
#include <ctime>

namespace arbutuspier {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr Duration kMaintenanceInterval = std::chrono::milliseconds{200};
/// The VM was suspended if two ticks are further apart than their interval plus this.
constexpr Duration kSuspensionThreshold = std::chrono::milliseconds{700};
/// Time after which the load balancer sends no new connections: it needs two failed readiness
/// checks, which are one second apart.
constexpr Duration kBalancerReactionTime = std::chrono::milliseconds{2600};

std::chrono::nanoseconds bootClockNow()
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
    , m_storeWatcher(m_context, m_state)
    , m_messenger(m_context, m_state, m_storeWatcher)
    , m_suspectTable(m_context, m_state)
    , m_readinessServer(m_context, m_settings.readiness,
                        [this](std::string_view path) { return readinessResponse(path); })
    , m_snapshotServer(m_context, m_settings.peers,
                       [this](std::string_view path) { return snapshotResponse(path); })
    , m_metricsServer(m_context, m_settings.metrics,
                      [this](std::string_view) {
                          return StatusResponse{kOk, "text/plain; version=0.0.4", metricsText()};
                      })
    , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
{
    m_state.dispatchQueue.onActiveRequestUpdate = [this](const ActiveRequestUpdate &update) {
        m_messenger.broadcast(update);
    };
    m_state.suspects.onNotice = [this](const SuspectNotice &notice) {
        m_messenger.broadcast(notice);
        m_suspectTable.markChanged(notice.fingerprint);
    };
    m_state.suspects.onPartNotices = [this](const PartNotices &notices) {
        m_messenger.broadcast(notices);
        m_suspectTable.markPartsChanged();
    };
    m_state.limits.onNotice = [this](const RequestLimitNotice &notice) {
        m_state.logRequestLimit(notice, "replica");
        m_messenger.broadcast(notice);
    };
    m_state.onOutcomes = [this](TimePoint due) { m_messenger.scheduleOutcomes(due); };
    m_state.onPathsChanged = [this] { m_messenger.broadcastLostPaths(); };
    // The peers that this VM hears may not read the store soon.
    m_suspectTable.onNews = [this](const SuspectNotice &notice) { m_messenger.broadcast(notice); };
    m_suspectTable.onPartNews = [this](const PartNotices &notices) {
        m_messenger.broadcast(notices);
    };
    m_storeWatcher.onVms = [this](const std::vector<VmRegistration> &vms) {
        m_messenger.setVms(vms);
    };
    m_storeWatcher.onStoreRestored = [this] { m_suspectTable.onStoreRestored(); };
    m_storeWatcher.onConfiguration = [this] { m_messenger.broadcastChanges(); };
    m_storeWatcher.onEvacuationsRead = [this] { m_messenger.broadcastEvacuations(); };
    m_storeWatcher.onReplicasRead = [this](const ReplicaNotice &notice) {
        m_messenger.broadcastReplicasRead(notice);
    };
    m_storeWatcher.onReplicas = [this] {
        m_messenger.broadcastChanges();
        m_state.dispatchQueue.dispatchWaiting();
    };
}

Result<bool> Gateway::listen()
{
    auto callers = openAcceptor(m_context, m_settings.callers, "listen.callers");
    if (!callers)
        return callers.error();
    m_callerAcceptor = std::move(*callers);
    if (m_settings.relays.port != 0) {
        auto relays = openAcceptor(m_context, m_settings.relays, "listen.relays");
        if (!relays)
            return relays.error();
        m_relayAcceptor = std::move(*relays);
    }
    for (const Result<bool> &result :
         {m_readinessServer.listen("listen.readiness"), m_snapshotServer.listen("listen.peers"),
          m_metricsServer.listen("listen.metrics"), m_messenger.open()}) {
        if (!result)
            return result.error();
    }
    return true;
}

bool Gateway::isReady() const
{
    return m_state.routes() && m_storeWatcher.hasReplicas() && m_suspectTable.wasRead()
        && !m_state.isDraining() && !m_state.canServeNothing();
}

StatusResponse Gateway::readinessResponse(std::string_view path) const
{
    if (path != "/readyz")
        return {};
    return isReady() ? StatusResponse{kOk, "text/plain", "ready\n"}
                     : StatusResponse{kUnavailable, "text/plain", "not ready\n"};
}

StatusResponse Gateway::snapshotResponse(std::string_view path)
{
    if (path == kConfigurationPath) {
        if (m_storeWatcher.deflatedConfiguration().empty())
            return {kUnavailable, "text/plain", "no configuration\n"};
        StatusResponse response{kOk, "application/cbor",
                                encodeConfiguration(m_storeWatcher.deflatedConfiguration())};
        m_messenger.onResponse(PeerMessageKind::Configuration, response.body.size());
        return response;
    }
    if (path != kSnapshotPath)
        return {};
    StatusResponse response{kOk, "application/cbor", encodeSnapshot(m_storeWatcher.snapshot())};
    m_messenger.onResponse(PeerMessageKind::Snapshot, response.body.size());
    return response;
}

std::string Gateway::metricsText()
{
    GatewayMetrics &metrics = m_state.metrics;
    metrics.setGauge("running", static_cast<double>(m_state.dispatchQueue.running()));
    metrics.setGauge("waiting", static_cast<double>(m_state.dispatchQueue.waiting()));
    metrics.setGauge("replicas", static_cast<double>(m_state.directory.size()));
    metrics.setGauge("limited_replicas", static_cast<double>(m_state.limits.limitedCount()));
    metrics.setGauge("cold_replicas", static_cast<double>(m_state.cold.coldCount(m_clock.now())));
    metrics.setGauge("cold_waits", static_cast<double>(m_state.dispatchQueue.coldWaits()));
    metrics.setGauge("cold_rejections",
                     static_cast<double>(m_state.dispatchQueue.coldRejections()));
    metrics.setGauge("resting_replicas",
                     static_cast<double>(m_state.rests.restingCount(m_clock.now())));
    metrics.setGauge("evacuated_zones",
                     static_cast<double>(m_state.evacuations.evacuated().size()));
    if (const auto age = m_state.evacuations.age(m_clock.now()))
        metrics.setGauge("evacuations_age_seconds", toSeconds(*age));
    metrics.setGauge("ejected_by_reports",
                     static_cast<double>(m_state.sharedHealth.ejectedCount(m_clock.now())));
    metrics.setGauge(
        "cost_estimates",
        static_cast<double>(m_state.work.estimateCount() + m_state.outputLengths.size()));
    metrics.setGauge("lost_paths", static_cast<double>(m_state.paths.lostServices().size()));
    metrics.setGauge("vms", static_cast<double>(m_state.vmCount()));
    metrics.setGauge("request_bytes", static_cast<double>(m_state.requestMemory.used()));
    metrics.setGauge("response_bytes", static_cast<double>(m_state.responseMemory.used()));
    metrics.setGauge("idle_connections", static_cast<double>(m_state.pool.idleCount()));
    metrics.setGauge("store_calls",
                     static_cast<double>(m_storeWatcher.calls() + m_suspectTable.calls()));
    metrics.setGauge("config_version",
                     m_state.routes() ? static_cast<double>(m_state.routes()->version()) : 0);
    return metrics.prometheusText();
}

Task<void> Gateway::acceptCallers()
{
    while (m_callerAcceptor->is_open()) {
        auto [error, socket] = co_await m_callerAcceptor->async_accept(kAwait);
        if (!error)
            serve(std::move(socket), CallerConnection::Origin::Caller);
    }
}

Task<void> Gateway::acceptRelays()
{
    while (m_relayAcceptor->is_open()) {
        Tcp::endpoint from;
        auto [error, socket] = co_await m_relayAcceptor->async_accept(from, kAwait);
        if (error)
            continue;
        const std::string host = from.address().to_string();
        if (m_state.relayPeers.isPeer(host)) {
            serve(std::move(socket), CallerConnection::Origin::Peer);
            continue;
        }
        m_state.metrics.incrementCounter("relays", "not-a-peer");
        LOG(WARNING) << LogLine("relay_connection_rejected").add("address", host).text();
    }
}

void Gateway::serve(Tcp::socket socket, CallerConnection::Origin origin)
{
    ErrorCode ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    auto connection = std::make_shared<CallerConnection>(std::move(socket), m_state, origin);
    m_callerConnections.push_back(connection);
    asio::co_spawn(m_context, connection->run(connection), asio::detached);
}

void Gateway::detectSuspension(TimePoint now)
{
    const std::chrono::nanoseconds bootNow = bootClockNow();
    const bool isFirst = m_lastTick == TimePoint{};
    const Duration steadyGap = now - m_lastTick;
    const std::chrono::nanoseconds bootGap = bootNow - m_bootClockAtLastTick;
    m_lastTick = now;
    m_bootClockAtLastTick = bootNow;
    const bool wasSuspended = !isFirst
        && (steadyGap > kMaintenanceInterval + kSuspensionThreshold
            || bootGap > kMaintenanceInterval + kSuspensionThreshold);
    if (!wasSuspended)
        return;
    LOG(INFO) << LogLine("resumed_after_freeze")
                     .addSeconds("steady_gap", toSeconds(steadyGap))
                     .addSeconds("boot_gap", toSeconds(bootGap))
                     .text();
    m_state.pool.clear();
    m_storeWatcher.onResumed();
}

Task<void> Gateway::tick()
{
    asio::steady_timer timer(m_context);
    while (true) {
        const TimePoint now = m_clock.now();
        detectSuspension(now);
        m_state.directory.tick(now);
        m_messenger.broadcastDepartures();
        m_state.pool.tick(now);
        m_state.suspects.tick();
        m_state.limits.tick(now);
        m_state.cold.tick(now);
        m_state.rests.tick(now);
        m_state.sharedHealth.tick(now);
        m_state.durations.tick(now);
        m_state.work.tick(now);
        m_state.dispatchQueue.dispatchWaiting();
        std::erase_if(m_callerConnections,
                      [](const auto &connection) { return connection.expired(); });
        if (isReady() != m_wasReady) {
            m_wasReady = isReady();
            LOG(INFO) << LogLine(m_wasReady ? "ready" : "not_ready").text();
        }
        timer.expires_after(kMaintenanceInterval);
        co_await timer.async_wait(kAwait);
    }
}

void Gateway::closeIdleCallers()
{
    for (const auto &connection : callerConnections())
        connection->closeIfIdle();
}

std::vector<std::shared_ptr<CallerConnection>> Gateway::callerConnections() const
{
    std::vector<std::shared_ptr<CallerConnection>> connections;
    for (const auto &weak : m_callerConnections) {
        if (auto connection = weak.lock())
            connections.push_back(std::move(connection));
    }
    return connections;
}

void Gateway::beginDrain()
{
    if (m_state.isDraining())
        return;
    m_state.beginDrain();
    for (const auto &connection : callerConnections())
        connection->beginDrain();
    LOG(INFO) << LogLine("drain_begins").add("running", m_state.dispatchQueue.running()).text();
    asio::co_spawn(m_context, drain(), asio::detached);
}

Task<void> Gateway::drain()
{
    asio::steady_timer timer(m_context);
    timer.expires_after(kBalancerReactionTime);
    co_await timer.async_wait(kAwait);
    bool hasCallers = true;
    while (hasCallers && m_clock.now() < m_state.stopDeadline()) {
        closeIdleCallers();
        timer.expires_after(std::chrono::milliseconds{50});
        co_await timer.async_wait(kAwait);
        std::erase_if(m_callerConnections,
                      [](const auto &connection) { return connection.expired(); });
        hasCallers = !m_callerConnections.empty();
    }
    const auto open = callerConnections();
    const auto busy = std::count_if(open.begin(), open.end(),
                                    [](const auto &connection) { return connection->isBusy(); });
    LOG(INFO) << LogLine("drain_done")
                     .add("callers", open.size())
                     .add("unanswered", static_cast<std::uint64_t>(busy))
                     .text();
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
    const auto reloaded = loadGatewaySettings(m_settingsFile);
    if (!reloaded) {
        LOG(WARNING) << LogLine("settings_unreadable")
                            .add("file", m_settingsFile)
                            .add("error", reloaded.error().message)
                            .text();
        return;
    }
    std::string needsRestart;
    for (const std::string &name : applyGatewaySettings(m_settings, *reloaded))
        needsRestart += (needsRestart.empty() ? "" : ",") + name;
    m_state.onSettingsReloaded();
    m_storeWatcher.onSettingsReloaded();
    m_messenger.onSettingsReloaded();
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
    m_storeWatcher.start();
    m_suspectTable.start();
    m_messenger.start();
    asio::co_spawn(m_context, m_readinessServer.accept(), asio::detached);
    asio::co_spawn(m_context, m_snapshotServer.accept(), asio::detached);
    asio::co_spawn(m_context, m_metricsServer.accept(), asio::detached);
    asio::co_spawn(m_context, acceptCallers(), asio::detached);
    if (m_relayAcceptor)
        asio::co_spawn(m_context, acceptRelays(), asio::detached);
    asio::co_spawn(m_context, tick(), asio::detached);
    asio::co_spawn(m_context, watchSignals(), asio::detached);
    m_context.run();
    LOG(INFO) << LogLine("stopped").text();
}

} // namespace arbutuspier
