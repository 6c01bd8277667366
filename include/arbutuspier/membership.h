// Tracks which VMs are part of the fleet and reachable, from probes and bounded gossip among peers
// and from the platform's list of VMs.
//
// In each period one member is probed in turn. If it doesn't reply, other members probe it too
// before it is suspected. A member is never declared removed because it is unresponsive: a VM
// behind a network partition looks the same. Only the platform's list or a later incarnation of the
// VM shows that an incarnation has ended.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/event.h"
#include "arbutuspier/ids.h"
#include "arbutuspier/peer.h"
#include "arbutuspier/random.h"
#include "arbutuspier/upstream.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace arbutuspier {

struct MembershipOptions
{
    Duration probePeriod = std::chrono::milliseconds{500};
    /// Time to wait for the reply to a direct probe before other members are asked to probe.
    Duration ackTimeout = std::chrono::milliseconds{250};
    /// Time after which a suspect that has sent no message is declared unreachable.
    Duration suspicionTimeout = std::chrono::seconds{2};
    /// Most members that are asked to probe on this VM's behalf.
    std::size_t indirectProbes = 3;
    /// Most member updates in one message.
    std::size_t maxUpdates = 12;
    /// Number of messages that carry one update, as a multiple of log2 of the fleet's size.
    double gossipFactor = 3.0;
};

class Membership
{
public:
    struct Outgoing
    {
        VmId to;
        PeerBody body;
    };
    struct Change
    {
        VmId vm;
        Incarnation incarnation;
        MemberState state = MemberState::Alive;
    };

    Membership(VmInfo self, Incarnation incarnation, std::span<const VmInfo> peers,
               MembershipOptions options);

    /// Every message from a member shows that it runs and is reachable.
    void onMessageFrom(VmId from, Incarnation incarnation, TimePoint now);
    void onPing(VmId from, const Ping &ping);
    void onPingAck(VmId from, const PingAck &ack, TimePoint now);
    void onPingRequest(VmId from, const PingRequest &request, TimePoint now);
    void onUpdates(std::span<const MemberUpdate> updates, TimePoint now);
    /// Applies the platform's list of VMs. Ignores a list whose revision is not newer than the last
    /// one.
    void onVmList(const VmListUpdate &list, TimePoint now);
    /// Starts to announce to all peers by gossip that this VM is draining.
    void announceDraining();
    /// Probes all members at once, to find out quickly which of them respond.
    void probeAll(TimePoint now);
    void tick(TimePoint now, Random &random);

    MemberState state(VmId vm) const;
    Incarnation incarnation(VmId vm) const;
    /// Number of members that are reachable and not draining, including this VM.
    std::size_t aliveCount() const;
    /// Reachable members other than this VM, draining ones included, in id order.
    std::vector<VmId> reachable() const;
    /// Members that are not known to be reachable: they may have crashed, be paused or be behind a
    /// network partition.
    std::vector<VmId> unreachable() const;
    /// Those of `unreachable()` that have sent a message before and haven't been removed, so that
    /// they may still be running.
    std::vector<VmId> unresponsive() const;
    /// True if every member that has ever sent a message, and hasn't been removed, has sent one
    /// after `since`.
    bool hasMessageFromAllSince(TimePoint since) const;
    /// Returns up to `count` reachable members to keep copies of this VM's state: first one in the
    /// own zone, then members of other zones, then further ones in the own zone.
    std::vector<VmId> backupPeers(std::size_t count) const;
    std::uint64_t listRevision() const { return m_listRevision; }

    /// Returns the updates to send along with the next message, and counts them as sent once more.
    std::vector<MemberUpdate> updatesToSend();
    std::vector<Outgoing> takeOutgoing();
    std::vector<Change> takeChanges();

private:
    struct Member
    {
        VmInfo info;
        Incarnation incarnation;
        std::uint64_t counter = 0;
        MemberState state = MemberState::Unreachable;
        bool isDraining = false;
        TimePoint suspectedAt;
        TimePoint lastMessageAt;
    };
    struct Probe
    {
        VmId target;
        TimePoint sentAt;
        bool isIndirectSent = false;
    };
    /// A probe that this VM carries out on behalf of `origin`.
    struct Relay
    {
        VmId origin;
        std::uint64_t sequence = 0;
        TimePoint at;
    };
    struct GossipEntry
    {
        MemberUpdate update;
        int remainingSends = 0;
    };

    Member *find(VmId vm);
    void setState(Member &member, MemberState state, TimePoint now);
    void queueGossip(const Member &member);
    void queueOwnGossip();
    void applyUpdate(const MemberUpdate &update, TimePoint now);
    void probe(VmId target, TimePoint now);
    void probeNext(TimePoint now, Random &random);
    int sendsPerUpdate() const;

    VmInfo m_self;
    Incarnation m_incarnation;
    MembershipOptions m_options;
    std::map<VmId, Member> m_members;
    std::vector<VmId> m_probeOrder;
    std::size_t m_nextProbeIndex = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_selfCounter = 0;
    bool m_isDraining = false;
    std::optional<TimePoint> m_nextProbeAt;
    std::optional<TimePoint> m_allProbedAt;
    std::map<std::uint64_t, Probe> m_probes;
    std::map<std::uint64_t, Relay> m_relays;
    /// Invariant: at most one update for each VM.
    std::map<VmId, GossipEntry> m_gossip;
    std::uint64_t m_listRevision = 0;
    std::vector<Outgoing> m_outgoing;
    std::vector<Change> m_changes;
};

} // namespace arbutuspier
