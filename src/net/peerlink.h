// Connections to other entry VMs: WebSockets with CBOR messages, opened when a message is to be
// sent.
#pragma once

#include "arbutuspier/command.h"
#include "net/asiotypes.h"
#include "net/eventsink.h"
#include "net/wsendpoint.h"
#include "settings/settings.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace arbutuspier {

/// For use on the control thread only.
class PeerLink
{
public:
    PeerLink(asio::io_context &context, const Settings &settings, EventSink &events);
    ~PeerLink();

    /// Opens the listening port; the error says why that failed.
    Result<bool> listen();
    /// Accepts connections of peers for as long as the port is open.
    Task<void> accept();
    /// Sends a message over the open connection to `to`, or over a new one. The message is dropped
    /// if the connection was lost a moment ago or too many messages wait for it to open.
    void send(VmId to, const PeerMessage &message);

    std::uint64_t bytesSent() const { return m_bytesSent; }

private:
    class Connection;

    asio::io_context &m_context;
    const Settings &m_settings;
    EventSink &m_events;
    std::unique_ptr<Tcp::acceptor> m_acceptor;
    std::map<VmId, std::shared_ptr<Connection>> m_connections;
    std::uint64_t m_bytesSent = 0;
};

} // namespace arbutuspier
