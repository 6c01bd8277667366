// Sends again only what did not run or may run again, within the attempts of the route and the
// allowance of the fleet.
#include "gateway/requesthandler.h"

#include "kernel/logline.h"

#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>

namespace arbutuspier {

namespace http = boost::beast::http;

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

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
    case DispatchRefusal::NoTime:
        return "cannot-meet-deadline";
    case DispatchRefusal::Cancelled:
        return "caller-gone";
    }
    return "no-room";
}

} // namespace

Fingerprint requestFingerprint(std::string_view target, std::string_view team,
                               std::string_view body)
{
    const std::uint64_t path = XXH64(target.data(), target.size(), 0);
    const std::uint64_t caller = XXH64(team.data(), team.size(), path);
    return Fingerprint{XXH64(body.data(), body.size(), caller)};
}

RequestHandler::RequestHandler(GatewayState &state, CallerConnection &caller,
                               const Request &request)
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

RequestHandler::~RequestHandler()
{
    m_caller.onGone = nullptr;
}

Duration RequestHandler::timeLeft() const
{
    return std::min(m_callerEnd, m_routeEnd) - m_state.clock.now();
}

TimePoint RequestHandler::deadline() const
{
    const TimePoint end = std::min(m_callerEnd, m_routeEnd) - kAnswerMargin;
    return m_state.drainEnd() ? std::min(end, *m_state.drainEnd()) : end;
}

Task<void> RequestHandler::run()
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
    if (m_state.quarantine.quarantineState(m_fingerprint)
        == Quarantine::QuarantineState::Quarantined) {
        co_await refuse(kUnavailable, "quarantined", std::nullopt);
        co_return;
    }
    m_service = pickService(*m_route, uniform(m_state.random));
    m_state.allowance(m_service).onRequest(m_state.clock.now());
    if (m_route->kind == RepeatKind::Stream)
        m_splice.emplace(m_head.lastEventId);
    co_await attemptUntilAnswered();
}

bool RequestHandler::checkKey()
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

void RequestHandler::limitTime()
{
    const bool isLimited = m_route->timeout > Duration::zero();
    m_routeEnd = isLimited ? m_arrived + m_route->timeout : TimePoint::max();
    m_callerEnd = m_head.callerTimeout ? m_arrived + *m_head.callerTimeout : m_routeEnd;
    const bool isEndless = m_callerEnd == TimePoint::max();
    constexpr Duration kDefaultTime = std::chrono::seconds{30};
    if (isEndless)
        m_callerEnd = m_arrived + kDefaultTime;
}

PromptShape RequestHandler::promptShape() const
{
    PromptShape shape;
    shape.objective = m_route->objective;
    shape.eventGapObjective = m_route->eventGapObjective;
    shape.promptTokens = m_head.promptTokens;
    shape.maySplit = m_canSplit;
    shape.timeLeft = deadline() - m_state.clock.now();
    const ServiceSpec *service = m_table->service(m_service);
    const double usual = service && service->engine ? service->engine->meanOutputTokens : 0;
    shape.outputTokens = m_head.expectedOutputTokens;
    if (shape.outputTokens == 0)
        shape.outputTokens = static_cast<std::uint64_t>(usual);
    if (m_head.maxOutputTokens > 0)
        shape.outputTokens = std::min(shape.outputTokens, m_head.maxOutputTokens);
    return shape;
}

DispatchRequirements RequestHandler::need() const
{
    DispatchRequirements need;
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

Duration RequestHandler::retryAfter(DispatchRefusal refusal) const
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

Task<void> RequestHandler::attemptUntilAnswered()
{
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
                co_await answerFailure();
                co_return;
            }
            co_await refuse(kUnavailable, reasonOf(result.refusal), retryAfter(result.refusal));
            co_return;
        }
        const End last = co_await attempt(*result.grant);
        m_state.workList.end(result.grant->work);
        if (last == End::Answered || last == End::CallerDisconnected)
            co_return;
        if (!mayRetry(last))
            break;
    }
    co_await answerFailure();
}

bool RequestHandler::mayRetry(End end)
{
    if (m_caller.isGone() || m_state.clock.now() >= deadline())
        return false;
    if (m_state.quarantine.quarantineState(m_fingerprint)
        == Quarantine::QuarantineState::Quarantined)
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

Task<void> RequestHandler::answerFailure()
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
    co_await refuse(isLate ? kGatewayTimeout : kBadGateway, isLate ? "deadline" : "upstream-lost",
                    std::nullopt);
}

Task<void> RequestHandler::refuse(int status, std::string_view reason,
                                  std::optional<Duration> retryAfter)
{
    platform::Fields fields;
    platform::setGatewayResponseFields(fields, m_head.requestId, retryAfter);
    log(std::to_string(status), reason);
    co_await m_caller.sendWhole(status, std::move(fields), {});
}

void RequestHandler::log(std::string_view outcome, std::string_view reason)
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
