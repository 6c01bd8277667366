// The part of an exchange that deals with one replica: send, read, and learn from how it ended.
#include "gateway/requesthandler.h"

#include "arbutuspier/forecast.h"
#include "kernel/logline.h"
#include "net/httpchannel.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

#include <algorithm>

namespace arbutuspier {

namespace http = boost::beast::http;

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds{150};
/// The shortest silence after which a replica is given up for another.
constexpr Duration kMinPatience = std::chrono::milliseconds{60};
constexpr Duration kMinGapPatience = std::chrono::seconds{1};
constexpr double kGapPatience = 2.0;
/// A replica that is known to read is given this much longer than its forecast.
constexpr double kReadingPatience = 1.3;
constexpr Duration kReadingMargin = std::chrono::milliseconds{150};
/// How often a replica that is silent beyond its forecast is looked up in the directory.
constexpr Duration kSilenceCheck = std::chrono::milliseconds{250};
constexpr double kFirstEventPatience = 1.2;
constexpr double kForecastPatience = 2.0;
constexpr double kCallPatience = 0.8;
constexpr int kServerError = 500;
constexpr int kOk = 200;

} // namespace

std::vector<ReservationPart> RequestHandler::reservationParts(const DispatchGrant &grant) const
{
    std::vector<ReservationPart> parts;
    for (std::size_t i = 0; i < grant.helpers.size(); ++i) {
        const HelperGrant &helper = grant.helpers[i];
        if (helper.reservedTokens > 0)
            parts.push_back(
                {helper.replica, helper.reservedTokens,
                 m_head.requestId + '-' + std::to_string(grant.work) + '-' + std::to_string(i)});
    }
    return parts;
}

