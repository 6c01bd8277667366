// A small HTTP server for this VM's readiness, its metrics, or its snapshot for peers.
#pragma once

#include "net/asiotypes.h"
#include "settings/settings.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace arbutuspier {

/// By default the response to an unknown path.
struct StatusResponse
{
    int status = 404;
    std::string contentType = "text/plain";
    std::string body;
};

class StatusServer
{
public:
    using Handler = std::function<StatusResponse(std::string_view path)>;

    StatusServer(asio::io_context &context, Address address, Handler handler);

    /// Opens the port. An error names it by `setting`, the key of the address in the settings.
    Result<bool> listen(std::string_view setting);
    /// Accepts connections and serves them; call after listen().
    Task<void> accept();

private:
    Task<void> serve(Tcp::socket socket);

    asio::io_context &m_context;
    Address m_address;
    Handler m_handler;
    std::unique_ptr<Tcp::acceptor> m_acceptor;
};

} // namespace arbutuspier
