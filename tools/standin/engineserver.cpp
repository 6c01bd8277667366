// Advances the model at the end of each engine step and sends every token as a server-sent event
// whose id is the number of the token.
#include "engineserver.h"

#include "net/promptreader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <array>
#include <cstdlib>
#include <iostream>

namespace arbutuspier::standin {

namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

constexpr Duration kReportInterval = std::chrono::milliseconds{20};
constexpr std::size_t kMaxCacheEventBatches = 1'000;
constexpr std::uint64_t kVocabularySize = 10'000;
constexpr int kCrashExitCode = 70;

std::vector<std::pair<std::string, std::string>> notExecutedHeaders()
{
    return {{"X-Not-Run", "1"}};
}

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

std::uint64_t headerNumber(const Request &request, std::string_view name)
{
    const auto value = request[std::string(name)];
    return numberAfter({value.data(), value.size()}, "");
}

/// Depends only on the request body (`seed`) and the index, so that a stream resumed on another
/// engine continues with the same text.
std::string tokenText(std::uint64_t seed, std::uint64_t index)
{
    return 'w' + std::to_string(XXH64(&index, sizeof(index), seed) % kVocabularySize) + ' ';
}

std::string encodeTokenEvent(std::uint64_t seed, std::uint64_t index)
{
    const Json json = {{"choices", {{{"index", 0}, {"text", tokenText(seed, index)}}}}};
    return "id: " + std::to_string(index) + "\ndata: " + json.dump() + "\n\n";
}

std::string encodeChunk(const std::string &text)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
}

} // namespace

EngineServer::EngineServer(asio::io_context &context, EngineServerOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_engine(m_options.engine,
               Incarnation{static_cast<std::uint64_t>(
                   std::chrono::system_clock::now().time_since_epoch().count())})
    , m_stepTimer(context)
{
}

bool EngineServer::start()
{
    const bool isListening =
        serve(m_context, m_options.listen, [this](beast::tcp_stream &stream, Request request) {
            return handle(stream, std::move(request));
        });
    asio::co_spawn(m_context, runSteps(), asio::detached);
    asio::co_spawn(m_context, recordReports(), asio::detached);
    return isListening;
}

Task<void> EngineServer::runSteps()
{
    while (true) {
        const auto next = m_engine.nextStepAt();
        m_stepTimer.expires_at(next ? *next : TimePoint::max());
        co_await m_stepTimer.async_wait(kAwait);
        for (const model::EngineOutput &output : m_engine.advance(now()))
            onOutput(output);
    }
}

void EngineServer::onOutput(const model::EngineOutput &output)
{
    auto it = m_outputs.find(output.attempt);
    if (it == m_outputs.end())
        return;
    AttemptOutput &out = *it->second;
    if (output.kind == model::EngineOutput::Kind::Token) {
        out.unsentEvents += encodeTokenEvent(out.seed, output.tokens);
    } else {
        const Json usage = {
            {"usage",
             {{"completion_tokens", output.tokens}, {"cached_tokens", output.cachedTokens}}}};
        out.unsentEvents += "data: " + usage.dump() + "\n\ndata: [DONE]\n\n";
        out.isDone = true;
    }
    out.changeSignal.cancel();
    if (out.isDone)
        m_outputs.erase(it);
}

Task<void> EngineServer::recordReports()
{
    asio::steady_timer timer(m_context);
    while (true) {
        m_reports.emplace_back(now(), m_engine.report({}));
        while (m_reports.size() > 1 && m_reports[1].first + m_options.reportLag <= now())
            m_reports.pop_front();
        CacheEvents events = m_engine.collectCacheEvents({});
        if (!events.added.empty() || !events.removed.empty()) {
            events.sequence = m_cacheEvents.empty() ? 1 : m_cacheEvents.back().sequence + 1;
            m_cacheEvents.push_back(std::move(events));
        }
        if (m_cacheEvents.size() > kMaxCacheEventBatches)
            m_cacheEvents.pop_front();
        timer.expires_after(kReportInterval);
        co_await timer.async_wait(kAwait);
    }
}

std::string EngineServer::loadJson() const
{
    const auto &[at, report] = m_reports.front();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now() - at).count();
    Json json = {{"incarnation", report.incarnation.value},
                 {"age_ms", static_cast<std::uint64_t>(age)},
                 {"queued_tokens", report.queuedTokens},
                 {"running", report.running},
                 {"free_tokens", report.freeTokens},
                 {"used_tokens", m_engine.usedTokens()},
                 {"leaving", report.isDraining},
                 {"state", m_engine.state()},
                 {"expired_holdings", Json::array()}};
    for (ReservationId reservation : m_engine.expiredReservations(now()))
        json["expired_holdings"].push_back(reservation.value);
    return json.dump();
}

