// Validates requests before they reach the core, so that invalid ones never reach an upstream.
#include "net/httpfrontend.h"

#include "net/listen.h"
#include "net/transfercoding.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace arbutuspier {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::string_view kTimeLimitHeader = "X-Time-Limit-Ms";
constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::size_t kMaxKeyBytes = 200;
constexpr std::size_t kLargeBodyBytes = 256 * 1024;
constexpr std::uint64_t kMaxTimeLimitMs = 86'400'000;

std::string_view toStdView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

template <class T>
bool parseNumber(std::string_view text, T &out)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc{} && end == text.data() + text.size();
}

Problem badRequest(std::string detail)
{
    return {Verdict::NotRun, Reason::BadRequest, std::move(detail), {}};
}

/// Reads the time limit header, if there is one. Returns false if its value is invalid.
bool parseTimeLimit(const HttpFrontend::Request &request, Duration &limit)
{
    auto it = request.find(kTimeLimitHeader);
    if (it == request.end())
        return true;
    std::uint64_t milliseconds = 0;
    const bool isValid = parseNumber(toStdView(it->value()), milliseconds) && milliseconds > 0
        && milliseconds <= kMaxTimeLimitMs;
    limit = std::chrono::milliseconds{milliseconds};
    return isValid;
}

} // namespace

bool parseKeyIssueTime(std::string_view key, WallTime &issuedAt)
{
    const auto dash = key.find('-');
    std::int64_t seconds = 0;
    const bool isValid = dash != std::string_view::npos && dash > 0 && dash + 1 < key.size()
        && key.size() <= kMaxKeyBytes && parseNumber(key.substr(0, dash), seconds) && seconds >= 0;
    if (isValid)
        issuedAt = WallTime{std::chrono::seconds{seconds}};
    return isValid;
}

HttpFrontend::HttpFrontend(const Settings &settings, EventSink &events, SessionRegistry &sessions,
                           const MetricsRegistry &metrics, std::uint64_t firstRequestId)
    : m_settings(settings)
    , m_events(events)
    , m_sessions(sessions)
    , m_metrics(metrics)
    , m_nextRequestId(firstRequestId)
{
}

Result<bool> HttpFrontend::listen(asio::io_context &context)
{
    auto acceptor = openAcceptor(context, m_settings.listen, "vm.listen");
    if (!acceptor)
        return acceptor.error();
    m_acceptor = std::move(*acceptor);
    return true;
}

void HttpFrontend::close()
{
    ErrorCode ignored;
    m_acceptor->close(ignored);
}

Task<void> HttpFrontend::accept(std::vector<asio::io_context *> trafficContexts)
{
    std::size_t next = 0;
    while (m_acceptor->is_open()) {
        asio::io_context &context = *trafficContexts[next++ % trafficContexts.size()];
        auto [error, socket] = co_await m_acceptor->async_accept(context, kAwait);
        if (error)
            continue;
        if (m_connectionCount >= m_settings.http.maxConnections)
            continue;
        ErrorCode ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        asio::co_spawn(context, serveConnection(std::move(socket)), asio::detached);
    }
}

Task<void> HttpFrontend::serveConnection(Tcp::socket socket)
{
    ++m_connectionCount;
    beast::tcp_stream stream(std::move(socket));
    // Bounds the head of a request and of each of its chunks.
    constexpr std::size_t kMaxBufferBytes = 1024 * 1024;
    beast::flat_buffer buffer(kMaxBufferBytes);
    bool isKeptAlive = true;
    while (isKeptAlive) {
        RequestParser parser;
        parser.header_limit(m_settings.http.maxHeaderBytes);
        parser.body_limit(m_settings.http.maxBodyBytes);
        stream.expires_after(m_settings.http.idleTimeout);
        // A connection may stay idle this long before the first byte of a request. The rest of the
        // request has a timeout of its own, so that a slow sender can't occupy the connection.
        const auto [waitError] = co_await stream.socket().async_wait(
            Tcp::socket::wait_read, asio::as_tuple(asio::use_awaitable));
        if (waitError)
            break;
        stream.expires_after(m_settings.http.requestReadTimeout);
        const ErrorCode error = co_await readRequest(stream, buffer, parser);
        stream.expires_never();
        if (error == http::error::body_limit || error == http::error::header_limit) {
            Request unparsed;
            unparsed.version(11);
            Problem problem{Verdict::NotRun,
                            Reason::TooLarge,
                            "The header or body of the request is larger than this VM accepts.",
                            {}};
            unparsed.keep_alive(false);
            co_await respondProblem(stream, unparsed, std::move(problem));
            break;
        }
        if (error == http::error::end_of_stream)
            break;
        if (error
            && error.category() == http::make_error_code(http::error::bad_method).category()) {
            Request unparsed;
            unparsed.version(11);
            unparsed.keep_alive(false);
            co_await respondProblem(stream, unparsed, badRequest("The request is not valid HTTP."));
            break;
        }
        if (error)
            break;
        isKeptAlive = co_await serveRequest(stream, parser.release());
    }
    ErrorCode ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    --m_connectionCount;
}

