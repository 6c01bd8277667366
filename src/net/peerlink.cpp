// Asio transports the bytes of each connection; WsEndpoint encodes and decodes WebSocket messages.
#include "net/peerlink.h"

#include "kernel/logline.h"
#include "net/httpchannel.h"
#include "net/listen.h"
#include "net/peercodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <glog/logging.h>

#include <array>

namespace arbutuspier {

namespace {

constexpr std::size_t kMaxQueuedMessages = 256;
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr Duration kConnectTimeout = std::chrono::milliseconds{500};
constexpr Duration kReconnectDelay = std::chrono::milliseconds{500};

/// Takes equally long wherever two strings of the same length differ, so that a key can't be
/// guessed by timing.
bool isEqualInConstantTime(const std::string &a, const std::string &b)
{
    unsigned difference = a.size() == b.size() ? 0u : 1u;
    for (std::size_t i = 0; i < a.size() && i < b.size(); ++i)
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    return difference == 0;
}

} // namespace

/// One connection, opened by this VM or by the peer.
class PeerLink::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(PeerLink &owner, Tcp::socket socket)
        : m_owner(owner)
        , m_socket(std::move(socket))
    {
    }

    void startServer()
    {
        m_endpoint = WsEndpoint::makeServer(callbacks());
        asio::co_spawn(m_owner.m_context, read(), asio::detached);
    }

    Task<void> connect(Address address)
    {
        const auto self = shared_from_this();
        asio::steady_timer timer(m_owner.m_context, kConnectTimeout);
        timer.async_wait([self](ErrorCode error) {
            if (!error && !self->m_endpoint)
                self->close();
        });
        const auto [error] = co_await m_socket.async_connect(endpointOf(address), kAwait);
        timer.cancel();
        if (error) {
            close();
            co_return;
        }
        ErrorCode ignored;
        m_socket.set_option(Tcp::no_delay(true), ignored);
        m_endpoint = WsEndpoint::makeClient("ws://" + address.text() + "/peer", authorization(),
                                            callbacks());
        if (!m_endpoint) {
            close();
            co_return;
        }
        co_await read();
    }

    void send(std::string bytes)
    {
        if (m_isClosed)
            return;
        if (m_endpoint && m_isOpen) {
            m_endpoint->send(bytes);
            return;
        }
        if (m_queuedMessages.size() < kMaxQueuedMessages)
            m_queuedMessages.push_back(std::move(bytes));
    }

    /// Returns true while the connection is connecting or open, and for `kReconnectDelay` after it
    /// closed. The delay keeps an unreachable peer from causing a connection attempt for each
    /// message.
    bool blocksReconnect(TimePoint now) const
    {
        return !m_isClosed || now < m_closedAt + kReconnectDelay;
    }

private:
    std::string authorization() const { return "Bearer " + m_owner.m_settings.peerKey; }

    WsEndpoint::Callbacks callbacks()
    {
        WsEndpoint::Callbacks callbacks;
        callbacks.write = [this](std::string_view bytes) { write(bytes); };
        callbacks.opened = [this] {
            m_isOpen = true;
            for (const std::string &bytes : std::exchange(m_queuedMessages, {}))
                m_endpoint->send(bytes);
        };
        callbacks.message = [this](std::string_view bytes) { onMessage(bytes); };
        callbacks.closed = [this] { close(); };
        callbacks.accept = [this](const std::string &value) {
            const bool isAuthorized = isEqualInConstantTime(value, authorization());
            if (!isAuthorized)
                LOG(WARNING) << LogLine("peer_refused").add("why", "wrong key").text();
            return isAuthorized;
        };
        return callbacks;
    }

    void onMessage(std::string_view bytes)
    {
        auto message = decodePeerMessage(bytes);
        if (!message) {
            LOG(WARNING)
                << LogLine("peer_message_dropped").add("bytes", std::uint64_t{bytes.size()}).text();
            return;
        }
        m_owner.m_events.post(PeerReceived{std::move(*message)});
    }

    void write(std::string_view bytes)
    {
        m_owner.m_bytesSent += bytes.size();
        m_unsentBytes += bytes;
        if (m_isWriting)
            return;
        m_isWriting = true;
        asio::co_spawn(m_owner.m_context, flush(), asio::detached);
    }

    Task<void> flush()
    {
        const auto self = shared_from_this();
        while (!m_unsentBytes.empty() && !m_isClosed) {
            const std::string bytes = std::exchange(m_unsentBytes, {});
            const auto [error, size] =
                co_await asio::async_write(m_socket, asio::buffer(bytes), kAwait);
            if (error)
                close();
        }
        m_isWriting = false;
    }

    Task<void> read()
    {
        const auto self = shared_from_this();
        std::array<char, kReadBytes> bytes;
        while (!m_isClosed) {
            const auto [error, size] =
                co_await m_socket.async_read_some(asio::buffer(bytes), kAwait);
            if (error)
                break;
            m_endpoint->feed(std::string_view(bytes.data(), size));
        }
        close();
    }

    void close()
    {
        if (m_isClosed)
            return;
        m_isClosed = true;
        m_isOpen = false;
        m_closedAt = std::chrono::steady_clock::now();
        ErrorCode ignored;
        m_socket.close(ignored);
    }

    PeerLink &m_owner;
    Tcp::socket m_socket;
    std::unique_ptr<WsEndpoint> m_endpoint;
    std::deque<std::string> m_queuedMessages;
    std::string m_unsentBytes;
    bool m_isWriting = false;
    /// True from the end of the WebSocket handshake until the connection closes.
    bool m_isOpen = false;
    bool m_isClosed = false;
    TimePoint m_closedAt;
};

PeerLink::PeerLink(asio::io_context &context, const Settings &settings, EventSink &events)
    : m_context(context)
    , m_settings(settings)
    , m_events(events)
{
}

PeerLink::~PeerLink() = default;

Result<bool> PeerLink::listen()
{
    auto acceptor = openAcceptor(m_context, m_settings.peer, "vm.peer");
    if (!acceptor)
        return acceptor.error();
    m_acceptor = std::move(*acceptor);
    return true;
}

Task<void> PeerLink::accept()
{
    while (m_acceptor->is_open()) {
        auto [error, socket] = co_await m_acceptor->async_accept(kAwait);
        if (error)
            continue;
        ErrorCode ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        std::make_shared<Connection>(*this, std::move(socket))->startServer();
    }
}

void PeerLink::send(VmId to, const PeerMessage &message)
{
    auto address = m_settings.peerAddresses.find(to);
    if (address == m_settings.peerAddresses.end())
        return;
    std::shared_ptr<Connection> &connection = m_connections[to];
    if (!connection || !connection->blocksReconnect(std::chrono::steady_clock::now())) {
        connection = std::make_shared<Connection>(*this, Tcp::socket(m_context));
        asio::co_spawn(m_context, connection->connect(address->second), asio::detached);
    }
    connection->send(encodePeerMessage(message));
}

} // namespace arbutuspier
