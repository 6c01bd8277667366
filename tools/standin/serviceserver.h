// Simulator of a service that isn't an inference engine; it counts how often it executed each
// idempotency key.
#pragma once

#include "simpleserver.h"

#include <map>
#include <string>

namespace arbutuspier::standin {

struct ServiceServerOptions
{
    Address listen;
    /// Execution time of a call; the call is counted when it starts.
    Duration executionTime = std::chrono::milliseconds{20};
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
    /// Start time of the process; `/load` reports it, so that a restart can be detected.
    std::uint64_t m_incarnation;
    std::map<std::string, std::uint64_t> m_executionsByKey;
};

} // namespace arbutuspier::standin