Task<ErrorCode> HttpFrontend::readRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                                          RequestParser &parser)
{
    const auto [headerError, headerSize] =
        co_await http::async_read_header(stream, buffer, parser, kAwait);
    if (headerError)
        co_return headerError;
    if (!canDecodeBody(parser.get()))
        co_return make_error_code(http::error::bad_transfer_encoding);
    // A caller that sent "Expect: 100-continue" waits for this response before it sends the body.
    const bool expectsContinue =
        beast::iequals(parser.get()[http::field::expect], "100-continue") && !parser.is_done();
    if (expectsContinue) {
        constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
        const auto [error, size] =
            co_await asio::async_write(stream, asio::buffer(kContinue), kAwait);
        if (error)
            co_return error;
    }
    const auto [error, size] = co_await http::async_read(stream, buffer, parser, kAwait);
    co_return error;
}

Task<bool> HttpFrontend::serveRequest(beast::tcp_stream &stream, Request request)
{
    const std::string target(toStdView(request.target()));
    const std::string path = target.substr(0, target.find('?'));
    const bool isGet = request.method() == http::verb::get;
    if (path.rfind(kServicesPrefix, 0) == 0)
        co_return co_await serveCall(stream, std::move(request));
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
        if (request.method() == http::verb::post)
            co_return co_await servePrompt(stream, std::move(request));
        co_return co_await respondProblem(stream, request,
                                          badRequest("This path expects the method POST."));
    }
    if (isGet && path == "/healthz")
        co_return co_await respondPlain(stream, request, 200, "text/plain", "ok\n");
    if (isGet && path == "/readyz") {
        const bool isReady = !m_isDraining;
        co_return co_await respondPlain(stream, request, isReady ? 200 : 503, "text/plain",
                                        isReady ? "ready\n" : "draining\n");
    }
    if (isGet && path == "/metrics")
        co_return co_await respondPlain(stream, request, 200, "text/plain; version=0.0.4",
                                        m_metrics.prometheus());
    if (isGet && path == "/v1/models")
        co_return co_await respondPlain(stream, request, 200, "application/json", modelsJson());
    co_return co_await respondPlain(
        stream, request, 404, "application/problem+json",
        problemJson(badRequest("Unknown path, or wrong method for this path.")));
}

std::string HttpFrontend::modelsJson() const
{
    nlohmann::json json;
    json["object"] = "list";
    json["data"] = nlohmann::json::array();
    std::vector<std::string> listedModels;
    for (const UpstreamInfo &upstream : m_settings.upstreams) {
        const bool isNew = std::find(listedModels.begin(), listedModels.end(), upstream.target)
            == listedModels.end();
        if (upstream.kind != RequestKind::Prompt || !isNew)
            continue;
        listedModels.push_back(upstream.target);
        json["data"].push_back({{"id", upstream.target}, {"object", "model"}});
    }
    return json.dump();
}

const TeamSettings *HttpFrontend::findTeam(const Request &request) const
{
    const std::string_view value = toStdView(request[http::field::authorization]);
    if (value.substr(0, kBearerPrefix.size()) != kBearerPrefix)
        return nullptr;
    auto it = m_settings.teamsByKey.find(std::string(value.substr(kBearerPrefix.size())));
    return it == m_settings.teamsByKey.end() ? nullptr : &it->second;
}

bool HttpFrontend::isAtMostOnceCall(const std::string &service, std::string_view method,
                                    std::string_view path) const
{
    auto it = m_settings.atMostOnceCalls.find(service);
    if (it == m_settings.atMostOnceCalls.end())
        return false;
    return std::any_of(it->second.begin(), it->second.end(), [&](const CallPattern &pattern) {
        return pattern.method == method && path.rfind(pattern.pathPrefix, 0) == 0;
    });
}

Task<Result<PromptSummary>> HttpFrontend::parseBody(const std::string &body)
{
    if (body.size() < kLargeBodyBytes)
        co_return readPrompt(body);
    co_return co_await asio::co_spawn(
        m_largeBodyPool.get_executor(),
        [&body]() -> Task<Result<PromptSummary>> { co_return readPrompt(body); },
        asio::use_awaitable);
}

