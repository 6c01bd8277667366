// JSON over HTTP, authorized by a bearer token. Every error response gives its reason in `error`.
#include "daemon/adminserver.h"

#include "kernel/logline.h"
#include "net/listen.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace arbutuspier {

namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

constexpr Duration kRequestTimeout = std::chrono::seconds{30};
constexpr std::string_view kUpstreamsPrefix = "/admin/upstreams/";
constexpr std::string_view kQuarantinePrefix = "/admin/quarantine/";

std::string_view memberStateName(MemberState state)
{
    constexpr std::string_view kNames[] = {"alive", "suspect", "unreachable", "leaving", "gone"};
    return kNames[static_cast<std::size_t>(state)];
}

Json upstreamJson(const NodeStatus::Upstream &upstream)
{
    return {{"id", upstream.info.id.value},
            {"name", upstream.info.name},
            {"kind", upstream.info.kind == RequestKind::Prompt ? "engine" : "service"},
            {"target", upstream.info.target},
            {"zone", upstream.info.zone},
            {"usable", upstream.isUsable},
            {"leaving", upstream.isDraining},
            {"in_flight", upstream.inFlight},
            {"state", upstream.state}};
}

Json statusJson(const NodeStatus &status)
{
    Json json = {{"draining", status.isDraining},
                 {"platform_reachable", status.isPlatformReachable},
                 {"limits_version", status.limitsVersion},
                 {"queued", status.queued},
                 {"running", status.running},
                 {"holdings", status.reservations},
                 {"releases_pending", status.pendingReleases},
                 {"unsettled_keys", status.pendingKeys},
                 {"upstreams", Json::array()},
                 {"vms", Json::array()},
                 {"suspects", Json::array()},
                 {"requests", Json::array()}};
    for (const NodeStatus::Upstream &upstream : status.upstreams)
        json["upstreams"].push_back(upstreamJson(upstream));
    for (const NodeStatus::Member &member : status.members)
        json["vms"].push_back({{"id", member.info.id.value},
                               {"zone", member.info.zone},
                               {"state", memberStateName(member.state)},
                               {"limits_version", member.limitsVersion}});
    for (const SuspectNotice &suspect : status.suspects)
        json["suspects"].push_back({{"fingerprint", suspect.fingerprint.value},
                                    {"upstreams_lost", suspect.crashes.size()}});
    for (const NodeStatus::RequestSummary &request : status.requests)
        json["requests"].push_back(
            {{"id", request.id.value},
             {"team", request.team},
             {"class", request.className},
             {"phase", request.phase},
             {"prompt_tokens", request.promptTokens},
             {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(request.age).count()},
             {"upstream", request.upstream.value},
             {"attempts", request.attempts}});
    return json;
}

Json changesJson(std::span<const CellChange> changes)
{
    Json json = Json::array();
    for (const CellChange &change : changes)
        json.push_back({{"team", change.team},
                        {"class", change.className},
                        {"column", change.column},
                        {"before", change.before},
                        {"after", change.after}});
    return json;
}

Json historyJson(const std::vector<LimitsDelta> &history)
{
    Json json = Json::array();
    for (const LimitsDelta &delta : history)
        json.push_back({{"version", delta.version},
                        {"edit_id", delta.editId},
                        {"editor", delta.editor},
                        {"rows_set", delta.set.size()},
                        {"rows_erased", delta.erased.size()}});
    return json;
}

