// Control calls to upstreams: polls of load and cache events, reservations, releases and orders.
#pragma once

#include "net/eventsink.h"
#include "net/httpchannel.h"

#include <map>

namespace arbutuspier {

/// For use on the control thread only. The result of each call is posted as an event.
class UpstreamControl
{
public:
    UpstreamControl(asio::io_context &context, const Settings &settings, EventSink &events);

    /// Starts to poll the load of each upstream and the cache events of each engine.
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
    /// Interval between two polls of one upstream: at least `minInterval`, and so long that the
    /// polls of all upstreams together stay within `pollsPerSecond`.
    Duration pollInterval(Duration minInterval, std::size_t pollsPerSecond) const;
    void onLoad(UpstreamId upstream, const HttpReply &reply, Duration roundTripTime);

    asio::io_context &m_context;
    const Settings &m_settings;
    EventSink &m_events;
};

} // namespace arbutuspier
