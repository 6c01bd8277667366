// Counts what this VM sends its peers, by kind. Performs no I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace arbutuspier {

/// What a message to a peer is for.
enum class PeerMessageKind {
    /// Changes of active requests, heartbeats, departures and suspects.
    Changes,
    /// The same datagrams with all active requests, and requests for those.
    FullState,
    Protocol,
    ReplicaNotice,
    RequestLimits,
    PromptParts,
    LostPaths,
    Evacuations,
    /// What this VM saw of replicas.
    Outcomes,
    /// Responses over HTTP with the configuration.
    Configuration,
    /// Responses over HTTP with the configuration and the replicas.
    Snapshot,
};

inline constexpr std::size_t kPeerMessageKinds =
    static_cast<std::size_t>(PeerMessageKind::Snapshot) + 1;

/// The name of the kind in metrics and log lines.
std::string_view nameOf(PeerMessageKind kind);

class PeerTraffic
{
public:
    /// Records a message of `bytes` bytes, without the headers of its packets.
    void onSent(PeerMessageKind kind, std::size_t bytes);
    std::uint64_t messages() const;
    std::uint64_t bytes() const;
    std::uint64_t messages(PeerMessageKind kind) const { return countOf(kind).messages; }
    std::uint64_t bytes(PeerMessageKind kind) const { return countOf(kind).bytes; }

private:
    struct Count
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    const Count &countOf(PeerMessageKind kind) const
    {
        return m_counts[static_cast<std::size_t>(kind)];
    }

    /// Indexed by kind.
    std::array<Count, kPeerMessageKinds> m_counts{};
};

} // namespace arbutuspier
