// A plain service that counts how often each key ran.
#pragma once

#include "simpleserver.h"

#include <map>
#include <string>

namespace arbutuspier::standin {

struct ServiceServerOptions
{
    Address listen;
    Duration workTime = std::chrono::milliseconds{20};
};

class ServiceServer
{
public:
    ServiceServer(asio::io_context &context, ServiceServerOptions options);
    bool start();

private:
    Task<bool> handle(beast::tcp_stream &stream, Request request);

    asio::io_context &m_context;
    ServiceServerOptions m_options;
    std::uint64_t m_incarnation;
    std::map<std::string, std::uint64_t> m_runs;
};

} // namespace arbutuspier::standin
