// Registers this VM in the metadata store, and polls the store for the configuration, the replicas
// and the other VMs.
#pragma once

#include "arbutuspier/pollschedule.h"
#include "arbutuspier/sharedpollinterval.h"
#include "arbutuspier/vmroster.h"
#include "gateway/earlierstarts.h"
#include "gateway/gatewaystate.h"
#include "gateway/overduereports.h"
#include "gateway/peerdatagramcodec.h"
#include "gateway/replicanews.h"
#include "gateway/snapshotcodec.h"
#include "gateway/statedcoldtimes.h"
#include "platform/storeclient.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutuspier {

/// A VM as it registered itself in the store.
struct VmRegistration
{
    std::string vm;
    /// Address at which it receives peer datagrams, as "IP:PORT".
    std::string address;
    /// Revision of the store at which it registered; that of a seed host is empty.
    platform::StoreRevision revision;
};

class StoreWatcher
{
public:
    StoreWatcher(asio::io_context &context, GatewayState &state);

    void start();
    /// Applies reloaded settings, which may have other time bounds.
    void onSettingsReloaded();
    /// Polls the replicas at once, as the known ones may be stale.
    void pollReplicasNow();
    /// A peer saw the replicas change at this revision. Polls them soon if this VM has read only an
    /// earlier one.
    void onReplicasChanged(platform::StoreRevision revision);
    /// A peer has read the list of replicas from the store.
    void onPeerReadReplicas();
    /// A peer passed on what it has read of the list of replicas.
    void applyNotice(const ReplicaNotice &notice);
    /// This VM was suspended: reads at once what the operator may have changed meanwhile.
    void onResumed();
    /// Records that a datagram of the VM arrived, so that its registration is kept.
    void onPeerMessage(const std::string &vm);
    /// A VM that is missing in the list of VMs sent a datagram. Polls the list soon.
    void onUnlistedVm();
    /// Revision at which this VM last saw the usable replicas change.
    platform::StoreRevision changeRevision() const { return m_changeRevision; }

    /// The state that a peer needs to serve requests without the store.
    Snapshot snapshot() const;
    /// Applies a peer's configuration if it is newer, its suspects, and its replicas if this VM has
    /// not read any since its start and can't reach the store.
    void applySnapshot(const Snapshot &snapshot, std::string_view peer);
    /// The active configuration, compressed; empty if there is none.
    const std::string &deflatedConfiguration() const { return m_deflatedConfiguration; }
    /// Applies a peer's configuration, in the same form, if it is newer.
    void applyPeerConfiguration(std::string deflatedBytes, std::string_view peer);
    /// Returns true if this VM can learn the replicas from peers only.
    bool lacksReplicas() const { return !m_hasReplicas && !m_state.directory.isReachable(); }
    /// Returns true if the peer has replicas or a configuration that this VM lacks and has not got
    /// from the store.
    bool needsSnapshot(const PeerStatus &peer);
    /// Returns true once this VM has the replicas, from the store or from a peer.
    bool hasReplicas() const { return m_hasReplicas; }
    /// Number of calls to the store since the start.
    std::uint64_t calls() const;
    std::uint64_t configCalls() const { return m_configClient.calls(); }
    /// Bytes of the bodies that the store sent since the start.
    std::uint64_t bytesRead() const;
    std::uint64_t replicaCalls() const { return m_replicaClient.calls(); }

    std::function<void(const std::vector<VmRegistration> &)> onVms;
    /// Called when the store has come back from a copy and lost what was written after it.
    std::function<void()> onStoreRestored;
    std::function<void()> onConfiguration;
    std::function<void()> onReplicas;
    /// Called when this VM has read that evacuated zones changed, and peers may not know it.
    std::function<void()> onEvacuationsRead;
    /// Called with what is new when this VM has read the list of replicas.
    std::function<void(const ReplicaNotice &)> onReplicasRead;

private:
    /// Timeout of a call to the store, beside the time for which a long poll waits.
    static constexpr Duration kCallTimeout = std::chrono::milliseconds{800};
    /// Time for which changes are coalesced before the next poll, as a fraction of the drain and
    /// configuration bounds: replicas and configurations often change several times in a row.
    static constexpr double kCoalesceFraction = 0.1;
    /// Interval of checking whether a VM that relies on others has to read itself.
    static constexpr Duration kReaderCheck = std::chrono::milliseconds{200};

