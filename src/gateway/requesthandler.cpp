// A request is retried only if it wasn't executed or may be executed again, within the attempts of
// its route and the retry budget of the fleet.
#include "gateway/requesthandler.h"

#include "kernel/logline.h"

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace arbutuspier {

namespace http = boost::beast::http;

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// Most attempts of a request to reserve memory at several replicas.
constexpr std::uint32_t kMaxFailedReservations = 4;
constexpr Duration kRetryWhenNotReady = std::chrono::seconds{1};
/// Sent while this VM drains. It is short, as another VM can take the request at once.
constexpr Duration kRetryWhenDraining = std::chrono::milliseconds{20};
constexpr Duration kRetryWhenNoReplica = std::chrono::milliseconds{500};
constexpr Duration kRetryWhenLarge = std::chrono::seconds{4};
/// Callers are asked to wait for at most the remaining time divided by this.
constexpr int kRetryDivisor = 3;
constexpr Duration kRetryWhenFull = std::chrono::milliseconds{300};
/// A response sent at the caller's own deadline would come too late, so the request is given up
/// this much earlier.
constexpr Duration kResponseMargin = std::chrono::milliseconds{5};
/// Fraction of the remaining time for which a call that isn't streamed waits for a slot.
constexpr double kCallWaitFraction = 0.6;

std::string_view text(beast::string_view value)
{
    return {value.data(), value.size()};
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string_view reasonOf(DispatchRejection rejection)
{
    switch (rejection) {
    case DispatchRejection::NoReplica:
        return "no-upstream";
    case DispatchRejection::NoCapacity:
        return "no-room";
    case DispatchRejection::TooLarge:
        return "too-large";
    case DispatchRejection::CannotMeetDeadline:
        return "cannot-meet-deadline";
    case DispatchRejection::RateLimited:
        return "rate-limited";
    case DispatchRejection::Resting:
        return "resting";
    case DispatchRejection::Evacuated:
        return "evacuated";
    case DispatchRejection::NoPath:
        return "no-path";
    case DispatchRejection::Draining:
        return "draining";
    case DispatchRejection::Cancelled:
        return "caller-gone";
    }
    return "no-room";
}

} // namespace

Fingerprint requestFingerprint(std::string_view target, std::string_view team,
                               std::string_view body)
{
    const std::uint64_t targetHash = XXH64(target.data(), target.size(), 0);
    const std::uint64_t teamHash = XXH64(team.data(), team.size(), targetHash);
    return Fingerprint{XXH64(body.data(), body.size(), teamHash)};
}

RequestHandler::RequestHandler(GatewayState &state, CallerConnection &caller,
                               const Request &request, std::optional<RelayHead> relay)
    : m_state(state)
    , m_caller(caller)
    , m_request(request)
    , m_head(platform::readCallerHead(request.base()))
    , m_relay(relay)
    , m_table(state.routes())
    , m_arrivedAt(state.clock.now())
    , m_backups(state.executor, state.dispatchQueue)
    , m_reachedAttempts(relay ? relay->reachedAttempts : 0)
{
    m_caller.onDisconnect = [this] {
        if (m_ticket)
            m_state.dispatchQueue.cancel(*m_ticket);
        if (m_currentAttempt)
            m_currentAttempt->cancel();
        m_backups.cancelAll();
    };
    m_caller.onDrain = [this] {
        if (m_currentAttempt)
            m_currentAttempt->expireNoLaterThan(deadline());
    };
}

RequestHandler::~RequestHandler()
{
    if (m_isAcceptedRelay)
        m_state.relayPeers.endAccepted();
    m_caller.onDisconnect = nullptr;
    m_caller.onDrain = nullptr;
}

Duration RequestHandler::timeLeft() const
{
    return std::min(m_callerDeadline, m_routeDeadline) - m_state.clock.now();
}

TimePoint RequestHandler::deadline() const
{
    // No response of the gateway can follow a stream that has begun.
    const Duration margin = m_hasSentHead ? Duration::zero() : kResponseMargin;
    const TimePoint own = std::min(m_callerDeadline, m_routeDeadline) - margin;
    return m_state.drainDeadline() ? std::min(own, *m_state.drainDeadline()) : own;
}

Task<void> RequestHandler::run()
{
    if (m_relay) {
        const bool isRejected = co_await rejectRelay();
        if (isRejected)
            co_return;
    }
    if (!m_table) {
        co_await reject(kUnavailable, "not-ready", kRetryWhenNotReady);
        co_return;
    }
    if (m_head.requestId.empty()) {
        co_await reject(kBadRequest, "no-request-id", std::nullopt);
        co_return;
    }
    m_route =
        m_table->findRoute(text(m_request[http::field::host]), pathOf(text(m_request.target())));
    if (!m_route) {
        co_await reject(kNotFound, "no-route", std::nullopt);
        co_return;
    }
    if (!authenticate()) {
        co_await reject(kUnauthorized, "unknown-key", std::nullopt);
        co_return;
    }
    setDeadlines();
    if (m_route->kind == RetryKind::Stream && !m_state.acceptsStreams()) {
        co_await reject(kUnavailable, "draining", kRetryWhenDraining);
        co_return;
    }
    m_identity = identity();
    m_state.suspects.tryBegin(m_identity);
    if (isQuarantined()) {
        co_await reject(kUnavailable, "quarantined", std::nullopt);
        co_return;
    }
    m_service = pickService(*m_route, uniform(m_state.random));
    // A relayed request is counted where its caller sent it.
    if (!m_relay)
        m_state.retryBudget(m_service).onRequest(m_state.clock.now());
    if (m_relay && m_state.paths.isLost(m_service)) {
        co_await reject(kUnavailable, reasonOf(DispatchRejection::NoPath), kRetryWhenNoReplica);
        co_return;
    }
    if (m_route->kind == RetryKind::Stream)
        m_joiner.emplace(m_head.lastEventId);
    co_await attemptUntilDone();
    recordDuration();
    co_await stopBackups();
}

RequestIdentity RequestHandler::identity() const
{
    RequestIdentity identity;
    identity.fingerprint = requestFingerprint(text(m_request.target()), m_team, m_request.body());
    for (std::uint64_t part : m_head.sharedPromptParts)
        identity.parts.push_back(PromptPartId{part});
    return identity;
}

bool RequestHandler::authenticate()
{
    m_priority = m_route->priority;
    if (m_route->isPublic || !m_table->hasTeams())
        return true;
    const TeamSpec *team = m_head.apiKey ? m_table->teamOfKey(*m_head.apiKey) : nullptr;
    if (!team)
        return false;
    m_team = team->name;
    m_priority = team->priority.value_or(m_priority);
    return true;
}

void RequestHandler::setDeadlines()
{
    const bool isLimited = m_route->timeout > Duration::zero();
    m_routeDeadline = isLimited ? m_arrivedAt + m_route->timeout : TimePoint::max();
    m_callerDeadline = m_head.callerTimeout ? m_arrivedAt + *m_head.callerTimeout : m_routeDeadline;
    const bool hasNoDeadline = m_callerDeadline == TimePoint::max();
    constexpr Duration kDefaultTimeout = std::chrono::seconds{30};
    if (hasNoDeadline)
        m_callerDeadline = m_arrivedAt + kDefaultTimeout;
    m_caller.setResponseDeadline(std::min(m_callerDeadline, m_routeDeadline));
}

PromptShape RequestHandler::promptShape() const
{
    PromptShape shape;
    shape.objective = m_route->objective;
    shape.eventGapObjective = m_route->eventGapObjective;
    shape.promptTokens = m_head.promptTokens;
    shape.maySplit = m_canSplit;
    shape.timeLeft = deadline() - m_state.clock.now();
    shape.outputTokens = m_head.expectedOutputTokens;
    const EngineFigures *figures = engine();
    if (shape.outputTokens == 0 && figures)
        shape.outputTokens = static_cast<std::uint64_t>(likelyOutputTokens(*figures));
    if (m_head.maxOutputTokens > 0)
        shape.outputTokens = std::min(shape.outputTokens, m_head.maxOutputTokens);
    return shape;
}

DispatchRequirements RequestHandler::requirements() const
{
    DispatchRequirements requirements;
    requirements.table = m_table;
    requirements.service = m_service;
    requirements.prompt = promptShape();
    requirements.cost = callCost();
    requirements.priority = m_priority;
    requirements.excluded = m_triedReplicas;
    requirements.expectedDuration = expectedDuration();
    if (m_state.paths.isLost(m_service)) {
        // Connections that are open already may still work.
        for (const ReplicaEntry *replica : m_state.directory.usable(m_service)) {
            if (!m_state.pool.hasIdle(replica->incarnation()))
                requirements.forbidden.insert(replica->id);
        }
    }
    const TimePoint now = m_state.clock.now();
    const Duration remaining = deadline() - now;
    const double fraction = m_route->kind == RetryKind::Stream ? 1.0 : kCallWaitFraction;
    requirements.waitDeadline = now + fromSeconds(fraction * toSeconds(remaining));
    return requirements;
}

Duration RequestHandler::retryAfter(const DispatchResult &result) const
{
    if (result.rejection == DispatchRejection::Draining)
        return kRetryWhenDraining;
    // Before that time, the request would be refused again.
    if (result.rejection == DispatchRejection::Resting && result.retryAfter)
        return *result.retryAfter;
    if (result.rejection == DispatchRejection::Evacuated)
        return m_state.evacuations.retryAfter(m_state.clock.now());
    if (result.retryAfter)
        return std::min(*result.retryAfter, timeLeft() / kRetryDivisor);
    const bool hasNone = result.rejection == DispatchRejection::NoReplica
        || result.rejection == DispatchRejection::NoPath;
    if (hasNone)
        return m_peerRetryAfter.value_or(kRetryWhenNoReplica);
    const ServiceSpec *service = m_table->service(m_service);
    const bool isLarge =
        service && service->engine && m_head.promptTokens > service->engine->memoryTokens;
    if (!isLarge)
        return kRetryWhenFull;
    // A fleet that is too busy for a large prompt now is likely to stay so for seconds.
    return std::min(kRetryWhenLarge, timeLeft() / kRetryDivisor);
}

Task<void> RequestHandler::attemptUntilDone()
{
    while (true) {
        const TimePoint queuedAt = m_state.clock.now();
        const DispatchResult result = co_await acquire();
        m_queueTime += m_state.clock.now() - queuedAt;
        if (!result.grant) {
            if (result.rejection == DispatchRejection::Cancelled) {
                log("caller-gone", "while-queued");
                co_return;
            }
            if (m_possibleExecutions > 0 || m_hasSentHead) {
                co_await respondWithFailure();
                co_return;
            }
            if (result.rejection == DispatchRejection::Evacuated)
                m_state.metrics.incrementCounter("evacuated_requests", "rejected");
            co_await reject(kUnavailable, reasonOf(result.rejection), retryAfter(result));
            co_return;
        }
        AttemptOutcome outcome = co_await attempt(*result.grant);
        endGrant(*result.grant);
        ReplicaIncarnation failed = result.grant->replica.incarnation();
        while (!isFinal(outcome)) {
            const BackupAttempts::Pointer backup = co_await awaitBackup(failed);
            if (!backup)
                break;
            outcome = co_await continueBackup(*backup);
            failed = backup->grant->replica.incarnation();
        }
        if (isFinal(outcome))
            co_return;
        if (!hasTimeForRetry())
            break;
        co_await awaitCrashCheck();
        if (!mayRetry(outcome))
            break;
    }
    co_await respondWithFailure();
}

Task<void> RequestHandler::awaitCrashCheck()
{
    if (m_lastLostReplica)
        co_await m_state.suspects.awaitCheck(*m_lastLostReplica);
}

bool RequestHandler::isFinal(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Completed || outcome == AttemptOutcome::CallerDisconnected;
}

bool RequestHandler::mayRetry(AttemptOutcome outcome)
{
    if (m_caller.isDisconnected() || m_state.clock.now() >= deadline())
        return false;
    if (isQuarantined())
        return false;
    const bool hasReachedNone =
        outcome == AttemptOutcome::NotExecuted && reachedAttemptsHere() == 0;
    if (hasReachedNone && m_failedReservations > 0)
        return m_failedReservations < kMaxFailedReservations;
    if (hasReachedNone && m_unreachableAttempts + m_refusedRelays > 0)
        return mayTryElsewhere();
    if (m_unreachableAttempts >= kMaxUnreachableAttempts)
        return false;
    const bool mayHaveExecuted = m_possibleExecutions > 0;
    if (mayHaveExecuted && !m_route->isRetryable())
        return false;
    if (m_joiner && !m_joiner->canContinue())
        return false;
    if (!isBelowAttemptLimit())
        return false;
    return m_state.retryBudget(m_service).trySpend(m_state.clock.now(), m_state.vmCount());
}

bool RequestHandler::isBelowAttemptLimit() const
{
    // Makes up for replicas that refused to execute the request.
    constexpr std::uint32_t kExtraAttempts = 2;
    return m_possibleExecutions + runningAttempts() < maxExecutions()
        && m_reachedAttempts < m_route->maxAttempts + kExtraAttempts;
}

Task<void> RequestHandler::respondWithFailure()
{
    if (m_caller.isDisconnected()) {
        if (!m_wasLogged)
            log("caller-gone", "after-failure");
        co_return;
    }
    if (m_hasSentHead) {
        m_caller.closeWithoutEnd();
        log("broken-off", "upstream-lost");
        co_return;
    }
    if (m_possibleExecutions == 0 && isQuarantined()) {
        co_await reject(kUnavailable, "quarantined", std::nullopt);
        co_return;
    }
    if (m_possibleExecutions == 0) {
        const auto restEnd = m_state.dispatchQueue.allRestUntil(m_service);
        const Duration retryAfter = restEnd ? *restEnd - m_state.clock.now() : kRetryWhenFull;
        co_await reject(kUnavailable, "upstream-refused", m_peerRetryAfter.value_or(retryAfter));
        co_return;
    }
    const bool isLate = m_state.clock.now() >= deadline();
    co_await reject(isLate ? kGatewayTimeout : kBadGateway, isLate ? "deadline" : "upstream-lost",
                    std::nullopt);
}

Task<void> RequestHandler::reject(int status, std::string_view reason,
                                  std::optional<Duration> retryAfter)
{
    platform::Fields fields;
    platform::setGatewayResponseFields(fields, m_head.requestId, retryAfter);
    if (m_relay) {
        setRelayReport(fields, relayReport());
        if (m_possibleExecutions == 0)
            platform::setNotExecuted(fields);
    }
    log(std::to_string(status), reason);
    co_await m_caller.sendResponse(status, std::move(fields), {});
}

void RequestHandler::log(std::string_view outcome, std::string_view reason)
{
    m_wasLogged = true;
    const TimePoint now = m_state.clock.now();
    const Duration total = now - m_arrivedAt;
    const auto drainBegunAt = m_state.drainBegunAt();
    const std::string route = m_route ? m_route->name : "none";
    m_state.metrics.incrementCounter(
        "requests_" + std::string(outcome == "answered" ? "answered" : "other"),
        route + ' ' + std::string(outcome));
    if (m_timeToFirstEvent)
        m_state.metrics.observe("first_event", route, toSeconds(*m_timeToFirstEvent));
    LogLine line("request_ended");
    line.add("request", m_head.requestId)
        .add("route", route)
        .add("team", m_team)
        .add("fingerprint", m_identity.fingerprint.value)
        .add("outcome", outcome)
        .add("reason", reason)
        .add("rejected_part", m_state.suspects.quarantinedPart(m_identity).value)
        .add("config", m_table ? m_table->version() : 0)
        .add("directory", m_state.directory.revision())
        .add("prompt_tokens", m_head.promptTokens)
        .add("relayed", m_relay ? "yes" : "no")
        .add("replicas", m_attemptedReplicas)
        .add("sends", static_cast<std::uint64_t>(m_reachedAttempts))
        .add("runs", static_cast<std::uint64_t>(m_possibleExecutions))
        .addSeconds("queued", toSeconds(m_queueTime))
        .addSeconds("forecast", toSeconds(m_expectedFirstEvent))
        .add("expected_cost", static_cast<std::uint64_t>(std::lround(m_expectedCost)))
        .add("cost", static_cast<std::uint64_t>(std::lround(m_cost)))
        .addSeconds("gap", toSeconds(m_longestGap))
        .addSeconds("first", m_timeToFirstEvent ? toSeconds(*m_timeToFirstEvent) : 0)
        .addSeconds("total", toSeconds(total))
        .add("deadline", firstDeadline())
        .addSeconds("left", hasDeadlines() ? toSeconds(deadline() - now) : 0)
        .addSeconds("since_drain", drainBegunAt ? toSeconds(now - *drainBegunAt) : 0)
        .addSeconds("caller_left",
                    m_caller.isDisconnected() ? toSeconds(m_caller.disconnectedAt() - m_arrivedAt)
                                              : 0);
    LOG(INFO) << line.text();
}

} // namespace arbutuspier
