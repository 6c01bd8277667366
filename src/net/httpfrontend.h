// HTTP server for callers: OpenAI-compatible completions, plain services, health and metrics.
#pragma once

#include "metrics/metricsregistry.h"
#include "net/asiotypes.h"
#include "net/callersession.h"
#include "net/eventsink.h"
#include "net/promptreader.h"
#include "net/sessionregistry.h"
#include "settings/settings.h"

#include <boost/asio/thread_pool.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <cstdint>
#include <string_view>
#include <vector>

namespace arbutuspier {

class HttpFrontend
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    /// Request ids count up from `firstRequestId`. No other VM or incarnation may use the same ids.
    HttpFrontend(const Settings &settings, EventSink &events, SessionRegistry &sessions,
                 const MetricsRegistry &metrics, std::uint64_t firstRequestId);

    /// Opens the listening port; the error says why that failed.
    Result<bool> listen(asio::io_context &context);
    /// Accepts connections and distributes them evenly over the traffic threads.
    Task<void> accept(std::vector<asio::io_context *> trafficContexts);
    /// Makes /readyz report that this VM drains. Later requests are still read, to be rejected.
    void setDraining() { m_isDraining = true; }
    /// Stops accepting connections.
    void close();

private:
    Task<void> serveConnection(Tcp::socket socket);
    using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    Task<ErrorCode> readRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                                RequestParser &parser);
    Task<bool> serveRequest(beast::tcp_stream &stream, Request request);
    Task<bool> servePrompt(beast::tcp_stream &stream, Request request);
    Task<Result<PromptSummary>> parseBody(const std::string &body);
    Task<bool> serveCall(beast::tcp_stream &stream, Request request);
    Task<bool> runSession(beast::tcp_stream &stream, std::shared_ptr<CallerSession> session,
                          RequestSpec spec, bool isKeptAlive);
    Task<bool> respondPlain(beast::tcp_stream &stream, const Request &request, int status,
                            std::string_view contentType, std::string body);
    Task<bool> respondProblem(beast::tcp_stream &stream, const Request &request, Problem problem);
    const TeamSettings *findTeam(const Request &request) const;
    bool isAtMostOnceCall(const std::string &service, std::string_view method,
                          std::string_view path) const;
    std::string modelsJson() const;

    const Settings &m_settings;
    EventSink &m_events;
    SessionRegistry &m_sessions;
    const MetricsRegistry &m_metrics;
    std::atomic<std::uint64_t> m_nextRequestId;
    std::atomic<std::uint32_t> m_connectionCount{0};
    std::atomic<bool> m_isDraining{false};
    std::unique_ptr<Tcp::acceptor> m_acceptor;
    /// Parses large bodies, so that short requests don't wait for that on a traffic thread.
    asio::thread_pool m_largeBodyPool{1};
};

/// Reads the issue time from a key of the form "<seconds since 1970>-<unique text>". Returns false
/// if the key has another form or is too long.
bool parseKeyIssueTime(std::string_view key, WallTime &issuedAt);

} // namespace arbutuspier
