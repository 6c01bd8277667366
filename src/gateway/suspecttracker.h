// Finds the requests that crash replicas: records attempts without a response, checks whether their
// replicas crashed, and tells the other VMs which requests are suspects.
#pragma once

#include "arbutuspier/crashdetector.h"
#include "arbutuspier/promptpartquarantine.h"
#include "arbutuspier/quarantine.h"
#include "arbutuspier/unansweredattempts.h"
#include "arbutuspier/upstreamdirectory.h"
#include "gateway/gatewaymetrics.h"
#include "net/asiotypes.h"
#include "settings/settings.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace arbutuspier {

/// How long a suspect request is remembered after the last replica crash that it was in flight at.
inline constexpr std::chrono::seconds kSuspectRetention = std::chrono::hours{1};

/// How far the response of an attempt had come when it was lost.
enum class AttemptProgress : std::uint8_t {
    NoOutput,
    HasOutput,
    /// It had been writing for so long that no part of its prompt can be to blame for a crash.
    KeepsWriting,
};

class SuspectTracker
{
public:
    /// `clock`, `directory` and `metrics` must outlive the tracker. `replicaHeartbeat` is the
    /// interval at which a replica writes heartbeats to the store.
    SuspectTracker(asio::any_io_executor executor, const Clock &clock, GatewayMetrics &metrics,
                   Duration replicaHeartbeat);

    /// Whether the request or a part of its prompt is quarantined.
    bool isQuarantined(const RequestIdentity &request);
    /// The part of its prompt that is quarantined; invalid if none is.
    PromptPartId quarantinedPart(const RequestIdentity &request);
    /// For a request that arrived: makes it the trial of a quarantined part if one is due.
    void tryBegin(RequestIdentity &request);
    /// An attempt that was sent at `sentAt` broke off or expired without a complete response:
    /// checks whether the replica crashed.
    void onLost(const ReplicaEntry &replica, const RequestIdentity &request,
                AttemptProgress progress, TimePoint sentAt);
    /// Starts a check of whether the replica crashed, unless one of it is running.
    void startCheck(const ReplicaEntry &replica);
    /// When a check first found the replica unreachable; empty if none did.
    std::optional<TimePoint> unreachableSince(const ReplicaIncarnation &incarnation) const
    {
        return m_crashDetector.unreachableSince(incarnation);
    }
    /// Longest time for which `awaitCheck` waits.
    static constexpr Duration kMaxCheckWait = std::chrono::milliseconds{30};
    /// Waits until a running check of the replica has its first result, but not for long.
    Task<void> awaitCheck(const ReplicaIncarnation &incarnation);
    /// The caller left before the replica responded. Nothing is checked, but the request is a
    /// suspect if the replica turns out to have crashed.
    void onAbandoned(const ReplicaEntry &replica, const RequestIdentity &request, TimePoint sentAt);
    /// A request was executed to its end, so that it is no suspect any more.
    void onCompleted(const ReplicaEntry &replica, const RequestIdentity &request);
    /// An attempt keeps writing, so that the parts of its prompt are no suspects any more.
    void onWriting(const RequestIdentity &request);
    /// A replica refused a connection or didn't accept it in time. If attempts there got no
    /// response, this checks whether it crashed.
    void onUnreachable(const ReplicaEntry &replica);
    /// This VM has lost its paths to the replicas of all services, or has one back. A replica that
    /// it can't reach meanwhile, or couldn't shortly before, doesn't count as crashed.
    void setCutOff(bool isCutOff);
    /// The list of replicas changed. One that was removed from it may have crashed.
    void onDirectoryChanged(const UpstreamDirectory &directory);
    /// A replica responded.
    void onResponse(const ReplicaIncarnation &incarnation);
    /// A replica wrote a heartbeat at `writtenAfter` or later. If it had been counted as crashed,
    /// this is taken back for the requests that were suspected of it.
    void onHeartbeat(const ReplicaIncarnation &incarnation, TimePoint writtenAfter);
    /// Merges a notice of another VM. Returns true if it changed whether the request is a suspect
    /// or quarantined.
    bool merge(const SuspectNotice &notice, std::string_view source);
    /// Merges notices of another VM on parts of prompts. Returns true if something was new.
    bool merge(const PartNotices &notices);
    void tick();
    /// Whether a replica was counted as crashed so recently that a heartbeat may still show that it
    /// lives.
    bool hasRecentCrash(TimePoint now) const { return m_crashDetector.hasRecentCrash(now); }

    const Quarantine &quarantine() const { return m_quarantine; }
    const PromptPartQuarantine &promptParts() const { return m_promptParts; }

    /// Called for each new notice of this VM, which the other VMs have to get.
    std::function<void(const SuspectNotice &)> onNotice;
    /// Called for new notices of this VM on parts of prompts, which the other VMs have to get.
    std::function<void(const PartNotices &)> onPartNotices;
    /// Whether the list has no entry of the incarnation any more, so that another process may have
    /// its address.
    std::function<bool(const ReplicaIncarnation &)> wasRemoved;
    /// Counts a question to a replica that may want none now; false if it must not be asked.
    std::function<bool(const ReplicaEntry &)> tryAsk;
    /// Whether the replica is of a service whose replicas are engines.
    std::function<bool(const ReplicaEntry &)> isEngine;
    /// Called for a replica that a check found unreachable.
    std::function<void(const ReplicaEntry &)> onReplicaDown;

private:
    /// Remembers an attempt without a response. If the replica is already known to have crashed
    /// after it was sent, the crash is counted at once.
    void recordUnanswered(const ReplicaIncarnation &incarnation, const UnansweredAttempt &attempt);
    /// Counts the crash of a replica against all requests with unanswered attempts there.
    void recordCrash(const ReplicaIncarnation &incarnation, CrashEvidence evidence,
                     CrashState state);
    void countCrash(const ReplicaIncarnation &incarnation, const UnansweredAttempt &attempt,
                    CrashState state);
    /// Takes the crash back for all requests that were suspected of it.
    void retractCrash(const ReplicaIncarnation &incarnation, std::string_view cause);
    /// Whether this VM was cut off at `since` or later.
    bool wasCutOff(TimePoint since) const { return m_isCutOff || m_cutOffEndedAt >= since; }
    /// Checks by a connection whether a replica crashed. If it can't be reached, the crash is
    /// unconfirmed at first, and confirmed unless several others can't be reached either.
    Task<void> checkForCrash(ReplicaEntry replica);
    /// Whether the process at the address of a replica that left the list says that it is another.
    Task<bool> isAnotherProcess(const ReplicaEntry &replica, const Address &address);
    void publish(const PartNotices &notices);
    /// Logs and counts the parts of prompts that were quarantined or released.
    void logPartChanges();
    void endCheck(const ReplicaIncarnation &incarnation, std::string_view outcome);
    /// Logs the notices with their cause and sends them to the other VMs.
    void publish(const std::vector<SuspectNotice> &notices, std::string_view cause,
                 const ReplicaIncarnation &incarnation);

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    GatewayMetrics &m_metrics;
    CrashDetector m_crashDetector;
    UnansweredAttempts m_unanswered;
    /// Replicas that a check is running for. The timer expires at its first result.
    std::map<ReplicaIncarnation, std::shared_ptr<asio::steady_timer>> m_checking;
    bool m_isCutOff = false;
    TimePoint m_cutOffEndedAt{};
    Quarantine m_quarantine;
    PromptPartQuarantine m_promptParts;
};

} // namespace arbutuspier
