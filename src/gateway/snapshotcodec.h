// The state that a VM fetches from a peer to serve requests while it can't read the metadata store.
#pragma once

#include "arbutuspier/peer.h"
#include "arbutuspier/upstreamdirectory.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

/// HTTP path from which peers fetch the snapshot.
inline constexpr std::string_view kSnapshotPath = "/snapshot";

struct Snapshot
{
    /// The configuration, byte for byte as in the store; empty if the sender has none.
    std::string configuration;
    /// Empty if the sender has the replicas neither from the store nor from a peer.
    std::vector<ReplicaEntry> replicas;
    /// Incarnations that must not get requests, even if an entry still names them.
    std::vector<Departure> departures;
    std::vector<SuspectNotice> suspects;
};

std::string encodeSnapshot(const Snapshot &snapshot);
/// Returns nullopt if the bytes are not a valid snapshot of this format version.
std::optional<Snapshot> decodeSnapshot(std::string_view bytes);

} // namespace arbutuspier
