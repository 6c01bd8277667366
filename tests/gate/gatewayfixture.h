// Runs the gateway's request path on the loopback interface, with scripted replicas behind it.
#pragma once

#include "gateway/callerconnection.h"
#include "gateway/gatewaystate.h"
#include "net/httpchannel.h"
#include "platform/configdecoder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace arbutuspier::gatetest {

/// How a replica responds to one request.
struct ReplicaStep
{
    /// Bytes of the response; "%ID" is replaced by the id of the request.
    std::string response;
    /// The replica closes the connection after the response.
    bool closesConnection = false;
    /// The replica resets the connection after the response.
    bool resetsConnection = false;
    /// The replica accepts no connections any more, as after a crash.
    bool stopsListening = false;
    /// The next connection is still accepted, and closed at once.
    bool acceptsOneMore = false;
    /// Sent some time after the response, before the connection is closed or reset.
    std::string laterBytes;
    /// After the response, this is sent again and again until the gateway closes the connection.
    std::string endlessBytes;
    /// Unless this is zero, the replica is silent for this long after the response and then sends
    /// `afterPause`.
    Duration pause{};
    std::string afterPause{};
    /// Time from the request to the response or the crash.
    Duration delay{};
    /// The response comes once more when the next request arrives on the same connection.
    bool isRepeatedToNextRequest = false;
};

/// The request crashes the replica: its connection is reset and its address refuses new ones.
inline ReplicaStep crash()
{
    return {"", false, true, true};
}

/// As crash(), but the process takes a moment to end.
inline ReplicaStep slowCrash()
{
    return {"", false, true, false, true};
}

/// The replica's VM loses power: the connection stays open without data.
inline ReplicaStep silentCrash()
{
    return {"", false, false, true};
}

/// The replica closes the connection in good order after the response.
inline ReplicaStep closing(std::string response, std::string laterBytes = "")
{
    ReplicaStep step;
    step.response = std::move(response);
    step.laterBytes = std::move(laterBytes);
    step.closesConnection = true;
    return step;
}

/// The replica resets the connection after the response.
inline ReplicaStep resetting(std::string response, std::string laterBytes = "")
{
    ReplicaStep step = closing(std::move(response), std::move(laterBytes));
    step.closesConnection = false;
    step.resetsConnection = true;
    return step;
}

using ReplicaRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// The steps for successive requests, counted over all replicas that share the script. The last
/// step is repeated.
class Script
{
public:
    explicit Script(std::vector<ReplicaStep> steps)
        : m_steps(steps.begin(), steps.end())
    {
    }
    /// The step depends on the request.
    explicit Script(std::function<ReplicaStep(const ReplicaRequest &)> choose)
        : m_choose(std::move(choose))
    {
    }

    ReplicaStep next(const ReplicaRequest &request)
    {
        if (m_choose)
            return m_choose(request);
        const ReplicaStep step = m_steps.front();
        if (m_steps.size() > 1)
            m_steps.pop_front();
        return step;
    }

private:
    std::deque<ReplicaStep> m_steps;
    std::function<ReplicaStep(const ReplicaRequest &)> m_choose;
};

/// A replica that responds to requests according to a script.
class ScriptedReplica
{
public:
    using Request = ReplicaRequest;

    /// Listens on a free port if `port` is zero.
    ScriptedReplica(asio::io_context &context, std::shared_ptr<Script> script,
                    std::uint16_t port = 0)
        : m_context(context)
        , m_acceptor(context, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), port))
        , m_script(std::move(script))
        , m_port(m_acceptor.local_endpoint().port())
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    std::uint16_t port() const { return m_port; }
    const std::vector<Request> &requests() const { return m_requests; }
    int connections() const { return m_connections; }
    /// Bytes sent without end.
    std::size_t endlessBytesSent() const { return m_endlessBytesSent; }
    /// Connections that the gateway closed.
    int closedByGateway() const { return m_closedByGateway; }
    void close() { m_acceptor.close(); }

