// The names are part of the metrics, so they stay as they are.
#include "gateway/peertraffic.h"

namespace arbutuspier {

std::string_view nameOf(PeerMessageKind kind)
{
    switch (kind) {
    case PeerMessageKind::Changes:
        return "changes";
    case PeerMessageKind::FullState:
        return "full_state";
    case PeerMessageKind::Protocol:
        return "protocol";
    case PeerMessageKind::ReplicaNotice:
        return "replica_notice";
    case PeerMessageKind::RequestLimits:
        return "request_limits";
    case PeerMessageKind::PromptParts:
        return "prompt_parts";
    case PeerMessageKind::LostPaths:
        return "lost_paths";
    case PeerMessageKind::Evacuations:
        return "evacuations";
    case PeerMessageKind::Outcomes:
        return "outcomes";
    case PeerMessageKind::Configuration:
        return "configuration";
    case PeerMessageKind::Snapshot:
        break;
    }
    return "snapshot";
}

void PeerTraffic::onSent(PeerMessageKind kind, std::size_t bytes)
{
    Count &count = m_counts[static_cast<std::size_t>(kind)];
    ++count.messages;
    count.bytes += bytes;
}

std::uint64_t PeerTraffic::messages() const
{
    std::uint64_t sum = 0;
    for (const Count &count : m_counts)
        sum += count.messages;
    return sum;
}

std::uint64_t PeerTraffic::bytes() const
{
    std::uint64_t sum = 0;
    for (const Count &count : m_counts)
        sum += count.bytes;
    return sum;
}

} // namespace arbutuspier
