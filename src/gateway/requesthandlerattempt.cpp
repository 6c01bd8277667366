// The part of RequestHandler that runs one attempt: sends the request to a replica, reads the
// response, and updates the health of the replica by the outcome.
#include "gateway/requesthandler.h"

#include "arbutuspier/forecast.h"
#include "kernel/httpstatus.h"
#include "kernel/logline.h"

#include <glog/logging.h>

#include <algorithm>

namespace arbutuspier {

namespace http = boost::beast::http;

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds{150};
/// Shortest timeout of the first event after which an attempt is given up for a retry.
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
/// Longest response that isn't streamed. Several have to fit into a VM's memory at once.
constexpr std::size_t kMaxResponseBytes = 8 * 1024 * 1024;
constexpr int kServerError = 500;
constexpr int kOk = 200;

} // namespace

std::vector<ReservationPart> RequestHandler::reservationParts(const DispatchGrant &grant) const
{
    std::vector<ReservationPart> parts;
    for (std::size_t i = 0; i < grant.helpers.size(); ++i) {
        const HelperAssignment &helper = grant.helpers[i];
        if (helper.reservedTokens > 0)
            parts.push_back({helper.replica, helper.reservedTokens,
                             m_head.requestId + '-' + std::to_string(grant.activeRequestId) + '-'
                                 + std::to_string(i)});
    }
    return parts;
}

UpstreamAttempt::Request RequestHandler::upstreamRequest(
    const DispatchGrant &grant, const std::vector<std::string> &reservationIds) const
{
    platform::UpstreamHead head;
    head.timeLeft = timeLeft();
    head.replicaId = grant.replica.id;
    head.team = m_team;
    if (m_joiner)
        head.lastEventId = m_joiner->lastId();
    for (std::size_t i = 0; i < grant.helpers.size(); ++i)
        head.helpers.push_back({grant.helpers[i].replica.address, reservationIds[i]});
    UpstreamAttempt::Request request;
    static_cast<http::fields &>(request.base()) = platform::upstreamFields(m_request.base(), head);
    request.version(m_request.version());
    request.method_string(m_request.method_string());
    request.target(m_request.target());
    request.body() = m_request.body();
    const bool hasBody = !m_request.body().empty() || m_request.has_content_length();
    if (hasBody)
        request.content_length(m_request.body().size());
    return request;
}

