// Requests with the X-Arbutuspier-Token-Usage header (prompts) get an event stream, all others a
// complete response.
#include "replicaserver.h"

#include "platform/tablenames.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace arbutuspier::standin {

namespace http = boost::beast::http;

namespace {

constexpr int kOk = 200;
constexpr int kMisdirectedRequest = 421;
constexpr std::uint32_t kSlots = 16;
constexpr int kCrashExitCode = 1;
constexpr Duration kStoreTimeout = std::chrono::milliseconds{500};

std::uint64_t millisecondsSinceEpoch()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

/// Returns the ids of all parts of a prompt but the last. `prefix` lists ID:TOKENS entries.
std::vector<std::string> sharedPartIds(std::string_view prefix)
{
    std::vector<std::string> ids;
    for (auto comma = prefix.find(','); comma != std::string_view::npos; comma = prefix.find(',')) {
        const std::string_view entry = prefix.substr(0, comma);
        ids.emplace_back(entry.substr(0, entry.find(':')));
        prefix.remove_prefix(comma + 1);
    }
    return ids;
}

/// The number that the request's query gives for `key=`; `otherwise` if it gives none.
std::uint64_t queryNumber(const Request &request, std::string_view key, std::uint64_t otherwise)
{
    const std::string_view target(request.target().data(), request.target().size());
    return target.find(key) == std::string_view::npos ? otherwise : numberAfter(target, key);
}

Duration queryTime(const Request &request, std::string_view key, Duration otherwise)
{
    const auto otherwiseMs = std::chrono::duration_cast<std::chrono::milliseconds>(otherwise);
    return std::chrono::milliseconds{
        queryNumber(request, key, static_cast<std::uint64_t>(otherwiseMs.count()))};
}

/// Prints what happened to a request whose prompt holds the part.
void printPartEvent(const char *event, const std::string &part, const Request &request)
{
    std::cout << event << " part=" << part << " request=" << request["X-Arbutuspier-Attempt-Id"]
              << " at_ms=" << millisecondsSinceEpoch() << std::endl;
}

/// Prints that a part of the response to the request was spoiled.
void printSpoiled(const char *part, const Request &request)
{
    std::cout << "spoiled " << part << " request=" << request["X-Arbutuspier-Attempt-Id"]
              << std::endl;
}

} // namespace

