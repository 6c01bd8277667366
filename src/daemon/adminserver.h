// Admin HTTP server for operators: status, limits, drains, orders and quarantine. Runs on the
// control thread.
#pragma once

#include "daemon/controlloop.h"
#include "net/asiotypes.h"
#include "settings/settings.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <string>

namespace arbutuspier {

class AdminServer
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    AdminServer(asio::io_context &context, const Settings &settings, ControlLoop &control);

    /// Opens the listening port; the error says why that failed.
    Result<bool> listen();
    /// Accepts connections for as long as the port is open.
    Task<void> accept();
    /// Called when an operator asks this VM to drain.
    std::function<void()> onDrain;

private:
    struct Response
    {
        int status = 200;
        std::string body;
    };

    Task<void> serveConnection(Tcp::socket socket);
    Task<Response> handle(const Request &request);
    Task<Response> handleLimitsEdit(const Request &request);
    Response handleUpstreamAction(const std::string &path, const Request &request);
    bool isAuthorized(const Request &request) const;

    asio::io_context &m_context;
    const Settings &m_settings;
    ControlLoop &m_control;
    std::unique_ptr<Tcp::acceptor> m_acceptor;
};

} // namespace arbutuspier