bool RequestHandler::couldRetry() const
{
    return m_route->isRetryable() && m_possibleExecutions + 1 < m_route->maxAttempts;
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

void RequestHandler::recordAttempt(const DispatchGrant &grant)
{
    m_expectedFirstEvent = m_state.clock.now() - m_arrivedAt + grant.forecast;
    if (!m_attemptedReplicas.empty())
        m_attemptedReplicas += ',';
    m_attemptedReplicas += grant.replica.id;
    if (!grant.helpers.empty())
        m_attemptedReplicas += '+' + std::to_string(grant.helpers.size());
}

std::optional<TimePoint> RequestHandler::extendDeadline(const DispatchGrant &grant) const
{
    const TimePoint now = m_state.clock.now();
    const ServiceSpec *service = m_table->service(m_service);
    if (!service || !service->engine || now >= deadline())
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

bool RequestHandler::isReplicaGone(const DispatchGrant &grant)
{
    const ReplicaIncarnation incarnation = grant.replica.incarnation();
    if (!m_state.directory.wasRemovedOrReplaced(incarnation))
        return false;
    if (couldRetry() && m_state.clock.now() >= m_expectedPrefillEnd)
        return true;
    // Some replicas leave without notice and still serve for a while; only one that can't be
    // reached either has ended.
    const auto unreachableSince = m_state.suspects.unreachableSince(incarnation);
    if (unreachableSince)
        return m_sentAt < *unreachableSince;
    const TimePoint now = m_state.clock.now();
    if (now >= m_nextReachabilityCheck) {
        m_nextReachabilityCheck = now + kReachabilityCheckInterval;
        m_state.suspects.startCheck(grant.replica);
    }
    return false;
}

std::optional<TimePoint> RequestHandler::nextFirstEventCheck(const DispatchGrant &grant)
{
    if (isReplicaGone(grant))
        return std::nullopt;
    const TimePoint now = m_state.clock.now();
    if (now < m_firstEventDeadline)
        return std::min(m_firstEventDeadline, now + kDirectoryCheckInterval);
    return extendDeadline(grant);
}

Task<bool> RequestHandler::reserveMemory(const DispatchGrant &grant, ReservedMemory &reserved)
{
    reserved.reservationIds.resize(grant.helpers.size());
    std::vector<ReservationPart> parts = reservationParts(grant);
    if (parts.empty())
        co_return true;
    std::size_t next = 0;
    for (std::size_t i = 0; i < grant.helpers.size(); ++i) {
        if (grant.helpers[i].reservedTokens > 0)
            reserved.reservationIds[i] = parts[next++].id;
    }
    reserved.reservation = co_await MemoryReservation::acquire(m_state, std::move(parts));
    co_return reserved.reservation != nullptr;
}

Task<RequestHandler::AttemptOutcome> RequestHandler::attempt(const DispatchGrant &grant)
{
    if (m_caller.isDisconnected()) {
        log("caller-gone", "before-send");
        co_return AttemptOutcome::CallerDisconnected;
    }
    // It may have crashed a replica for another caller while it waited.
    if (isQuarantined())
        co_return AttemptOutcome::NotExecuted;
    m_triedReplicas.insert(grant.replica.id);
    recordAttempt(grant);
    ReservedMemory reserved;
    if (!co_await reserveMemory(grant, reserved)) {
        ++m_failedReservations;
        co_return AttemptOutcome::NotExecuted;
    }
    if (isQuarantined())
        co_return AttemptOutcome::NotExecuted;
    UpstreamAttempt attempt(m_state.executor, m_state.pool, grant.replica.incarnation());
    m_currentAttempt = &attempt;
    setFirstEventDeadline(attempt, grant);
    attempt.onExpiry = [this, &grant] { return nextFirstEventCheck(grant); };
    const bool isAtMostOnce = m_route->kind == RetryKind::AtMostOnce;
    const UpstreamAttempt::Request request = upstreamRequest(grant, reserved.reservationIds);
    m_sentAt = m_state.clock.now();
    m_hasAttemptOutput = false;
    const auto sent =
        co_await attempt.send(request, grant.replica.address, isAtMostOnce, kConnectTimeout);
    if (attempt.usedNewConnection())
        m_state.metrics.incrementCounter("connections", m_service);
    if (attempt.wasReached())
        ++m_reachedAttempts;
    const AttemptOutcome outcome = co_await readResponse(sent, attempt, grant);
    m_currentAttempt = nullptr;
    onAttemptEnded(outcome, attempt, grant);
    attempt.release(m_state.clock.now());
    co_return outcome;
}

Task<RequestHandler::AttemptOutcome> RequestHandler::readResponse(UpstreamAttempt::SendResult sent,
                                                                  UpstreamAttempt &attempt,
                                                                  const DispatchGrant &grant)
{
    if (m_caller.isDisconnected())
        co_return AttemptOutcome::CallerDisconnected;
    if (sent == UpstreamAttempt::SendResult::NotConnected)
        co_return AttemptOutcome::NotExecuted;
    if (sent == UpstreamAttempt::SendResult::NoResponse)
        co_return AttemptOutcome::Lost;
    const bool isStream = m_joiner && attempt.status() == kOk && !attempt.head().isNotExecuted;
    if (isStream)
        co_return co_await readStream(attempt, grant);
    co_return co_await readFullResponse(attempt);
}

bool RequestHandler::isValidResponse(const UpstreamAttempt &attempt) const
{
    const platform::ResponseHead &head = attempt.head();
    const bool isForThisRequest = head.requestId == m_head.requestId;
    return isForThisRequest && !head.isEncoded && head.isSigned;
}

Task<RequestHandler::AttemptOutcome> RequestHandler::readFullResponse(UpstreamAttempt &attempt)
{
    std::string body;
    UpstreamAttempt::ReadProgress progress = UpstreamAttempt::ReadProgress::More;
    while (progress == UpstreamAttempt::ReadProgress::More && body.size() <= kMaxResponseBytes)
        progress = co_await attempt.read(body);
    if (m_caller.isDisconnected())
        co_return AttemptOutcome::CallerDisconnected;
    if (attempt.head().isNotExecuted)
        co_return AttemptOutcome::NotExecuted;
    if (progress != UpstreamAttempt::ReadProgress::Complete || !isValidResponse(attempt))
        co_return AttemptOutcome::Lost;
    const bool isFailure = attempt.status() >= kServerError;
    if (isFailure && couldRetry() && !m_hasSentHead)
        co_return AttemptOutcome::Failed;
    if (m_hasSentHead)
        co_return AttemptOutcome::Lost;
    m_timeToFirstEvent = m_state.clock.now() - m_arrivedAt;
    const bool isSent = co_await m_caller.sendResponse(
        attempt.status(), platform::callerFields(attempt.fields()), std::move(body));
    log(isSent ? "answered" : "caller-gone", std::to_string(attempt.status()));
    co_return isSent ? AttemptOutcome::Completed : AttemptOutcome::CallerDisconnected;
}

Task<bool> RequestHandler::forwardEvents(UpstreamAttempt &attempt, const std::string &events)
{
    const TimePoint now = m_state.clock.now();
    if (m_hasSentHead)
        m_longestGap = std::max(m_longestGap, now - m_lastEventAt);
    m_lastEventAt = now;
    if (!m_hasSentHead) {
        m_hasSentHead = true;
        m_timeToFirstEvent = now - m_arrivedAt;
        const bool isSent = co_await m_caller.sendStreamHead(
            attempt.status(), platform::callerFields(attempt.fields()));
        if (!isSent)
            co_return false;
    }
    co_return co_await m_caller.sendChunk(events);
}

void RequestHandler::onFirstEvent(const DispatchGrant &grant)
{
    m_state.dispatchQueue.beginDecode(grant.activeRequestId);
    const Duration timeToFirstEvent = m_state.clock.now() - m_sentAt;
    const bool showsSlowdown = grant.wasIdle && grant.forecast > Duration::zero();
    const double ratio =
        showsSlowdown ? toSeconds(timeToFirstEvent) / toSeconds(grant.forecast) : 0;
    m_state.health.onSuccess(grant.replica.incarnation(), ratio);
}

TimePoint RequestHandler::nextEventDeadline() const
{
    if (!couldRetry())
        return deadline();
    const Duration timeout =
        fromSeconds(kEventGapTimeoutFactor * toSeconds(m_route->eventGapObjective));
    return std::min(deadline(), m_state.clock.now() + std::max(kMinEventGapTimeout, timeout));
}

Task<RequestHandler::AttemptOutcome> RequestHandler::readStream(UpstreamAttempt &attempt,
                                                                const DispatchGrant &grant)
{
    if (!isValidResponse(attempt))
        co_return AttemptOutcome::Lost;
    bool isDecoding = false;
    m_joiner->beginAttempt();
    UpstreamAttempt::ReadProgress progress = UpstreamAttempt::ReadProgress::More;
    while (progress == UpstreamAttempt::ReadProgress::More) {
        std::string bytes;
        progress = co_await attempt.read(bytes);
        if (m_caller.isDisconnected())
            co_return AttemptOutcome::CallerDisconnected;
        const auto events = m_joiner->feed(bytes);
        if (!events)
            co_return AttemptOutcome::Lost;
        if (events->empty())
            continue;
        if (!isDecoding) {
            onFirstEvent(grant);
            // A removed replica may still finish its stream, so from now on only the inter-event
            // gap counts, not whether the directory lists the replica.
            attempt.onExpiry = [this, &grant] { return extendDeadline(grant); };
        }
        isDecoding = true;
        m_hasAttemptOutput = true;
        if (!co_await forwardEvents(attempt, *events))
            co_return AttemptOutcome::CallerDisconnected;
        attempt.expireAt(nextEventDeadline());
    }
    const bool isComplete =
        progress == UpstreamAttempt::ReadProgress::Complete && m_joiner->isAtEventBoundary();
    if (!isComplete || !m_hasSentHead)
        co_return AttemptOutcome::Lost;
    if (!co_await m_caller.sendLastChunk())
        co_return AttemptOutcome::CallerDisconnected;
    log("answered", std::to_string(attempt.status()));
    co_return AttemptOutcome::Completed;
}

void RequestHandler::onAttemptEnded(AttemptOutcome outcome, const UpstreamAttempt &attempt,
                                    const DispatchGrant &grant)
{
    if (attempt.status() != 0)
        m_state.recordResponse(grant.replica);
    switch (outcome) {
    case AttemptOutcome::Completed:
        m_state.health.onSuccess(grant.replica.incarnation(), 0);
        // An error response doesn't show that the replica executed the request.
        if (isSuccessStatus(attempt.status()))
            m_state.suspects.onCompleted(grant.replica, m_fingerprint);
        return;
    case AttemptOutcome::CallerDisconnected:
        m_possibleExecutions += attempt.wasReached() ? 1 : 0;
        if (attempt.wasReached() && attempt.status() == 0)
            m_state.suspects.onAbandoned(grant.replica, m_fingerprint, m_sentAt);
        if (!m_wasLogged)
            log("caller-gone", "in-flight");
        return;
    case AttemptOutcome::NotExecuted:
        onNotExecuted(attempt, grant);
        break;
    case AttemptOutcome::Failed:
        ++m_possibleExecutions;
        m_state.health.onFailure(grant.replica.incarnation(), m_state.clock.now());
        break;
    case AttemptOutcome::Lost:
        onLost(attempt, grant);
        break;
    }
    logAttempt(outcome, attempt, grant);
}

void RequestHandler::onNotExecuted(const UpstreamAttempt &attempt, const DispatchGrant &grant)
{
    m_canSplit = m_canSplit && grant.helpers.empty();
    if (attempt.wasReached()) {
        m_state.health.onFailure(grant.replica.incarnation(), m_state.clock.now());
    } else if (!attempt.hasExpired()) {
        ++m_unreachableAttempts;
        m_state.recordUnreachable(grant.replica);
    }
}

void RequestHandler::onLost(const UpstreamAttempt &attempt, const DispatchGrant &grant)
{
    const TimePoint now = m_state.clock.now();
    ++m_possibleExecutions;
    m_canSplit = m_canSplit && grant.helpers.empty();
    m_state.health.onFailure(grant.replica.incarnation(), now);
    m_state.suspects.onLost(grant.replica, {m_fingerprint, m_hasAttemptOutput}, m_sentAt);
    if (attempt.hasExpired() && attempt.status() == 0)
        m_state.zones.onUnresponsive(grant.replica.zone, grant.replica.id, now);
}

void RequestHandler::logAttempt(AttemptOutcome outcome, const UpstreamAttempt &attempt,
                                const DispatchGrant &grant)
{
    LogLine line("attempt_failed");
    line.add("request", m_head.requestId)
        .add("fingerprint", m_fingerprint.value)
        .add("replica", grant.replica.id)
        .add("born", static_cast<std::uint64_t>(grant.replica.startedAtMs))
        .add("end", outcomeName(outcome))
        .add("status", static_cast<std::uint64_t>(attempt.status()))
        .add("expired", attempt.hasExpired() ? "yes" : "no")
        .add("reached", attempt.wasReached() ? "yes" : "no")
        .add("helpers", grant.helpers.size())
        .add("at_fault", attempt.head().faultyAddress)
        .addSeconds("since_arrival", toSeconds(m_state.clock.now() - m_arrivedAt));
    LOG(INFO) << line.text();
}

std::string_view RequestHandler::outcomeName(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Completed:
        return "answered";
    case AttemptOutcome::NotExecuted:
        return "not-run";
    case AttemptOutcome::Failed:
        return "failed";
    case AttemptOutcome::Lost:
        return "lost";
    case AttemptOutcome::CallerDisconnected:
        return "caller-gone";
    }
    return "lost";
}

} // namespace arbutuspier
