// Messages between VMs. src/net/peercodec encodes them; the wire format is versioned.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/ids.h"
#include "arbutuspier/limits.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace arbutuspier {

/// What this VM knows about another. `Removed` means that the incarnation has ended, as the
/// platform's list or a later incarnation shows; `Unreachable` means only that the VM is
/// unresponsive.
enum class MemberState : std::uint8_t { Alive, Suspect, Unreachable, Draining, Removed };

/// One VM's state as spread by gossip. The update with the higher (incarnation, counter) wins.
struct MemberUpdate
{
    VmId vm;
    Incarnation incarnation;
    std::uint64_t counter = 0;
    MemberState state = MemberState::Alive;
};

/// A probe; the receiver sends a `PingAck` to `replyTo`.
struct Ping
{
    std::uint64_t sequence = 0;
    VmId replyTo;
};
/// The reply to a probe of `subject`.
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

/// A full copy of the limits table, for peers that can't read the table service.
struct LimitsPush
{
    LimitsSnapshot snapshot;
};
/// Asks the receiver, which has a higher version, for its limits table.
struct LimitsPull
{
};

/// A reservation of memory on an upstream. VMs report it to peers so that these can release it.
struct ReservationNotice
{
    ReservationId reservation;
    UpstreamId upstream;
    VmId owner;
    Incarnation ownerIncarnation;
    /// Fingerprint of the request that runs there.
    Fingerprint fingerprint;
    /// Time until the reservation's deadline, counted from when the message was sent.
    Duration remaining{};
    bool isReleased = false;
};
struct ReservationNotices
{
    std::vector<ReservationNotice> notices;
};

/// What is known of an upstream crash for which a request may be to blame. When reports differ, the
/// later state wins.
enum class CrashState : std::uint8_t {
    /// The upstream may also be behind a network partition, or have left without notice, or the
    /// request had already begun to produce output there.
    Unconfirmed,
    Confirmed,
    /// The request is not to blame, or the upstream did not crash.
    Cleared,
};

/// Upstream crashes during which a request with this fingerprint was in flight. The receiver merges
/// them as a set.
struct SuspectNotice
{
    Fingerprint fingerprint;
    /// Digests of the upstream incarnations that crashed.
    std::vector<std::uint64_t> crashes;
    CrashState state = CrashState::Confirmed;

    bool isCleared() const { return state == CrashState::Cleared; }
};

/// The versions of the limits table and the VM list from which a VM computed its limit shares. Both
/// only grow.
struct ShareEpoch
{
    std::uint64_t limitsVersion = 0;
    std::uint64_t listRevision = 0;

    /// True if neither part is lower than that of `other`.
    bool covers(const ShareEpoch &other) const
    {
        return limitsVersion >= other.limitsVersion && listRevision >= other.listRevision;
    }
    friend bool operator==(const ShareEpoch &, const ShareEpoch &) = default;
};

/// Moves part of a VM's limit share to the receiver, which applies each `transferId` only once.
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
/// Asks for more of a limit share. Receivers that can spare some respond with a transfer.
struct ShareRequest
{
    ShareEpoch epoch;
    std::string rowKey;
    std::uint64_t amount = 0;
};

/// An upstream's incarnation is draining.
struct DrainingNotice
{
    UpstreamId upstream;
    Incarnation incarnation;
};

/// Tokens served for a team since the last notice. VMs exchange them so that the teams' weights
/// apply over all VMs together.
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
                              ShareRequest, DrainingNotice, ServiceDebits>;

/// A message between VMs with the fields that every message carries.
struct PeerMessage
{
    VmId from;
    Incarnation incarnation;
    /// Active version of the limits table at the sender.
    std::uint64_t limitsVersion = 0;
    /// Epoch of the limit shares that the sender has confirmed.
    ShareEpoch shareEpoch;
    std::vector<MemberUpdate> updates;
    PeerBody body;
};

} // namespace arbutuspier
