// What a VM needs to serve while it can't read the store, as a peer hands it over.
#pragma once

#include "arbutuspier/peer.h"
#include "arbutuspier/upstreamdirectory.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

/// Where peers fetch it.
inline constexpr std::string_view kSnapshotPath = "/snapshot";

struct Snapshot
{
    /// Bytes of the configuration as the store had them; empty if none is known.
    std::string configuration;
    /// Empty if the sender has not read the replicas itself or from a peer.
    std::vector<ReplicaEntry> replicas;
    /// Lives that must not get work, even if an entry still names them.
    std::vector<Departure> departures;
    std::vector<SuspectNotice> suspects;
};

std::string encodeSnapshot(const Snapshot &snapshot);
/// Empty if the bytes are no snapshot of this format.
std::optional<Snapshot> decodeSnapshot(std::string_view bytes);

} // namespace arbutuspier
