// What VMs tell each other, as CBOR in one datagram.
//
// Most hints are brief: a few changes of the sender's work, named by a tag of its life. Its status
// and everything it runs follow from time to time, and when a peer says that it has missed a hint.
#pragma once

#include "arbutuspier/fleetload.h"
#include "arbutuspier/peer.h"
#include "arbutuspier/upstreamdirectory.h"
#include "gateway/dispatchqueue.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

/// What a VM is and knows; it changes seldom.
struct PeerStatus
{
    std::string vm;
    /// Grows with each start of the VM.
    std::uint64_t incarnation = 0;
    std::uint64_t configVersion = 0;
    /// Revision of the store at which the sender last saw the usable replicas change.
    std::uint64_t replicaRevision = 0;
    /// The sender reads the store at present.
    bool readsStore = true;
    /// The sender takes no new requests.
    bool isLeaving = false;

    friend bool operator==(const PeerStatus &, const PeerStatus &) = default;
};

struct PeerDatagram
{
    /// The low bits of the sender's life.
    std::uint32_t incarnationTag = 0;
    /// Grows by one with each hint that the sender sends to all of its peers.
    std::uint64_t sequence = 0;
    std::vector<ActiveRequestUpdate> news;
    std::optional<PeerStatus> status;
    /// Everything that the sender runs.
    std::optional<std::vector<ActiveRequest>> whole;
    std::vector<Departure> departures;
    std::vector<SuspectNotice> suspects;
    /// The sender has missed a hint of the receiver and wants its status and everything it runs.
    bool asksWhole = false;
};

std::uint32_t incarnationTagOf(std::uint64_t incarnation);

std::string encodePeerDatagram(const PeerDatagram &datagram);
/// Empty if the bytes are no hint.
std::optional<PeerDatagram> decodePeerDatagram(std::string_view bytes);

} // namespace arbutuspier
