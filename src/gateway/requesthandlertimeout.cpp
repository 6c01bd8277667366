// The part of RequestHandler that decides from when on an attempt is late, when to give it up, and
// whether the request has the time for one.
//
// A late attempt stays open, as its replica may go on. It is given up only at the request's
// deadline, or if the caller has got nothing yet and the replica is unreachable.
#include "gateway/requesthandler.h"

#include "arbutuspier/forecast.h"

#include <algorithm>

namespace arbutuspier {

namespace {

/// Margin on the longest recent duration of a route.
constexpr double kDurationMargin = 1.25;
/// Shortest timeout of the first event after which an attempt is late.
constexpr Duration kMinFirstEventTimeout = std::chrono::milliseconds{60};
/// Shortest timeout of each further event.
constexpr Duration kMinEventGapTimeout = std::chrono::seconds{1};
/// Timeout of each further event, as a multiple of the route's objective for the inter-event gap.
constexpr double kEventGapTimeoutFactor = 2.0;
/// Timeout of a replica that is known to prefill, as a multiple of the forecast time of its
/// prefills.
constexpr double kPrefillTimeoutFactor = 1.3;
/// Added to that timeout, and the forecast prefill time up to which it isn't extended.
constexpr Duration kPrefillTimeoutMargin = std::chrono::milliseconds{150};
/// Interval at which it is checked whether a replica without output is still in the directory.
constexpr Duration kDirectoryCheckInterval = std::chrono::milliseconds{250};
/// Interval at which it is checked whether such a replica, once it has left the directory, can
/// still be reached. Each check costs a connection.
constexpr Duration kReachabilityCheckInterval = std::chrono::seconds{1};
/// Timeout of the first event: the sum of the forecast and of the route's objective, each
/// multiplied by its factor.
constexpr double kObjectiveTimeoutFactor = 1.2;
constexpr double kForecastTimeoutFactor = 2.0;
/// Timeout of a response that isn't streamed, as a multiple of the route's objective.
constexpr double kCallTimeoutFactor = 0.8;

} // namespace

std::string_view RequestHandler::firstDeadline() const
{
    if (!hasDeadlines())
        return "none";
    const TimePoint own = std::min(m_callerDeadline, m_routeDeadline);
    if (m_state.drainDeadline() && *m_state.drainDeadline() < own)
        return "drain";
    return m_callerDeadline <= m_routeDeadline ? "caller" : "route";
}

Duration RequestHandler::expectedDuration() const
{
    const bool failsOtherwise = m_hasSentHead || m_possibleExecutions > 0 || runningAttempts() > 0;
    if (failsOtherwise)
        return Duration::zero();
    const Duration left = timeLeft();
    const auto longest = m_state.durations.longest(m_route->name, m_state.clock.now());
    if (!longest)
        return left;
    return std::min(left, fromSeconds(kDurationMargin * toSeconds(*longest)));
}

void RequestHandler::recordDuration()
{
    if (m_reachedAttempts == 0)
        return;
    const TimePoint now = m_state.clock.now();
    m_state.durations.record(m_route->name, now - m_arrivedAt - m_queueTime, now);
}

bool RequestHandler::hasTimeForRetry() const
{
    return m_state.clock.now() + SuspectTracker::kMaxCheckWait < deadline();
}

bool RequestHandler::couldRetry() const
{
    const std::uint32_t running = std::max(runningAttempts(), 1U);
    return m_route->isRetryable() && m_possibleExecutions + running < maxExecutions();
}

TimePoint RequestHandler::firstEventDeadline(const DispatchGrant &grant) const
{
    if (!couldRetry())
        return deadline();
    const double objective = toSeconds(m_route->objective);
    const double seconds = m_route->kind == RetryKind::Stream
        ? kForecastTimeoutFactor * toSeconds(grant.forecast) + kObjectiveTimeoutFactor * objective
        : kCallTimeoutFactor * objective;
    const Duration firstEventTimeout = std::max(kMinFirstEventTimeout, fromSeconds(seconds));
    return std::min(deadline(), m_state.clock.now() + firstEventTimeout);
}

std::optional<TimePoint> RequestHandler::extendDeadline(const DispatchGrant &grant) const
{
    const TimePoint now = m_state.clock.now();
    const ServiceSpec *service = m_table->service(m_service);
    if (!service || !service->engine || now >= deadline() || grant.isRelay())
        return std::nullopt;
    const double slowdown = m_state.health.slowdown(grant.replica.incarnation());
    const PassState pass =
        passState(*service->engine, m_state.load.of(grant.replica.id), slowdown, now);
    const double prefillsMs = pass.currentPassRemainderMs + pass.waitingPrefillMs;
    if (prefillsMs <= toMilliseconds(kPrefillTimeoutMargin))
        return std::nullopt;
    const Duration extension = fromMilliseconds(kPrefillTimeoutFactor * prefillsMs);
    return std::min(deadline(), now + extension + kPrefillTimeoutMargin);
}

void RequestHandler::setFirstEventDeadline(UpstreamAttempt &attempt, const DispatchGrant &grant)
{
    const TimePoint now = m_state.clock.now();
    const Duration prefillTimeout = fromSeconds(kPrefillTimeoutFactor * toSeconds(grant.forecast));
    m_expectedPrefillEnd = now + prefillTimeout + kPrefillTimeoutMargin;
    m_firstEventDeadline = firstEventDeadline(grant);
    attempt.expireAt(std::min(now + kDirectoryCheckInterval, m_firstEventDeadline));
}

bool RequestHandler::isLateAndRemoved(const DispatchGrant &grant) const
{
    return couldRetry() && m_state.clock.now() >= m_expectedPrefillEnd
        && m_state.directory.wasRemovedOrReplaced(grant.replica.incarnation());
}

bool RequestHandler::isUnreachable(const UpstreamAttempt &attempt, const DispatchGrant &grant) const
{
    const auto since = m_state.suspects.unreachableSince(grant.replica.incarnation());
    return since && attempt.sentAt() < *since;
}

bool RequestHandler::isReplicaGone(const UpstreamAttempt &attempt, const DispatchGrant &grant)
{
    if (grant.isRelay())
        return !m_state.relayPeers.isResponsive(grant.relayVm);
    const ReplicaIncarnation incarnation = grant.replica.incarnation();
    // Memory at helpers has to be released sooner than the list drops a replica.
    const bool holdsMemory = !grant.helpers.empty();
    const bool mayHaveEnded = m_state.directory.wasRemovedOrReplaced(incarnation)
        || (holdsMemory && m_state.heartbeats.isOverdue(incarnation, m_state.clock.now()));
    if (!mayHaveEnded)
        return false;
    // Some replicas leave without notice and still serve for a while; only one that can't be
    // reached either has ended.
    if (m_state.suspects.unreachableSince(incarnation))
        return isUnreachable(attempt, grant);
    const TimePoint now = m_state.clock.now();
    if (now >= m_nextReachabilityCheck) {
        m_nextReachabilityCheck = now + kReachabilityCheckInterval;
        m_state.suspects.startCheck(grant.replica);
    }
    return false;
}

std::optional<TimePoint> RequestHandler::nextFirstEventCheck(UpstreamAttempt &attempt,
                                                             const DispatchGrant &grant)
{
    const TimePoint now = m_state.clock.now();
    // A drain may have begun since the attempt was sent.
    const bool isOver = now >= deadline();
    if (isOver || isReplicaGone(attempt, grant))
        return std::nullopt;
    if (isLateAndRemoved(grant))
        return onLate(attempt, grant);
    if (now < m_firstEventDeadline)
        return std::min({m_firstEventDeadline, deadline(), now + kDirectoryCheckInterval});
    return nextEventCheck(attempt, grant);
}

TimePoint RequestHandler::nextEventDeadline() const
{
    if (!couldRetry())
        return deadline();
    const Duration timeout =
        fromSeconds(kEventGapTimeoutFactor * toSeconds(m_route->eventGapObjective));
    return std::min(deadline(), m_state.clock.now() + std::max(kMinEventGapTimeout, timeout));
}

std::optional<TimePoint> RequestHandler::nextEventCheck(UpstreamAttempt &attempt,
                                                        const DispatchGrant &grant)
{
    if (const auto extended = extendDeadline(grant))
        return extended;
    return onLate(attempt, grant);
}

std::optional<TimePoint> RequestHandler::onLate(UpstreamAttempt &attempt,
                                                const DispatchGrant &grant)
{
    const TimePoint now = m_state.clock.now();
    if (now >= deadline() || !attempt.wasReached())
        return std::nullopt;
    if (!attempt.wasLate()) {
        recordLateness(attempt, grant);
        attempt.setWasLate();
    }
    if (!m_hasSentHead && isUnreachable(attempt, grant))
        return std::nullopt;
    startBackup(grant.replica.incarnation());
    return std::min(deadline(), now + kBackupInterval);
}

void RequestHandler::recordLateness(const UpstreamAttempt &attempt, const DispatchGrant &grant)
{
    if (grant.isRelay())
        return;
    const TimePoint now = m_state.clock.now();
    m_state.health.onFailure(grant.replica.incarnation(), now);
    m_state.suspects.onLost(grant.replica, m_identity, attempt.progress(), attempt.sentAt());
    if (attempt.status() == 0)
        m_state.zones.onUnresponsive(grant.replica.zone, grant.replica.id, now);
}

} // namespace arbutuspier