UpstreamAttempt::Request RequestHandler::upstreamRequest(
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

bool RequestHandler::couldRepeat() const
{
    return m_route->isRepeatable() && m_runs + 1 < m_route->maxAttempts;
}

TimePoint RequestHandler::patienceEnd(const DispatchGrant &grant) const
{
    if (!couldRepeat())
        return deadline();
    const double objective = toSeconds(m_route->objective);
    const double seconds = m_route->kind == RepeatKind::Stream
        ? kForecastPatience * toSeconds(grant.forecast) + kFirstEventPatience * objective
        : kCallPatience * objective;
    const Duration callerTimeout = std::max(kMinPatience, fromSeconds(seconds));
    return std::min(deadline(), m_state.clock.now() + callerTimeout);
}

void RequestHandler::noteSend(const DispatchGrant &grant)
{
    m_forecast = m_state.clock.now() - m_arrived + grant.forecast;
    if (!m_replicas.empty())
        m_replicas += ',';
    m_replicas += grant.replica.id;
    if (!grant.helpers.empty())
        m_replicas += '+' + std::to_string(grant.helpers.size());
}

std::optional<TimePoint> RequestHandler::extendPatience(const DispatchGrant &grant) const
{
    const TimePoint now = m_state.clock.now();
    const ServiceSpec *service = m_table->service(m_service);
    if (!service || !service->engine || now >= deadline())
        return std::nullopt;
    const double pace = m_state.health.pace(grant.replica.incarnation());
    const PassState pass =
        passState(*service->engine, m_state.load.of(grant.replica.id), pace, now);
    const double readingMs = pass.currentPassMs + pass.waitingMs;
    if (readingMs <= toMilliseconds(kReadingMargin))
        return std::nullopt;
    const Duration longer = fromMilliseconds(kReadingPatience * readingMs);
    return std::min(deadline(), now + longer + kReadingMargin);
}

void RequestHandler::awaitFirstEvent(UpstreamAttempt &attempt, TimePoint check, TimePoint end)
{
    m_silenceEnd = end;
    attempt.expireAt(std::min(check, end));
}

std::optional<TimePoint> RequestHandler::afterSilence(const DispatchGrant &grant) const
{
    const bool isOver = couldRepeat() && m_state.directory.hasVanished(grant.replica.incarnation());
    if (isOver)
        return std::nullopt;
    const TimePoint now = m_state.clock.now();
    if (now < m_silenceEnd)
        return std::min(m_silenceEnd, now + kSilenceCheck);
    return extendPatience(grant);
}

Task<bool> RequestHandler::holdMemory(const DispatchGrant &grant, HeldMemory &held)
{
    held.reservations.resize(grant.helpers.size());
    std::vector<ReservationPart> parts = reservationParts(grant);
    if (parts.empty())
        co_return true;
    std::size_t next = 0;
    for (std::size_t i = 0; i < grant.helpers.size(); ++i) {
        if (grant.helpers[i].reservedTokens > 0)
            held.reservations[i] = parts[next++].id;
    }
    held.hold = co_await MemoryReservation::acquire(m_state, std::move(parts));
    co_return held.hold != nullptr;
}

Task<RequestHandler::End> RequestHandler::attempt(const DispatchGrant &grant)
{
    if (m_caller.isGone()) {
        log("caller-gone", "before-send");
        co_return End::CallerDisconnected;
    }
    m_tried.insert(grant.replica.id);
    noteSend(grant);
    HeldMemory held;
    if (!co_await holdMemory(grant, held)) {
        ++m_unreserved;
        co_return End::NotRun;
    }
    UpstreamAttempt attempt(m_state.executor, m_state.pool, grant.replica.incarnation());
    m_attempt = &attempt;
    const Duration reading = fromSeconds(kReadingPatience * toSeconds(grant.forecast));
    awaitFirstEvent(attempt, m_state.clock.now() + reading + kReadingMargin, patienceEnd(grant));
    attempt.onExpiry = [this, &grant] { return afterSilence(grant); };
    const bool isSafe = m_route->kind == RepeatKind::AtMostOnce;
    const UpstreamAttempt::Request request = upstreamRequest(grant, held.reservations);
    m_sentAt = m_state.clock.now();
    const auto sent =
        co_await attempt.send(request, grant.replica.address, isSafe, kConnectTimeout);
    if (attempt.usedNewConnection())
        m_state.metrics.count("connections", m_service);
    if (attempt.wasReached())
        ++m_sends;
    const End end = co_await readAnswer(sent, attempt, grant);
    m_attempt = nullptr;
    noteEnd(end, attempt, grant);
    attempt.release(m_state.clock.now());
    co_return end;
}

Task<RequestHandler::End> RequestHandler::readAnswer(UpstreamAttempt::Sent sent,
                                                     UpstreamAttempt &attempt,
                                                     const DispatchGrant &grant)
{
    if (m_caller.isGone())
        co_return End::CallerDisconnected;
    if (sent == UpstreamAttempt::Sent::Nothing)
        co_return End::NotRun;
    if (sent == UpstreamAttempt::Sent::NoAnswer)
        co_return End::Lost;
    const bool isStream = m_splice && attempt.status() == kOk && !attempt.head().isNotExecuted;
    if (isStream)
        co_return co_await readStream(attempt, grant);
    co_return co_await readWhole(attempt);
}

bool RequestHandler::isTrustworthy(const UpstreamAttempt &attempt) const
{
    const platform::ResponseHead &head = attempt.head();
    const bool isOurs = head.requestId == m_head.requestId;
    return isOurs && !head.isEncoded && head.isSigned;
}

Task<RequestHandler::End> RequestHandler::readWhole(UpstreamAttempt &attempt)
{
    std::string body;
    UpstreamAttempt::Body state = UpstreamAttempt::Body::More;
    while (state == UpstreamAttempt::Body::More)
        state = co_await attempt.read(body);
    if (m_caller.isGone())
        co_return End::CallerDisconnected;
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
    co_return isSent ? End::Answered : End::CallerDisconnected;
}

Task<bool> RequestHandler::passOn(UpstreamAttempt &attempt, const std::string &events)
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
    co_return co_await m_caller.sendStreamBytes(events);
}

void RequestHandler::noteFirstEvent(const DispatchGrant &grant)
{
    m_state.workList.beginDecode(grant.work);
    const Duration took = m_state.clock.now() - m_sentAt;
    const bool tellsPace = grant.wasIdle && grant.forecast > Duration::zero();
    const double ratio = tellsPace ? toSeconds(took) / toSeconds(grant.forecast) : 0;
    m_state.health.onSuccess(grant.replica.incarnation(), ratio);
}

TimePoint RequestHandler::nextEventEnd() const
{
    if (!couldRepeat())
        return deadline();
    const Duration gap = fromSeconds(kGapPatience * toSeconds(m_route->eventGapObjective));
    return std::min(deadline(), m_state.clock.now() + std::max(kMinGapPatience, gap));
}

