// Ids are unique in the fleet: the upper 32 bits are a hash of VM and incarnation, the lower ones a
// counter.
#include "node/nodecontext.h"

#include <xxhash.h>

#include <array>

namespace arbutuspier {

namespace {

constexpr unsigned kCounterBits = 32;

std::uint64_t makeIdBase(VmId vm, Incarnation incarnation)
{
    const std::array<std::uint64_t, 2> parts{vm.value, incarnation.value};
    return std::uint64_t{XXH32(parts.data(), sizeof(parts), 0)} << kCounterBits;
}

} // namespace

NodeContext::NodeContext(NodeSettings nodeSettings, ServiceRegistry &serviceRegistry)
    : settings(std::move(nodeSettings))
    , random(settings.seed)
    , m_services(serviceRegistry)
    , m_idBase(makeIdBase(settings.self.id, settings.incarnation))
{
}

void NodeContext::sendPeer(VmId to, PeerBody body)
{
    PeerMessage message;
    message.from = settings.self.id;
    message.incarnation = settings.incarnation;
    message.limitsVersion = service<LimitsTable>(service::kLimits).version();
    message.shareEpoch = service<ShareAllocator>(service::kShares).epoch();
    message.updates = service<Membership>(service::kMembership).updatesToSend();
    message.body = std::move(body);
    emit(SendPeer{to, std::move(message)});
}

void NodeContext::broadcast(const PeerBody &body)
{
    for (VmId peer : service<Membership>(service::kMembership).reachable())
        sendPeer(peer, body);
}

std::string_view NodeContext::upstreamName(UpstreamId upstream) const
{
    const UpstreamInfo *info = service<Router>(service::kRouter).info(upstream);
    return info ? std::string_view(info->name) : std::string_view("unknown");
}

} // namespace arbutuspier
