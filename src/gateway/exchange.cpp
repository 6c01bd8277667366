// Sends again only what did not run or may run again, within the attempts of the route and the
// allowance of the fleet.
#include "gateway/exchange.h"

#include "arbutuspier/forecast.h"
#include "kernel/logline.h"
#include "net/httpchannel.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>

namespace arbutuspier {

namespace http = boost::beast::http;

namespace {

constexpr int kOk = 200;
constexpr int kServerError = 500;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

constexpr Duration kConnectTimeout = std::chrono::milliseconds{150};
/// Times that a request is tried at replicas that can't be reached.
constexpr std::uint32_t kMaxUnreachable = 6;
/// Times that memory is asked for at several replicas.
constexpr std::uint32_t kMaxUnreserved = 4;
/// Sends beyond the route's attempts for replicas that refused to run the request.
constexpr std::uint32_t kExtraSends = 2;
constexpr Duration kRetryWhenNotReady = std::chrono::seconds{1};
/// Another VM takes the request at once.
constexpr Duration kRetryElsewhere = std::chrono::milliseconds{20};
constexpr Duration kRetryWhenNoReplica = std::chrono::milliseconds{500};
constexpr Duration kRetryWhenLarge = std::chrono::seconds{4};
/// Callers wait for no more than this part of the time that they have left.
constexpr int kRetryPart = 3;
constexpr Duration kRetryWhenFull = std::chrono::milliseconds{300};
/// An answer that ends at the caller's own limit comes too late; it is sent this much sooner.
constexpr Duration kAnswerMargin = std::chrono::milliseconds{5};
/// Part of the time left for which a plain call waits for a slot.
constexpr double kCallWaitPart = 0.6;
/// The shortest silence after which a replica is given up for another.
constexpr Duration kMinPatience = std::chrono::milliseconds{60};
constexpr Duration kMinGapPatience = std::chrono::seconds{1};
constexpr double kGapPatience = 2.0;
/// A replica that is known to read is given this much longer than its forecast.
constexpr double kReadingPatience = 1.3;
constexpr Duration kReadingMargin = std::chrono::milliseconds{150};
constexpr double kFirstEventPatience = 1.2;
constexpr double kForecastPatience = 2.0;
constexpr double kCallPatience = 0.8;

std::string_view text(beast::string_view value)
{
    return {value.data(), value.size()};
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string_view reasonOf(DispatchRefusal refusal)
{
    switch (refusal) {
    case DispatchRefusal::NoReplica:
        return "no-upstream";
    case DispatchRefusal::NoRoom:
        return "no-room";
    case DispatchRefusal::TooLarge:
        return "too-large";
    case DispatchRefusal::Cancelled:
        return "caller-gone";
    }
    return "no-room";
}

ReplicaLife lifeOf(const DispatchGrant &grant)
{
    return {grant.replica.id, grant.replica.bornMs};
}

} // namespace

Fingerprint requestFingerprint(std::string_view target, std::string_view team,
                               std::string_view body)
{
    const std::uint64_t path = XXH64(target.data(), target.size(), 0);
    const std::uint64_t caller = XXH64(team.data(), team.size(), path);
    return Fingerprint{XXH64(body.data(), body.size(), caller)};
}

Exchange::Exchange(GateState &state, CallerConnection &caller, const Request &request)
    : m_state(state)
    , m_caller(caller)
    , m_request(request)
    , m_head(platform::readCallerHead(request.base()))
    , m_table(state.routes())
    , m_arrived(state.clock.now())
{
    m_caller.onGone = [this] {
        if (m_ticket)
            m_state.workList.cancel(*m_ticket);
        if (m_attempt)
            m_attempt->cancel();
    };
}

Exchange::~Exchange()
{
    m_caller.onGone = nullptr;
}

Duration Exchange::timeLeft() const
{
    return std::min(m_callerEnd, m_routeEnd) - m_state.clock.now();
}

TimePoint Exchange::deadline() const
{
    const TimePoint end = std::min(m_callerEnd, m_routeEnd) - kAnswerMargin;
    return m_state.drainEnd() ? std::min(end, *m_state.drainEnd()) : end;
}

Task<void> Exchange::run()
{
    if (!m_table) {
        co_await refuse(kUnavailable, "not-ready", kRetryWhenNotReady);
        co_return;
    }
    if (m_head.requestId.empty()) {
        co_await refuse(kBadRequest, "no-request-id", std::nullopt);
        co_return;
    }
    m_route =
        m_table->findRoute(text(m_request[http::field::host]), pathOf(text(m_request.target())));
    if (!m_route) {
        co_await refuse(kNotFound, "no-route", std::nullopt);
        co_return;
    }
    if (!checkKey()) {
        co_await refuse(kUnauthorized, "unknown-key", std::nullopt);
        co_return;
    }
    limitTime();
    if (m_route->kind == RepeatKind::Stream && !m_state.takesStreams()) {
        co_await refuse(kUnavailable, "draining", kRetryElsewhere);
        co_return;
    }
    m_fingerprint = requestFingerprint(text(m_request.target()), m_team, m_request.body());
    if (m_state.quarantine.standing(m_fingerprint) == Quarantine::Standing::Quarantined) {
        co_await refuse(kUnavailable, "quarantined", std::nullopt);
        co_return;
    }
    m_service = pickService(*m_route, uniform(m_state.random));
    m_state.allowance(m_service).onRequest(m_state.clock.now());
    if (m_route->kind == RepeatKind::Stream)
        m_splice.emplace(m_head.lastEventId);
    co_await attemptUntilAnswered();
}

bool Exchange::checkKey()
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

void Exchange::limitTime()
{
    const bool isLimited = m_route->timeout > Duration::zero();
    m_routeEnd = isLimited ? m_arrived + m_route->timeout : TimePoint::max();
    m_callerEnd = m_head.patience ? m_arrived + *m_head.patience : m_routeEnd;
    const bool isEndless = m_callerEnd == TimePoint::max();
    constexpr Duration kDefaultTime = std::chrono::seconds{30};
    if (isEndless)
        m_callerEnd = m_arrived + kDefaultTime;
}

PromptShape Exchange::promptShape() const
{
    PromptShape shape;
    shape.objective = m_route->objective;
    shape.gapObjective = m_route->gapObjective;
    shape.promptTokens = m_head.promptTokens;
    shape.maySplit = m_canSplit;
    shape.timeLeft = deadline() - m_state.clock.now();
    const ServiceSpec *service = m_table->service(m_service);
    const double usual = service && service->engine ? service->engine->meanAnswerTokens : 0;
    shape.answerTokens = m_head.likelyAnswerTokens;
    if (shape.answerTokens == 0)
        shape.answerTokens = static_cast<std::uint64_t>(usual);
    if (m_head.maxAnswerTokens > 0)
        shape.answerTokens = std::min(shape.answerTokens, m_head.maxAnswerTokens);
    return shape;
}

DispatchNeed Exchange::need() const
{
    DispatchNeed need;
    need.table = m_table;
    need.service = m_service;
    need.prompt = promptShape();
    need.priority = m_priority;
    need.excluded = m_tried;
    const TimePoint now = m_state.clock.now();
    const Duration left = deadline() - now;
    const double part = m_route->kind == RepeatKind::Stream ? 1.0 : kCallWaitPart;
    need.until = now + fromSeconds(part * toSeconds(left));
    return need;
}

Duration Exchange::retryAfter(DispatchRefusal refusal) const
{
    if (refusal == DispatchRefusal::NoReplica)
        return kRetryWhenNoReplica;
    const ServiceSpec *service = m_table->service(m_service);
    const bool isLarge =
        service && service->engine && m_head.promptTokens > service->engine->memoryTokens;
    if (!isLarge)
        return kRetryWhenFull;
    // A fleet that is too busy for it now is likely to be so for seconds.
    return std::min(kRetryWhenLarge, timeLeft() / kRetryPart);
}

Task<void> Exchange::attemptUntilAnswered()
{
    End last = End::NotRun;
    while (true) {
        const TimePoint asked = m_state.clock.now();
        m_ticket = m_state.workList.makeTicket(need());
        const DispatchResult result = co_await m_state.workList.acquire(m_ticket);
        m_ticket.reset();
        m_queued += m_state.clock.now() - asked;
        if (!result.grant) {
            if (result.refusal == DispatchRefusal::Cancelled) {
                log("caller-gone", "while-queued");
                co_return;
            }
            if (m_runs > 0 || m_hasHead) {
                co_await answerFailure(last);
                co_return;
            }
            co_await refuse(kUnavailable, reasonOf(result.refusal), retryAfter(result.refusal));
            co_return;
        }
        last = co_await attempt(*result.grant);
        m_state.workList.end(result.grant->work);
        if (last == End::Answered || last == End::CallerGone)
            co_return;
        if (!mayRetry(last))
            break;
    }
    co_await answerFailure(last);
}

std::vector<HoldPart> Exchange::holdParts(const DispatchGrant &grant) const
{
    std::vector<HoldPart> parts;
    for (std::size_t i = 0; i < grant.helpers.size(); ++i) {
        const HelperGrant &helper = grant.helpers[i];
        if (helper.heldTokens > 0)
            parts.push_back(
                {helper.replica, helper.heldTokens,
                 m_head.requestId + '-' + std::to_string(grant.work) + '-' + std::to_string(i)});
    }
    return parts;
}

UpstreamAttempt::Request Exchange::upstreamRequest(
    const DispatchGrant &grant, const std::vector<std::string> &reservations) const
{
    platform::UpstreamHead head;
    head.timeLeft = timeLeft();
    head.replicaId = grant.replica.id;
    head.team = m_team;
    if (m_splice)
        head.lastEventId = m_splice->lastId();
    for (std::size_t i = 0; i < grant.helpers.size(); ++i)
        head.helpers.push_back({grant.helpers[i].replica.address, reservations[i]});
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

bool Exchange::couldRepeat() const
{
    return m_route->isRepeatable() && m_runs + 1 < m_route->maxAttempts;
}

TimePoint Exchange::patienceEnd(const DispatchGrant &grant) const
{
    if (!couldRepeat())
        return deadline();
    const double objective = toSeconds(m_route->objective);
    const double seconds = m_route->kind == RepeatKind::Stream
        ? kForecastPatience * toSeconds(grant.forecast) + kFirstEventPatience * objective
        : kCallPatience * objective;
    const Duration patience = std::max(kMinPatience, fromSeconds(seconds));
    return std::min(deadline(), m_state.clock.now() + patience);
}

void Exchange::noteSend(const DispatchGrant &grant)
{
    m_forecast = m_state.clock.now() - m_arrived + grant.forecast;
    if (!m_replicas.empty())
        m_replicas += ',';
    m_replicas += grant.replica.id;
    if (!grant.helpers.empty())
        m_replicas += '+' + std::to_string(grant.helpers.size());
}

std::optional<TimePoint> Exchange::extendPatience(const DispatchGrant &grant) const
{
    const TimePoint now = m_state.clock.now();
    const ServiceSpec *service = m_table->service(m_service);
    if (!service || !service->engine || now >= deadline())
        return std::nullopt;
    const double pace = m_state.health.pace(lifeOf(grant));
    const PassState pass =
        passState(*service->engine, m_state.load.of(grant.replica.id), pace, now);
    const bool isReading = pass.presentMs + pass.waitingMs > toSeconds(kReadingMargin) * 1e3;
    if (!isReading)
        return std::nullopt;
    const double seconds = kReadingPatience * (pass.presentMs + pass.waitingMs) / 1e3;
    return std::min(deadline(), now + fromSeconds(seconds) + kReadingMargin);
}

Task<Exchange::End> Exchange::attempt(const DispatchGrant &grant)
{
    if (m_caller.isGone()) {
        log("caller-gone", "before-send");
        co_return End::CallerGone;
    }
    m_tried.insert(grant.replica.id);
    noteSend(grant);
    UpstreamAttempt attempt(m_state.executor, m_state.pool, lifeOf(grant));
    m_attempt = &attempt;
    attempt.expireAt(patienceEnd(grant));
    attempt.onExpiry = [this, &grant] { return extendPatience(grant); };
    const bool isSafe = m_route->kind == RepeatKind::AtMostOnce;
    std::vector<std::string> reservations(grant.helpers.size());
    const std::vector<HoldPart> parts = holdParts(grant);
    std::unique_ptr<MemoryHold> hold;
    if (!parts.empty()) {
        hold = co_await MemoryHold::acquire(m_state, parts);
        if (!hold) {
            m_attempt = nullptr;
            ++m_unreserved;
            co_return End::NotRun;
        }
        attempt.expireAt(patienceEnd(grant));
        std::size_t next = 0;
        for (std::size_t i = 0; i < grant.helpers.size(); ++i) {
            if (grant.helpers[i].heldTokens > 0)
                reservations[i] = parts[next++].id;
        }
    }
    const UpstreamAttempt::Request request = upstreamRequest(grant, reservations);
    const auto sent =
        co_await attempt.send(request, grant.replica.address, isSafe, kConnectTimeout);
    if (attempt.usedNewConnection())
        m_state.metrics.count("connections", m_service);
    if (attempt.wasReached())
        ++m_sends;
    End end = End::Lost;
    if (m_caller.isGone())
        end = End::CallerGone;
    else if (sent == UpstreamAttempt::Sent::Nothing)
        end = End::NotRun;
    else if (sent == UpstreamAttempt::Sent::NoAnswer)
        end = End::Lost;
    else if (attempt.head().isNotExecuted)
        end = co_await readWhole(attempt, grant);
    else if (m_splice && attempt.status() == kOk)
        end = co_await readStream(attempt, grant);
    else
        end = co_await readWhole(attempt, grant);
    m_attempt = nullptr;
    noteEnd(end, attempt, grant);
    attempt.release(m_state.clock.now());
    co_return end;
}

bool Exchange::isTrustworthy(const UpstreamAttempt &attempt) const
{
    const platform::AnswerHead &head = attempt.head();
    const bool isOurs = head.requestId == m_head.requestId;
    return isOurs && !head.isEncoded && head.isSigned;
}

Task<Exchange::End> Exchange::readWhole(UpstreamAttempt &attempt, const DispatchGrant &grant)
{
    std::string body;
    UpstreamAttempt::Body state = UpstreamAttempt::Body::More;
    while (state == UpstreamAttempt::Body::More)
        state = co_await attempt.read(body);
    if (m_caller.isGone())
        co_return End::CallerGone;
    if (attempt.head().isNotExecuted)
        co_return End::NotRun;
    if (state == UpstreamAttempt::Body::Broken || !isTrustworthy(attempt))
        co_return End::Lost;
    const bool isFailure = attempt.status() >= kServerError;
    if (isFailure && couldRepeat() && !m_hasHead)
        co_return End::Failed;
    if (m_hasHead)
        co_return End::Lost;
    m_firstEvent = m_state.clock.now() - m_arrived;
    const bool isSent = co_await m_caller.sendWhole(
        attempt.status(), platform::callerFields(attempt.fields()), std::move(body));
    log(isSent ? "answered" : "caller-gone", std::to_string(attempt.status()));
    static_cast<void>(grant);
    co_return isSent ? End::Answered : End::CallerGone;
}

Task<bool> Exchange::passOn(UpstreamAttempt &attempt, const DispatchGrant &grant,
                            const std::string &events)
{
    const TimePoint now = m_state.clock.now();
    if (m_hasHead)
        m_longestGap = std::max(m_longestGap, now - m_lastEvent);
    m_lastEvent = now;
    if (!m_hasHead) {
        m_hasHead = true;
        m_firstEvent = now - m_arrived;
        const bool isSent = co_await m_caller.sendStreamHead(
            attempt.status(), platform::callerFields(attempt.fields()));
        if (!isSent)
            co_return false;
    }
    static_cast<void>(grant);
    co_return co_await m_caller.sendStreamBytes(events);
}

Task<Exchange::End> Exchange::readStream(UpstreamAttempt &attempt, const DispatchGrant &grant)
{
    if (!isTrustworthy(attempt))
        co_return End::Lost;
    const TimePoint sentAt = m_state.clock.now();
    bool isWriting = false;
    m_splice->beginRun();
    UpstreamAttempt::Body state = UpstreamAttempt::Body::More;
    while (state == UpstreamAttempt::Body::More) {
        std::string bytes;
        state = co_await attempt.read(bytes);
        if (m_caller.isGone())
            co_return End::CallerGone;
        const auto events = m_splice->feed(bytes);
        if (!events)
            co_return End::Lost;
        if (events->empty())
            continue;
        if (!isWriting) {
            isWriting = true;
            m_state.workList.beginWriting(grant.work);
            const Duration took = m_state.clock.now() - sentAt;
            const bool tellsPace = grant.wasIdle && grant.forecast > Duration::zero();
            const double ratio = tellsPace ? toSeconds(took) / toSeconds(grant.forecast) : 0;
            m_state.health.onSuccess(lifeOf(grant), ratio);
        }
        if (!co_await passOn(attempt, grant, *events))
            co_return End::CallerGone;
        const Duration gap =
            std::max(kMinGapPatience, fromSeconds(kGapPatience * toSeconds(m_route->gapObjective)));
        const TimePoint now = m_state.clock.now();
        attempt.expireAt(couldRepeat() ? std::min(deadline(), now + gap) : deadline());
    }
    const bool isWhole = state == UpstreamAttempt::Body::End && m_splice->isAtBoundary();
    if (!isWhole || !m_hasHead)
        co_return End::Lost;
    if (!co_await m_caller.endStream())
        co_return End::CallerGone;
    log("answered", std::to_string(attempt.status()));
    co_return End::Answered;
}

void Exchange::noteEnd(End end, const UpstreamAttempt &attempt, const DispatchGrant &grant)
{
    const TimePoint now = m_state.clock.now();
    const ReplicaLife life = lifeOf(grant);
    if (attempt.status() != 0)
        m_state.noteAnswer(grant.replica);
    switch (end) {
    case End::Answered:
        m_state.health.onSuccess(life, 0);
        if (m_state.quarantine.standing(m_fingerprint) == Quarantine::Standing::Suspect) {
            for (const SuspectNotice &notice : m_state.quarantine.onCompleted(m_fingerprint))
                m_state.onSuspect(notice);
        }
        return;
    case End::CallerGone:
        if (attempt.wasReached())
            ++m_runs;
        if (!m_wasLogged)
            log("caller-gone", "in-flight");
        return;
    case End::NotRun:
        if (attempt.wasReached())
            m_state.health.onFailure(life, now);
        else if (!attempt.hasExpired()) {
            ++m_unreachable;
            m_state.noteUnreachable(grant.replica);
        }
        m_canSplit = m_canSplit && grant.helpers.empty();
        break;
    case End::Failed:
        ++m_runs;
        m_state.health.onFailure(life, now);
        break;
    case End::Lost:
        ++m_runs;
        m_state.health.onFailure(life, now);
        m_canSplit = m_canSplit && grant.helpers.empty();
        if (!attempt.hasExpired())
            noteDeath(grant);
        else if (attempt.status() == 0)
            m_state.zones.onSilence(grant.replica.zone, life.id, now);
        break;
    }
    LOG(INFO) << LogLine("attempt_failed")
                     .add("request", m_head.requestId)
                     .add("replica", grant.replica.id)
                     .add("born", static_cast<std::uint64_t>(life.bornMs))
                     .add("end",
                          end == End::NotRun       ? "not-run"
                              : end == End::Failed ? "failed"
                                                   : "lost")
                     .add("status", static_cast<std::uint64_t>(attempt.status()))
                     .add("expired", attempt.hasExpired() ? "yes" : "no")
                     .add("reached", attempt.wasReached() ? "yes" : "no")
                     .add("helpers", grant.helpers.size())
                     .add("at_fault", attempt.head().faultyAddress)
                     .addSeconds("since_arrival", toSeconds(now - m_arrived))
                     .text();
}

namespace {

/// Asks a replica for a connection; its process is gone if none comes about and others still
/// answer.
Task<void> confirmDeath(GateState &state, ReplicaEntry replica, Fingerprint fingerprint)
{
    constexpr Duration kProbe = std::chrono::milliseconds{250};
    constexpr Duration kSettle = std::chrono::milliseconds{250};
    Address address;
    if (!parseAddress(replica.address, address))
        co_return;
    beast::tcp_stream stream(state.executor);
    stream.expires_after(kProbe);
    const auto [error] = co_await stream.async_connect(endpointOf(address), kAwait);
    if (!error)
        co_return;
    const ReplicaLife life{replica.id, replica.bornMs};
    state.noteUnreachable(replica);
    // A cut shows at other replicas too within this time.
    asio::steady_timer timer(state.executor, kSettle);
    co_await timer.async_wait(kAwait);
    if (state.deaths.mayHaveCrashed(life, state.clock.now()))
        state.noteCrash(life, fingerprint);
}

} // namespace

void Exchange::noteDeath(const DispatchGrant &grant)
{
    asio::co_spawn(m_state.executor, confirmDeath(m_state, grant.replica, m_fingerprint),
                   asio::detached);
}

bool Exchange::mayRetry(End end)
{
    if (m_caller.isGone() || m_state.clock.now() >= deadline())
        return false;
    if (m_state.quarantine.standing(m_fingerprint) == Quarantine::Standing::Quarantined)
        return false;
    if (end == End::NotRun && m_sends == 0 && m_unreserved > 0)
        return m_unreserved < kMaxUnreserved;
    if (end == End::NotRun && m_unreachable > 0 && m_sends == 0)
        return m_unreachable < kMaxUnreachable;
    const bool mayHaveRun = m_runs > 0;
    if (mayHaveRun && !m_route->isRepeatable())
        return false;
    if (m_runs >= m_route->maxAttempts || m_sends >= m_route->maxAttempts + kExtraSends)
        return false;
    return m_state.allowance(m_service).trySpend(m_state.clock.now(), m_state.vmCount());
}

Task<void> Exchange::answerFailure(End last)
{
    if (m_caller.isGone()) {
        log("caller-gone", "after-failure");
        co_return;
    }
    if (m_hasHead) {
        m_caller.abort();
        log("broken-off", "upstream-lost");
        co_return;
    }
    if (m_runs == 0) {
        co_await refuse(kUnavailable, "upstream-refused", kRetryWhenFull);
        co_return;
    }
    const bool isLate = m_state.clock.now() >= deadline();
    static_cast<void>(last);
    co_await refuse(isLate ? kGatewayTimeout : kBadGateway, isLate ? "deadline" : "upstream-lost",
                    std::nullopt);
}

Task<void> Exchange::refuse(int status, std::string_view reason, std::optional<Duration> retryAfter)
{
    platform::Fields fields;
    platform::setOwnAnswer(fields, m_head.requestId, retryAfter);
    log(std::to_string(status), reason);
    co_await m_caller.sendWhole(status, std::move(fields), {});
}

void Exchange::log(std::string_view outcome, std::string_view reason)
{
    m_wasLogged = true;
    const Duration total = m_state.clock.now() - m_arrived;
    const std::string route = m_route ? m_route->name : "none";
    m_state.metrics.count("requests_" + std::string(outcome == "answered" ? "answered" : "other"),
                          route + ' ' + std::string(outcome));
    if (m_firstEvent)
        m_state.metrics.observe("first_event", route, toSeconds(*m_firstEvent));
    LogLine line("request_ended");
    line.add("request", m_head.requestId)
        .add("route", route)
        .add("team", m_team)
        .add("outcome", outcome)
        .add("reason", reason)
        .add("config", m_table ? m_table->version() : 0)
        .add("directory", m_state.directory.revision())
        .add("prompt_tokens", m_head.promptTokens)
        .add("replicas", m_replicas)
        .add("sends", static_cast<std::uint64_t>(m_sends))
        .add("runs", static_cast<std::uint64_t>(m_runs))
        .addSeconds("queued", toSeconds(m_queued))
        .addSeconds("forecast", toSeconds(m_forecast))
        .addSeconds("gap", toSeconds(m_longestGap))
        .addSeconds("first", m_firstEvent ? toSeconds(*m_firstEvent) : 0)
        .addSeconds("total", toSeconds(total));
    LOG(INFO) << line.text();
}

} // namespace arbutuspier
