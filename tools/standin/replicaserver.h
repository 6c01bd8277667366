// Stand-in for a replica on the platform: registers itself, answers calls and streams, drains.
#pragma once

#include "platform/storeclient.h"
#include "simpleserver.h"

#include <boost/asio/signal_set.hpp>

#include <cstdint>
#include <string>

namespace arbutuspier::standin {

struct ReplicaServerOptions
{
    Address listen;
    Address store;
    std::string id;
    std::string service;
    std::string zone;
    Duration heartbeat = std::chrono::milliseconds{300};
    /// Events of a stream, and the time between them.
    std::uint64_t events = 10;
    Duration eventGap = std::chrono::milliseconds{50};
};

/// `GET /runs` returns how many requests ran here. SIGTERM reports draining and goes on serving.
class ReplicaServer
{
public:
    ReplicaServer(asio::io_context &context, ReplicaServerOptions options);
    bool start();

private:
    Task<void> beat();
    Task<void> watchSignals();
    Task<bool> handle(beast::tcp_stream &stream, Request request);
    Task<bool> stream(beast::tcp_stream &stream, const Request &request);

    asio::io_context &m_context;
    ReplicaServerOptions m_options;
    platform::StoreClient m_store;
    asio::signal_set m_signals;
    std::uint64_t m_runs = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_bornMs;
    bool m_isDraining = false;
};

} // namespace arbutuspier::standin