std::string errorJson(std::string_view text)
{
    return Json({{"error", text}}).dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

AdminServer::AdminServer(asio::io_context &context, const Settings &settings, ControlLoop &control)
    : m_context(context)
    , m_settings(settings)
    , m_control(control)
{
}

Result<bool> AdminServer::listen()
{
    auto acceptor = openAcceptor(m_context, m_settings.admin, "vm.admin");
    if (!acceptor)
        return acceptor.error();
    m_acceptor = std::move(*acceptor);
    return true;
}

Task<void> AdminServer::accept()
{
    while (m_acceptor->is_open()) {
        auto [error, socket] = co_await m_acceptor->async_accept(kAwait);
        if (!error)
            asio::co_spawn(m_context, serveConnection(std::move(socket)), asio::detached);
    }
}

bool AdminServer::isAuthorized(const Request &request) const
{
    return request[http::field::authorization] == "Bearer " + m_settings.ctlToken;
}

Task<void> AdminServer::serveConnection(Tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool isKeptAlive = true;
    while (isKeptAlive) {
        Request request;
        stream.expires_after(kRequestTimeout);
        const auto [error, size] = co_await http::async_read(stream, buffer, request, kAwait);
        if (error)
            break;
        Response reply{401, errorJson("the token is missing or wrong")};
        if (isAuthorized(request))
            reply = co_await handle(request);
        http::response<http::string_body> response(static_cast<http::status>(reply.status),
                                                   request.version());
        response.set(http::field::content_type, "application/json");
        response.keep_alive(request.keep_alive());
        response.body() = std::move(reply.body);
        response.prepare_payload();
        stream.expires_after(kRequestTimeout);
        const auto [writeError, written] = co_await http::async_write(stream, response, kAwait);
        isKeptAlive = !writeError && request.keep_alive();
    }
    ErrorCode ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
}

Task<AdminServer::Response> AdminServer::handle(const Request &request)
{
    const std::string path(request.target());
    const bool isGet = request.method() == http::verb::get;
    const bool isPost = request.method() == http::verb::post;
    if (isGet && path == "/admin/status")
        co_return Response{200, dump(statusJson(m_control.status()))};
    if (isGet && path == "/admin/limits") {
        const LimitsSnapshot &limits = m_control.limits();
        co_return Response{200,
                           dump({{"version", limits.version},
                                 {"edit_id", limits.editId},
                                 {"editor", limits.editor},
                                 {"csv", formatLimitsCsv(limits.rows)}})};
    }
    if (isGet && path == "/admin/limits/history")
        co_return Response{200, dump(historyJson(m_control.limitsHistory()))};
    if (isPost && path == "/admin/limits")
        co_return co_await handleLimitsEdit(request);
    if (isPost && path == "/admin/drain") {
        if (onDrain)
            onDrain();
        co_return Response{202, dump({{"draining", true}})};
    }
    if (isPost && path.rfind(kUpstreamsPrefix, 0) == 0)
        co_return handleUpstreamAction(path, request);
    const bool isDelete = request.method() == http::verb::delete_;
    if (isDelete && path.rfind(kQuarantinePrefix, 0) == 0) {
        Fingerprint fingerprint;
        const std::string text = path.substr(kQuarantinePrefix.size());
        std::from_chars(text.data(), text.data() + text.size(), fingerprint.value);
        m_control.handle(QuarantineClear{fingerprint});
        co_return Response{200, dump({{"cleared", fingerprint.value}})};
    }
    co_return Response{404, errorJson("unknown path, or wrong method for this path")};
}

Task<AdminServer::Response> AdminServer::handleLimitsEdit(const Request &request)
{
    const Json json = Json::parse(request.body(), nullptr, false);
    const bool isComplete = json.is_object() && json.contains("base_version")
        && json["base_version"].is_number_unsigned() && json.contains("csv")
        && json["csv"].is_string() && json.contains("editor") && json["editor"].is_string()
        && json.contains("edit_id") && json["edit_id"].is_string();
    if (!isComplete)
        co_return Response{
            400,
            errorJson("expected a JSON object with base_version (a number), csv, editor and "
                      "edit_id (text)")};
    auto rows = parseLimitsCsv(json["csv"].get<std::string>());
    if (!rows)
        co_return Response{400, errorJson(rows.error().message)};
    LimitsSnapshot edit;
    edit.version = json["base_version"].get<std::uint64_t>();
    edit.editor = json["editor"].get<std::string>();
    edit.editId = json["edit_id"].get<std::string>();
    edit.rows = std::move(*rows);
    const std::vector<LimitRow> proposedRows = edit.rows;
    asio::steady_timer resultTimer(m_context);
    resultTimer.expires_at(TimePoint::max());
    EditResult result;
    bool hasResult = false;
    m_control.submitEdit(std::move(edit), [&](const EditResult &received) {
        result = received;
        hasResult = true;
        resultTimer.cancel();
    });
    if (!hasResult)
        co_await resultTimer.async_wait(kAwait);
    LOG(INFO) << LogLine("limits_edit")
                     .add("edit", result.editId)
                     .add("outcome", static_cast<std::uint64_t>(result.outcome))
                     .text();
    const Json current = {
        {"version", result.current.version},
        {"editor", result.current.editor},
        {"edit_id", result.current.editId},
        {"differences", changesJson(diffRows(result.current.rows, proposedRows))}};
    switch (result.outcome) {
    case EditOutcome::Accepted:
        co_return Response{200, dump(current)};
    case EditOutcome::Conflict:
        co_return Response{409, dump(current)};
    case EditOutcome::Unavailable:
        co_return Response{503,
                           errorJson("the platform's table service can't be reached; "
                                     "the edit was not stored")};
    case EditOutcome::Unknown:
        co_return Response{
            504,
            errorJson("the platform's table service did not respond; the edit may "
                      "still become active: check the limits history before trying again")};
    }
    co_return Response{500, errorJson("the edit ended with an unexpected outcome")};
}

AdminServer::Response AdminServer::handleUpstreamAction(const std::string &path,
                                                        const Request &request)
{
    const std::string rest = path.substr(kUpstreamsPrefix.size());
    const auto slash = rest.find('/');
    const std::string name = rest.substr(0, slash);
    const std::string action = slash == std::string::npos ? "" : rest.substr(slash + 1);
    for (const UpstreamInfo &upstream : m_settings.upstreams) {
        if (upstream.name != name)
            continue;
        if (action == "drain") {
            m_control.handle(UpstreamDrainRequest{upstream.id});
            return {202, dump({{"leaving", name}})};
        }
        const Json json = Json::parse(request.body(), nullptr, false);
        const bool hasState =
            json.is_object() && json.contains("state") && json["state"].is_string();
        if (action == "state" && hasState && upstream.kind == RequestKind::Prompt) {
            m_control.handle(DesiredStateEdit{upstream.id, json["state"].get<std::string>()});
            return {202, dump({{"wanted", json["state"]}})};
        }
        return {400,
                errorJson("expected drain, or for an engine state with a body {\"state\": TEXT}")};
    }
    return {404, errorJson("no upstream has this name")};
}

} // namespace arbutuspier
