// POST /faults replaces the simulated faults with those in its JSON body: `down` (boolean),
// `delay_ms` and `lose_replies` (numbers). Faults that the body leaves out are switched off.
#include "platformserver.h"

#include "net/tablejson.h"

#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace arbutuspier::standin {

namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

constexpr std::string_view kObjectsPath = "/objects/";

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

PlatformServer::PlatformServer(asio::io_context &context, PlatformServerOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_table(m_options.table)
{
}

bool PlatformServer::start()
{
    return serve(m_context, m_options.listen, [this](beast::tcp_stream &stream, Request request) {
        return handle(stream, std::move(request));
    });
}

Task<void> PlatformServer::sleepFor(Duration duration)
{
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(kAwait);
}

Task<bool> PlatformServer::handle(beast::tcp_stream &stream, Request request)
{
    const std::string target(request.target());
    if (target == "/faults") {
        const bool isValid = setFaults(request.body());
        co_return co_await reply(stream, request, isValid ? 200 : 400, "{}");
    }
    if (target == "/counters") {
        const Json json = {
            {"writes", m_table.writes()}, {"reads", m_table.reads()}, {"rows", m_table.rowCount()}};
        co_return co_await reply(stream, request, 200, json.dump());
    }
    if (m_faults.isDown)
        co_return co_await reply(stream, request, 503, "{\"outcome\":\"unavailable\"}");
    if (target.rfind("/table/", 0) == 0)
        co_return co_await handleTable(stream, std::move(request));
    if (target == "/vms")
        co_return co_await reply(stream, request, 200, delayedVmList(request.body()));
    if (target.rfind(kObjectsPath, 0) == 0)
        co_return co_await handleObject(stream, std::move(request));
    if (target.rfind("/weights/", 0) == 0)
        co_return co_await handleWeights(stream, std::move(request));
    co_return co_await reply(stream, request, 404, "{}");
}

Task<bool> PlatformServer::handleTable(beast::tcp_stream &stream, Request request)
{
    const auto call = decodeTableRequest(request.body());
    if (!call)
        co_return co_await reply(stream, request, 400, "{}");
    if (m_faults.tableDelay > Duration::zero())
        co_await sleepFor(m_faults.tableDelay);
    const TableOutcome outcome = m_table.apply(*call, now());
    const bool isWrite = std::holds_alternative<TableTransaction>(*call);
    if (isWrite && m_faults.repliesToDrop > 0) {
        --m_faults.repliesToDrop;
        co_return false;
    }
    co_return co_await reply(stream, request, 200, encodeTableOutcome(outcome));
}

Task<bool> PlatformServer::handleObject(beast::tcp_stream &stream, Request request)
{
    const std::string key = std::string(request.target()).substr(kObjectsPath.size());
    if (request.method() == http::verb::put) {
        m_objects[key] = request.body();
        co_return co_await reply(stream, request, 200, "{}");
    }
    auto it = m_objects.find(key);
    if (it == m_objects.end())
        co_return co_await reply(stream, request, 404, "{}");
    co_return co_await reply(stream, request, 200, it->second);
}

Task<bool> PlatformServer::handleWeights(beast::tcp_stream &stream, Request request)
{
    m_lastWeightLoadEndsAt =
        std::max(m_lastWeightLoadEndsAt, now()) + fromSeconds(1.0 / m_options.weightsPerSecond);
    co_await sleepFor(m_lastWeightLoadEndsAt - now());
    co_return co_await reply(stream, request, 200, "{}");
}

bool PlatformServer::setFaults(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return false;
    Faults faults;
    for (const auto &[key, value] : json.items()) {
        if (key == "down" && value.is_boolean())
            faults.isDown = value.get<bool>();
        else if (key == "delay_ms" && value.is_number_unsigned())
            faults.tableDelay = std::chrono::milliseconds{value.get<std::uint64_t>()};
        else if (key == "lose_replies" && value.is_number_unsigned())
            faults.repliesToDrop = value.get<std::uint64_t>();
        else
            return false;
    }
    m_faults = faults;
    return true;
}

void PlatformServer::updateVmList()
{
    std::erase_if(m_vms, [&](const auto &entry) {
        return entry.second.lastHeartbeatAt + m_options.vmTimeout < now();
    });
    Json vms = Json::array();
    for (const auto &[id, vm] : m_vms)
        vms.push_back({{"id", id}, {"incarnation", vm.incarnation}});
    const bool isUnchanged = !m_vmLists.empty() && Json::parse(m_vmLists.back().json)["vms"] == vms;
    if (isUnchanged)
        return;
    const Json json = {{"revision", ++m_vmListRevision},
                       {"vms", std::move(vms)},
                       {"leaving_upstreams", Json::array()}};
    m_vmLists.push_back({now(), m_vmListRevision, json.dump()});
}

std::string PlatformServer::delayedVmList(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    const bool isVm = json.is_object() && json.contains("id") && json["id"].is_number_unsigned()
        && json.contains("incarnation") && json["incarnation"].is_number_unsigned();
    if (isVm)
        m_vms[json["id"].get<std::uint64_t>()] = {json["incarnation"].get<std::uint64_t>(), now()};
    updateVmList();
    while (m_vmLists.size() > 1 && m_vmLists[1].createdAt + m_options.vmListDelay <= now())
        m_vmLists.pop_front();
    return m_vmLists.front().json;
}

} // namespace arbutuspier::standin