Task<bool> HttpFrontend::servePrompt(beast::tcp_stream &stream, Request request)
{
    const TeamSettings *team = findTeam(request);
    if (!team)
        co_return co_await respondProblem(stream, request,
                                          {Verdict::NotRun, Reason::UnknownTeam, {}, {}});
    auto prompt = co_await parseBody(request.body());
    if (!prompt)
        co_return co_await respondProblem(stream, request, badRequest(prompt.error().message));
    RequestSpec spec;
    if (!parseTimeLimit(request, spec.timeLimit))
        co_return co_await respondProblem(
            stream, request,
            badRequest("X-Time-Limit-Ms: expected a whole number from 1 to 86400000."));
    spec.kind = RequestKind::Prompt;
    spec.team = team->name;
    spec.className = team->className;
    spec.target = prompt->model;
    spec.promptTokens = prompt->promptTokens;
    spec.maxTokens = prompt->maxTokens;
    spec.prefixBlocks = std::move(prompt->prefixBlocks);
    spec.fingerprint = bodyFingerprint(request.body());
    OutgoingRequest outgoing{"POST",
                             std::string(toStdView(request.target())),
                             "application/json",
                             std::make_shared<const std::string>(std::move(request.body())),
                             {}};
    const ResponseForm form =
        prompt->isStreaming ? ResponseForm::Events : ResponseForm::WholeCompletion;
    auto session = std::make_shared<CallerSession>(
        stream.get_executor(), RequestId{m_nextRequestId++}, form, std::move(outgoing), m_events);
    co_return co_await runSession(stream, std::move(session), std::move(spec),
                                  request.keep_alive());
}

Task<bool> HttpFrontend::serveCall(beast::tcp_stream &stream, Request request)
{
    const TeamSettings *team = findTeam(request);
    if (!team)
        co_return co_await respondProblem(stream, request,
                                          {Verdict::NotRun, Reason::UnknownTeam, {}, {}});
    const std::string target(toStdView(request.target()));
    const std::size_t nameEnd = std::min(target.find('/', kServicesPrefix.size()), target.size());
    const std::string service =
        target.substr(kServicesPrefix.size(), nameEnd - kServicesPrefix.size());
    const std::string path = nameEnd < target.size() ? target.substr(nameEnd) : "/";
    RequestSpec spec;
    spec.kind = RequestKind::ServiceCall;
    spec.team = team->name;
    spec.className = team->className;
    spec.target = service;
    const std::string method(toStdView(request.method_string()));
    if (!parseTimeLimit(request, spec.timeLimit))
        co_return co_await respondProblem(
            stream, request,
            badRequest("X-Time-Limit-Ms: expected a whole number from 1 to 86400000."));
    spec.idempotencyKey = std::string(toStdView(request[kIdempotencyKeyHeader]));
    const bool hasKey = !spec.idempotencyKey.empty();
    spec.isRetryable = !hasKey && !isAtMostOnceCall(service, method, path);
    if (!spec.isRetryable && !parseKeyIssueTime(spec.idempotencyKey, spec.keyIssuedAt))
        co_return co_await respondProblem(
            stream, request,
            badRequest("This call must not run twice. Send it with the header Idempotency-Key: "
                       "<seconds since 1970>-<unique text>."));
    const std::string callIdentity = method + ' ' + path + '\n';
    spec.fingerprint =
        Fingerprint{bodyFingerprint(callIdentity).value ^ bodyFingerprint(request.body()).value};
    OutgoingRequest outgoing{
        method, path, std::string(toStdView(request[http::field::content_type])),
        std::make_shared<const std::string>(std::move(request.body())), spec.idempotencyKey};
    auto session =
        std::make_shared<CallerSession>(stream.get_executor(), RequestId{m_nextRequestId++},
                                        ResponseForm::PlainService, std::move(outgoing), m_events);
    co_return co_await runSession(stream, std::move(session), std::move(spec),
                                  request.keep_alive());
}

Task<bool> HttpFrontend::runSession(beast::tcp_stream &stream,
                                    std::shared_ptr<CallerSession> session, RequestSpec spec,
                                    bool isKeptAlive)
{
    m_sessions.add(session);
    m_events.post(CallerRequest{session->id(), std::move(spec)});
    const bool isUsable = co_await session->serve(stream, isKeptAlive);
    m_sessions.remove(session->id());
    co_return isUsable &&isKeptAlive;
}

Task<bool> HttpFrontend::respondPlain(beast::tcp_stream &stream, const Request &request, int status,
                                      std::string_view contentType, std::string body)
{
    http::response<http::string_body> response(static_cast<http::status>(status),
                                               request.version());
    response.set(http::field::content_type,
                 boost::beast::string_view(contentType.data(), contentType.size()));
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    stream.expires_after(m_settings.http.requestReadTimeout);
    const auto [error, size] = co_await http::async_write(stream, response, kAwait);
    stream.expires_never();
    co_return !error && request.keep_alive();
}

Task<bool> HttpFrontend::respondProblem(beast::tcp_stream &stream, const Request &request,
                                        Problem problem)
{
    http::response<http::string_body> response(
        static_cast<http::status>(httpStatus(problem.reason)), request.version());
    response.set(http::field::content_type, "application/problem+json");
    response.set(std::string(kVerdictHeader), std::string(verdictName(problem.verdict)));
    response.keep_alive(request.keep_alive());
    response.body() = problemJson(problem);
    response.prepare_payload();
    stream.expires_after(m_settings.http.requestReadTimeout);
    const auto [error, size] = co_await http::async_write(stream, response, kAwait);
    stream.expires_never();
    co_return !error && request.keep_alive();
}

} // namespace arbutuspier
