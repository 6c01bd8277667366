// Uses websocketpp with its iostream transport, without Asio; compiled as C++17.
#include "net/wsendpoint.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

#include <utility>

namespace arbutuspier {

namespace {

constexpr std::size_t kMaxMessageBytes = 32u * 1024 * 1024;

template <class Endpoint>
class WebSocketppEndpoint final : public WsEndpoint
{
public:
    using Connection = typename Endpoint::connection_ptr;

    explicit WebSocketppEndpoint(Callbacks callbacks)
        : m_callbacks(std::move(callbacks))
    {
        m_endpoint.clear_access_channels(websocketpp::log::alevel::all);
        m_endpoint.clear_error_channels(websocketpp::log::elevel::all);
        m_endpoint.set_max_message_size(kMaxMessageBytes);
        m_endpoint.set_write_handler([this](auto, const char *bytes, std::size_t size) {
            m_callbacks.write(std::string_view(bytes, size));
            return websocketpp::lib::error_code();
        });
        m_endpoint.set_shutdown_handler([](auto) { return websocketpp::lib::error_code(); });
        m_endpoint.set_open_handler([this](auto) {
            m_isOpen = true;
            if (m_callbacks.opened)
                m_callbacks.opened();
        });
        m_endpoint.set_close_handler([this](auto) { close(); });
        m_endpoint.set_fail_handler([this](auto) { close(); });
        m_endpoint.set_message_handler([this](auto, typename Endpoint::message_ptr message) {
            m_callbacks.message(message->get_payload());
        });
    }

    bool startClient(const std::string &uri, const std::string &authorization)
    {
        websocketpp::lib::error_code error;
        m_connection = m_endpoint.get_connection(uri, error);
        if (error)
            return false;
        m_connection->append_header("Authorization", authorization);
        m_endpoint.connect(m_connection);
        return true;
    }

    void startServer()
    {
        m_endpoint.set_validate_handler([this](auto) {
            return m_callbacks.accept(m_connection->get_request_header("Authorization"));
        });
        m_connection = m_endpoint.get_connection();
        m_connection->start();
    }

    void feed(std::string_view bytes) override
    {
        m_connection->read_all(bytes.data(), bytes.size());
    }

    bool send(std::string_view payload) override
    {
        if (!m_isOpen)
            return false;
        return !m_connection->send(payload.data(), payload.size(),
                                   websocketpp::frame::opcode::binary);
    }

    void onConnectionLost() override
    {
        m_isOpen = false;
        m_connection->eof();
    }

private:
    void close()
    {
        m_isOpen = false;
        if (m_callbacks.closed)
            m_callbacks.closed();
    }

    Callbacks m_callbacks;
    Endpoint m_endpoint;
    Connection m_connection;
    bool m_isOpen = false;
};

using ClientEndpoint = WebSocketppEndpoint<websocketpp::client<websocketpp::config::core_client>>;
using ServerEndpoint = WebSocketppEndpoint<websocketpp::server<websocketpp::config::core>>;

} // namespace

std::unique_ptr<WsEndpoint> WsEndpoint::makeClient(const std::string &uri,
                                                   const std::string &authorization,
                                                   Callbacks callbacks)
{
    auto endpoint = std::make_unique<ClientEndpoint>(std::move(callbacks));
    if (!endpoint->startClient(uri, authorization))
        return nullptr;
    return endpoint;
}

std::unique_ptr<WsEndpoint> WsEndpoint::makeServer(Callbacks callbacks)
{
    auto endpoint = std::make_unique<ServerEndpoint>(std::move(callbacks));
    endpoint->startServer();
    return endpoint;
}

} // namespace arbutuspier
