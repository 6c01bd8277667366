// HTTP client of the platform's table service and list of VMs.
#pragma once

#include "net/eventsink.h"
#include "net/httpchannel.h"

#include <memory>
#include <vector>

namespace arbutuspier {

/// For use on the control thread only.
class PlatformClient
{
public:
    PlatformClient(asio::io_context &context, Address address, EventSink &events);

    /// Starts one call and posts its outcome as a `TableReply`: unknown if it was sent and no valid
    /// response came in time.
    void call(const TableCall &call);
    /// Polls the list of VMs forever and posts each valid one.
    Task<void> pollVmList();
    /// Sets the entry of this VM, which each poll reports to the platform so that the list has it.
    void setSelf(VmId vm, Incarnation incarnation, std::string zone);

private:
    Task<void> runTableCall(TableOpId op, TableRequest request);
    std::unique_ptr<HttpChannel> acquireChannel();

    asio::io_context &m_context;
    Address m_address;
    EventSink &m_events;
    std::vector<std::unique_ptr<HttpChannel>> m_idleChannels;
    std::string m_selfJson;
};

} // namespace arbutuspier
