// A crash is counted when the replica can't be reached after an attempt without a response, and
// taken back only for a heartbeat of the same incarnation.
#include "gateway/suspecttracker.h"

#include "kernel/logline.h"
#include "net/connectionprobe.h"
#include "net/httpchannel.h"
#include "platform/identityprobe.h"
#include "settings/settings.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <glog/logging.h>
#include <xxhash.h>

#include <set>

namespace arbutuspier {

namespace {

/// The platform removes the entry of a replica that has been silent for this many heartbeats.
constexpr int kHeartbeatsUntilRemoval = 3;
/// The store may carry out a write this long after the call, if the call got no response.
constexpr Duration kMaxWriteDelay = std::chrono::seconds{6};
/// A network partition makes other replicas unreachable too within this time.
constexpr Duration kPartitionDetectionTime = std::chrono::milliseconds{250};
/// Crashes that were counted this long before the VM was known to be cut off belong to the cut: two
/// replicas have to be unreachable within two seconds, and others to be probed, until then.
constexpr Duration kCutDetectionTime = std::chrono::seconds{3};

UpstreamId upstreamId(const ReplicaIncarnation &incarnation)
{
    return UpstreamId{XXH64(incarnation.id.data(), incarnation.id.size(), 0)};
}

Incarnation incarnationOf(const ReplicaIncarnation &incarnation)
{
    return Incarnation{static_cast<std::uint64_t>(incarnation.startedAtMs)};
}

CrashDetectorOptions crashDetectorOptions(Duration replicaHeartbeat)
{
    CrashDetectorOptions options;
    options.lateHeartbeatTime = kHeartbeatsUntilRemoval * replicaHeartbeat + kMaxWriteDelay;
    return options;
}

QuarantineOptions quarantineOptions()
{
    QuarantineOptions options;
    options.recordLifetime = kSuspectRetention;
    return options;
}

PromptPartQuarantineOptions promptPartQuarantineOptions()
{
    PromptPartQuarantineOptions options;
    options.recordLifetime = kSuspectRetention;
    return options;
}

} // namespace

SuspectTracker::SuspectTracker(asio::any_io_executor executor, const Clock &clock,
                               GatewayMetrics &metrics, Duration replicaHeartbeat)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_metrics(metrics)
    , m_crashDetector(crashDetectorOptions(replicaHeartbeat))
    , m_unanswered({})
    , m_quarantine(quarantineOptions())
    , m_promptParts(promptPartQuarantineOptions())
{
}

bool SuspectTracker::isQuarantined(const RequestIdentity &request)
{
    if (quarantinedPart(request).isValid())
        return true;
    const auto state =
        m_quarantine.quarantineState(request.fingerprint, [this](std::uint64_t crash) {
            return m_promptParts.isExplained(crash);
        });
    return state == Quarantine::QuarantineState::Quarantined;
}

PromptPartId SuspectTracker::quarantinedPart(const RequestIdentity &request)
{
    const PromptPartId part = m_promptParts.quarantinedPart(request);
    logPartChanges();
    return part;
}

void SuspectTracker::tryBegin(RequestIdentity &request)
{
    const PromptPartId part = m_promptParts.quarantinedPart(request);
    if (!part.isValid() || !m_promptParts.tryBegin(request, part, m_clock.now()))
        return;
    m_metrics.incrementCounter("prompt_parts", "tried");
    LOG(INFO) << LogLine("part_tried")
                     .add("part", part.value)
                     .add("fingerprint", request.fingerprint.value)
                     .add("level", static_cast<std::uint64_t>(request.triedLevel))
                     .text();
}

void SuspectTracker::onLost(const ReplicaEntry &replica, const RequestIdentity &request,
                            AttemptProgress progress, TimePoint sentAt)
{
    UnansweredAttempt attempt{request.fingerprint, sentAt, progress != AttemptProgress::NoOutput};
    if (progress != AttemptProgress::KeepsWriting)
        attempt.parts = m_promptParts.exposuresOf(request.parts, sentAt, m_clock.now());
    recordUnanswered(replica.incarnation(), attempt);
    startCheck(replica);
}

void SuspectTracker::onAbandoned(const ReplicaEntry &replica, const RequestIdentity &request,
                                 TimePoint sentAt)
{
    const UnansweredAttempt attempt{
        request.fingerprint, sentAt, false,
        m_promptParts.exposuresOf(request.parts, sentAt, m_clock.now())};
    recordUnanswered(replica.incarnation(), attempt);
}

void SuspectTracker::recordUnanswered(const ReplicaIncarnation &incarnation,
                                      const UnansweredAttempt &attempt)
{
    m_unanswered.record(incarnation, attempt, m_clock.now());
    const auto crashedAt = m_crashDetector.crashedAt(incarnation);
    if (crashedAt && attempt.sentAt < *crashedAt)
        countCrash(incarnation, attempt, CrashState::Unconfirmed);
}

void SuspectTracker::startCheck(const ReplicaEntry &replica)
{
    const auto [check, isNew] = m_checking.try_emplace(replica.incarnation());
    if (!isNew)
        return;
    check->second = std::make_shared<asio::steady_timer>(m_executor, kMaxCheckWait);
    asio::co_spawn(m_executor, checkForCrash(replica), asio::detached);
}

Task<void> SuspectTracker::awaitCheck(const ReplicaIncarnation &incarnation)
{
    const auto check = m_checking.find(incarnation);
    if (check == m_checking.end())
        co_return;
    const std::shared_ptr<asio::steady_timer> firstResult = check->second;
    co_await firstResult->async_wait(kAwait);
}

void SuspectTracker::endCheck(const ReplicaIncarnation &incarnation, std::string_view outcome)
{
    const auto check = m_checking.find(incarnation);
    check->second->expires_after(Duration::zero());
    m_checking.erase(check);
    m_metrics.incrementCounter("crash_checks", std::string(outcome));
    LOG(INFO) << LogLine("crash_check")
                     .add("replica", incarnation.id)
                     .add("born", static_cast<std::uint64_t>(incarnation.startedAtMs))
                     .add("outcome", outcome)
                     .add("unreachable", m_crashDetector.unreachableCount())
                     .text();
}

namespace {

/// A process that ends may still accept a connection and then close it, but so does a replica that
/// has too many connections. Only a second connection tells these apart.
Task<bool> isReachable(asio::any_io_executor executor, Address address)
{
    ProbeResult result = co_await probeConnection(executor, address);
    if (result == ProbeResult::ClosedAtOnce)
        result = co_await probeConnection(executor, address);
    co_return result != ProbeResult::Unreachable;
}

} // namespace

Task<bool> SuspectTracker::isAnotherProcess(const ReplicaEntry &replica, const Address &address)
{
    const ReplicaIncarnation incarnation = replica.incarnation();
    if (!wasRemoved || !wasRemoved(incarnation))
        co_return false;
    if (tryAsk && !tryAsk(replica))
        co_return false;
    const HttpReply reply =
        co_await callOnce(address, platform::identityRequest(replica.id, kProbeTimeout));
    const auto identity = platform::decodeIdentity(reply, incarnation);
    const bool isOther = identity == platform::ReplicaIdentity::Other
        || (identity == platform::ReplicaIdentity::NoEngine && isEngine && isEngine(replica));
    LOG(INFO) << LogLine("identity_probe")
                     .add("replica", replica.id)
                     .add("address", replica.address)
                     .add("outcome", isOther ? "replaced" : "kept")
                     .add("status", static_cast<std::uint64_t>(reply.status))
                     .text();
    co_return isOther;
}

Task<void> SuspectTracker::checkForCrash(ReplicaEntry replica)
{
    const ReplicaIncarnation incarnation = replica.incarnation();
    const TimePoint begunAt = m_clock.now();
    Address address;
    if (!parseAddress(replica.address, address)) {
        endCheck(incarnation, "no-address");
        co_return;
    }
    const bool isAlive =
        co_await isReachable(m_executor, address) && !co_await isAnotherProcess(replica, address);
    if (isAlive) {
        endCheck(incarnation, "reachable");
        co_return;
    }
    if (onReplicaDown)
        onReplicaDown(replica);
    if (wasCutOff(begunAt)) {
        endCheck(incarnation, "cut-off");
        co_return;
    }
    recordCrash(incarnation, CrashEvidence::Unreachable, CrashState::Unconfirmed);
    m_checking.at(incarnation)->expires_after(Duration::zero());
    asio::steady_timer timer(m_executor, kPartitionDetectionTime);
    co_await timer.async_wait(kAwait);
    if (wasCutOff(begunAt)) {
        endCheck(incarnation, "cut-off");
        co_return;
    }
    const bool isConfirmed = m_crashDetector.mayHaveCrashed(incarnation, m_clock.now());
    endCheck(incarnation, isConfirmed ? "confirmed" : "unconfirmed");
    recordCrash(incarnation, CrashEvidence::Unreachable,
                isConfirmed ? CrashState::Confirmed : CrashState::Unconfirmed);
}

void SuspectTracker::publish(const std::vector<SuspectNotice> &notices, std::string_view cause,
                             const ReplicaIncarnation &incarnation)
{
    for (const SuspectNotice &notice : notices) {
        LOG(INFO) << LogLine(notice.isCleared() ? "suspect_cleared" : "suspect")
                         .add("fingerprint", notice.fingerprint.value)
                         .add("cause", cause)
                         .add("replica", incarnation.id)
                         .add("born", static_cast<std::uint64_t>(incarnation.startedAtMs))
                         .add("deaths", notice.crashes.size())
                         .text();
        if (onNotice)
            onNotice(notice);
    }
}

bool SuspectTracker::merge(const SuspectNotice &notice, std::string_view source)
{
    const bool hasChanged = m_quarantine.merge(notice, m_clock.now());
    if (!hasChanged)
        return false;
    LOG(INFO) << LogLine("suspect_reported")
                     .add("fingerprint", notice.fingerprint.value)
                     .add("source", source)
                     .add("cleared", notice.isCleared() ? "yes" : "no")
                     .add("deaths", notice.crashes.size())
                     .text();
    return true;
}

void SuspectTracker::recordCrash(const ReplicaIncarnation &incarnation, CrashEvidence evidence,
                                 CrashState state)
{
    const TimePoint now = m_clock.now();
    m_crashDetector.recordCrash(incarnation, evidence, now);
    for (const UnansweredAttempt &attempt : m_unanswered.of(incarnation, now))
        countCrash(incarnation, attempt, state);
}

void SuspectTracker::countCrash(const ReplicaIncarnation &incarnation,
                                const UnansweredAttempt &attempt, CrashState state)
{
    const CrashState counted = attempt.hasOutput ? CrashState::Unconfirmed : state;
    const std::uint64_t crash = m_quarantine.crashOfAttempt(
        upstreamId(incarnation), incarnationOf(incarnation), attempt.fingerprint, attempt.sentAt);
    publish(m_quarantine.onCrash(crash, attempt.fingerprint, m_clock.now(), counted),
            counted == CrashState::Confirmed ? "crash" : "unconfirmed-crash", incarnation);
    publish(m_promptParts.onCrash(crash, attempt.fingerprint, attempt.parts, m_clock.now()));
}

void SuspectTracker::onCompleted(const ReplicaEntry &replica, const RequestIdentity &request)
{
    m_unanswered.forget(request.fingerprint);
    publish(m_quarantine.onCompleted(request.fingerprint), "completed", replica.incarnation());
    publish(m_promptParts.onSuccess(request.parts, m_clock.now()));
}

void SuspectTracker::onWriting(const RequestIdentity &request)
{
    publish(m_promptParts.onSuccess(request.parts, m_clock.now()));
}

void SuspectTracker::publish(const PartNotices &notices)
{
    if (notices.empty())
        return;
    for (const PartEvidence &evidence : notices.evidence) {
        for (const PartExposure &exposure : evidence.parts)
            LOG(INFO) << LogLine("part_suspect")
                             .add("part", exposure.part.value)
                             .add("fingerprint", evidence.request.value)
                             .add("crash", evidence.crash)
                             .add("level", static_cast<std::uint64_t>(exposure.level))
                             .add("succeeded", exposure.hasSucceeded ? "yes" : "no")
                             .text();
    }
    for (const PartClearance &clearance : notices.clearances)
        LOG(INFO) << LogLine("part_cleared")
                         .add("part", clearance.part.value)
                         .add("level", static_cast<std::uint64_t>(clearance.level))
                         .text();
    if (onPartNotices)
        onPartNotices(notices);
}

bool SuspectTracker::merge(const PartNotices &notices)
{
    return m_promptParts.merge(notices, m_clock.now());
}

void SuspectTracker::logPartChanges()
{
    for (const PartQuarantineChange &change : m_promptParts.takeChanges()) {
        m_metrics.incrementCounter("prompt_parts",
                                   change.isQuarantined ? "quarantined" : "released");
        LOG(INFO) << LogLine(change.isQuarantined ? "part_quarantined" : "part_released")
                         .add("part", change.part.value)
                         .add("levels", change.levels)
                         .add("deaths", change.crashes)
                         .add("requests", change.requests)
                         .text();
    }
}

void SuspectTracker::onUnreachable(const ReplicaEntry &replica)
{
    const ReplicaIncarnation incarnation = replica.incarnation();
    m_crashDetector.onUnreachable(incarnation, m_clock.now());
    const bool mayBeToBlame = !m_unanswered.of(incarnation, m_clock.now()).empty();
    if (mayBeToBlame && !m_crashDetector.crashedAt(incarnation))
        startCheck(replica);
}

void SuspectTracker::onDirectoryChanged(const UpstreamDirectory &directory)
{
    for (const ReplicaIncarnation &incarnation : m_unanswered.incarnations()) {
        if (directory.wasRemovedOrReplaced(incarnation))
            recordCrash(incarnation, CrashEvidence::Removed, CrashState::Unconfirmed);
    }
}

void SuspectTracker::onResponse(const ReplicaIncarnation &incarnation)
{
    m_crashDetector.onResponse(incarnation);
}

void SuspectTracker::onHeartbeat(const ReplicaIncarnation &incarnation, TimePoint writtenAfter)
{
    if (m_crashDetector.onHeartbeat(incarnation, writtenAfter))
        retractCrash(incarnation, "heartbeat");
}

void SuspectTracker::setCutOff(bool isCutOff)
{
    if (isCutOff == m_isCutOff)
        return;
    m_isCutOff = isCutOff;
    const TimePoint now = m_clock.now();
    if (!isCutOff) {
        m_cutOffEndedAt = now;
        return;
    }
    for (const auto &incarnation : m_crashDetector.forgetUnreachable(now - kCutDetectionTime))
        retractCrash(incarnation, "cut-off");
}

void SuspectTracker::retractCrash(const ReplicaIncarnation &incarnation, std::string_view cause)
{
    const std::vector<SuspectNotice> retracted =
        m_quarantine.retract(upstreamId(incarnation), incarnationOf(incarnation));
    publish(retracted, cause, incarnation);
    std::set<std::uint64_t> crashes{
        Quarantine::crashDigest(upstreamId(incarnation), incarnationOf(incarnation))};
    for (const SuspectNotice &notice : retracted)
        crashes.insert(notice.crashes.begin(), notice.crashes.end());
    for (const std::uint64_t crash : crashes)
        publish(m_promptParts.retract(crash, m_clock.now()));
}

void SuspectTracker::tick()
{
    m_unanswered.tick(m_clock.now());
    m_quarantine.tick(m_clock.now());
    m_promptParts.tick(m_clock.now());
    logPartChanges();
}

} // namespace arbutuspier