ReplicaServer::ReplicaServer(asio::io_context &context, ReplicaServerOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_store(context.get_executor(), m_options.store)
    , m_signals(context, SIGTERM)
    , m_startedAtMs(millisecondsSinceEpoch())
    , m_spoiler(m_options.spoilerSeed)
{
}

bool ReplicaServer::start()
{
    asio::co_spawn(m_context, sendHeartbeats(), asio::detached);
    asio::co_spawn(m_context, watchSignals(), asio::detached);
    return serve(m_context, m_options.listen, [this](beast::tcp_stream &stream, Request request) {
        return handle(stream, std::move(request));
    });
}

Task<void> ReplicaServer::sendHeartbeats()
{
    asio::steady_timer timer(m_context);
    while (true) {
        const nlohmann::json entry = {{"service", m_options.service},
                                      {"address", m_options.listen.text()},
                                      {"zone", m_options.zone},
                                      {"version", "v1"},
                                      {"slots", kSlots},
                                      {"state", m_isDraining ? "draining" : "ready"},
                                      {"coldLeftMs", 0},
                                      {"sequence", ++m_heartbeatSequence},
                                      {"born", m_startedAtMs}};
        co_await m_store.write(platform::kReplicaTable, m_options.id, entry.dump(), kStoreTimeout);
        timer.expires_after(m_options.heartbeat);
        co_await timer.async_wait(kAwait);
    }
}

Task<void> ReplicaServer::watchSignals()
{
    const auto [error, signal] = co_await m_signals.async_wait(kAwait);
    if (!error)
        m_isDraining = true;
}

Task<bool> ReplicaServer::handle(beast::tcp_stream &stream, Request request)
{
    if (request.target() == "/runs")
        co_return co_await reply(stream, request, kOk, std::to_string(m_executedRequestCount));
    if (request.target() == "/limit")
        co_return co_await setLimit(stream, request);
    if (request.target() == "/spoil")
        co_return co_await setSpoiling(stream, request);
    if (m_logsArrivals)
        std::cout << "arrived at_ms=" << millisecondsSinceEpoch() << std::endl;
    const bool isForThisReplica = request["X-Arbutuspier-Expected-Instance"] == m_options.id;
    if (isCrashing(request))
        std::cout << "got crashing request " << request["X-Arbutuspier-Attempt-Id"]
                  << (isForThisReplica ? "" : ", refused") << " at_ms=" << millisecondsSinceEpoch()
                  << std::endl;
    if (!isForThisReplica)
        co_return co_await reply(stream, request, kMisdirectedRequest, "{}");
    ++m_executedRequestCount;
    co_await crashIfAskedTo(request);
    if (request.count("X-Arbutuspier-Token-Usage") != 0)
        co_return co_await this->streamEvents(stream, request);
    asio::steady_timer work(m_context, queryTime(request, "work_ms=", Duration::zero()));
    co_await work.async_wait(kAwait);
    // Built before the call, because this compiler can't keep an initializer list of pairs alive
    // across a co_await.
    std::vector<std::pair<std::string, std::string>> headers;
    headers.emplace_back("X-Arbutuspier-Attempt-Id", request["X-Arbutuspier-Attempt-Id"]);
    headers.emplace_back("X-Arbutuspier-Response-Signature", m_options.id);
    headers.emplace_back("Keep-Alive", "timeout=5");
    if (!m_limit.empty())
        headers.emplace_back("Server-Limit", m_limit);
    std::string body = "ran " + request.body();
    if (m_spoiler.isDue())
        co_return co_await replySpoiled(stream, request, std::move(body));
    co_return co_await reply(stream, request, kOk, std::move(body), std::move(headers));
}

Task<bool> ReplicaServer::setLimit(beast::tcp_stream &stream, const Request &request)
{
    m_limit = request.body();
    m_logsArrivals = true;
    std::cout << "limit " << (m_limit.empty() ? "ended" : m_limit)
              << " at_ms=" << millisecondsSinceEpoch() << std::endl;
    co_return co_await reply(stream, request, kOk, "{}");
}

Task<bool> ReplicaServer::setSpoiling(beast::tcp_stream &stream, const Request &request)
{
    m_spoiler.setOneIn(numberAfter(request.body(), ""));
    co_return co_await reply(stream, request, kOk, "{}");
}

std::string ReplicaServer::head(const Request &request, std::string_view framing) const
{
    return "HTTP/1.1 200 OK\r\nX-Arbutuspier-Attempt-Id: "
        + std::string(request["X-Arbutuspier-Attempt-Id"])
        + "\r\nX-Arbutuspier-Response-Signature: " + m_options.id
        + (m_limit.empty() ? "" : "\r\nServer-Limit: " + m_limit) + "\r\n" + std::string(framing)
        + "\r\n\r\n";
}

Task<bool> ReplicaServer::replySpoiled(beast::tcp_stream &stream, const Request &request,
                                       std::string body)
{
    const std::string sound = head(request, "Content-Length: " + std::to_string(body.size()));
    const std::string bytes = m_spoiler.spoilHead(sound) + body;
    printSpoiled("head", request);
    co_await asio::async_write(stream, asio::buffer(bytes), kAwait);
    co_return false;
}

bool ReplicaServer::isCrashing(const Request &request) const
{
    return !m_options.crashText.empty()
        && request.body().find(m_options.crashText) != std::string::npos;
}

Task<void> ReplicaServer::crashIfAskedTo(const Request &request) const
{
    if (!isCrashing(request))
        co_return;
    asio::steady_timer timer(m_context, m_options.crashDelay);
    co_await timer.async_wait(kAwait);
    std::cout << "crashed by request " << request["X-Arbutuspier-Attempt-Id"]
              << " at_ms=" << millisecondsSinceEpoch() << std::endl;
    std::_Exit(kCrashExitCode);
}

std::string ReplicaServer::crashingPart(const Request &request) const
{
    const std::string prefix(request["X-Arbutuspier-Prompt-Prefix"]);
    for (const std::string &id : sharedPartIds(prefix)) {
        const auto found = std::find(m_options.crashParts.begin(), m_options.crashParts.end(), id);
        if (found != m_options.crashParts.end())
            return id;
    }
    return {};
}

Task<bool> ReplicaServer::streamEvents(beast::tcp_stream &stream, const Request &request)
{
    const bool isSpoiled = m_spoiler.isDue();
    const bool hasSpoiledHead = isSpoiled && m_spoiler.below(2) == 0;
    std::string responseHead =
        head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked");
    if (hasSpoiledHead) {
        responseHead = m_spoiler.spoilHead(std::move(responseHead));
        printSpoiled("head", request);
    }
    const auto [headError, headSize] =
        co_await asio::async_write(stream, asio::buffer(responseHead), kAwait);
    if (headError || hasSpoiledHead)
        co_return false;
    const bool isResumed = request.count("Last-Event-Id") != 0;
    const std::string lastEventId(request["Last-Event-Id"]);
    const std::string part = crashingPart(request);
    if (!part.empty())
        printPartEvent("arrived", part, request);
    asio::steady_timer timer(m_context, queryTime(request, "first_ms=", m_options.prefill));
    co_await timer.async_wait(kAwait);
    if (!part.empty()) {
        printPartEvent("crashed", part, request);
        std::_Exit(kCrashExitCode);
    }
    const std::uint64_t events = queryNumber(request, "events=", m_options.eventsPerStream);
    const Duration gap = queryTime(request, "gap_ms=", m_options.eventGap);
    const std::uint64_t spoiledEvent = isSpoiled ? m_spoiler.below(events) : events;
    for (std::uint64_t event = isResumed ? std::stoull(lastEventId) + 1 : 0; event < events;
         ++event) {
        timer.expires_after(gap);
        co_await timer.async_wait(kAwait);
        std::string text = "id: " + std::to_string(event) + "\ndata: x\n\n";
        if (event == spoiledEvent) {
            text = m_spoiler.spoilEvent(std::move(text));
            printSpoiled("event", request);
        }
        const auto [error, size] =
            co_await asio::async_write(stream, http::make_chunk(asio::buffer(text)), kAwait);
        if (error)
            co_return false;
    }
    const auto [error, size] =
        co_await asio::async_write(stream, asio::buffer("0\r\n\r\n", 5), kAwait);
    co_return !error;
}

} // namespace arbutuspier::standin
