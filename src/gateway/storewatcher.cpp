// The operator's rows are read by long polling, as they change seldom.
#include "gateway/storewatcher.h"

#include "arbutuspier/backoff.h"
#include "kernel/logline.h"
#include "net/deflate.h"
#include "platform/configdecoder.h"
#include "platform/tablenames.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

#include <algorithm>

namespace arbutuspier {

using Outcome = platform::StoreRead::Outcome;

namespace {

/// Mean duration of a long poll, as a fraction of the configuration bound. A poll without a change
/// ends then and is repeated, in case the store fails to report a change.
constexpr double kConfigWaitFraction = 0.6;
/// Interval between polls of the replicas, as a fraction of the drain bound.
constexpr double kReplicaPollFraction = 0.3;
/// Age of the last poll of any VM after which a VM doesn't rely on the others, as a fraction of the
/// drain bound.
constexpr double kMaxReadAgeFraction = 0.4;
/// Reports of unlisted VMs within this time are coalesced into one poll, as many may start at once.
constexpr Duration kVmCoalesceDelay = std::chrono::seconds{2};
constexpr Duration kVmPollInterval = std::chrono::seconds{8};
/// Upper bounds of the intervals, however many VMs share the polling.
constexpr Duration kMaxVmPollInterval = std::chrono::seconds{60};
constexpr Duration kMaxReplicaPollInterval = std::chrono::seconds{8};
constexpr Duration kMaxConfigWait = std::chrono::seconds{10};
/// Readers report to all VMs what they read, so each polls less often the more of them there are.
/// With this factor for each reader, about twelve polls of all together fall into a drain bound, so
/// that hardly any drain bound passes without one.
constexpr double kReplicaFactorPerReader = 0.22;
/// The configuration is read by long polling, which several readers do at the same time.
constexpr double kConfigFactorPerReader = 0.5;
constexpr double kVmFactorPerReader = 0.5;
/// Time after which a newer configuration is fetched from a peer that has it, as a fraction of the
/// configuration bound.
constexpr double kStaleConfigFraction = 0.3;

/// Longest configuration that is accepted from a peer. The store accepts none of 4 MiB.
constexpr std::size_t kMaxConfigurationBytes = 8'388'608;

Duration scaled(double fraction, Duration duration)
{
    return fromSeconds(fraction * toSeconds(duration));
}

SharedPollIntervalOptions configIntervalOptions(const GatewaySettings &settings)
{
    return {scaled(kConfigWaitFraction, settings.configBound), kConfigFactorPerReader,
            kMaxConfigWait};
}

SharedPollIntervalOptions replicaIntervalOptions(const GatewaySettings &settings)
{
    return {scaled(kReplicaPollFraction, settings.drainBound), kReplicaFactorPerReader,
            kMaxReplicaPollInterval, scaled(kMaxReadAgeFraction, settings.drainBound)};
}

} // namespace

StoreWatcher::StoreWatcher(asio::io_context &context, GatewayState &state)
    : m_context(context)
    , m_state(state)
    , m_configClient(context.get_executor(), state.settings.store)
    , m_replicaClient(context.get_executor(), state.settings.store)
    , m_vmClient(context.get_executor(), state.settings.store)
    , m_replicaTimer(context)
    , m_replicaSchedule(Duration{})
    , m_vmTimer(context)
    , m_vmSchedule(kVmCoalesceDelay)
    , m_roster(VmRosterOptions{})
    , m_configInterval(configIntervalOptions(state.settings))
    , m_replicaInterval(replicaIntervalOptions(state.settings))
    , m_vmInterval(
          SharedPollIntervalOptions{kVmPollInterval, kVmFactorPerReader, kMaxVmPollInterval})
    , m_replicaNews(ReplicaNewsOptions{})
    , m_overdueReports(state.settings.replicaHeartbeat)
{
}

void StoreWatcher::start()
{
    asio::co_spawn(m_context, watchConfiguration(), asio::detached);
    asio::co_spawn(m_context, watchReplicas(), asio::detached);
    asio::co_spawn(m_context, watchVms(), asio::detached);
}

void StoreWatcher::onSettingsReloaded()
{
    m_configInterval = SharedPollInterval(configIntervalOptions(m_state.settings));
    m_replicaInterval = SharedPollInterval(replicaIntervalOptions(m_state.settings));
    pollReplicasNow();
}

void StoreWatcher::pollReplicasNow()
{
    m_replicaSchedule.scheduleNow(m_state.clock.now());
    m_replicaTimer.cancel();
}

void StoreWatcher::onResumed()
{
    m_mustReadOperatorRows = true;
    pollReplicasNow();
}

void StoreWatcher::onPeerMessage(const std::string &vm)
{
    m_roster.onMessageFrom(vm, m_state.clock.now());
}

void StoreWatcher::onUnlistedVm()
{
    m_vmSchedule.onChange(m_state.clock.now());
    m_vmTimer.cancel();
}

Task<void> StoreWatcher::awaitPoll(PollSchedule &schedule, asio::steady_timer &timer, TimePoint due)
{
    schedule.scheduleAt(due);
    while (!schedule.isDue(m_state.clock.now())) {
        timer.expires_at(schedule.due());
        co_await timer.async_wait(kAwait);
    }
}

void StoreWatcher::onPeerReadReplicas()
{
    m_peerReadAt = m_state.clock.now();
    m_replicaInterval.onRead(m_peerReadAt);
}

bool StoreWatcher::reliesOnReaders() const
{
    const Duration maxAge = scaled(kMaxReadAgeFraction, m_state.settings.drainBound);
    return !m_state.isStoreReader() && m_state.clock.now() < m_peerReadAt + maxAge;
}

bool StoreWatcher::isConfigurationOverdue() const
{
    return m_staleConfigSince
        && m_state.clock.now()
        >= *m_staleConfigSince + scaled(kStaleConfigFraction, m_state.settings.configBound);
}

Task<void> StoreWatcher::awaitConfigurationTurn(asio::steady_timer &timer)
{
    while (reliesOnReaders() && !isConfigurationOverdue() && !m_mustReadOperatorRows)
        co_await sleepFor(timer, kReaderCheck);
}

std::uint64_t StoreWatcher::calls() const
{
    return m_configClient.calls() + m_replicaClient.calls() + m_vmClient.calls();
}

std::uint64_t StoreWatcher::bytesRead() const
{
    return m_configClient.bytesRead() + m_replicaClient.bytesRead() + m_vmClient.bytesRead();
}

Duration StoreWatcher::pauseAfter(std::uint32_t failures)
{
    return backoff(BackoffOptions{}, failures, m_state.random);
}

Task<void> StoreWatcher::sleepFor(asio::steady_timer &timer, Duration duration)
{
    timer.expires_after(duration);
    co_await timer.async_wait(kAwait);
}

void StoreWatcher::noteEra(const platform::StoreRead &read)
{
    const bool hasResponded =
        read.outcome == Outcome::Done || read.outcome == Outcome::HistoryTruncated;
    if (!hasResponded || (m_storeEra && read.revision.era <= *m_storeEra))
        return;
    const bool isFirst = !m_storeEra;
    m_storeEra = read.revision.era;
    if (isFirst)
        return;
    LOG(INFO) << LogLine("store_restored").add("era", read.revision.era).text();
    pollReplicasNow();
    m_vmSchedule.scheduleNow(m_state.clock.now());
    m_vmTimer.cancel();
    if (onStoreRestored)
        onStoreRestored();
}

void StoreWatcher::updateStoreState(bool isUp, std::string_view reader, int status)
{
    if (isUp == m_isStoreUp)
        return;
    m_isStoreUp = isUp;
    LOG(INFO) << LogLine(isUp ? "store_regained" : "store_lost")
                     .add("reader", reader)
                     .add("status", static_cast<std::uint64_t>(status))
                     .add("replica_revision", m_replicaRevision.number)
                     .add("config", m_state.routes() ? m_state.routes()->version() : 0)
                     .text();
}

bool StoreWatcher::tryApplyConfiguration(std::string_view bytes, std::string_view source)
{
    auto table = platform::decodeConfiguration(bytes);
    if (!table) {
        LOG(WARNING) << LogLine("configuration_unreadable")
                            .add("source", source)
                            .add("error", table.error().message)
                            .text();
        return false;
    }
    if (!m_state.applyConfiguration(std::move(*table), source))
        return false;
    m_staleConfigSince.reset();
    if (onConfiguration)
        onConfiguration();
    return true;
}

void StoreWatcher::applyPeerConfiguration(std::string deflatedBytes, std::string_view peer)
{
    const auto bytes = inflated(deflatedBytes, kMaxConfigurationBytes);
    if (!bytes) {
        LOG(WARNING) << LogLine("configuration_unreadable")
                            .add("source", peer)
                            .add("error", "not compressed as expected")
                            .text();
        return;
    }
    if (tryApplyConfiguration(*bytes, "peer"))
        m_deflatedConfiguration = std::move(deflatedBytes);
}

Snapshot StoreWatcher::snapshot() const
{
    std::string configuration;
    if (!m_deflatedConfiguration.empty()) {
        auto whole = inflated(m_deflatedConfiguration, kMaxConfigurationBytes);
        if (!whole)
            LOG(ERROR) << LogLine("configuration_lost").text();
        configuration = std::move(whole).value_or("");
    }
    return {std::move(configuration), m_state.directory.entries(), m_state.directory.departures(),
            m_state.suspects.quarantine().records()};
}

bool StoreWatcher::needsSnapshot(const PeerStatus &peer)
{
    if (lacksReplicas() && peer.replicaRevision > platform::StoreRevision{})
        return true;
    const std::uint64_t version = m_state.routes() ? m_state.routes()->version() : 0;
    if (peer.configVersion <= version)
        return false;
    if (!m_staleConfigSince)
        m_staleConfigSince = m_state.clock.now();
    return !m_isConfigurationReadable || reliesOnReaders() || isConfigurationOverdue();
}

void StoreWatcher::applySnapshot(const Snapshot &snapshot, std::string_view peer)
{
    const bool isApplied =
        !snapshot.configuration.empty() && tryApplyConfiguration(snapshot.configuration, "peer");
    if (isApplied)
        m_deflatedConfiguration = deflated(snapshot.configuration);
    const TimePoint now = m_state.clock.now();
    for (const SuspectNotice &notice : snapshot.suspects)
        m_state.suspects.merge(notice, peer);
    if (m_hasReplicas || m_state.directory.isReachable() || snapshot.replicas.empty())
        return;
    std::vector<ReplicaRow> rows;
    for (const ReplicaEntry &replica : snapshot.replicas)
        rows.push_back({replica.id, replica});
    m_state.directory.replaceAll(rows, now);
    for (const Departure &departure : snapshot.departures)
        m_state.directory.applyDeparture(departure);
    // These departures came from a peer, so they need not be sent to the peers.
    m_state.directory.takeNewDepartures();
    m_hasReplicas = true;
    LOG(INFO) << LogLine("replicas_changed")
                     .add("source", peer)
                     .add("directory", m_state.directory.revision())
                     .add("known", m_state.directory.size())
                     .text();
    if (onReplicas)
        onReplicas();
}

void StoreWatcher::handleEvacuations(const platform::StoreRead &read, bool isFullRead)
{
    std::vector<ZoneEvacuation> zones;
    for (const platform::StoreRow &row : read.rows) {
        if (!row.key.starts_with(platform::kEvacuationRowPrefix))
            continue;
        zones.push_back({row.key.substr(platform::kEvacuationRowPrefix.size()),
                         {row.version.era, row.version.number},
                         !row.isDeleted});
    }
    const TimePoint now = m_state.clock.now();
    const bool isFirst = !m_state.evacuations.isKnown();
    const std::vector<ZoneEvacuation> changed = isFullRead
        ? m_state.evacuations.applyRead(zones, {read.revision.era, read.revision.number}, now)
        : m_state.evacuations.applyChanges(zones, now);
    m_state.applyEvacuations(changed, "store");
    // What a VM reads when it starts, the others know; many may start at the same time.
    if (!changed.empty() && !isFirst && onEvacuationsRead)
        onEvacuationsRead();
}

void StoreWatcher::handleOperatorRead(const platform::StoreRead &read, bool isFullRead)
{
    m_configRevision = std::max(m_configRevision, read.revision);
    // First, as this VM serves once it has a configuration.
    handleEvacuations(read, isFullRead);
    for (const platform::StoreRow &row : read.rows) {
        const bool isConfiguration = row.key == platform::kConfigurationRow && !row.isDeleted;
        if (isConfiguration && tryApplyConfiguration(row.bytes, "store"))
            m_deflatedConfiguration = deflated(row.bytes);
    }
}

Task<void> StoreWatcher::watchConfiguration()
{
    asio::steady_timer timer(m_context);
    std::uint32_t failures = 0;
    bool isFullRead = true;
    while (true) {
        if (!isFullRead)
            co_await awaitConfigurationTurn(timer);
        // It may be set during the read, which then proves nothing.
        const bool mustRead = m_mustReadOperatorRows;
        platform::StoreRead read;
        if (isFullRead) {
            read = co_await m_configClient.readTable(platform::kOperatorTable, kCallTimeout);
        } else {
            const Duration wait = mustRead
                ? Duration::zero()
                : m_configInterval.longPollWait(m_state.pollingReaderCount(), m_state.random);
            read = co_await m_configClient.readChanges(platform::kOperatorTable, m_configRevision,
                                                       wait, kCallTimeout);
        }
        noteEra(read);
        m_isConfigurationReadable = read.outcome == Outcome::Done;
        if (m_isConfigurationReadable) {
            failures = 0;
            m_mustReadOperatorRows = m_mustReadOperatorRows && !mustRead;
            handleOperatorRead(read, isFullRead);
            isFullRead = false;
            if (!read.rows.empty())
                co_await sleepFor(timer, scaled(kCoalesceFraction, m_state.settings.configBound));
            continue;
        }
        isFullRead = isFullRead || read.outcome == Outcome::HistoryTruncated;
        if (read.outcome != Outcome::HistoryTruncated)
            co_await sleepFor(timer, pauseAfter(failures++));
    }
}

} // namespace arbutuspier
