// A metadata store with scripted answers, which may stop answering on the connections it has.
#pragma once

#include "net/httpchannel.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace arbutuspier::gatetest {

/// A response to a call about the replicas.
struct StoreAnswer
{
    int status = 200;
    std::string body = "{}";
};

/// A store with scripted answers about the replicas; the last one of each kind is repeated. Its
/// table of the operator holds the configuration and evacuated zones, and its other tables are
/// empty.
class ScriptedStore
{
public:
    explicit ScriptedStore(asio::io_context &context)
        : m_context(context)
        , m_acceptor(context, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    Address address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

    /// Stops answering on the connections that are open now, without closing them.
    void fallSilent() { ++m_silences; }
    /// Writes a configuration without routes. The version is also its revision.
    void writeConfiguration(int version) { m_configVersion = version; }
    /// Writes the row of an evacuated zone at the revision.
    void evacuate(const std::string &zone, int revision) { m_zones[zone] = {revision, false}; }
    /// Removes the row of an evacuated zone at the revision.
    void endEvacuation(const std::string &zone, int revision) { m_zones[zone] = {revision, true}; }
    /// The row of an evacuated zone is gone, and no history shows its removal at the revision.
    void forgetEvacuation(const std::string &zone, int revision)
    {
        m_zones.erase(zone);
        m_forgottenRevision = revision;
    }
    /// Answers the next call for changes of the operator's table that the history was dropped.
    void dropOperatorHistory() { m_isOperatorHistoryDropped = true; }

    std::deque<StoreAnswer> copies{{200, R"({"rows":[],"schemaVersion":1})"}};
    std::deque<StoreAnswer> changes{{200, R"({"rows":[],"schemaVersion":1})"}};
    int configurationCopyCount = 0;
    int copyCount = 0;
    int changeCount = 0;

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    Task<void> accept()
    {
        while (true) {
            auto [error, socket] = co_await m_acceptor.async_accept(kAwait);
            if (error)
                co_return;
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    Task<void> serve(Tcp::socket socket)
    {
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buffer;
        const int silences = m_silences;
        while (true) {
            Request request;
            const auto [error, size] =
                co_await boost::beast::http::async_read(stream, buffer, request, kAwait);
            if (error)
                co_return;
            const std::string target(request.target());
            if (target.starts_with("/rows-feed?tableName=op"))
                co_await awaitConfiguration(target, silences);
            const StoreAnswer answer = answerTo(target);
            if (silences != m_silences)
                continue;
            const std::string text = "HTTP/1.1 " + std::to_string(answer.status)
                + " X\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n"
                + answer.body;
            co_await asio::async_write(stream, asio::buffer(text), kAwait);
        }
    }

    static int numberAfter(const std::string &target, const std::string &name)
    {
        return std::stoi(target.substr(target.find(name) + name.size()));
    }

    /// Waits as long as the long poll asks for, or until there is a newer configuration.
    Task<void> awaitConfiguration(const std::string &target, int silences)
    {
        const int known = numberAfter(target, "sinceRevision=");
        const auto end = std::chrono::steady_clock::now()
            + std::chrono::milliseconds{numberAfter(target, "waitMs=")};
        asio::steady_timer timer(m_context);
        while (operatorRevision() <= known && silences == m_silences && !m_isOperatorHistoryDropped
               && std::chrono::steady_clock::now() < end) {
            timer.expires_after(std::chrono::milliseconds{5});
            co_await timer.async_wait(kAwait);
        }
    }

    struct ZoneRow
    {
        int revision = 0;
        bool isDeleted = false;
    };

    int operatorRevision() const
    {
        int revision = std::max(m_configVersion, m_forgottenRevision);
        for (const auto &[zone, row] : m_zones)
            revision = std::max(revision, row.revision);
        return revision;
    }

    static std::string row(const std::string &key, int revision, const std::string &content)
    {
        return R"({"key":")" + key + R"(","schemaVersion":)" + std::to_string(revision) + content
            + '}';
    }

    /// The operator's rows that were written after the revision; with those that were removed, or
    /// without.
    StoreAnswer operatorRows(int known, bool hasDeleted) const
    {
        std::string rows;
        const auto add = [&](const std::string &text) { rows += (rows.empty() ? "" : ",") + text; };
        if (m_configVersion > known) {
            const std::string json = R"({"version":)" + std::to_string(m_configVersion)
                + R"(,"routes":[],"services":[]})";
            std::string text(beast::detail::base64::encoded_size(json.size()), ' ');
            text.resize(beast::detail::base64::encode(text.data(), json.data(), json.size()));
            add(row("config", m_configVersion, R"(,"data":")" + text + '"'));
        }
        for (const auto &[zone, state] : m_zones) {
            if (state.revision > known && (hasDeleted || !state.isDeleted))
                add(row("evacuate/" + zone, state.revision,
                        state.isDeleted ? R"(,"deleted":true)" : R"(,"data":"e30=")"));
        }
        return {200,
                R"({"rows":[)" + rows + R"(],"schemaVersion":)" + std::to_string(operatorRevision())
                    + '}'};
    }

    StoreAnswer answerTo(const std::string &target)
    {
        const bool isAboutConfiguration = target.find("tableName=op") != std::string::npos;
        const bool isFullRead = target.starts_with("/rows-get");
        configurationCopyCount += isAboutConfiguration && isFullRead ? 1 : 0;
        if (isAboutConfiguration && !isFullRead && std::exchange(m_isOperatorHistoryDropped, false))
            return {410, "{}"};
        const int known = isFullRead ? 0 : numberAfter(target, "sinceRevision=");
        if (isAboutConfiguration && operatorRevision() > known)
            return operatorRows(known, !isFullRead);
        const bool isAboutReplicas = target.find("tableName=servers") != std::string::npos;
        if (!isAboutReplicas)
            return {200, R"({"rows":[],"schemaVersion":1})"};
        ++(isFullRead ? copyCount : changeCount);
        return next(isFullRead ? copies : changes);
    }

    static StoreAnswer next(std::deque<StoreAnswer> &answers)
    {
        const StoreAnswer answer = answers.front();
        if (answers.size() > 1)
            answers.pop_front();
        return answer;
    }

    asio::io_context &m_context;
    Tcp::acceptor m_acceptor;
    int m_silences = 0;
    int m_configVersion = 0;
    std::map<std::string, ZoneRow> m_zones;
    int m_forgottenRevision = 0;
    bool m_isOperatorHistoryDropped = false;
};

} // namespace arbutuspier::gatetest
