// What is asked of upstreams besides answers: load, cache events, reservations, releases, orders.
#pragma once

#include "net/eventsink.h"
#include "net/httpchannel.h"

#include <map>

namespace arbutuspier {

/// Lives on the control thread.
class UpstreamControl
{
public:
    UpstreamControl(asio::io_context &context, const Settings &settings, EventSink &events);

    /// Starts to read the load of each upstream again and again.
    void start();
    void reserve(const Reserve &command);
    void release(const Release &command);
    void order(const SendOrder &command);

private:
    Task<void> pollLoad(UpstreamId upstream, Address address, bool isEngine);
    Task<void> pollCache(UpstreamId upstream, Address address);
    Task<void> runReserve(Reserve command, Address address);
    Task<void> runRelease(Release command, Address address);
    Task<void> runOrder(SendOrder command, Address address);
    /// Time between two reads of one upstream, so that all together stay within a rate.
    Duration fairInterval(Duration shortest, std::size_t readsPerSecond) const;
    void onLoad(UpstreamId upstream, const HttpReply &reply, Duration took);

    asio::io_context &m_context;
    const Settings &m_settings;
    EventSink &m_events;
};

} // namespace arbutuspier
