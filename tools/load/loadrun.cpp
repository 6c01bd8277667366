// Each request runs in its own coroutine, so a slow response doesn't delay other requests.
#include "loadrun.h"

#include "metrics/requestmetrics.h"
#include "net/httpchannel.h"
#include "net/problem.h"
#include "net/promptreader.h"
#include "net/sseparser.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <nlohmann/json.hpp>
#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <fstream>

namespace arbutuspier::load {

namespace http = boost::beast::http;

namespace {

constexpr int kHttp11 = 11;
constexpr Duration kRequestTimeout = std::chrono::minutes{10};
/// Time in which the rate changes from `Profile::rate` to `Profile::peakRate`.
constexpr double kPeakRampSeconds = 2.0;

double percentile(std::vector<double> values, double quantile)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1))];
}

bool parseAddress(const std::string &text, Address &address)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    address.host = text.substr(0, colon);
    address.port = static_cast<std::uint16_t>(std::strtoul(text.c_str() + colon + 1, nullptr, 10));
    ErrorCode error;
    asio::ip::make_address(address.host, error);
    return !error && address.port != 0;
}

template <class T>
void readNumber(const toml::table &table, const char *key, T &value)
{
    if constexpr (std::is_same_v<T, double>)
        value = table[key].value_or(value);
    else
        value = static_cast<T>(table[key].value_or(static_cast<std::int64_t>(value)));
}

const std::array<std::string_view, 15> kProfileKeys = {
    "targets",    "key",      "model",         "seconds",   "rate",
    "crest_rate", "crest_at", "short_min",     "short_max", "long_part",
    "long_min",   "long_max", "answer_tokens", "seed",      ""};

} // namespace

Result<Profile> loadProfile(const std::string &fileName)
{
    toml::table table;
    try {
        table = toml::parse_file(fileName);
    } catch (const toml::parse_error &error) {
        return Error(fileName + ':' + std::to_string(error.source().begin.line) + ": "
                     + std::string(error.description()));
    }
    for (const auto &[key, node] : table) {
        if (std::find(kProfileKeys.begin(), kProfileKeys.end(), key.str()) == kProfileKeys.end())
            return Error(fileName + ':' + std::to_string(node.source().begin.line) + ": "
                         + std::string(key.str()) + ": unknown key");
    }
    Profile profile;
    if (const toml::array *targets = table["targets"].as_array()) {
        for (const toml::node &node : *targets) {
            Address address;
            if (!parseAddress(node.value_or(std::string()), address))
                return Error(fileName + ": targets: expected a list of IP:port");
            profile.targets.push_back(std::move(address));
        }
    }
    profile.key = table["key"].value_or(std::string());
    profile.model = table["model"].value_or(std::string());
    readNumber(table, "seconds", profile.seconds);
    readNumber(table, "rate", profile.rate);
    readNumber(table, "crest_rate", profile.peakRate);
    readNumber(table, "crest_at", profile.peakStartSeconds);
    readNumber(table, "short_min", profile.shortMin);
    readNumber(table, "short_max", profile.shortMax);
    readNumber(table, "long_part", profile.longFraction);
    readNumber(table, "long_min", profile.longMin);
    readNumber(table, "long_max", profile.longMax);
    readNumber(table, "answer_tokens", profile.outputTokens);
    readNumber(table, "seed", profile.seed);
    const bool isValid = !profile.targets.empty() && !profile.key.empty() && !profile.model.empty()
        && profile.rate > 0 && profile.seconds > 0 && profile.shortMin > 0
        && profile.shortMax >= profile.shortMin && profile.longMin > 0
        && profile.longMax >= profile.longMin;
    if (!isValid)
        return Error(fileName
                     + ": targets, key and model must be set; rate, seconds, short_min and "
                       "long_min must be above zero; short_max and long_max must not be below "
                       "short_min and long_min");
    return profile;
}

LoadRun::LoadRun(Profile profile, bool printsProgress)
    : m_profile(std::move(profile))
    , m_printsProgress(printsProgress)
    , m_random(m_profile.seed)
{
}

