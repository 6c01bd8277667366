// A silent link refuses nothing: its listen queue is full of connections that nobody accepts, so
// that the kernel drops the packets that would open further ones.
#include "linkserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <iostream>
#include <map>
#include <optional>

namespace arbutuspier::standin {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr std::size_t kBufferBytes = 16 * 1024;
/// More than the connections that a listen queue of length zero holds.
constexpr int kQueueFillers = 4;

std::optional<LinkState> parseState(std::string_view name)
{
    static const std::map<std::string_view, LinkState> kStates = {
        {"connected", LinkState::Connected},
        {"silent", LinkState::Silent},
        {"reset", LinkState::Reset},
        {"refuses-new", LinkState::RefusesNew},
    };
    const auto found = kStates.find(name);
    return found == kStates.end() ? std::nullopt : std::optional(found->second);
}

} // namespace

/// A connection over the link, and the one to the target that continues it.
class LinkServer::Connection
{
public:
    Connection(asio::io_context &context, Tcp::socket near)
        : m_near(std::move(near))
        , m_far(context)
        , m_resumeTimer(context, TimePoint::max())
    {
    }

    Task<void> run(std::shared_ptr<Connection> self, Tcp::endpoint target)
    {
        const auto [error] = co_await m_far.async_connect(target, kAwait);
        if (error) {
            reset();
            co_return;
        }
        ErrorCode ignored;
        m_far.set_option(Tcp::no_delay(true), ignored);
        m_near.set_option(Tcp::no_delay(true), ignored);
        asio::co_spawn(m_far.get_executor(), forward(self, m_near, m_far), asio::detached);
        co_await forward(self, m_far, m_near);
    }

    void setPaused(bool isPaused)
    {
        m_isPaused = isPaused;
        if (!isPaused)
            m_resumeTimer.cancel();
    }

    void reset()
    {
        ErrorCode ignored;
        for (Tcp::socket *socket : {&m_near, &m_far}) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

private:
    Task<void> forward([[maybe_unused]] std::shared_ptr<Connection> self, Tcp::socket &from,
                       Tcp::socket &to)
    {
        std::array<char, kBufferBytes> bytes{};
        while (true) {
            const auto [readError, size] =
                co_await from.async_read_some(asio::buffer(bytes), kAwait);
            while (m_isPaused)
                co_await m_resumeTimer.async_wait(kAwait);
            if (readError)
                break;
            const auto [writeError, written] =
                co_await asio::async_write(to, asio::buffer(bytes.data(), size), kAwait);
            if (writeError)
                break;
        }
        reset();
    }

    Tcp::socket m_near;
    Tcp::socket m_far;
    /// Never expires; cancelled to wake what waits for the end of the pause.
    asio::steady_timer m_resumeTimer;
    bool m_isPaused = false;
};

class LinkServer::Link
{
public:
    Link(asio::io_context &context, const Tcp::endpoint &listen, const Tcp::endpoint &target)
        : m_context(context)
        , m_listen(listen)
        , m_target(target)
    {
    }

    bool setState(LinkState state)
    {
        for (const auto &weak : m_connections) {
            const auto connection = weak.lock();
            if (connection && state == LinkState::Reset)
                connection->reset();
            else if (connection)
                connection->setPaused(state == LinkState::Silent);
        }
        std::erase_if(m_connections, [](const auto &weak) { return weak.expired(); });
        // The coroutine that accepts keeps the acceptor, and thereby the port, until it is closed.
        if (m_acceptor)
            m_acceptor->close();
        m_queueFillers.clear();
        if (state == LinkState::Connected)
            return accept();
        return state != LinkState::Silent || fillQueue();
    }

private:
    bool open(int queueLength)
    {
        ErrorCode error;
        m_acceptor = std::make_shared<Tcp::acceptor>(m_context);
        m_acceptor->open(m_listen.protocol(), error);
        m_acceptor->set_option(asio::socket_base::reuse_address(true), error);
        m_acceptor->bind(m_listen, error);
        if (!error)
            m_acceptor->listen(queueLength, error);
        if (error)
            std::cerr << "link " << m_listen << ": " << error.message() << std::endl;
        return !error;
    }

    bool accept()
    {
        if (!open(asio::socket_base::max_listen_connections))
            return false;
        asio::co_spawn(m_context, acceptConnections(m_acceptor), asio::detached);
        return true;
    }

    bool fillQueue()
    {
        if (!open(0))
            return false;
        for (int i = 0; i < kQueueFillers; ++i) {
            auto filler = std::make_shared<Tcp::socket>(m_context);
            filler->async_connect(m_listen, [filler](ErrorCode) {});
            m_queueFillers.push_back(std::move(filler));
        }
        return true;
    }

    Task<void> acceptConnections(std::shared_ptr<Tcp::acceptor> acceptor)
    {
        while (acceptor->is_open()) {
            auto [error, socket] = co_await acceptor->async_accept(kAwait);
            if (error || acceptor != m_acceptor)
                co_return;
            auto connection = std::make_shared<Connection>(m_context, std::move(socket));
            m_connections.push_back(connection);
            asio::co_spawn(m_context, connection->run(connection, m_target), asio::detached);
        }
    }

    asio::io_context &m_context;
    Tcp::endpoint m_listen;
    Tcp::endpoint m_target;
    std::shared_ptr<Tcp::acceptor> m_acceptor;
    std::vector<std::weak_ptr<Connection>> m_connections;
    std::vector<std::shared_ptr<Tcp::socket>> m_queueFillers;
};

LinkServer::LinkServer(asio::io_context &context, LinkServerOptions options)
    : m_context(context)
    , m_options(std::move(options))
{
}

LinkServer::~LinkServer() = default;

bool LinkServer::start()
{
    const auto ip = asio::ip::make_address(m_options.control.host);
    for (std::uint32_t i = 0; i < m_options.count; ++i) {
        const Tcp::endpoint listen(ip, static_cast<std::uint16_t>(m_options.listenPort + i));
        const Tcp::endpoint target(ip, static_cast<std::uint16_t>(m_options.targetPort + i));
        m_links.push_back(std::make_unique<Link>(m_context, listen, target));
        if (!m_links.back()->setState(LinkState::Connected))
            return false;
    }
    return serve(m_context, m_options.control, [this](beast::tcp_stream &stream, Request request) {
        return handle(stream, std::move(request));
    });
}

Task<bool> LinkServer::handle(beast::tcp_stream &stream, Request request)
{
    const std::optional<LinkState> state = parseState(request.body());
    if (request.target() != "/state" || !state)
        co_return co_await reply(stream, request, kBadRequest, "{}");
    for (const auto &link : m_links)
        link->setState(*state);
    co_return co_await reply(stream, request, kOk, "{}");
}

} // namespace arbutuspier::standin
