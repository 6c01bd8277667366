// Messages between entry VMs. Each is versioned on the wire; see src/net/peercodec.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/ids.h"
#include "arbutuspier/limits.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace arbutuspier {

/// What is believed of a VM. `Gone` needs the platform's word; `Unreachable` is only silence.
enum class MemberState : std::uint8_t { Alive, Suspect, Unreachable, Leaving, Gone };

/// One VM's state as spread by gossip; the higher (incarnation, counter) wins.
struct MemberUpdate
{
    VmId vm;
    Incarnation incarnation;
    std::uint64_t counter = 0;
    MemberState state = MemberState::Alive;
};

struct Ping
{
    std::uint64_t sequence = 0;
    VmId replyTo;
};
struct PingAck
{
    std::uint64_t sequence = 0;
    VmId subject;
};
/// Asks a peer to probe `target` on the sender's behalf.
struct PingRequest
{
    std::uint64_t sequence = 0;
    VmId target;
};

/// The limits table itself, for peers that cannot read the platform.
struct LimitsPush
{
    LimitsSnapshot snapshot;
};
/// Asks for the table because the receiver has a higher version.
struct LimitsPull
{
};

/// Memory held on an upstream, told to peers so that they can release it.
struct ReservationNotice
{
    ReservationId holding;
    UpstreamId upstream;
    VmId owner;
    Incarnation ownerIncarnation;
    /// The body that runs there.
    Fingerprint body;
    /// How long the holding may still live, from the time of the message.
    Duration remaining{};
    bool isReleased = false;
};
struct ReservationNotices
{
    std::vector<ReservationNotice> notices;
};

/// Upstream deaths that one body took part in; merged as a set.
struct SuspectNotice
{
    Fingerprint fingerprint;
    /// Digests of the upstream lives lost.
    std::vector<std::uint64_t> deaths;
    bool isCleared = false;
};

/// What a VM's limit shares are based on. Both parts only grow.
struct ShareEpoch
{
    std::uint64_t limitsVersion = 0;
    std::uint64_t listRevision = 0;

    /// True if neither part is behind `other`.
    bool covers(const ShareEpoch &other) const
    {
        return limitsVersion >= other.limitsVersion && listRevision >= other.listRevision;
    }
    friend bool operator==(const ShareEpoch &, const ShareEpoch &) = default;
};

/// Moves part of a fleet-wide limit between VMs; applied once for each `transferId`.
struct ShareTransfer
{
    std::uint64_t transferId = 0;
    ShareEpoch epoch;
    std::string rowKey;
    std::uint64_t amount = 0;
};
struct ShareTransferAck
{
    std::uint64_t transferId = 0;
};
/// Demand for one limited row; holders with slack answer with a transfer.
struct ShareRequest
{
    ShareEpoch epoch;
    std::string rowKey;
    std::uint64_t amount = 0;
};

struct LeavingNotice
{
    UpstreamId upstream;
    Incarnation incarnation;
};

/// Tokens served for a team since the last notice, so that weights hold over all VMs.
struct ServiceDebit
{
    std::string className;
    std::string team;
    std::uint64_t tokens = 0;
};
struct ServiceDebits
{
    std::vector<ServiceDebit> debits;
};

using PeerBody = std::variant<Ping, PingAck, PingRequest, LimitsPush, LimitsPull,
                              ReservationNotices, SuspectNotice, ShareTransfer, ShareTransferAck,
                              ShareRequest, LeavingNotice, ServiceDebits>;

/// A message and what every message carries along.
struct PeerMessage
{
    VmId from;
    Incarnation incarnation;
    /// Version of the limits table the sender has in force.
    std::uint64_t limitsVersion = 0;
    /// Epoch of limit shares the sender has confirmed.
    ShareEpoch shareEpoch;
    std::vector<MemberUpdate> updates;
    PeerBody body;
};

} // namespace arbutuspier
