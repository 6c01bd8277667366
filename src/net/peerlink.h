// Links to other entry VMs: WebSockets that carry CBOR, opened when there is something to say.
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

/// Lives on the control thread.
class PeerLink
{
public:
    PeerLink(asio::io_context &context, const Settings &settings, EventSink &events);
    ~PeerLink();

    Result<bool> listen();
    Task<void> accept();
    /// Sends over the kept link, or over a new one. What can't be sent soon is dropped.
    void send(VmId to, const PeerMessage &message);

    std::uint64_t bytesSent() const { return m_bytesSent; }

private:
    class Link;

    asio::io_context &m_context;
    const Settings &m_settings;
    EventSink &m_events;
    std::unique_ptr<Tcp::acceptor> m_acceptor;
    std::map<VmId, std::shared_ptr<Link>> m_links;
    std::uint64_t m_bytesSent = 0;
};

} // namespace arbutuspier
