// Which entry VMs are there: probes and bounded gossip among peers, and the platform's list.
//
// Each period one member is probed in turn; silence is checked through others before a member is
// suspected. Silence alone never means "gone": a cut-off VM looks the same. Only the platform's
// list, or a later life of the VM, says so.
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
    /// Silence after a direct probe before others are asked.
    Duration ackTimeout = std::chrono::milliseconds{250};
    /// Time a suspect has to show itself.
    Duration suspicion = std::chrono::seconds{2};
    /// Members asked to probe on this VM's behalf.
    std::size_t indirectProbes = 3;
    /// Updates one message carries at most.
    std::size_t maxUpdates = 12;
    /// Messages that carry one update, as a multiple of log2 of the fleet's size.
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

    /// Any message from a member shows that it lives and is reachable.
    void onHeard(VmId from, Incarnation incarnation, TimePoint now);
    void onPing(VmId from, const Ping &ping);
    void onPingAck(VmId from, const PingAck &ack, TimePoint now);
    void onPingRequest(VmId from, const PingRequest &request, TimePoint now);
    void onUpdates(std::span<const MemberUpdate> updates, TimePoint now);
    /// The platform's list. A list with an older revision is ignored.
    void onVmList(const VmListRead &list, TimePoint now);
    /// This VM drains: its peers are told with every message from now on.
    void announceLeaving();
    /// Probes all members at once, so that it is soon known which of them can be heard.
    void probeAll(TimePoint now);
    void tick(TimePoint now, Random &random);

    MemberState state(VmId vm) const;
    Incarnation incarnation(VmId vm) const;
    /// Members believed reachable and not leaving, this VM included.
    std::size_t aliveCount() const;
    /// Reachable members other than this VM, in id order.
    std::vector<VmId> reachable() const;
    /// Members not heard of now: dead, cut off or paused.
    std::vector<VmId> unreachable() const;
    /// Those of `unreachable()` that were seen before and that the platform hasn't called gone:
    /// they may still run.
    std::vector<VmId> silent() const;
    /// True if every member that was ever seen and isn't gone has sent something after `since`.
    bool hasHeardAllSince(TimePoint since) const;
    /// Up to `count` reachable members for copies: one of the own zone, the rest of others first.
    std::vector<VmId> backupPeers(std::size_t count) const;
    std::uint64_t listRevision() const { return m_listRevision; }

    /// Updates to send along with the next message.
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
        bool isLeaving = false;
        TimePoint suspectedAt;
        TimePoint heardAt;
    };
    struct Probe
    {
        VmId target;
        TimePoint sentAt;
        bool isIndirectSent = false;
    };
    /// An indirect probe this VM carries out for another.
    struct Relay
    {
        VmId origin;
        std::uint64_t sequence = 0;
        TimePoint at;
    };
    struct Spread
    {
        MemberUpdate update;
        int sendsLeft = 0;
    };

    Member *find(VmId vm);
    void setState(Member &member, MemberState state, TimePoint now);
    void spread(const Member &member);
    void spreadSelf();
    void applyUpdate(const MemberUpdate &update, TimePoint now);
    void probe(VmId target, TimePoint now);
    void probeNext(TimePoint now, Random &random);
    int sendsPerUpdate() const;

    VmInfo m_self;
    Incarnation m_incarnation;
    MembershipOptions m_options;
    std::map<VmId, Member> m_members;
    std::vector<VmId> m_probeOrder;
    std::size_t m_nextProbe = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_selfCounter = 0;
    bool m_isLeaving = false;
    std::optional<TimePoint> m_nextProbeAt;
    std::optional<TimePoint> m_allProbedAt;
    std::map<std::uint64_t, Probe> m_probes;
    std::map<std::uint64_t, Relay> m_relays;
    /// Invariant: at most one update for each VM.
    std::map<VmId, Spread> m_spread;
    std::uint64_t m_listRevision = 0;
    std::vector<Outgoing> m_outgoing;
    std::vector<Change> m_changes;
};

} // namespace arbutuspier
