// The part of RequestHandler that runs one attempt: sends the request to a replica, and updates the
// health of the replica by the outcome.
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
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

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
    return callerRequest(platform::upstreamFields(m_request.base(), head));
}

UpstreamAttempt::Request RequestHandler::callerRequest(platform::Fields fields) const
{
    UpstreamAttempt::Request request;
    static_cast<http::fields &>(request.base()) = std::move(fields);
    request.version(m_request.version());
    request.method_string(m_request.method_string());
    request.target(m_request.target());
    request.body() = {m_request.body().data(), m_request.body().size()};
    const bool hasBody = !m_request.body().empty() || m_request.has_content_length();
    if (hasBody)
        request.content_length(m_request.body().size());
    return request;
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

bool RequestHandler::wasEvacuated(const DispatchGrant &grant) const
{
    const auto isInEvacuatedZone = [this](const HelperAssignment &helper) {
        return m_state.directory.isEvacuated(helper.replica);
    };
    if (grant.isRelay())
        return false;
    return m_state.directory.isEvacuated(grant.replica)
        || std::any_of(grant.helpers.begin(), grant.helpers.end(), isInEvacuatedZone);
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
    // It may have left, or asked for rest, while memory was reserved.
    const ReplicaIncarnation incarnation = grant.replica.incarnation();
    const bool isUsable = grant.isRelay()
        || (m_state.directory.isUsable(incarnation)
            && !m_state.rests.isResting(incarnation, m_state.clock.now()));
    if (wasEvacuated(grant)) {
        // It is placed anew, as after a reservation that was refused.
        ++m_failedReservations;
        // Nothing was sent to it, and a zone less may leave no other with the memory.
        m_triedReplicas.erase(grant.replica.id);
        m_state.metrics.incrementCounter("evacuated_requests", "placed-anew");
        co_return AttemptOutcome::NotExecuted;
    }
    if (isQuarantined() || !isUsable)
        co_return AttemptOutcome::NotExecuted;
    UpstreamAttempt attempt(m_state.executor, m_state.pool, incarnation);
    m_currentAttempt = &attempt;
    m_currentReplica = grant.replica.id;
    setFirstEventDeadline(attempt, grant);
    attempt.onExpiry = [this, &attempt, &grant] { return nextFirstEventCheck(attempt, grant); };
    const auto sent = co_await send(attempt, grant, reserved.reservationIds);
    const AttemptOutcome outcome = co_await readResponse(sent, attempt, grant);
    m_currentAttempt = nullptr;
    onAttemptEnded(outcome, attempt, grant);
    releaseConnection(attempt, outcome);
    co_return outcome;
}

void RequestHandler::releaseConnection(UpstreamAttempt &attempt, AttemptOutcome outcome)
{
    const bool mayBeSentAgain = outcome != AttemptOutcome::Completed;
    attempt.release(m_state.clock.now(), isForThisRequest(attempt), mayBeSentAgain);
}

Task<UpstreamAttempt::SendResult> RequestHandler::send(
    UpstreamAttempt &attempt, const DispatchGrant &grant,
    const std::vector<std::string> &reservationIds)
{
    const bool isAtMostOnce = m_route->kind == RetryKind::AtMostOnce;
    const UpstreamAttempt::Request request =
        grant.isRelay() ? relayRequest() : upstreamRequest(grant, reservationIds);
    if (grant.isRelay())
        attempt.setLocalHost(m_state.settings.relays.host);
    attempt.setRequestId(m_head.requestId);
    attempt.setSentAt(m_state.clock.now());
    const auto sent =
        co_await attempt.send(request, grant.replica.address, isAtMostOnce, kConnectTimeout);
    m_reachedAttempts += reachedAttempts(attempt, grant);
    if (grant.isRelay())
        co_return sent;
    if (attempt.usedNewConnection())
        m_state.metrics.incrementCounter("connections", m_service);
    if (attempt.usedNewConnection() && attempt.wasReached())
        m_state.paths.onConnected(grant.replica);
    if (sent == UpstreamAttempt::SendResult::GotHead)
        recordResponseHead(attempt, grant.replica.incarnation());
    co_return sent;
}

void RequestHandler::recordResponseHead(const UpstreamAttempt &attempt,
                                        const ReplicaIncarnation &incarnation)
{
    const platform::ResponseHead &head = attempt.head();
    // A response to another request may be that of another process.
    if (head.requestId == m_head.requestId) {
        m_state.recordRest(incarnation, head);
        if (head.isLeaving)
            m_state.recordLeaving(incarnation);
    }
    m_state.recordRequestLimit(incarnation, head, isValidResponse(attempt), attempt.sentAt());
    if (isValidResponse(attempt))
        m_state.recordColdLeft(incarnation, head);
}

void RequestHandler::onAttemptEnded(AttemptOutcome outcome, const UpstreamAttempt &attempt,
                                    const DispatchGrant &grant)
{
    if (grant.isRelay()) {
        onRelayEnded(outcome, attempt, grant);
        return;
    }
    if (attempt.status() != 0)
        m_state.recordResponse(grant.replica);
    switch (outcome) {
    case AttemptOutcome::Completed:
        recordHealth(attempt, grant);
        // An error response doesn't show that the replica executed the request.
        if (isSuccessStatus(attempt.status()))
            m_state.suspects.onCompleted(grant.replica, m_identity);
        return;
    case AttemptOutcome::CallerDisconnected:
        m_possibleExecutions += attempt.wasReached() ? 1 : 0;
        if (attempt.wasReached() && attempt.status() == 0)
            m_state.suspects.onAbandoned(grant.replica, m_identity, attempt.sentAt());
        if (!m_wasLogged)
            log("caller-gone", "in-flight");
        return;
    case AttemptOutcome::Superseded:
        m_possibleExecutions += attempt.wasReached() ? 1 : 0;
        if (attempt.wasReached() && attempt.status() == 0)
            m_state.suspects.onAbandoned(grant.replica, m_identity, attempt.sentAt());
        break;
    case AttemptOutcome::NotExecuted:
        onNotExecuted(attempt, grant);
        break;
    case AttemptOutcome::Failed:
        ++m_possibleExecutions;
        m_state.recordFailure(grant.replica);
        break;
    case AttemptOutcome::Lost:
        onLost(attempt, grant);
        break;
    }
    logAttempt(outcome, attempt, grant);
}

void RequestHandler::recordHealth(const UpstreamAttempt &attempt, const DispatchGrant &grant)
{
    // A sound replica responds so too, if it is overloaded or at the deadline that it was given.
    const bool isOfLoad = attempt.status() == kUnavailable || attempt.status() == kGatewayTimeout;
    if (isOfLoad)
        return;
    if (isServerErrorStatus(attempt.status()))
        m_state.recordFailure(grant.replica);
    else if (m_joiner)
        // The peers know of its first event already.
        m_state.health.onSuccess(grant.replica.incarnation(), 0);
    else
        m_state.recordSuccess(grant.replica, 0);
}

void RequestHandler::onNotExecuted(const UpstreamAttempt &attempt, const DispatchGrant &grant)
{
    m_canSplit = m_canSplit && grant.helpers.empty();
    if (attempt.wasReached() && attempt.status() == kMisdirected) {
        m_state.recordReplaced(grant.replica);
    } else if (attempt.wasReached()) {
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
    m_lastLostReplica = grant.replica.incarnation();
    m_canSplit = m_canSplit && grant.helpers.empty();
    if (!attempt.wasLate())
        m_state.recordFailure(grant.replica);
    m_state.suspects.onLost(grant.replica, m_identity, attempt.progress(), attempt.sentAt());
    if (attempt.hasExpired() && !attempt.wasLate() && attempt.status() == 0)
        m_state.zones.onUnresponsive(grant.replica.zone, grant.replica.id, now);
}

void RequestHandler::logAttempt(AttemptOutcome outcome, const UpstreamAttempt &attempt,
                                const DispatchGrant &grant)
{
    LogLine line("attempt_failed");
    line.add("request", m_head.requestId)
        .add("fingerprint", m_identity.fingerprint.value)
        .add("replica", grant.replica.id)
        .add("born", static_cast<std::uint64_t>(grant.replica.startedAtMs))
        .add("end", outcomeName(outcome))
        .add("status", static_cast<std::uint64_t>(attempt.status()))
        .add("cause", attempt.cause())
        .add("expired", attempt.hasExpired() ? "yes" : "no")
        .add("reached", attempt.wasReached() ? "yes" : "no")
        .add("helpers", grant.helpers.size())
        .add("at_fault", attempt.head().faultyAddress)
        .addSeconds("since_arrival", toSeconds(m_state.clock.now() - m_arrivedAt))
        .add("deadline", firstDeadline())
        .addSeconds("left", toSeconds(deadline() - m_state.clock.now()));
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
    case AttemptOutcome::Superseded:
        return "superseded";
    }
    return "lost";
}

} // namespace arbutuspier
