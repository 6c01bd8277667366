// A crash is counted when the replica can't be reached after an attempt without a response, and
// taken back only for a heartbeat of the same incarnation.
#include "gateway/suspecttracker.h"

#include "kernel/logline.h"
#include "net/httpchannel.h"
#include "settings/settings.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <glog/logging.h>
#include <xxhash.h>

namespace arbutuspier {

namespace {

/// How long a suspect request is remembered after the last replica crash that it was in flight at.
constexpr Duration kSuspectRetention = std::chrono::minutes{5};
/// The platform removes the entry of a replica that has been silent for this many heartbeats.
constexpr int kHeartbeatsUntilRemoval = 3;
constexpr Duration kProbeTimeout = std::chrono::milliseconds{250};
/// A network partition makes other replicas unreachable too within this time.
constexpr Duration kPartitionDetectionTime = std::chrono::milliseconds{250};

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
    options.lateHeartbeatTime = kHeartbeatsUntilRemoval * replicaHeartbeat;
    return options;
}

QuarantineOptions quarantineOptions()
{
    QuarantineOptions options;
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
{
}

bool SuspectTracker::isQuarantined(Fingerprint fingerprint) const
{
    return m_quarantine.quarantineState(fingerprint) == Quarantine::QuarantineState::Quarantined;
}

void SuspectTracker::onLost(const ReplicaEntry &replica, Fingerprint fingerprint, TimePoint sentAt)
{
    recordUnanswered(replica.incarnation(), fingerprint, sentAt);
    startCheck(replica);
}

void SuspectTracker::onAbandoned(const ReplicaEntry &replica, Fingerprint fingerprint,
                                 TimePoint sentAt)
{
    recordUnanswered(replica.incarnation(), fingerprint, sentAt);
}

void SuspectTracker::recordUnanswered(const ReplicaIncarnation &incarnation,
                                      Fingerprint fingerprint, TimePoint sentAt)
{
    m_unanswered.record(incarnation, fingerprint, m_clock.now());
    const auto crashedAt = m_crashDetector.crashedAt(incarnation);
    if (crashedAt && sentAt < *crashedAt)
        countCrash(incarnation, std::span(&fingerprint, 1), CrashState::Unconfirmed);
}

void SuspectTracker::startCheck(const ReplicaEntry &replica)
{
    if (m_checking.insert(replica.incarnation()).second)
        asio::co_spawn(m_executor, checkForCrash(replica), asio::detached);
}

Task<void> SuspectTracker::checkForCrash(ReplicaEntry replica)
{
    const ReplicaIncarnation incarnation = replica.incarnation();
    Address address;
    if (!parseAddress(replica.address, address)) {
        m_checking.erase(incarnation);
        logCheck(incarnation, "no-address");
        co_return;
    }
    beast::tcp_stream stream(m_executor);
    stream.expires_after(kProbeTimeout);
    const auto [error] = co_await stream.async_connect(endpointOf(address), kAwait);
    if (!error) {
        m_checking.erase(incarnation);
        logCheck(incarnation, "reachable");
        co_return;
    }
    if (onReplicaDown)
        onReplicaDown(replica);
    asio::steady_timer timer(m_executor, kPartitionDetectionTime);
    co_await timer.async_wait(kAwait);
    m_checking.erase(incarnation);
    const bool isConfirmed = m_crashDetector.mayHaveCrashed(incarnation, m_clock.now());
    logCheck(incarnation, isConfirmed ? "confirmed" : "unconfirmed");
    recordCrash(incarnation, isConfirmed ? CrashState::Confirmed : CrashState::Unconfirmed);
}

void SuspectTracker::logCheck(const ReplicaIncarnation &incarnation, std::string_view outcome)
{
    m_metrics.incrementCounter("crash_checks", std::string(outcome));
    LOG(INFO) << LogLine("crash_check")
                     .add("replica", incarnation.id)
                     .add("born", static_cast<std::uint64_t>(incarnation.startedAtMs))
                     .add("outcome", outcome)
                     .add("unreachable", m_crashDetector.unreachableCount())
                     .text();
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

void SuspectTracker::merge(const SuspectNotice &notice, std::string_view source)
{
    const bool hasChanged = m_quarantine.merge(notice, m_clock.now());
    LOG(INFO) << LogLine("suspect_reported")
                     .add("fingerprint", notice.fingerprint.value)
                     .add("source", source)
                     .add("cleared", notice.isCleared() ? "yes" : "no")
                     .add("deaths", notice.crashes.size())
                     .add("changed", hasChanged ? "yes" : "no")
                     .text();
}

void SuspectTracker::recordCrash(const ReplicaIncarnation &incarnation, CrashState state)
{
    const TimePoint now = m_clock.now();
    m_crashDetector.recordCrash(incarnation, now);
    countCrash(incarnation, m_unanswered.of(incarnation, now), state);
}

void SuspectTracker::countCrash(const ReplicaIncarnation &incarnation,
                                std::span<const Fingerprint> inFlight, CrashState state)
{
    publish(m_quarantine.onUpstreamCrash(upstreamId(incarnation), incarnationOf(incarnation),
                                         inFlight, m_clock.now(), state),
            state == CrashState::Confirmed ? "crash" : "unconfirmed-crash", incarnation);
}

void SuspectTracker::onCompleted(const ReplicaEntry &replica, Fingerprint fingerprint)
{
    publish(m_quarantine.onCompleted(fingerprint), "completed", replica.incarnation());
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
            recordCrash(incarnation, CrashState::Unconfirmed);
    }
}

void SuspectTracker::onResponse(const ReplicaIncarnation &incarnation)
{
    m_crashDetector.onResponse(incarnation);
}

void SuspectTracker::onHeartbeat(const ReplicaIncarnation &incarnation, TimePoint writtenAfter)
{
    if (m_crashDetector.onHeartbeat(incarnation, writtenAfter))
        publish(m_quarantine.retract(upstreamId(incarnation), incarnationOf(incarnation)),
                "heartbeat", incarnation);
}

void SuspectTracker::tick()
{
    m_unanswered.tick(m_clock.now());
    m_quarantine.tick(m_clock.now());
}

} // namespace arbutuspier
