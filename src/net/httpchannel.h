// An HTTP connection to one address, used for one call at a time and reopened when needed.
#pragma once

#include "net/asiotypes.h"
#include "settings/settings.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/verb.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace arbutuspier {

struct HttpReply
{
    enum class Outcome {
        /// A whole response arrived, with any status.
        Answered,
        /// The address refused the connection: no process listens there.
        ConnectionRefused,
        /// No connection was established for another reason, such as the timeout; nothing was sent.
        NotConnected,
        /// The request may have been sent, and no whole response arrived.
        Lost,
    };
    Outcome outcome = Outcome::NotConnected;
    int status = 0;
    std::string body;
    boost::beast::http::fields headers;

    bool isOk() const { return outcome == Outcome::Answered && status / 100 == 2; }
};

struct HttpRequest
{
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    /// For sending the request and reading the response; connecting may take a fraction of it.
    Duration timeout = std::chrono::seconds{1};
    /// A reply with a longer body fails the call.
    std::uint64_t maxReplyBytes = 64ULL * 1024 * 1024;
};

class HttpChannel
{
public:
    HttpChannel(asio::any_io_executor executor, Address address);

    /// Makes one call. Connects first if there is no connection or the kept one was closed. If the
    /// call ends without a whole response, its connection is reset.
    Task<HttpReply> call(HttpRequest request);

private:
    /// Returns `Answered` once connected, otherwise the outcome of the call.
    Task<HttpReply::Outcome> connect(Duration timeout);

    asio::any_io_executor m_executor;
    Address m_address;
    std::unique_ptr<beast::tcp_stream> m_stream;
    beast::flat_buffer m_buffer;
};

/// Makes one call over a new connection.
Task<HttpReply> callOnce(Address address, HttpRequest request);

/// True if the other side closed a kept connection, or sent bytes that no request asked for.
bool isStale(beast::tcp_stream &stream);

/// Determines whether closing the socket resets its connection. The kernel then discards what it
/// has not sent yet; otherwise it goes on sending it for minutes.
void setResetOnClose(Tcp::socket &socket, bool resets);

/// Has the kernel probe the connection while it is idle, so that one that fell silent without a
/// reset fails after about three seconds, also while a long poll waits on it.
void enableProbes(Tcp::socket &socket);

/// Converts an address. Its host must be a valid IP address, as the settings ensure.
Tcp::endpoint endpointOf(const Address &address);

} // namespace arbutuspier
