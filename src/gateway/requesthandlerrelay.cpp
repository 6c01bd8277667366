// The part of RequestHandler that has a peer send the request to a replica, while this VM has no
// path to the replicas, and that serves requests of such peers.
//
// A relay is one attempt of the request: the peer makes one that may be executed, and the VM that
// the caller sent the request to decides on all others. A relayed request is never relayed again.
#include "gateway/requesthandler.h"

#include <algorithm>

namespace arbutuspier {

namespace {

constexpr int kUnavailable = 503;
constexpr Duration kMaxConfigurationWait = std::chrono::milliseconds{300};
constexpr Duration kConfigurationCheckInterval = std::chrono::milliseconds{15};
/// Forecast of the time to first event over a peer, as a fraction of the route's objective.
constexpr double kRelayForecastFraction = 0.5;

} // namespace

Task<void> RequestHandler::awaitConfiguration()
{
    const auto isCurrent = [this] {
        return m_state.routes() && m_state.routes()->version() >= m_relay->configVersion;
    };
    const TimePoint end = m_state.clock.now() + kMaxConfigurationWait;
    asio::steady_timer timer(m_state.executor);
    while (!isCurrent() && m_state.clock.now() < end && !m_caller.isDisconnected()) {
        timer.expires_after(kConfigurationCheckInterval);
        co_await timer.async_wait(kAwait);
    }
    m_table = m_state.routes();
}

Task<bool> RequestHandler::rejectRelay()
{
    // Without a time, as the peer can ask another VM at once and its caller can't.
    if (m_state.isDraining()) {
        co_await reject(kUnavailable, "draining", std::nullopt);
        co_return true;
    }
    m_isAcceptedRelay = m_state.relayPeers.tryAccept();
    if (!m_isAcceptedRelay) {
        co_await reject(kUnavailable, "no-room", std::nullopt);
        co_return true;
    }
    co_await awaitConfiguration();
    const bool isOlder = !m_table || m_table->version() < m_relay->configVersion;
    if (!isOlder)
        co_return false;
    m_state.relayPeers.endAccepted();
    m_isAcceptedRelay = false;
    co_await reject(kUnavailable, "older-configuration", std::nullopt);
    co_return true;
}

bool RequestHandler::shouldRelay() const
{
    if (m_relay || m_state.settings.relays.port == 0)
        return false;
    if (m_state.paths.isLost(m_service))
        return m_refusedRelays < kMaxRefusedRelays;
    return m_unreachableAttempts >= kMaxUnreachableBeforeRelay && m_refusedRelays == 0;
}

bool RequestHandler::mayTryElsewhere() const
{
    // The VM that relayed the request can ask another peer.
    if (m_relay)
        return m_unreachableAttempts < kMaxUnreachableBeforeRelay;
    // A peer knows the load of all replicas, so that another one would refuse the request too.
    if (m_wasRefusedByPeer)
        return false;
    if (m_refusedRelays > 0 && m_state.paths.isLost(m_service))
        return shouldRelay() && m_state.relayPeers.knowsPath(m_service, m_state.clock.now());
    return m_unreachableAttempts < kMaxUnreachableAttempts;
}

std::optional<DispatchGrant> RequestHandler::relayGrant()
{
    const TimePoint now = m_state.clock.now();
    auto peer = m_state.relayPeers.choose(m_service, m_triedVms, now);
    // A peer that this request was relayed to before is better than none.
    if (!peer)
        peer = m_state.relayPeers.choose(m_service, {}, now);
    if (!peer)
        return std::nullopt;
    m_triedVms.insert(peer->vm);
    m_state.relayPeers.onStart(peer->vm);
    DispatchGrant grant;
    grant.relayVm = peer->vm;
    grant.replica.id = "vm:" + peer->vm;
    grant.replica.service = m_service;
    grant.replica.address = Address{peer->host, m_state.settings.relays.port}.text();
    grant.forecast = fromSeconds(kRelayForecastFraction * toSeconds(m_route->objective));
    return grant;
}

Task<DispatchResult> RequestHandler::acquire()
{
    DispatchResult result;
    if (shouldRelay() && m_state.dispatchQueue.endsBeforeStop(expectedDuration()))
        result.grant = relayGrant();
    if (result.grant)
        co_return result;
    m_ticket = m_state.dispatchQueue.makeTicket(requirements());
    result = co_await m_state.dispatchQueue.acquire(m_ticket);
    m_ticket.reset();
    const bool hasNoPath = !result.grant && result.rejection == DispatchRejection::NoReplica
        && m_state.paths.isLost(m_service);
    if (hasNoPath)
        result.rejection = DispatchRejection::NoPath;
    co_return result;
}

void RequestHandler::endGrant(const DispatchGrant &grant)
{
    if (grant.isRelay())
        m_state.relayPeers.onEnd(grant.relayVm);
    else
        m_state.dispatchQueue.end(grant.activeRequestId);
}

UpstreamAttempt::Request RequestHandler::relayRequest() const
{
    platform::Fields fields =
        platform::relayFields(m_request.base(), deadline() - m_state.clock.now(),
                              m_joiner ? m_joiner->lastId() : std::nullopt);
    setRelayHead(fields, {m_table->version(), m_reachedAttempts});
    return callerRequest(std::move(fields));
}

std::uint32_t RequestHandler::reachedAttempts(UpstreamAttempt &attempt, const DispatchGrant &grant)
{
    const std::uint32_t reached = attempt.wasReached() ? 1 : 0;
    if (!grant.isRelay() || attempt.status() == 0)
        return reached;
    const RelayReport report =
        takeRelayReport(attempt.fields()).value_or(RelayReport{reached, false});
    if (isRefusal(attempt))
        recordRefusedRelay(report, attempt.head(), grant);
    return report.reachedAttempts;
}

void RequestHandler::recordRefusedRelay(const RelayReport &report,
                                        const platform::ResponseHead &head,
                                        const DispatchGrant &grant)
{
    if (report.isPeerUnable)
        m_state.relayPeers.onFailure(grant.relayVm, m_state.clock.now());
    else
        m_wasRefusedByPeer = true;
    if (head.rest)
        m_peerRetryAfter = std::min(m_peerRetryAfter.value_or(*head.rest), *head.rest);
}

std::uint32_t RequestHandler::reachedAttemptsHere() const
{
    return m_relay ? m_reachedAttempts - m_relay->reachedAttempts : m_reachedAttempts;
}

RelayReport RequestHandler::relayReport() const
{
    const bool isPathBroken =
        m_state.paths.isLost(m_service) || m_unreachableAttempts >= kMaxUnreachableBeforeRelay;
    // Replicas ask each VM for rest by itself.
    const bool mustAllRest = m_state.dispatchQueue.allRestUntil(m_service).has_value();
    const bool isUnable = !m_isAcceptedRelay || isPathBroken || mustAllRest || m_state.isDraining();
    return {reachedAttemptsHere(), isUnable};
}

platform::Fields RequestHandler::responseFields(const UpstreamAttempt &attempt) const
{
    platform::Fields fields = platform::callerFields(attempt.fields());
    if (m_relay)
        setRelayReport(fields, relayReport());
    return fields;
}

void RequestHandler::onRelayEnded(AttemptOutcome outcome, const UpstreamAttempt &attempt,
                                  const DispatchGrant &grant)
{
    m_state.metrics.incrementCounter("relays", std::string(outcomeName(outcome)));
    const bool mayHaveRun = outcome == AttemptOutcome::Failed || outcome == AttemptOutcome::Lost
        || (outcome != AttemptOutcome::NotExecuted && outcome != AttemptOutcome::Completed
            && attempt.wasReached());
    m_possibleExecutions += mayHaveRun ? 1 : 0;
    m_refusedRelays += outcome == AttemptOutcome::NotExecuted ? 1 : 0;
    const bool isPeerSilent = attempt.status() == 0
        && (outcome == AttemptOutcome::NotExecuted || outcome == AttemptOutcome::Lost);
    if (isPeerSilent)
        m_state.relayPeers.onFailure(grant.relayVm, m_state.clock.now());
    if (outcome == AttemptOutcome::CallerDisconnected && !m_wasLogged)
        log("caller-gone", "in-flight");
    const bool isLogged =
        outcome != AttemptOutcome::Completed && outcome != AttemptOutcome::CallerDisconnected;
    if (isLogged)
        logAttempt(outcome, attempt, grant);
}

} // namespace arbutuspier
