// Keeps a connection to each upstream for polls of its load, and one to each engine for polls of
// its cache events.
#include "net/upstreamcontrol.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace arbutuspier {

namespace http = boost::beast::http;

namespace {

constexpr Duration kMinLoadPollInterval = std::chrono::milliseconds{100};
/// Bound on the load polls of all upstreams together, so that their cost does not grow with the
/// number of upstreams.
constexpr std::size_t kMaxLoadPollsPerSecond = 60;
constexpr std::size_t kMaxCachePollsPerSecond = 30;
constexpr Duration kLoadTimeout = std::chrono::milliseconds{500};
constexpr Duration kMinCachePollInterval = std::chrono::milliseconds{500};
constexpr Duration kCallTimeout = std::chrono::seconds{2};
constexpr Duration kOrderTimeout = std::chrono::seconds{4};

using Json = nlohmann::json;

std::uint64_t numberField(const Json &json, const char *key)
{
    const bool isPresent = json.contains(key) && json[key].is_number_unsigned();
    return isPresent ? json[key].get<std::uint64_t>() : 0;
}

std::vector<std::uint64_t> numbersField(const Json &json, const char *key)
{
    std::vector<std::uint64_t> found;
    if (!json.contains(key) || !json[key].is_array())
        return found;
    for (const Json &item : json[key]) {
        if (item.is_number_unsigned())
            found.push_back(item.get<std::uint64_t>());
    }
    return found;
}

std::string textField(const Json &json, const char *key)
{
    const bool isPresent = json.contains(key) && json[key].is_string();
    return isPresent ? json[key].get<std::string>() : std::string();
}

bool boolField(const Json &json, const char *key)
{
    return json.contains(key) && json[key].is_boolean() && json[key].get<bool>();
}

std::string reservationPath(ReservationId reservation)
{
    return "/holdings/" + std::to_string(reservation.value);
}

std::uint64_t milliseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return count < 0 ? 0 : static_cast<std::uint64_t>(count);
}

} // namespace

UpstreamControl::UpstreamControl(asio::io_context &context, const Settings &settings,
                                 EventSink &events)
    : m_context(context)
    , m_settings(settings)
    , m_events(events)
{
}

void UpstreamControl::start()
{
    for (const UpstreamInfo &upstream : m_settings.upstreams) {
        const Address &address = m_settings.upstreamAddresses.at(upstream.id);
        const bool isEngine = upstream.kind == RequestKind::Prompt;
        asio::co_spawn(m_context, pollLoad(upstream.id, address, isEngine), asio::detached);
        if (isEngine)
            asio::co_spawn(m_context, pollCache(upstream.id, address), asio::detached);
    }
}

Task<void> UpstreamControl::pollLoad(UpstreamId upstream, Address address, bool isEngine)
{
    HttpChannel channel(m_context.get_executor(), address);
    asio::steady_timer timer(m_context);
    while (true) {
        HttpRequest call;
        call.target = isEngine ? "/load" : "/load?service";
        call.timeout = kLoadTimeout;
        const TimePoint sentAt = std::chrono::steady_clock::now();
        const HttpReply reply = co_await channel.call(std::move(call));
        onLoad(upstream, reply, std::chrono::steady_clock::now() - sentAt);
        timer.expires_after(pollInterval(kMinLoadPollInterval, kMaxLoadPollsPerSecond));
        co_await timer.async_wait(kAwait);
    }
}

Duration UpstreamControl::pollInterval(Duration minInterval, std::size_t pollsPerSecond) const
{
    const Duration sharedInterval =
        std::chrono::microseconds{1'000'000} * m_settings.upstreams.size() / pollsPerSecond;
    return std::max(minInterval, sharedInterval);
}

