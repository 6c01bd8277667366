// The platform over HTTP: table service and the list of VMs.
#pragma once

#include "net/eventsink.h"
#include "net/httpchannel.h"

#include <memory>
#include <vector>

namespace arbutuspier {

/// Lives on the control thread.
class PlatformClient
{
public:
    PlatformClient(asio::io_context &context, Address address, EventSink &events);

    /// Carries out one call; its `TableReply` follows, as unknown after the time limit.
    void call(const TableCall &call);
    /// Reads the VM list again and again.
    Task<void> pollList();
    /// Tells the platform of this VM's life, so that it is on the list.
    void setSelf(VmId vm, Incarnation incarnation, std::string zone);

private:
    Task<void> run(TableOpId op, TableRequest request);
    std::unique_ptr<HttpChannel> takeChannel();

    asio::io_context &m_context;
    Address m_address;
    EventSink &m_events;
    std::vector<std::unique_ptr<HttpChannel>> m_idle;
    std::string m_selfJson;
};

} // namespace arbutuspier
