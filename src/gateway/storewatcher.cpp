// The configuration is awaited, as it changes seldom; the replicas are read at a pace, as every
// sign of life of each of them would end a wait.
#include "gateway/storewatcher.h"

#include "kernel/logline.h"
#include "platform/configdecoder.h"
#include "platform/replicadecoder.h"
#include "platform/tablenames.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

#include <algorithm>

namespace arbutuspier {

using Outcome = platform::StoreRead::Outcome;

namespace {

constexpr Duration kCallTimeout = std::chrono::milliseconds{800};
/// A wait for a change that hears nothing is asked anew after this, in case it is not heard at all.
constexpr double kConfigWaitPart = 0.6;
/// Part of the drain bound between two reads of the replicas.
constexpr double kReplicaReadPart = 0.3;
/// VMs that are new to the list within this time are read together: many may start at once.
constexpr Duration kJoinVms = std::chrono::seconds{2};
constexpr Duration kVmInterval = std::chrono::seconds{8};
/// Intervals are no longer than these, however many VMs share the reading.
constexpr Duration kMaxVmInterval = std::chrono::seconds{60};
constexpr Duration kMaxReplicaInterval = std::chrono::seconds{8};
constexpr Duration kMaxConfigWait = std::chrono::seconds{10};
/// VMs tell each other what they read; each reads this much less often for every reader there is.
/// About twelve reads fall into a drain bound then, so that it is next to never without one.
constexpr double kReplicaShare = 0.22;
/// The configuration is awaited, and its version comes with every hint.
constexpr double kConfigShare = 0.5;
constexpr double kVmShare = 0.5;
/// Part of the bounds for which news are joined before the store is asked again: replicas and
/// configurations often change several times in a row.
constexpr double kJoinPart = 0.1;
/// Part of the configuration bound after which one that a peer has is taken from it.
constexpr double kBehindPart = 0.3;
constexpr Duration kFirstBackoff = std::chrono::milliseconds{100};
constexpr Duration kMaxBackoff = std::chrono::milliseconds{800};
constexpr std::uint32_t kMaxDoublings = 4;

Duration scaled(double part, Duration duration)
{
    return fromSeconds(part * toSeconds(duration));
}

SharedPollIntervalOptions configPace(const GatewaySettings &settings)
{
    return {scaled(kConfigWaitPart, settings.configBound), kConfigShare, kMaxConfigWait};
}

SharedPollIntervalOptions replicaPace(const GatewaySettings &settings)
{
    return {scaled(kReplicaReadPart, settings.drainBound), kReplicaShare, kMaxReplicaInterval};
}

} // namespace

StoreWatcher::StoreWatcher(asio::io_context &context, GatewayState &state)
    : m_context(context)
    , m_state(state)
    , m_configClient(context.get_executor(), state.settings.store)
    , m_replicaClient(context.get_executor(), state.settings.store)
    , m_vmClient(context.get_executor(), state.settings.store)
    , m_replicaTimer(context)
    , m_replicaSchedule(scaled(kJoinPart, state.settings.drainBound))
    , m_vmTimer(context)
    , m_vmSchedule(kJoinVms)
    , m_roster(VmRosterOptions{})
    , m_configPace(configPace(state.settings))
    , m_replicaPace(replicaPace(state.settings))
    , m_vmPace(SharedPollIntervalOptions{kVmInterval, kVmShare, kMaxVmInterval})
{
}

void StoreWatcher::start()
{
    asio::co_spawn(m_context, watchConfiguration(), asio::detached);
    asio::co_spawn(m_context, watchReplicas(), asio::detached);
    asio::co_spawn(m_context, watchVms(), asio::detached);
}

void StoreWatcher::onSettings()
{
    m_configPace = SharedPollInterval(configPace(m_state.settings));
    m_replicaPace = SharedPollInterval(replicaPace(m_state.settings));
    m_replicaSchedule.setCoalesceDelay(scaled(kJoinPart, m_state.settings.drainBound));
    refresh();
}

void StoreWatcher::onReplicasChanged(std::uint64_t revision)
{
    // While the store can't be read, asking it more often helps nobody.
    const bool isNews = revision > m_replicaRevision && m_state.directory.isReachable();
    if (!isNews)
        return;
    m_replicaSchedule.onNews(m_state.clock.now());
    m_replicaTimer.cancel();
}

void StoreWatcher::refresh()
{
    m_replicaSchedule.scheduleNow(m_state.clock.now());
    m_replicaTimer.cancel();
}

void StoreWatcher::onPeerHeard(const std::string &vm)
{
    m_roster.onHeard(vm, m_state.clock.now());
}

void StoreWatcher::onVmsChanged()
{
    m_vmSchedule.onNews(m_state.clock.now());
    m_vmTimer.cancel();
}

Task<void> StoreWatcher::awaitRead(PollSchedule &schedule, asio::steady_timer &timer, TimePoint due)
{
    schedule.scheduleAt(due);
    while (!schedule.isDue(m_state.clock.now())) {
        timer.expires_at(schedule.due());
        co_await timer.async_wait(kAwait);
    }
}

std::uint64_t StoreWatcher::calls() const
{
    return m_configClient.calls() + m_replicaClient.calls() + m_vmClient.calls();
}

Task<void> StoreWatcher::pause(asio::steady_timer &timer, Duration duration)
{
    timer.expires_after(duration);
    co_await timer.async_wait(kAwait);
}

Duration StoreWatcher::backoff(std::uint32_t failures)
{
    const Duration base = kFirstBackoff * (1U << std::min(failures, kMaxDoublings));
    return jittered(m_state.random, std::min(base, kMaxBackoff));
}

void StoreWatcher::noteStore(bool isUp, std::string_view reader, int status)
{
    if (isUp == m_isStoreUp)
        return;
    m_isStoreUp = isUp;
    LOG(INFO) << LogLine(isUp ? "store_regained" : "store_lost")
                     .add("reader", reader)
                     .add("status", static_cast<std::uint64_t>(status))
                     .add("replica_revision", m_replicaRevision)
                     .add("config", m_state.routes() ? m_state.routes()->version() : 0)
                     .text();
}

void StoreWatcher::offerConfiguration(const std::string &bytes, std::string_view source)
{
    auto table = platform::decodeConfiguration(bytes);
    if (!table) {
        LOG(WARNING) << LogLine("configuration_unreadable")
                            .add("source", source)
                            .add("error", table.error().message)
                            .text();
        return;
    }
    if (!m_state.applyConfiguration(std::move(*table), source))
        return;
    m_configurationBytes = bytes;
    m_behindSince.reset();
    if (onConfiguration)
        onConfiguration();
}

Snapshot StoreWatcher::snapshot() const
{
    return {m_configurationBytes, m_state.directory.entries(), m_state.directory.departures(),
            m_state.quarantine.records()};
}

bool StoreWatcher::needsSnapshot(const PeerStatus &peer)
{
    const bool lacksReplicas = !m_hasReplicas && !m_state.directory.isReachable();
    if (lacksReplicas && peer.replicaRevision > 0)
        return true;
    const std::uint64_t version = m_state.routes() ? m_state.routes()->version() : 0;
    if (peer.configVersion <= version)
        return false;
    const TimePoint now = m_state.clock.now();
    if (!m_behindSince)
        m_behindSince = now;
    return !m_isConfigurationReadable
        || now >= *m_behindSince + scaled(kBehindPart, m_state.settings.configBound);
}

void StoreWatcher::offerSnapshot(const Snapshot &snapshot, std::string_view peer)
{
    if (!snapshot.configuration.empty())
        offerConfiguration(snapshot.configuration, "peer");
    const TimePoint now = m_state.clock.now();
    for (const SuspectNotice &notice : snapshot.suspects)
        m_state.quarantine.merge(notice, now);
    if (m_hasReplicas || m_state.directory.isReachable() || snapshot.replicas.empty())
        return;
    std::vector<ReplicaRow> rows;
    for (const ReplicaEntry &replica : snapshot.replicas)
        rows.push_back({replica.id, replica});
    m_state.directory.replaceAll(rows, now);
    for (const Departure &departure : snapshot.departures)
        m_state.directory.markLeaving(departure);
    // The peers know these departures: they need no telling.
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

void StoreWatcher::takeConfiguration(const platform::StoreRead &read)
{
    m_configRevision = std::max(m_configRevision, read.revision);
    for (const platform::StoreRow &row : read.rows) {
        if (row.key == platform::kConfigurationRow && !row.isDeleted)
            offerConfiguration(row.bytes, "store");
    }
}

Task<void> StoreWatcher::watchConfiguration()
{
    asio::steady_timer timer(m_context);
    std::uint32_t failures = 0;
    bool isWhole = true;
    while (true) {
        platform::StoreRead read;
        if (isWhole) {
            read = co_await m_configClient.readTable(platform::kOperatorTable, kCallTimeout);
        } else {
            read = co_await m_configClient.readChanges(platform::kOperatorTable, m_configRevision,
                                                       m_configPace.interval(m_state.readerCount()),
                                                       kCallTimeout);
        }
        m_isConfigurationReadable = read.outcome == Outcome::Done;
        if (m_isConfigurationReadable) {
            failures = 0;
            takeConfiguration(read);
            isWhole = !m_state.routes();
            if (isWhole)
                co_await pause(timer, backoff(0));
            else if (!read.rows.empty())
                co_await pause(timer, scaled(kJoinPart, m_state.settings.configBound));
            continue;
        }
        isWhole = isWhole || read.outcome == Outcome::HistoryGone;
        if (read.outcome != Outcome::HistoryGone)
            co_await pause(timer, backoff(failures++));
    }
}

void StoreWatcher::takeReplicas(const platform::StoreRead &read, bool isWhole)
{
    // An answer from the past would bring back what has left.
    if (read.revision < m_replicaRevision) {
        LOG(INFO) << LogLine("stale_read")
                         .add("revision", read.revision)
                         .add("known", m_replicaRevision)
                         .text();
        return;
    }
    const TimePoint now = m_state.clock.now();
    m_replicaRevision = read.revision;
    std::vector<ReplicaRow> rows;
    for (const platform::StoreRow &row : read.rows) {
        ReplicaRow decoded{row.key, std::nullopt};
        if (!row.isDeleted)
            decoded.entry = platform::decodeReplica(row.key, row.bytes);
        rows.push_back(std::move(decoded));
    }
    m_state.directory.setReachable(now);
    const std::uint64_t before = m_state.directory.revision();
    if (isWhole)
        m_state.directory.replaceAll(rows, now);
    else
        m_state.directory.apply(rows, now);
    if (m_state.directory.revision() != before) {
        m_changeRevision = read.revision;
        LOG(INFO) << LogLine("replicas_changed")
                         .add("store_revision", read.revision)
                         .add("directory", m_state.directory.revision())
                         .add("known", m_state.directory.size())
                         .text();
    }
    m_hasReplicas = true;
    if (onReplicas)
        onReplicas();
}

Task<void> StoreWatcher::watchReplicas()
{
    std::uint32_t failures = 0;
    bool isWhole = true;
    while (true) {
        platform::StoreRead read;
        if (isWhole) {
            read = co_await m_replicaClient.readTable(platform::kReplicaTable, kCallTimeout);
        } else {
            read = co_await m_replicaClient.readChanges(platform::kReplicaTable, m_replicaRevision,
                                                        Duration::zero(), kCallTimeout);
        }
        noteStore(read.outcome == Outcome::Done, "replicas", read.status);
        if (read.outcome == Outcome::Done) {
            failures = 0;
            takeReplicas(read, isWhole);
            isWhole = false;
            co_await awaitRead(
                m_replicaSchedule, m_replicaTimer,
                m_replicaPace.next(m_state.clock.now(), m_state.readerCount(), m_state.random));
            continue;
        }
        isWhole = isWhole || read.outcome == Outcome::HistoryGone;
        if (read.outcome == Outcome::HistoryGone)
            continue;
        m_state.directory.setUnreachable();
        co_await awaitRead(m_replicaSchedule, m_replicaTimer,
                           m_state.clock.now() + backoff(failures++));
    }
}

Task<bool> StoreWatcher::registerSelf()
{
    co_return co_await m_vmClient.write(platform::kVmTable, m_state.settings.vm,
                                        m_state.settings.peers.text(), kCallTimeout);
}

Task<void> StoreWatcher::removeGone(const platform::StoreRead &read)
{
    const TimePoint now = m_state.clock.now();
    std::vector<std::string> others;
    for (const platform::StoreRow &row : read.rows) {
        const bool isOther = row.key != m_state.settings.vm;
        if (isOther && m_state.groups.isInOwnGroup(row.key))
            others.push_back(row.key);
    }
    m_roster.onRegistered(others, now);
    const std::vector<std::string> removedVms = m_roster.removedVms(now);
    for (const platform::StoreRow &row : read.rows) {
        if (std::find(removedVms.begin(), removedVms.end(), row.key) == removedVms.end())
            continue;
        const bool isRemoved =
            co_await m_vmClient.remove(platform::kVmTable, row.key, row.version, kCallTimeout);
        LOG(INFO) << LogLine("vm_gone")
                         .add("vm", row.key)
                         .add("outcome", isRemoved ? "removed" : "left")
                         .text();
    }
}

Task<void> StoreWatcher::watchVms()
{
    std::uint32_t failures = 0;
    bool isRegistered = false;
    while (true) {
        if (!isRegistered)
            isRegistered = co_await registerSelf();
        const platform::StoreRead read =
            co_await m_vmClient.readTable(platform::kVmTable, kCallTimeout);
        std::vector<VmRow> vms;
        for (const platform::StoreRow &row : read.rows)
            vms.push_back({row.key, row.bytes});
        if (read.outcome == Outcome::Done) {
            if (onVms)
                onVms(vms);
            // Peers that have not heard this VM for long may have taken back its registration.
            isRegistered = std::any_of(vms.begin(), vms.end(), [this](const VmRow &row) {
                return row.vm == m_state.settings.vm;
            });
            co_await removeGone(read);
        }
        const bool isDone = isRegistered && read.outcome == Outcome::Done;
        if (isDone)
            failures = 0;
        const Duration interval =
            jittered(m_state.random, m_vmPace.interval(m_state.readerCount()));
        const Duration pause = isDone ? interval : backoff(failures++);
        co_await awaitRead(m_vmSchedule, m_vmTimer, m_state.clock.now() + pause);
    }
}

} // namespace arbutuspier