void UpstreamControl::onLoad(UpstreamId upstream, const HttpReply &reply, Duration roundTripTime)
{
    const Json json =
        reply.isOk() ? Json::parse(reply.body, nullptr, false) : Json(Json::value_t::discarded);
    if (!json.is_object()) {
        const bool refusesConnections = reply.outcome == HttpReply::Outcome::ConnectionRefused;
        m_events.post(LoadReportMissing{upstream, refusesConnections});
        return;
    }
    LoadReport report;
    report.upstream = upstream;
    report.incarnation = Incarnation{numberField(json, "incarnation")};
    report.age = std::chrono::milliseconds{numberField(json, "age_ms")} + roundTripTime;
    const std::vector<std::uint64_t> queued = numbersField(json, "queued_tokens");
    for (std::size_t i = 0; i < queued.size() && i < report.queuedTokens.size(); ++i)
        report.queuedTokens[i] = queued[i];
    report.running = static_cast<std::uint32_t>(numberField(json, "running"));
    report.freeTokens = numberField(json, "free_tokens");
    report.isDraining = boolField(json, "leaving");
    report.state = textField(json, "state");
    m_events.post(std::move(report));
    ExpiredReservations expired;
    expired.upstream = upstream;
    for (std::uint64_t id : numbersField(json, "expired_holdings"))
        expired.reservations.push_back(ReservationId{id});
    if (!expired.reservations.empty())
        m_events.post(std::move(expired));
}

Task<void> UpstreamControl::pollCache(UpstreamId upstream, Address address)
{
    HttpChannel channel(m_context.get_executor(), address);
    asio::steady_timer timer(m_context);
    std::uint64_t after = 0;
    while (true) {
        timer.expires_after(pollInterval(kMinCachePollInterval, kMaxCachePollsPerSecond));
        co_await timer.async_wait(kAwait);
        HttpRequest call;
        call.target = "/cache-events?after=" + std::to_string(after);
        const HttpReply reply = co_await channel.call(std::move(call));
        const Json json =
            reply.isOk() ? Json::parse(reply.body, nullptr, false) : Json(Json::value_t::discarded);
        if (!json.is_object())
            continue;
        CacheEvents events;
        events.upstream = upstream;
        events.sequence = numberField(json, "sequence");
        events.added = numbersField(json, "added");
        events.removed = numbersField(json, "removed");
        after = events.sequence;
        if (!events.added.empty() || !events.removed.empty())
            m_events.post(std::move(events));
    }
}

void UpstreamControl::reserve(const Reserve &command)
{
    const Address &address = m_settings.upstreamAddresses.at(command.upstream);
    asio::co_spawn(m_context, runReserve(command, address), asio::detached);
}

Task<void> UpstreamControl::runReserve(Reserve command, Address address)
{
    HttpRequest call;
    call.method = http::verb::post;
    call.target = reservationPath(command.reservation);
    call.body =
        Json({{"tokens", command.tokens}, {"limit_ms", milliseconds(command.timeLimit)}}).dump();
    call.timeout = kCallTimeout;
    const HttpReply reply = co_await callOnce(std::move(address), std::move(call));
    ReserveReply event;
    event.reservation = command.reservation;
    event.upstream = command.upstream;
    event.isGranted = reply.isOk();
    event.isUnknown = reply.outcome == HttpReply::Outcome::Lost;
    m_events.post(event);
}

void UpstreamControl::release(const Release &command)
{
    const Address &address = m_settings.upstreamAddresses.at(command.upstream);
    asio::co_spawn(m_context, runRelease(command, address), asio::detached);
}

Task<void> UpstreamControl::runRelease(Release command, Address address)
{
    HttpRequest call;
    call.method = http::verb::delete_;
    call.target = reservationPath(command.reservation);
    call.timeout = kCallTimeout;
    const HttpReply reply = co_await callOnce(std::move(address), std::move(call));
    m_events.post(ReleaseReply{command.reservation, reply.isOk()});
}

void UpstreamControl::order(const SendOrder &command)
{
    const Address &address = m_settings.upstreamAddresses.at(command.upstream);
    asio::co_spawn(m_context, runOrder(command, address), asio::detached);
}

Task<void> UpstreamControl::runOrder(SendOrder command, Address address)
{
    HttpRequest call;
    call.method = http::verb::post;
    call.target = "/orders";
    call.body = Json({{"fence", command.fence}, {"state", command.state}}).dump();
    call.timeout = kOrderTimeout;
    const HttpReply reply = co_await callOnce(std::move(address), std::move(call));
    OrderReply event;
    event.upstream = command.upstream;
    event.fence = command.fence;
    constexpr int kHttpConflict = 409;
    if (reply.isOk()) {
        event.outcome = OrderOutcome::Done;
        event.state = textField(Json::parse(reply.body, nullptr, false), "state");
    } else if (reply.outcome == HttpReply::Outcome::Answered) {
        event.outcome =
            reply.status == kHttpConflict ? OrderOutcome::StaleFence : OrderOutcome::Refused;
    }
    m_events.post(std::move(event));
}

} // namespace arbutuspier