Task<bool> EngineServer::handle(beast::tcp_stream &stream, Request request)
{
    const std::string target(request.target());
    if (target.rfind("/v1/", 0) == 0)
        co_return co_await handleCompletion(stream, std::move(request));
    if (target.rfind("/holdings/", 0) == 0)
        co_return co_await handleReservation(stream, std::move(request));
    if (target.rfind("/load", 0) == 0)
        co_return co_await reply(stream, request, 200, loadJson());
    if (target.rfind("/cache-events", 0) == 0) {
        const std::uint64_t after = numberAfter(target, "after=");
        Json json = {{"sequence", after}, {"added", Json::array()}, {"removed", Json::array()}};
        for (const CacheEvents &events : m_cacheEvents) {
            if (events.sequence <= after)
                continue;
            json["sequence"] = events.sequence;
            for (std::uint64_t block : events.added)
                json["added"].push_back(block);
            for (std::uint64_t block : events.removed)
                json["removed"].push_back(block);
        }
        co_return co_await reply(stream, request, 200, json.dump());
    }
    if (target == "/leave") {
        m_engine.setDraining();
        co_return co_await reply(stream, request, 200, "{}");
    }
    if (target == "/orders") {
        const Json json = Json::parse(request.body(), nullptr, false);
        if (!json.is_object() || !json.contains("fence") || !json.contains("state"))
            co_return co_await reply(stream, request, 400, "{}");
        asio::steady_timer timer(m_context, m_options.engine.orderDuration);
        co_await timer.async_wait(kAwait);
        const OrderOutcome outcome = m_engine.executeOrder(json["fence"].get<std::uint64_t>(),
                                                           json["state"].get<std::string>());
        const bool isDone = outcome == OrderOutcome::Done;
        const Json state = {{"state", m_engine.state()}};
        co_return co_await reply(stream, request, isDone ? 200 : 409, state.dump());
    }
    co_return co_await reply(stream, request, 404, "{}");
}

Task<bool> EngineServer::handleReservation(beast::tcp_stream &stream, Request request)
{
    const ReservationId reservation{numberAfter(std::string(request.target()), "/holdings/")};
    if (request.method() == http::verb::delete_) {
        m_engine.release(reservation);
        if (auto it = m_outputs.find(AttemptId{reservation.value}); it != m_outputs.end()) {
            it->second->isDone = true;
            it->second->changeSignal.cancel();
            m_outputs.erase(it);
        }
        m_stepTimer.cancel();
        co_return co_await reply(stream, request, 200, "{}");
    }
    const Json json = Json::parse(request.body(), nullptr, false);
    if (!json.is_object() || !json.contains("tokens") || !json.contains("limit_ms"))
        co_return co_await reply(stream, request, 400, "{}");
    const TimePoint deadline =
        now() + std::chrono::milliseconds{json["limit_ms"].get<std::uint64_t>()};
    const bool isReserved =
        m_engine.reserve(reservation, json["tokens"].get<std::uint64_t>(), deadline, now());
    co_return co_await reply(stream, request, isReserved ? 201 : 409, "{}");
}

Task<bool> EngineServer::handleCompletion(beast::tcp_stream &stream, Request request)
{
    auto prompt = readPrompt(request.body());
    if (!prompt)
        co_return co_await reply(stream, request, 400, "{}", notExecutedHeaders());
    if (request.body().find(m_options.crashText) != std::string::npos) {
        std::cerr << "standin: engine exits because a request contains the crash text\n";
        std::_Exit(kCrashExitCode);
    }
    model::EngineRequest engineRequest;
    engineRequest.attempt = AttemptId{headerNumber(request, "X-Attempt")};
    engineRequest.promptTokens = prompt->promptTokens;
    engineRequest.maxTokens = prompt->maxTokens;
    engineRequest.prefixBlocks = prompt->prefixBlocks;
    engineRequest.resumeOffset = headerNumber(request, "X-Resume-Offset");
    engineRequest.priority = static_cast<int>(headerNumber(request, "X-Priority"));
    engineRequest.parallelGroupSize =
        std::max<std::uint64_t>(1, headerNumber(request, "X-Gang-Size"));
    engineRequest.reservation = ReservationId{headerNumber(request, "X-Reservation")};
    if (const std::uint64_t limit = headerNumber(request, "X-Time-Limit-Ms"); limit > 0)
        engineRequest.deadline = now() + std::chrono::milliseconds{limit};
    if (!engineRequest.attempt.isValid())
        engineRequest.attempt =
            AttemptId{static_cast<std::uint64_t>(now().time_since_epoch().count())};
    const AttemptId attempt = engineRequest.attempt;
    auto output = std::make_shared<AttemptOutput>(m_context);
    output->seed = bodyFingerprint(request.body()).value;
    output->changeSignal.expires_at(TimePoint::max());
    request.body().clear();
    request.body().shrink_to_fit();
    if (!m_engine.open(std::move(engineRequest), now()))
        co_return co_await reply(stream, request, 409, "{}", notExecutedHeaders());
    m_outputs[attempt] = output;
    m_stepTimer.cancel();
    co_return co_await writeEvents(stream, output);
}

Task<bool> EngineServer::writeEvents(beast::tcp_stream &stream,
                                     std::shared_ptr<AttemptOutput> output)
{
    std::string out = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    bool isConnected = true;
    while (isConnected) {
        if (!output->unsentEvents.empty())
            out += encodeChunk(std::exchange(output->unsentEvents, {}));
        const bool isLast = output->isDone;
        if (isLast)
            out += "0\r\n\r\n";
        if (!out.empty()) {
            const std::string bytes = std::exchange(out, {});
            const auto [error, size] =
                co_await asio::async_write(stream, asio::buffer(bytes), kAwait);
            // The engine isn't told that the caller disconnected and goes on generating the stream.
            isConnected = !error;
        }
        if (isLast)
            break;
        if (output->unsentEvents.empty() && !output->isDone && isConnected)
            co_await output->changeSignal.async_wait(kAwait);
    }
    co_return false;
}

} // namespace arbutuspier::standin
