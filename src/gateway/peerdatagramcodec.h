// Messages between gateway VMs, encoded as CBOR with one message per datagram.
//
// Most datagrams are short: a tag of the sender's incarnation and a few updates of its active
// requests. The full state of the sender (its status and all of its active requests) follows from
// time to time, and when a peer reports that it has missed a datagram.
#pragma once

#include "arbutuspier/fleetload.h"
#include "arbutuspier/peer.h"
#include "arbutuspier/upstreamdirectory.h"
#include "gateway/dispatchqueue.h"
#include "platform/storeclient.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

/// The state of a VM apart from its active requests. It changes seldom.
struct PeerStatus
{
    std::string vm;
    /// Time at which the process started, in milliseconds since 1970; a restart has a higher one.
    std::uint64_t incarnation = 0;
    std::uint64_t configVersion = 0;
    /// Revision of the store at which the sender last saw the usable replicas change.
    platform::StoreRevision replicaRevision;
    /// The sender can read the metadata store at present.
    bool canReadStore = true;
    /// The sender is draining: it accepts no new requests.
    bool isDraining = false;

    friend bool operator==(const PeerStatus &, const PeerStatus &) = default;
};

struct PeerDatagram
{
    /// The low 32 bits of the sender's incarnation.
    std::uint32_t incarnationTag = 0;
    /// Number of the last datagram that the sender sent to all of its peers, starting at 1.
    std::uint64_t sequence = 0;
    std::vector<ActiveRequestUpdate> updates;
    std::optional<PeerStatus> status;
    /// All active requests of the sender. An empty list says that it has none.
    std::optional<std::vector<ActiveRequest>> activeRequests;
    std::vector<Departure> departures;
    std::vector<SuspectNotice> suspects;
    /// The sender has missed a datagram of the receiver and requests its full state.
    bool requestsFullState = false;
};

std::uint32_t incarnationTagOf(std::uint64_t incarnation);

std::string encodePeerDatagram(const PeerDatagram &datagram);
/// Returns nullopt if the bytes are not a valid datagram.
std::optional<PeerDatagram> decodePeerDatagram(std::string_view bytes);

} // namespace arbutuspier