std::uint64_t LoadRun::drawPromptTokens()
{
    const bool isLong = uniform(m_random) < m_profile.longFraction;
    const double logMin =
        std::log(static_cast<double>(isLong ? m_profile.longMin : m_profile.shortMin));
    const double logMax =
        std::log(static_cast<double>(isLong ? m_profile.longMax : m_profile.shortMax));
    return static_cast<std::uint64_t>(std::exp(logMin + (logMax - logMin) * uniform(m_random)));
}

Task<void> LoadRun::sendRequests()
{
    asio::steady_timer timer(m_context);
    double arrivalSeconds = 0;
    std::size_t requestIndex = 0;
    while (true) {
        double rate = m_profile.rate;
        if (m_profile.peakRate > 0 && arrivalSeconds >= m_profile.peakStartSeconds) {
            const double rampFraction =
                std::min(1.0, (arrivalSeconds - m_profile.peakStartSeconds) / kPeakRampSeconds);
            rate += (m_profile.peakRate - m_profile.rate) * rampFraction;
        }
        arrivalSeconds += -std::log(1.0 - uniform(m_random)) / rate;
        if (arrivalSeconds >= m_profile.seconds)
            break;
        timer.expires_at(m_startedAt + fromSeconds(arrivalSeconds));
        co_await timer.async_wait(kAwait);
        ++m_openRequestCount;
        asio::co_spawn(m_context, runRequest(requestIndex++, drawPromptTokens()), asio::detached);
    }
    m_hasStartedAllRequests = true;
}

Task<void> LoadRun::printProgress()
{
    asio::steady_timer timer(m_context);
    while (!m_hasStartedAllRequests || m_openRequestCount > 0) {
        timer.expires_after(std::chrono::seconds{1});
        co_await timer.async_wait(kAwait);
        std::fprintf(stderr, "\r%5.0f s: %zu finished, %zu open ",
                     toSeconds(std::chrono::steady_clock::now() - m_startedAt), m_results.size(),
                     m_openRequestCount);
    }
    std::fprintf(stderr, "\n");
}

Task<void> LoadRun::runRequest(std::size_t requestIndex, std::uint64_t promptTokens)
{
    RequestResult result;
    const TimePoint startedAt = std::chrono::steady_clock::now();
    const auto elapsedSeconds = [&] {
        return toSeconds(std::chrono::steady_clock::now() - startedAt);
    };
    result.arrivalSeconds = toSeconds(startedAt - m_startedAt);
    result.promptTokens = promptTokens;
    const Address &target = m_profile.targets[requestIndex % m_profile.targets.size()];
    beast::tcp_stream stream(m_context);
    stream.expires_after(kRequestTimeout);
    const auto [connectError] = co_await stream.async_connect(endpointOf(target), kAwait);
    if (!connectError) {
        http::request<http::string_body> message(http::verb::post, "/v1/completions", kHttp11);
        message.set(http::field::host, target.text());
        message.set(http::field::authorization, "Bearer " + m_profile.key);
        message.set(http::field::connection, "close");
        std::string text = std::to_string(requestIndex) + ' ';
        text.append(promptTokens * kBytesPerToken, 'q');
        message.body() = "{\"model\":\"" + m_profile.model + "\",\"stream\":true,\"max_tokens\":"
            + std::to_string(m_profile.outputTokens) + ",\"prompt\":\"" + text + "\"}";
        message.prepare_payload();
        const auto [writeError, written] = co_await http::async_write(stream, message, kAwait);
        beast::flat_buffer buffer;
        http::response_parser<http::buffer_body> parser;
        parser.body_limit(boost::none);
        if (!writeError)
            co_await http::async_read_header(stream, buffer, parser, kAwait);
        result.httpStatus = parser.is_header_done() ? parser.get().result_int() : 0;
        result.verdict = std::string(parser.get()[std::string(kVerdictHeader)]);
        SseParser events;
        std::array<char, 8'192> bytes;
        while (parser.is_header_done() && !parser.is_done()) {
            parser.get().body().data = bytes.data();
            parser.get().body().size = bytes.size();
            const auto [error, size] =
                co_await http::async_read_some(stream, buffer, parser, kAwait);
            events.feed(std::string_view(bytes.data(), bytes.size() - parser.get().body().size));
            while (const auto event = events.next()) {
                if (event->id == 0)
                    continue;
                if (result.tokens == 0)
                    result.timeToFirstTokenSeconds = elapsedSeconds();
                ++result.tokens;
            }
            if (error && error != http::error::need_buffer)
                break;
        }
    }
    result.totalSeconds = elapsedSeconds();
    m_results.push_back(std::move(result));
    --m_openRequestCount;
}

