// A WebSocket end fed with bytes: websocketpp without its sockets.
//
// websocketpp compiles as C++17 only, so it lives alone behind this header of plain types.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace arbutuspier {

class WsEndpoint
{
public:
    struct Callbacks
    {
        /// Bytes for the other end.
        std::function<void(std::string_view)> write;
        std::function<void()> opened;
        std::function<void(std::string_view)> message;
        std::function<void()> closed;
        /// For a server: whether the value of the Authorization header is good.
        std::function<bool(const std::string &)> accept;
    };

    /// Starts a handshake with this Authorization header. Empty if the URI is bad.
    static std::unique_ptr<WsEndpoint> makeClient(const std::string &uri,
                                                  const std::string &authorization,
                                                  Callbacks callbacks);
    /// Waits for a handshake.
    static std::unique_ptr<WsEndpoint> makeServer(Callbacks callbacks);

    virtual ~WsEndpoint() = default;
    /// Takes bytes from the other end.
    virtual void feed(std::string_view bytes) = 0;
    /// Sends one binary message. False if the connection is not open.
    virtual bool send(std::string_view payload) = 0;
    /// The connection below is gone.
    virtual void lost() = 0;
};

} // namespace arbutuspier
