// Keeps a few idle connections for table calls; each connection carries one call at a time.
#include "net/platformclient.h"

#include "net/tablejson.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <nlohmann/json.hpp>

namespace arbutuspier {

namespace {

constexpr Duration kTableCallTimeout = std::chrono::seconds{1};
constexpr Duration kVmListPollInterval = std::chrono::seconds{1};
constexpr std::size_t kMaxIdleChannels = 8;

std::optional<VmListUpdate> decodeVmList(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    const bool isValid = json.is_object() && json.contains("revision")
        && json["revision"].is_number_unsigned() && json.contains("vms") && json["vms"].is_array()
        && json.contains("leaving_upstreams") && json["leaving_upstreams"].is_array();
    if (!isValid)
        return std::nullopt;
    VmListUpdate list;
    list.revision = json["revision"].get<std::uint64_t>();
    for (const auto &item : json["vms"]) {
        const bool isVm = item.is_object() && item.contains("id") && item["id"].is_number_unsigned()
            && item.contains("incarnation") && item["incarnation"].is_number_unsigned();
        if (!isVm)
            return std::nullopt;
        list.vms.push_back({VmId{item["id"].get<std::uint64_t>()},
                            Incarnation{item["incarnation"].get<std::uint64_t>()},
                            item.value("leaving", false)});
    }
    for (const auto &item : json["leaving_upstreams"]) {
        if (item.is_number_unsigned())
            list.drainingUpstreams.push_back(UpstreamId{item.get<std::uint64_t>()});
    }
    return list;
}

} // namespace

PlatformClient::PlatformClient(asio::io_context &context, Address address, EventSink &events)
    : m_context(context)
    , m_address(std::move(address))
    , m_events(events)
{
}

void PlatformClient::setSelf(VmId vm, Incarnation incarnation, std::string zone)
{
    const nlohmann::json json = {
        {"id", vm.value}, {"incarnation", incarnation.value}, {"zone", std::move(zone)}};
    m_selfJson = json.dump();
}

std::unique_ptr<HttpChannel> PlatformClient::acquireChannel()
{
    if (m_idleChannels.empty())
        return std::make_unique<HttpChannel>(m_context.get_executor(), m_address);
    auto channel = std::move(m_idleChannels.back());
    m_idleChannels.pop_back();
    return channel;
}

void PlatformClient::call(const TableCall &call)
{
    asio::co_spawn(m_context, runTableCall(call.op, call.request), asio::detached);
}

Task<void> PlatformClient::runTableCall(TableOpId op, TableRequest request)
{
    const bool isRead = std::holds_alternative<TableRead>(request);
    auto channel = acquireChannel();
    HttpRequest call;
    call.method = boost::beast::http::verb::post;
    call.target = isRead ? "/table/read" : "/table/transaction";
    call.body = encodeTableRequest(request);
    call.timeout = kTableCallTimeout;
    const HttpReply reply = co_await channel->call(std::move(call));
    TableOutcome outcome = TableUnknown{};
    if (reply.outcome == HttpReply::Outcome::ConnectionRefused
        || reply.outcome == HttpReply::Outcome::NotConnected)
        outcome = TableUnavailable{};
    else if (reply.outcome == HttpReply::Outcome::Answered)
        outcome = decodeTableOutcome(reply.body);
    if (m_idleChannels.size() < kMaxIdleChannels)
        m_idleChannels.push_back(std::move(channel));
    m_events.post(TableReply{op, std::move(outcome)});
}

Task<void> PlatformClient::pollVmList()
{
    HttpChannel channel(m_context.get_executor(), m_address);
    asio::steady_timer timer(m_context);
    while (true) {
        HttpRequest call;
        call.method = boost::beast::http::verb::post;
        call.target = "/vms";
        call.body = m_selfJson;
        const HttpReply reply = co_await channel.call(std::move(call));
        if (reply.isOk()) {
            if (auto list = decodeVmList(reply.body))
                m_events.post(std::move(*list));
        }
        timer.expires_after(kVmListPollInterval);
        co_await timer.async_wait(kAwait);
    }
}

} // namespace arbutuspier