    Task<void> watchConfiguration();
    Task<void> watchReplicas();
    Task<void> watchVms();
    Task<bool> registerSelf();
    /// Deletes the registrations of VMs that were removed for good.
    Task<void> deleteStaleRegistrations(const platform::StoreRead &read);
    Task<void> sleepFor(asio::steady_timer &timer, Duration duration);
    /// Waits until `due`, or until a reported change or pollReplicasNow() makes a poll due earlier.
    Task<void> awaitPoll(PollSchedule &schedule, asio::steady_timer &timer, TimePoint due);
    /// Waits for the next poll of the replicas: until `due`, a reported change that no peer passes
    /// on, the time from which this VM can't rely on its peers, or until it becomes a reader.
    Task<void> awaitReplicaPoll(TimePoint due);
    /// Time of the next poll after one at `polledAt`.
    TimePoint nextReplicaPoll(TimePoint polledAt);
    /// Waits while peers read the operator's rows for this VM.
    Task<void> awaitConfigurationTurn(asio::steady_timer &timer);
    /// Whether peers read the store for this VM, by evidence that is young enough.
    bool reliesOnReaders() const;
    /// Whether a newer configuration is known for so long that it has to be read from the store.
    bool isConfigurationOverdue() const;
    /// Whether this VM has to find heartbeats itself: it reads for others, or has to learn whether
    /// a replica that it took for crashed lives.
    bool needsHeartbeats() const;
    /// A VM that doesn't read all the time continues where the notices of its peers end.
    void continueFromNotices();
    /// The rows of a poll that other VMs may not know.
    std::vector<ReplicaRow> newsAmong(const std::vector<platform::StoreRow> &rows,
                                      const std::vector<ReplicaRow> &decoded) const;
    /// The replicas of the rows that have started since this VM knows replicas.
    std::set<ReplicaIncarnation> startedAmong(const std::vector<ReplicaRow> &rows) const;
    /// What this VM passes on after a poll.
    ReplicaNotice replicaNotice();
    /// Applies a configuration if it is newer, and returns whether it was. One that can't be
    /// decoded is logged and ignored.
    bool tryApplyConfiguration(std::string_view bytes, std::string_view source);
    void handleOperatorRead(const platform::StoreRead &read, bool isFullRead);
    /// Applies the rows that name evacuated zones.
    void handleEvacuations(const platform::StoreRead &read, bool isFullRead);
    /// `polledAt` is the time at which the read began. Returns false if the read is older than what
    /// this VM knows, so that it was ignored.
    bool handleReplicaRead(const platform::StoreRead &read, bool isFullRead, TimePoint polledAt);
    /// Records that incarnations have ended whose ids processes with lower start times use now.
    void recordEarlierStarts(const std::vector<platform::StoreRow> &rows,
                             const std::vector<ReplicaRow> &decoded);
    void recordHeartbeats(const std::vector<platform::StoreRow> &rows,
                          const std::vector<ReplicaRow> &decoded);
    /// Notices that the store has come back from a copy, and reads and writes anew what is
    /// affected.
    void noteEra(const platform::StoreRead &read);
    void updateStoreState(bool isUp, std::string_view reader, int status);
    /// Pause after a call failed, and before it this many in a row.
    Duration pauseAfter(std::uint32_t failures);

    asio::io_context &m_context;
    GatewayState &m_state;
    platform::StoreClient m_configClient;
    platform::StoreClient m_replicaClient;
    platform::StoreClient m_vmClient;
    asio::steady_timer m_replicaTimer;
    /// Coalesces no changes: notices may make the poll needless, so that awaitReplicaPoll() does.
    PollSchedule m_replicaSchedule;
    asio::steady_timer m_vmTimer;
    PollSchedule m_vmSchedule;
    VmRoster m_roster;
    SharedPollInterval m_configInterval;
    SharedPollInterval m_replicaInterval;
    SharedPollInterval m_vmInterval;
    /// The active configuration, byte for byte as in the store but compressed: it is kept only to
    /// be passed on.
    std::string m_deflatedConfiguration;
    platform::StoreRevision m_configRevision;
    platform::StoreRevision m_replicaRevision;
    /// When the poll that returned m_replicaRevision began: rows of later versions were written
    /// after it. Empty until the first poll.
    std::optional<TimePoint> m_replicaRevisionPolledAt;
    platform::StoreRevision m_changeRevision;
    ReplicaNews m_replicaNews;
    OverdueReports m_overdueReports;
    EarlierStarts m_earlierStarts;
    StatedColdTimes m_coldTimes;
    /// When a peer last told that it has read the replicas.
    TimePoint m_peerReadAt{};
    /// The last revision at which a peer saw the replicas change, and when it said so.
    platform::StoreRevision m_reportedRevision;
    TimePoint m_reportedAt{};
    /// The polls of this VM follow each other, so that they find all heartbeats.
    bool m_findsHeartbeats = false;
    /// The highest era that a response stated.
    std::optional<std::uint64_t> m_storeEra;
    /// Time at which a peer first reported a newer configuration; empty if none has.
    std::optional<TimePoint> m_staleConfigSince;
    bool m_isConfigurationReadable = true;
    /// The operator's rows have to be read, though peers read them for this VM.
    bool m_mustReadOperatorRows = false;
    bool m_hasReplicas = false;
    bool m_isStoreUp = true;
};

} // namespace arbutuspier
