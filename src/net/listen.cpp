// The steps that open a listening port are the same for every server of the daemon.
#include "net/listen.h"

#include "net/httpchannel.h"

#include <string>

namespace arbutuspier {

Result<std::unique_ptr<Tcp::acceptor>> openAcceptor(asio::io_context &context,
                                                    const Address &address,
                                                    std::string_view settingName)
{
    const Tcp::endpoint endpoint = endpointOf(address);
    auto acceptor = std::make_unique<Tcp::acceptor>(context);
    ErrorCode error;
    acceptor->open(endpoint.protocol(), error);
    if (!error)
        acceptor->set_option(Tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor->bind(endpoint, error);
    if (!error)
        acceptor->listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return Error(std::string(settingName) + ' ' + address.text() + ": " + error.message());
    return acceptor;
}

} // namespace arbutuspier
