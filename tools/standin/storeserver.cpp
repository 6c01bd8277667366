// Implements those calls of the metadata store that the gateway uses.
#include "storeserver.h"

#include "platform/base64.h"
#include "platform/tablenames.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace arbutuspier::standin {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr Duration kSilenceCheckInterval = std::chrono::milliseconds{100};

/// Returns the value of a query parameter, or an empty string if the target doesn't have it.
std::string queryParameter(std::string_view target, std::string_view name)
{
    const auto at = target.find(std::string(name) + '=');
    if (at == std::string_view::npos)
        return {};
    const std::string_view rest = target.substr(at + name.size() + 1);
    return std::string(rest.substr(0, rest.find('&')));
}

/// Adds the offset to the port of a replica's address. Other rows are returned as they are.
std::string withPortOffset(const std::string &table, const std::string &data,
                           std::uint16_t portOffset)
{
    if (portOffset == 0 || table != platform::kReplicaTable)
        return data;
    Json entry = Json::parse(platform::decodeBase64(data).value_or(""), nullptr, false);
    Address address;
    if (!entry.is_object() || !parseAddress(entry.value("address", ""), address))
        return data;
    address.port = static_cast<std::uint16_t>(address.port + portOffset);
    entry["address"] = address.text();
    return platform::encodeBase64(entry.dump());
}

Json encodeRow(const std::pair<std::string, std::string> &key, const std::string &data,
               std::uint64_t revision, bool isDeleted)
{
    Json row = {
        {"tableName", key.first}, {"part", ""}, {"key", key.second}, {"schemaVersion", revision}};
    if (isDeleted)
        row["deleted"] = true;
    else
        row["data"] = data;
    return row;
}

} // namespace

StoreServer::StoreServer(asio::io_context &context, StoreServerOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_changeSignal(context)
{
}

bool StoreServer::start()
{
    if (m_options.replicaSilence > Duration::zero())
        asio::co_spawn(m_context, removeSilentReplicas(), asio::detached);
    for (const StoreView &view : m_options.views) {
        if (!serveAt(view.port, view.portOffset))
            return false;
    }
    return serveAt(m_options.listen.port, 0);
}

bool StoreServer::serveAt(std::uint16_t port, std::uint16_t portOffset)
{
    return serve(m_context, {m_options.listen.host, port},
                 [this, portOffset](beast::tcp_stream &stream, Request request) {
                     return handle(stream, std::move(request), portOffset);
                 });
}

std::string StoreServer::applyTransaction(const std::string &body, int &httpStatus)
{
    const Json document = Json::parse(body, nullptr, false);
    httpStatus = kBadRequest;
    if (!document.is_object() || !document.contains("write"))
        return "{}";
    const Json emptyArray = Json::array();
    for (const Json &item : document.value("expected", emptyArray)) {
        const auto found = m_rows.find({item.at("tableName"), item.at("key")});
        const bool exists = found != m_rows.end() && !found->second.isDeleted;
        const std::uint64_t currentRevision = exists ? found->second.revision : 0;
        if (currentRevision != item.at("schemaVersion").get<std::uint64_t>()) {
            httpStatus = kPreconditionFailed;
            return Json{{"rows", emptyArray}, {"schemaVersion", m_revision}}.dump();
        }
    }
    ++m_revision;
    const TimePoint now = std::chrono::steady_clock::now();
    for (const Json &item : document["write"])
        m_rows[{item.at("tableName"), item.at("key")}] = {item.at("data"), m_revision, false, now};
    for (const Json &item : document.value("remove", emptyArray))
        m_rows[{item.at("tableName"), item.at("key")}] = {{}, m_revision, true, now};
    m_changeSignal.cancel();
    httpStatus = kOk;
    return Json{{"schemaVersion", m_revision}, {"nowMs", 0}}.dump();
}

std::string StoreServer::readTable(const std::string &table, std::uint16_t portOffset) const
{
    Json rows = Json::array();
    for (const auto &[key, row] : m_rows) {
        if (key.first == table && !row.isDeleted)
            rows.push_back(encodeRow(key, withPortOffset(key.first, row.data, portOffset),
                                     row.revision, false));
    }
    return Json{{"rows", rows}, {"hasMore", false}, {"schemaVersion", m_revision}, {"nowMs", 0}}
        .dump();
}

std::string StoreServer::changesSince(const std::string &table, std::uint64_t sinceRevision,
                                      std::uint16_t portOffset, bool &hasChanges) const
{
    Json rows = Json::array();
    for (const auto &[key, row] : m_rows) {
        if (key.first == table && row.revision > sinceRevision)
            rows.push_back(encodeRow(key, withPortOffset(key.first, row.data, portOffset),
                                     row.revision, row.isDeleted));
    }
    hasChanges = !rows.empty();
    return Json{{"rows", rows}, {"schemaVersion", m_revision}, {"nowMs", 0}}.dump();
}

Task<std::string> StoreServer::waitForChanges(std::string table, std::uint64_t sinceRevision,
                                              std::uint64_t waitMs, std::uint16_t portOffset)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds{waitMs};
    bool hasChanges = false;
    std::string text = changesSince(table, sinceRevision, portOffset, hasChanges);
    while (!hasChanges && std::chrono::steady_clock::now() < deadline) {
        m_changeSignal.expires_at(deadline);
        co_await m_changeSignal.async_wait(kAwait);
        text = changesSince(table, sinceRevision, portOffset, hasChanges);
    }
    co_return text;
}