Task<RequestHandler::End> RequestHandler::readStream(UpstreamAttempt &attempt,
                                                     const DispatchGrant &grant)
{
    if (!isTrustworthy(attempt))
        co_return End::Lost;
    bool isDecoding = false;
    m_splice->beginAttempt();
    UpstreamAttempt::Body state = UpstreamAttempt::Body::More;
    while (state == UpstreamAttempt::Body::More) {
        std::string bytes;
        state = co_await attempt.read(bytes);
        if (m_caller.isGone())
            co_return End::CallerDisconnected;
        const auto events = m_splice->feed(bytes);
        if (!events)
            co_return End::Lost;
        if (events->empty())
            continue;
        if (!isDecoding) {
            noteFirstEvent(grant);
            // A replica may leave the list and go on writing: only a pause too long speaks now.
            attempt.onExpiry = [this, &grant] { return extendPatience(grant); };
        }
        isDecoding = true;
        if (!co_await passOn(attempt, *events))
            co_return End::CallerDisconnected;
        attempt.expireAt(nextEventEnd());
    }
    const bool isWhole = state == UpstreamAttempt::Body::End && m_splice->isAtBoundary();
    if (!isWhole || !m_hasHead)
        co_return End::Lost;
    if (!co_await m_caller.endStream())
        co_return End::CallerDisconnected;
    log("answered", std::to_string(attempt.status()));
    co_return End::Answered;
}

void RequestHandler::noteEnd(End end, const UpstreamAttempt &attempt, const DispatchGrant &grant)
{
    if (attempt.status() != 0)
        m_state.noteAnswer(grant.replica);
    switch (end) {
    case End::Answered:
        m_state.health.onSuccess(grant.replica.incarnation(), 0);
        m_state.noteCompleted(m_fingerprint);
        return;
    case End::CallerDisconnected:
        m_runs += attempt.wasReached() ? 1 : 0;
        if (!m_wasLogged)
            log("caller-gone", "in-flight");
        return;
    case End::NotRun:
        noteNotRun(attempt, grant);
        break;
    case End::Failed:
        ++m_runs;
        m_state.health.onFailure(grant.replica.incarnation(), m_state.clock.now());
        break;
    case End::Lost:
        noteLost(attempt, grant);
        break;
    }
    logAttempt(end, attempt, grant);
}

void RequestHandler::noteNotRun(const UpstreamAttempt &attempt, const DispatchGrant &grant)
{
    m_canSplit = m_canSplit && grant.helpers.empty();
    if (attempt.wasReached()) {
        m_state.health.onFailure(grant.replica.incarnation(), m_state.clock.now());
    } else if (!attempt.hasExpired()) {
        ++m_unreachable;
        m_state.noteUnreachable(grant.replica);
    }
}

void RequestHandler::noteLost(const UpstreamAttempt &attempt, const DispatchGrant &grant)
{
    const TimePoint now = m_state.clock.now();
    ++m_runs;
    m_canSplit = m_canSplit && grant.helpers.empty();
    m_state.health.onFailure(grant.replica.incarnation(), now);
    if (!attempt.hasExpired())
        noteDeath(grant);
    else if (attempt.status() == 0)
        m_state.zones.onSilence(grant.replica.zone, grant.replica.id, now);
}

void RequestHandler::logAttempt(End end, const UpstreamAttempt &attempt, const DispatchGrant &grant)
{
    LogLine line("attempt_failed");
    line.add("request", m_head.requestId)
        .add("replica", grant.replica.id)
        .add("born", static_cast<std::uint64_t>(grant.replica.startedAtMs))
        .add("end", endName(end))
        .add("status", static_cast<std::uint64_t>(attempt.status()))
        .add("expired", attempt.hasExpired() ? "yes" : "no")
        .add("reached", attempt.wasReached() ? "yes" : "no")
        .add("helpers", grant.helpers.size())
        .add("at_fault", attempt.head().faultyAddress)
        .addSeconds("since_arrival", toSeconds(m_state.clock.now() - m_arrived));
    LOG(INFO) << line.text();
}

std::string_view RequestHandler::endName(End end)
{
    switch (end) {
    case End::Answered:
        return "answered";
    case End::NotRun:
        return "not-run";
    case End::Failed:
        return "failed";
    case End::Lost:
        return "lost";
    case End::CallerDisconnected:
        return "caller-gone";
    }
    return "lost";
}

namespace {

/// Asks a replica for a connection; its process is gone if none comes about and others still
/// answer.
Task<void> confirmDeath(GatewayState &state, ReplicaEntry replica, Fingerprint fingerprint)
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
    const ReplicaIncarnation incarnation = replica.incarnation();
    state.noteUnreachable(replica);
    // A cut shows at other replicas too within this time.
    asio::steady_timer timer(state.executor, kSettle);
    co_await timer.async_wait(kAwait);
    if (state.deaths.mayHaveCrashed(incarnation, state.clock.now()))
        state.noteCrash(incarnation, fingerprint);
}

} // namespace

void RequestHandler::noteDeath(const DispatchGrant &grant)
{
    asio::co_spawn(m_state.executor, confirmDeath(m_state, grant.replica, m_fingerprint),
                   asio::detached);
}

} // namespace arbutuspier
