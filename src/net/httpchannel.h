// One HTTP connection to one address, used for one call at a time and opened again when needed.
#pragma once

#include "net/asiotypes.h"
#include "settings/settings.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/verb.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace arbutuspier {

struct HttpReply
{
    enum class Outcome {
        /// A whole answer came.
        Answered,
        /// The address refused the connection: no process listens there.
        ConnectionRefused,
        /// No connection came about in time; nothing was sent.
        NotConnected,
        /// Bytes were sent and no whole answer came.
        Lost,
    };
    Outcome outcome = Outcome::NotConnected;
    int status = 0;
    std::string body;

    bool isOk() const { return outcome == Outcome::Answered && status / 100 == 2; }
};

struct HttpRequest
{
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    Duration timeout = std::chrono::seconds{1};
};

class HttpChannel
{
public:
    HttpChannel(asio::any_io_executor executor, Address address);

    /// Makes one call. A kept connection that turns out closed before the call is opened anew.
    Task<HttpReply> call(HttpRequest request);

private:
    Task<HttpReply::Outcome> connect(Duration timeout);

    asio::any_io_executor m_executor;
    Address m_address;
    std::unique_ptr<beast::tcp_stream> m_stream;
    beast::flat_buffer m_buffer;
};

/// One call over a connection of its own.
Task<HttpReply> callOnce(Address address, HttpRequest request);

/// True if a kept connection was closed by the other side, or has bytes that nobody asked for.
bool isStale(beast::tcp_stream &stream);

/// The endpoint of an address that settings have checked.
Tcp::endpoint endpointOf(const Address &address);

} // namespace arbutuspier