Task<void> StoreServer::removeSilentReplicas()
{
    asio::steady_timer timer(m_context);
    while (true) {
        timer.expires_after(kSilenceCheckInterval);
        co_await timer.async_wait(kAwait);
        const TimePoint silentSince = std::chrono::steady_clock::now() - m_options.replicaSilence;
        for (auto &[key, row] : m_rows) {
            const bool isSilent = key.first == platform::kReplicaTable && !row.isDeleted
                && row.writtenAt < silentSince;
            if (!isSilent)
                continue;
            row = {{}, ++m_revision, true, row.writtenAt};
            m_changeSignal.cancel();
        }
    }
}

void StoreServer::restoreCopy()
{
    m_rows = m_savedRows;
    m_revision = m_savedRevision;
    ++m_era;
    m_changeSignal.cancel();
}

Task<bool> StoreServer::replyWithEra(beast::tcp_stream &stream, const Request &request,
                                     int httpStatus, std::string body)
{
    std::vector<std::pair<std::string, std::string>> headers;
    headers.emplace_back("Store-Era", std::to_string(m_era));
    co_return co_await reply(stream, request, httpStatus, std::move(body), std::move(headers));
}

Task<bool> StoreServer::handle(beast::tcp_stream &stream, Request request, std::uint16_t portOffset)
{
    const std::string target(request.target());
    const std::string table = queryParameter(target, "tableName");
    if (target.starts_with("/save")) {
        m_savedRows = m_rows;
        m_savedRevision = m_revision;
        co_return co_await replyWithEra(stream, request, kOk, "{}");
    }
    if (target.starts_with("/restore")) {
        restoreCopy();
        co_return co_await replyWithEra(stream, request, kOk, "{}");
    }
    if (target.starts_with("/rows-tx")) {
        int httpStatus = kBadRequest;
        std::string body = applyTransaction(request.body(), httpStatus);
        co_return co_await replyWithEra(stream, request, httpStatus, std::move(body));
    }
    if (target.starts_with("/rows-get"))
        co_return co_await replyWithEra(stream, request, kOk, readTable(table, portOffset));
    if (target.starts_with("/rows-feed")) {
        const std::uint64_t sinceRevision = numberAfter(target, "sinceRevision=");
        if (sinceRevision > m_revision)
            co_return co_await replyWithEra(stream, request, kGone, "{}");
        std::string body = co_await waitForChanges(table, sinceRevision,
                                                   numberAfter(target, "waitMs="), portOffset);
        co_return co_await replyWithEra(stream, request, kOk, std::move(body));
    }
    co_return co_await replyWithEra(stream, request, kNotFound, "{}");
}

} // namespace arbutuspier::standin
