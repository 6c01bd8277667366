// Simulator of the network links between one VM and the replicas: forwards TCP connections, and can
// partition them in the ways that real partitions take.
#pragma once

#include "simpleserver.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier::standin {

enum class LinkState : std::uint8_t {
    Connected,
    /// Packets are dropped: open connections are silent, and new ones are not established.
    Silent,
    /// Open connections were reset, and new ones are refused.
    Reset,
    /// Open connections go on, and new ones are refused.
    RefusesNew,
};

struct LinkServerOptions
{
    /// `PUT /state` with the name of a state as its body sets the state of all links.
    Address control;
    /// Link `i` listens on this port plus `i` and leads to `targetPort` plus `i`.
    std::uint16_t listenPort = 0;
    std::uint16_t targetPort = 0;
    std::uint32_t count = 0;
};

class LinkServer
{
public:
    LinkServer(asio::io_context &context, LinkServerOptions options);
    ~LinkServer();
    bool start();

private:
    class Connection;
    class Link;

    Task<bool> handle(beast::tcp_stream &stream, Request request);

    asio::io_context &m_context;
    LinkServerOptions m_options;
    std::vector<std::unique_ptr<Link>> m_links;
};

} // namespace arbutuspier::standin