void LoadRun::run()
{
    m_startedAt = std::chrono::steady_clock::now();
    asio::co_spawn(m_context, sendRequests(), asio::detached);
    if (m_printsProgress)
        asio::co_spawn(m_context, printProgress(), asio::detached);
    m_context.run();
}

std::map<std::string, LoadRun::Bucket> LoadRun::buckets() const
{
    std::map<std::string, Bucket> bucketsByName;
    for (const RequestResult &result : m_results) {
        Bucket &bucket = bucketsByName[std::string(lengthBucket(result.promptTokens))];
        ++bucket.sent;
        const bool isComplete = result.httpStatus == 200 && result.tokens == m_profile.outputTokens;
        if (!isComplete)
            continue;
        ++bucket.answered;
        bucket.timesToFirstTokenSeconds.push_back(result.timeToFirstTokenSeconds);
        if (result.tokens > 1)
            bucket.interEventGapsSeconds.push_back(
                (result.totalSeconds - result.timeToFirstTokenSeconds)
                / static_cast<double>(result.tokens - 1));
    }
    return bucketsByName;
}

std::string LoadRun::summaryTable() const
{
    std::string out;
    std::array<char, 160> line{};
    std::snprintf(line.data(), line.size(), "%-10s %7s %9s %10s %10s %12s\n", "length", "sent",
                  "answered", "first p50", "first p95", "between p95");
    out += line.data();
    for (const auto &[name, bucket] : buckets()) {
        std::snprintf(line.data(), line.size(), "%-10s %7zu %9zu %10.4f %10.4f %12.4f\n",
                      name.c_str(), bucket.sent, bucket.answered,
                      percentile(bucket.timesToFirstTokenSeconds, 0.5),
                      percentile(bucket.timesToFirstTokenSeconds, 0.95),
                      percentile(bucket.interEventGapsSeconds, 0.95));
        out += line.data();
    }
    std::map<std::string, std::size_t> verdicts;
    for (const RequestResult &result : m_results)
        ++verdicts[std::to_string(result.httpStatus) + ' ' + result.verdict];
    for (const auto &[verdict, count] : verdicts)
        out += verdict + ": " + std::to_string(count) + '\n';
    return out;
}

std::string LoadRun::summaryJson() const
{
    nlohmann::json json = nlohmann::json::object();
    for (const auto &[name, bucket] : buckets())
        json[name] = {{"sent", bucket.sent},
                      {"answered", bucket.answered},
                      {"first_p50", percentile(bucket.timesToFirstTokenSeconds, 0.5)},
                      {"first_p95", percentile(bucket.timesToFirstTokenSeconds, 0.95)},
                      {"first_p99", percentile(bucket.timesToFirstTokenSeconds, 0.99)},
                      {"between_p95", percentile(bucket.interEventGapsSeconds, 0.95)}};
    return json.dump(2) + '\n';
}

void LoadRun::writeCsv(const std::string &fileName) const
{
    std::ofstream file(fileName);
    file << "at,prompt_tokens,tokens,status,first_token,total,verdict\n";
    for (const RequestResult &result : m_results)
        file << result.arrivalSeconds << ',' << result.promptTokens << ',' << result.tokens << ','
             << result.httpStatus << ',' << result.timeToFirstTokenSeconds << ','
             << result.totalSeconds << ',' << result.verdict << '\n';
}

} // namespace arbutuspier::load