private:
    Task<void> accept()
    {
        while (m_acceptor.is_open()) {
            auto [error, socket] = co_await m_acceptor.async_accept(kAwait);
            if (error)
                co_return;
            ++m_connections;
            if (m_acceptsOneMore) {
                m_acceptor.close();
                co_return;
            }
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    static std::string withId(std::string response, const Request &request)
    {
        const std::string id(request["X-Arbutuspier-Attempt-Id"]);
        for (auto at = response.find("%ID"); at != std::string::npos; at = response.find("%ID"))
            response.replace(at, 3, id);
        return response;
    }

    Task<void> serve(Tcp::socket socket)
    {
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buffer;
        std::string repeated;
        while (true) {
            Request request;
            const auto [error, size] =
                co_await boost::beast::http::async_read(stream, buffer, request, kAwait);
            if (error) {
                ++m_closedByGateway;
                co_return;
            }
            m_requests.push_back(request);
            const ReplicaStep step = m_script->next(request);
            if (step.delay > Duration::zero()) {
                asio::steady_timer timer(m_context, step.delay);
                co_await timer.async_wait(kAwait);
            }
            const std::string response = withId(step.response, request);
            const std::string bytes = std::exchange(repeated, {}) + response;
            if (step.isRepeatedToNextRequest)
                repeated = response;
            co_await asio::async_write(stream, asio::buffer(bytes), kAwait);
            if (step.pause > Duration::zero()) {
                asio::steady_timer timer(m_context, step.pause);
                co_await timer.async_wait(kAwait);
                const std::string rest = withId(step.afterPause, request);
                co_await asio::async_write(stream, asio::buffer(rest), kAwait);
            }
            while (!step.endlessBytes.empty()) {
                const auto [endlessError, sent] =
                    co_await asio::async_write(stream, asio::buffer(step.endlessBytes), kAwait);
                if (endlessError) {
                    ++m_closedByGateway;
                    co_return;
                }
                m_endlessBytesSent += sent;
            }
            if (!step.laterBytes.empty()) {
                asio::steady_timer timer(m_context, kLaterBytesDelay);
                co_await timer.async_wait(kAwait);
                co_await asio::async_write(stream, asio::buffer(step.laterBytes), kAwait);
            }
            if (step.stopsListening)
                m_acceptor.close();
            m_acceptsOneMore = step.acceptsOneMore;
            if (step.resetsConnection)
                stream.socket().set_option(asio::socket_base::linger(true, 0));
            if (step.closesConnection || step.resetsConnection)
                co_return;
        }
    }

    static constexpr Duration kLaterBytesDelay = std::chrono::milliseconds{20};

    asio::io_context &m_context;
    Tcp::acceptor m_acceptor;
    std::shared_ptr<Script> m_script;
    std::uint16_t m_port;
    std::vector<Request> m_requests;
    bool m_acceptsOneMore = false;
    std::size_t m_endlessBytesSent = 0;
    int m_connections = 0;
    int m_closedByGateway = 0;
};

/// Gateway state, an acceptor for callers and replicas in one process and thread.
class GatewayFixture
{
public:
    GatewayFixture()
        : state(context.get_executor(), settings, clock)
        , m_acceptor(context, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    ScriptedReplica &addReplica(std::string id, std::string service, std::vector<ReplicaStep> steps)
    {
        return addReplica(std::move(id), std::move(service),
                          std::make_shared<Script>(std::move(steps)));
    }

    ScriptedReplica &addReplica(std::string id, std::string service, std::shared_ptr<Script> script)
    {
        m_replicas.push_back(std::make_unique<ScriptedReplica>(context, std::move(script)));
        listReplica(std::move(id), std::move(service), m_replicas.back()->address());
        return *m_replicas.back();
    }

    /// Lists a replica that something else serves.
    void listReplica(std::string id, std::string service, std::string address)
    {
        ReplicaEntry entry;
        entry.id = id;
        entry.service = std::move(service);
        entry.address = std::move(address);
        entry.zone = "yard";
        entry.slots = 6;
        entry.startedAtMs = 1;
        state.directory.applyChanges({{std::move(id), entry}}, clock.now());
    }

    /// Starts a process at the address of a replica that has crashed. The directory still lists the
    /// replica that crashed.
    ScriptedReplica &addSuccessor(const ScriptedReplica &crashed, std::vector<ReplicaStep> steps)
    {
        m_replicas.push_back(std::make_unique<ScriptedReplica>(
            context, std::make_shared<Script>(std::move(steps)), crashed.port()));
        return *m_replicas.back();
    }

    void configure(std::string_view json)
    {
        auto table = platform::decodeConfiguration(json);
        state.applyConfiguration(*table, "test");
    }

    /// Sends bytes to the gateway on a new connection and returns all that it responds until it
    /// closes the connection.
    std::string call(std::string request)
    {
        return callAt(m_acceptor.local_endpoint().port(), std::move(request));
    }

    /// As `call`, at another port of the loopback interface.
    std::string callAt(std::uint16_t port, std::string request)
    {
        std::string response;
        bool isDone = false;
        asio::co_spawn(context, sendAndReceive(port, std::move(request), response, isDone),
                       asio::detached);
        while (!isDone)
            context.run_one();
        return response;
    }

    /// Handles events for this long.
    void runFor(Duration duration)
    {
        const TimePoint end = clock.now() + duration;
        while (clock.now() < end)
            context.run_for(std::chrono::milliseconds{10});
    }

    struct StartedCall
    {
        std::string response;
        bool isDone = false;
    };

    /// Sends a request without waiting for the response.
    const StartedCall &start(std::string request)
    {
        m_started.push_back(std::make_unique<StartedCall>());
        StartedCall &started = *m_started.back();
        asio::co_spawn(context,
                       sendAndReceive(m_acceptor.local_endpoint().port(), std::move(request),
                                      started.response, started.isDone),
                       asio::detached);
        return started;
    }

    /// Handles a number of events that are due by now.
    void handleDueEvents()
    {
        constexpr int kEvents = 100;
        for (int i = 0; i < kEvents; ++i)
            context.poll_one();
    }

    /// Begins to drain, as after SIGTERM.
    void beginDrain(Duration grace)
    {
        settings.grace = grace;
        state.beginDrain();
        for (const std::weak_ptr<CallerConnection> &weak : m_callers) {
            if (const auto connection = weak.lock())
                connection->beginDrain();
        }
    }

    /// Handles events until the process would stop after a drain.
    void runUntilStop()
    {
        while (clock.now() < state.stopDeadline()) {
            state.dispatchQueue.dispatchWaiting();
            context.run_for(std::chrono::milliseconds{10});
        }
    }

    /// Sends a request, disconnects once a replica has received it, and waits until the gateway has
    /// closed the connection to that replica.
    void callAndDisconnect(std::string request, const ScriptedReplica &replica)
    {
        startAndDisconnect(std::move(request), [&replica] { return !replica.requests().empty(); });
        while (replica.closedByGateway() == 0)
            context.run_one();
    }

    /// Sends a request and disconnects once `isDue` returns true.
    void startAndDisconnect(std::string request, const std::function<bool()> &isDue)
    {
        Tcp::socket socket(context);
        socket.connect(m_acceptor.local_endpoint());
        asio::write(socket, asio::buffer(request));
        while (!isDue())
            context.run_one();
        socket.close();
    }

    /// Sends a request at the moment at which the gateway closes its idle connections: its bytes
    /// have arrived by then, and are read in the same turn. Returns the response.
    std::string callAsIdleConnectionsAreClosed(const std::string &request)
    {
        Tcp::socket socket(context);
        socket.connect(m_acceptor.local_endpoint());
        runFor(std::chrono::milliseconds{20});
        asio::post(context, [&] {
            asio::write(socket, asio::buffer(request));
            asio::post(context, [this] { closeIdleCallers(); });
        });
        std::string response;
        bool isDone = false;
        asio::co_spawn(context, receive(socket, response, isDone), asio::detached);
        while (!isDone)
            context.run_one();
        return response;
    }

    /// Closes the connections of callers on which no request is served, as a draining VM does.
    void closeIdleCallers()
    {
        for (const std::weak_ptr<CallerConnection> &weak : m_callers) {
            if (const auto connection = weak.lock())
                connection->closeIfIdle();
        }
    }

    static std::string request(std::string_view method, std::string_view path,
                               std::string_view extra = "", std::string_view body = "")
    {
        std::string text = std::string(method) + ' ' + std::string(path)
            + " HTTP/1.1\r\nHost: f.example\r\nX-Arbutuspier-Attempt-Id: id1\r\n"
              "X-Arbutuspier-Deadline-Ms: 20000\r\nConnection: close\r\n"
            + std::string(extra);
        if (!body.empty())
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        return text + "\r\n" + std::string(body);
    }

    asio::io_context context{1};
    GatewaySettings settings;
    SystemClock clock;
    GatewayState state;

private:
    Task<void> accept()
    {
        while (true) {
            auto [error, socket] = co_await m_acceptor.async_accept(kAwait);
            if (error)
                co_return;
            auto connection = std::make_shared<CallerConnection>(std::move(socket), state);
            m_callers.push_back(connection);
            asio::co_spawn(context, connection->run(connection), asio::detached);
        }
    }

    Task<void> sendAndReceive(std::uint16_t port, std::string request, std::string &response,
                              bool &isDone)
    {
        Tcp::socket socket(context);
        co_await socket.async_connect({asio::ip::make_address("127.0.0.1"), port}, kAwait);
        co_await asio::async_write(socket, asio::buffer(request), kAwait);
        co_await receive(socket, response, isDone);
    }

    /// Reads until the gateway closes the connection.
    Task<void> receive(Tcp::socket &socket, std::string &response, bool &isDone)
    {
        std::array<char, 4096> bytes{};
        while (true) {
            const auto [error, size] = co_await socket.async_read_some(asio::buffer(bytes), kAwait);
            response.append(bytes.data(), size);
            if (error)
                break;
        }
        isDone = true;
    }

    Tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<CallerConnection>> m_callers;
    std::vector<std::unique_ptr<ScriptedReplica>> m_replicas;
    std::vector<std::unique_ptr<StartedCall>> m_started;
};

} // namespace arbutuspier::gatetest
