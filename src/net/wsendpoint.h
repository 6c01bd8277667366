// One endpoint of a WebSocket connection, without a socket: the owner moves the bytes.
//
// websocketpp compiles as C++17 only, so this header hides it from the rest of the code.
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
        /// Has to send these bytes to the other side.
        std::function<void(std::string_view)> write;
        /// The handshake is complete.
        std::function<void()> opened;
        /// A message arrived.
        std::function<void(std::string_view)> message;
        /// The handshake failed, or the connection was closed.
        std::function<void()> closed;
        /// For a server: returns whether the value of the Authorization header is valid.
        std::function<bool(const std::string &)> accept;
    };

    /// Starts a handshake with this Authorization header. Returns null if the URI is invalid.
    static std::unique_ptr<WsEndpoint> makeClient(const std::string &uri,
                                                  const std::string &authorization,
                                                  Callbacks callbacks);
    /// Waits for the client's handshake.
    static std::unique_ptr<WsEndpoint> makeServer(Callbacks callbacks);

    virtual ~WsEndpoint() = default;
    /// Processes bytes received from the other side.
    virtual void feed(std::string_view bytes) = 0;
    /// Sends one binary message. Returns false if the connection is not open.
    virtual bool send(std::string_view payload) = 0;
    /// Has to be called when the underlying connection is lost.
    virtual void onConnectionLost() = 0;
};

} // namespace arbutuspier
