// One caller's HTTP connection: reads requests, detects that the caller disconnected, and writes
// responses.
#pragma once

#include "gateway/gatewaystate.h"
#include "net/asiotypes.h"
#include "platform/httpheaders.h"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <string>

namespace arbutuspier {

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    enum class Origin : std::uint8_t {
        Caller,
        /// A peer that relays requests.
        Peer,
    };

    CallerConnection(Tcp::socket socket, GatewayState &state, Origin origin = Origin::Caller);

    /// Serves requests until the caller or the gateway closes the connection. `self` keeps this
    /// object alive meanwhile.
    Task<void> run(std::shared_ptr<CallerConnection> self);
    /// This VM drains: the request that is served, if any, has to end before the VM stops.
    void beginDrain();
    /// Whether a request is being read or served.
    bool isBusy() const { return m_isBusy; }
    /// Closes the connection unless a request is being read or served on it, or has arrived.
    void closeIfIdle();

    // For the RequestHandler of the current request.

    /// Whether the caller closed its connection while the current request was served.
    bool isDisconnected() const { return m_isDisconnected; }
    /// When it did.
    TimePoint disconnectedAt() const { return m_disconnectedAt; }
    /// Called once when the caller disconnects while its request is served.
    std::function<void()> onDisconnect;
    /// Called when this VM begins to drain while a request is served.
    std::function<void()> onDrain;
    /// Sets how long the caller waits for the response to the current request. Until then it may
    /// read as slowly as it likes.
    void setResponseDeadline(TimePoint at) { m_responseDeadline = at; }

    // The functions below return false if the caller has disconnected, the write failed, or the
    // caller didn't accept the bytes in time: until the response deadline, and for at least
    // GatewaySettings::writeTimeout.

    /// Sends a complete response with a Content-Length.
    Task<bool> sendResponse(int status, platform::Fields fields, std::string body);
    /// Sends the head of a chunked response.
    Task<bool> sendStreamHead(int status, platform::Fields fields);
    /// Sends one chunk of the body.
    Task<bool> sendChunk(const std::string &bytes);
    /// Sends the last, empty chunk.
    Task<bool> sendLastChunk();
    /// Closes the connection after the current request without ending its response, so that the
    /// caller can't take a truncated response for a complete one.
    void closeWithoutEnd();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// The limits that are in force now.
    CallerLimits limits() const;
    /// Waits for the first bytes of a request. False if none come and the connection must be
    /// closed.
    Task<bool> awaitRequest();
    /// Closes the connection once it has been idle since `idleSince` for as long as the
    /// configuration of that moment allows.
    void closeWhenIdle(TimePoint idleSince);
    /// Reads one request, whose body counts as `memory`. On an error it sends the error status that
    /// fits, if any, and returns false; the connection must then be closed.
    Task<bool> readRequest(Parser &parser, MemoryBudget::Share &memory);
    Task<ErrorCode> readBody(Parser &parser, MemoryBudget::Share &memory);
    /// Sends the status that fits the error of reading a request, if any does. Always false.
    Task<bool> rejectUnreadRequest(const Parser &parser, ErrorCode error);
    /// Fields of the response to a request for whose body there is no memory: another VM, or this
    /// one later, may have some.
    platform::Fields refusalFields(const Parser &parser) const;
    /// Reads on for a while and discards what comes, as closing a connection with unread bytes
    /// resets it, and the caller might lose the response.
    Task<void> discardInput();
    Task<bool> write(const std::string &bytes);
    /// Awaits the write that `start` begins. False if it failed; the connection is then closed
    /// after the current request.
    template <class Start>
    Task<bool> writeWithTimeout(Start start);
    /// Sets the status, the fields and whether the connection stays open after the response.
    template <class Response>
    void setHead(Response &response, int status, platform::Fields fields);
    /// Starts a read that detects a disconnect while a request is served.
    void startDisconnectWatch();
    /// Cancels that read and waits until it has ended.
    Task<void> stopDisconnectWatch();
    void handleDisconnect();
    bool staysOpen() const;

    /// Serves one request. One of a peer is rejected unless it is marked as relayed.
    Task<void> serve(Request &request);

    beast::tcp_stream m_stream;
    /// Bounds the head of a request and of each of its chunks.
    static constexpr std::size_t kMaxBufferBytes = 1024 * 1024;
    beast::flat_buffer m_buffer{kMaxBufferBytes};
    GatewayState &m_state;
    Origin m_origin;
    asio::cancellation_signal m_watchCancel;
    asio::steady_timer m_watchEndedTimer;
    asio::steady_timer m_idleTimer;
    bool m_isWatching = false;
    bool m_isWatchStopping = false;
    bool m_isDisconnected = false;
    TimePoint m_disconnectedAt{};
    TimePoint m_responseDeadline{};
    bool m_isBusy = false;
    bool m_wantsKeepAlive = true;
    bool m_isClosing = false;
};

} // namespace arbutuspier
