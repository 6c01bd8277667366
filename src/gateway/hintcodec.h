// What VMs tell each other, as CBOR in one datagram.
//
// Every hint may be lost: a whole one follows soon, which replaces what was known of its sender.
#pragma once

#include "arbutuspier/fleetload.h"
#include "arbutuspier/peer.h"
#include "arbutuspier/upstreamdirectory.h"
#include "gateway/worklist.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

struct Hint
{
    std::string vm;
    std::uint64_t life = 0;
    /// Grows with each hint of one life.
    std::uint64_t sequence = 0;
    std::uint64_t configVersion = 0;
    /// Revision of the store at which the sender last saw the usable replicas change.
    std::uint64_t replicaRevision = 0;
    /// The sender reads the store at present.
    bool readsStore = true;
    /// The sender takes no new requests.
    bool isLeaving = false;
    /// Everything that the sender runs; otherwise `news` tells what changed.
    std::optional<std::vector<Work>> whole;
    std::vector<WorkNews> news;
    std::vector<Departure> departures;
    std::vector<SuspectNotice> suspects;
};

std::string encodeHint(const Hint &hint);
/// Empty if the bytes are no hint.
std::optional<Hint> decodeHint(std::string_view bytes);

} // namespace arbutuspier
