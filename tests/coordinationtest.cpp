// Unit tests for membership, leases, reservations, unattributed crashes and quarantine.
#include "arbutuspier/lease.h"
#include "arbutuspier/membership.h"
#include "arbutuspier/orders.h"
#include "arbutuspier/quarantine.h"
#include "arbutuspier/reservationregistry.h"
#include "arbutuspier/unattributedcrashes.h"
#include "model/tablemodel.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <memory>

using namespace arbutuspier;

namespace {

TimePoint at(double seconds)
{
    return TimePoint{std::chrono::seconds{100}} + fromSeconds(seconds);
}

} // namespace

// --- membership ---

TEST_GROUP(AMembership)
{
    Random random{1};
    const std::vector<VmInfo> peers = {{VmId{2}, "north"}, {VmId{3}, "south"}, {VmId{4}, "south"}};
    Membership membership{{VmId{1}, "north"}, Incarnation{10}, peers, MembershipOptions{}};

    void receiveMessageFrom(std::uint64_t vm, std::uint64_t incarnation = 20)
    {
        membership.onMessageFrom(VmId{vm}, Incarnation{incarnation}, at(0));
    }
    void receiveMessageFromAll()
    {
        for (std::uint64_t vm : {2, 3, 4})
            receiveMessageFrom(vm);
    }
    void tickWithoutMessages(double from, double to)
    {
        for (double t = from; t < to; t += 0.02)
            membership.tick(at(t), random);
    }
};

TEST(AMembership, countsOnlyItselfAtFirst)
{
    LONGS_EQUAL(1, membership.aliveCount());
}

TEST(AMembership, treatsAnyMessageAsAHeartbeat)
{
    receiveMessageFromAll();
    LONGS_EQUAL(4, membership.aliveCount());
}

TEST(AMembership, choosesBackupPeersInItsZoneAndInAnother)
{
    receiveMessageFromAll();
    const auto backups = membership.backupPeers(2);
    LONGS_EQUAL(2, backups.size());
    CHECK(backups[0] == VmId{2});
    CHECK(backups[1] == VmId{3});
}

TEST_GROUP_BASE(AMembershipWithoutMessages,
                TEST_GROUP_CppUTestGroupAMembership){void setup() override{receiveMessageFromAll();
tickWithoutMessages(0, 10);
}
}
;

TEST(AMembershipWithoutMessages, reportsMembersAsUnreachableButNotRemoved)
{
    CHECK(membership.state(VmId{2}) == MemberState::Unreachable);
    LONGS_EQUAL(1, membership.aliveCount());
}

TEST(AMembershipWithoutMessages, reportsAMemberAsRemovedWhenThePlatformNoLongerListsIt)
{
    membership.onVmList({5, {{VmId{3}, Incarnation{20}, false}}, {}}, at(10));
    CHECK(membership.state(VmId{2}) == MemberState::Removed);
    CHECK(membership.state(VmId{3}) == MemberState::Unreachable);
}

TEST(AMembershipWithoutMessages, treatsALaterIncarnationAsTheEndOfTheEarlier)
{
    membership.takeChanges();
    receiveMessageFrom(2, 21);
    bool isEarlierRemoved = false;
    for (const auto &change : membership.takeChanges())
        isEarlierRemoved = isEarlierRemoved
            || (change.state == MemberState::Removed && change.incarnation == Incarnation{20});
    CHECK(isEarlierRemoved);
    CHECK(membership.state(VmId{2}) == MemberState::Alive);
}

TEST(AMembershipWithoutMessages, ignoresAStaleVmList)
{
    membership.onVmList({5, {{VmId{2}, Incarnation{20}, false}}, {}}, at(10));
    membership.onVmList({4, {}, {}}, at(11));
    CHECK(membership.state(VmId{2}) == MemberState::Unreachable);
}

TEST(AMembership, refutesASuspicionOfItself)
{
    receiveMessageFromAll();
    while (!membership.updatesToSend().empty()) { }
    const MemberUpdate suspicion{VmId{1}, Incarnation{10}, 0, MemberState::Suspect};
    membership.onUpdates(std::span<const MemberUpdate>(&suspicion, 1), at(1));
    const auto updates = membership.updatesToSend();
    CHECK_FALSE(updates.empty());
    LONGS_EQUAL(1, updates.front().counter);
}

TEST(AMembership, remembersThatAMemberIsDraining)
{
    receiveMessageFromAll();
    const MemberUpdate draining{VmId{2}, Incarnation{20}, 0, MemberState::Draining};
    membership.onUpdates(std::span<const MemberUpdate>(&draining, 1), at(1));
    receiveMessageFrom(2);
    CHECK(membership.state(VmId{2}) == MemberState::Draining);
}

// --- leases ---

TEST_GROUP(ALease)
{
    model::TableModel table{model::TableModelOptions{1e6, 1e6}};
    Random random{1};
    Lease first{"lease/1", VmId{1}, Incarnation{10}, LeaseOptions{}};
    Lease second{"lease/1", VmId{2}, Incarnation{20}, LeaseOptions{}};
    std::uint64_t op = 1;

    bool step(Lease & lease, double t, bool losesReply = false)
    {
        const auto call = lease.tick(at(t), TableOpId{op++}, random);
        if (!call)
            return false;
        TableOutcome outcome = table.apply(call->request, at(t));
        if (losesReply)
            outcome = TableUnknown{};
        lease.onTableReply(call->op, outcome, at(t));
        return true;
    }
    void run(Lease & lease, double from, double to)
    {
        for (double t = from; t < to; t += 0.1)
            step(lease, t);
    }
    bool isHeld(const Lease &lease, double t, double minRemaining = 0)
    {
        return lease.isHeld(at(t), fromSeconds(minRemaining));
    }
};

TEST(ALease, isAcquiredWhenItIsWanted)
{
    run(first, 0, 5);
    CHECK_FALSE(isHeld(first, 5));
    first.setWanted(true);
    run(first, 5, 10);
    CHECK(isHeld(first, 10));
    LONGS_EQUAL(1, first.fence());
}

TEST_GROUP_BASE(AHeldLease,
                TEST_GROUP_CppUTestGroupALease){void setup() override{first.setWanted(true);
run(first, 0, 5);
second.setWanted(true);
}
}
;

TEST(AHeldLease, isRenewed)
{
    run(first, 5, 60);
    CHECK(isHeld(first, 60));
    LONGS_EQUAL(1, first.fence());
}

TEST(AHeldLease, cannotBeAcquiredByAnotherVm)
{
    for (double t = 5; t < 60; t += 0.1) {
        step(first, t);
        step(second, t);
        CHECK_FALSE(isHeld(second, t));
    }
}

TEST(AHeldLease, expiresWhileItsHolderIsPaused)
{
    CHECK(isHeld(first, 5));
    CHECK_FALSE(isHeld(first, 30));
}

TEST(AHeldLease, isTakenOverWithAHigherFencingTokenAfterItExpires)
{
    run(second, 5, 40);
    CHECK(isHeld(second, 40));
    LONGS_EQUAL(2, second.fence());
    CHECK(second.wasTakenOver());
    run(first, 40, 45);
    CHECK_FALSE(isHeld(first, 45));
}

TEST(AHeldLease, canBeAcquiredAtOnceWhenReleased)
{
    first.setWanted(false);
    run(first, 5, 7);
    run(second, 7, 12);
    CHECK(isHeld(second, 12));
    CHECK_FALSE(second.wasTakenOver());
}

TEST(ALease, isNeverHeldByTwoVms)
{
    const bool hasPassed = rc::check("two VMs, pauses and lost replies", [this] {
        model::TableModel store{model::TableModelOptions{1e9, 1e9}};
        Lease leases[2] = {Lease{"l", VmId{1}, Incarnation{1}, LeaseOptions{}},
                           Lease{"l", VmId{2}, Incarnation{2}, LeaseOptions{}}};
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 64));
        double t = 0;
        std::uint64_t number = 1;
        for (int step : steps) {
            t += 0.05 * (step % 16);
            Lease &lease = leases[step % 2];
            lease.setWanted(step % 13 != 0);
            if (const auto call = lease.tick(at(t), TableOpId{number++}, random)) {
                TableOutcome outcome = store.apply(call->request, at(t));
                if (step % 5 == 0)
                    outcome = TableUnknown{};
                lease.onTableReply(call->op, outcome, at(t));
            }
            RC_ASSERT(!(isHeld(leases[0], t) && isHeld(leases[1], t)));
        }
    });
    CHECK(hasPassed);
}

// --- reservations ---

TEST_GROUP(Reservations)
{
    ReservationRegistry own{VmId{1}, Incarnation{10}, ReservationRegistryOptions{}};
    ReservationRegistry peer{VmId{2}, Incarnation{20}, ReservationRegistryOptions{}};

    void setup() override
    {
        own.add(ReservationId{5}, UpstreamId{1}, at(10), Fingerprint{9});
    }
    void sendNoticesToPeer()
    {
        peer.onNotices(*own.takeNotices(at(0)), at(0));
    }
};

TEST(Reservations, areReleasedUntilAcknowledged)
{
    own.release(ReservationId{5}, at(1));
    LONGS_EQUAL(1, own.dueReleases(at(1)).size());
    LONGS_EQUAL(0, own.dueReleases(at(1)).size());
    LONGS_EQUAL(1, own.dueReleases(at(2)).size());
    own.onReleased(ReservationId{5});
    LONGS_EQUAL(0, own.dueReleases(at(100)).size());
}

TEST(Reservations, areDroppedWhenTheUpstreamsProcessEnds)
{
    own.release(ReservationId{5}, at(1));
    own.onUpstreamCrashed(UpstreamId{1});
    LONGS_EQUAL(0, own.dueReleases(at(100)).size());
}

TEST(Reservations, reportTheirFingerprintWhileTheRequestMayRun)
{
    own.release(ReservationId{5}, at(1));
    const auto fingerprints = own.fingerprintsOn(UpstreamId{1}, {});
    LONGS_EQUAL(1, fingerprints.size());
    CHECK(fingerprints.front() == Fingerprint{9});
}

TEST(Reservations, areReleasedByAPeerWhenTheOwnersIncarnationEnds)
{
    sendNoticesToPeer();
    peer.onOwnerIncarnationEnded(VmId{1}, Incarnation{10}, at(1));
    const auto due = peer.dueReleases(at(1));
    LONGS_EQUAL(1, due.size());
    CHECK(due.front().reservation == ReservationId{5});
}

TEST(Reservations, areKeptByAPeerWhenAnotherIncarnationOfTheOwnerEnds)
{
    sendNoticesToPeer();
    peer.onOwnerIncarnationEnded(VmId{1}, Incarnation{9}, at(1));
    LONGS_EQUAL(0, peer.dueReleases(at(1)).size());
}

TEST(Reservations, areReleasedByAPeerPastTheirDeadline)
{
    sendNoticesToPeer();
    peer.tick(at(11));
    LONGS_EQUAL(0, peer.dueReleases(at(11)).size());
    peer.tick(at(13));
    LONGS_EQUAL(1, peer.dueReleases(at(13)).size());
}

TEST(Reservations, areRemovedByAPeerWhenTheyEnd)
{
    sendNoticesToPeer();
    own.forget(ReservationId{5});
    peer.onNotices(*own.takeNotices(at(1)), at(1));
    LONGS_EQUAL(0, peer.peerCount());
}

TEST(AMembership, probesAllMembersAtOnceAndTracksWhoHasRespondedSince)
{
    receiveMessageFromAll();
    CHECK(!membership.hasMessageFromAllSince(at(5)));
    membership.takeOutgoing();
    membership.probeAll(at(5));
    membership.probeAll(at(5));
    LONGS_EQUAL(3, membership.takeOutgoing().size());
    for (std::uint64_t vm : {2, 3})
        membership.onMessageFrom(VmId{vm}, Incarnation{20}, at(5.1));
    CHECK(!membership.hasMessageFromAllSince(at(5)));
    membership.onMessageFrom(VmId{4}, Incarnation{20}, at(5.2));
    CHECK(membership.hasMessageFromAllSince(at(5)));
}

TEST(AMembership, doesNotWaitForAVmThatWasNeverHeardFrom)
{
    receiveMessageFrom(2);
    membership.onMessageFrom(VmId{2}, Incarnation{20}, at(5.1));
    CHECK(membership.hasMessageFromAllSince(at(5)));
    CHECK(membership.unresponsive().empty());
}

// --- unattributed crashes ---

TEST_GROUP(UnattributedUpstreamCrashes)
{
    using Attribution = UnattributedCrashes::Attribution;
    UnattributedCrashes crashes{
        UnattributedCrashesOptions{std::chrono::minutes{2}, std::chrono::seconds{3}}};

    void reportCrash(std::uint64_t upstream, Duration when)
    {
        crashes.onCrash(UpstreamId{upstream}, Incarnation{1}, TimePoint{} + when);
    }
    Attribution attributionAt(Duration when, bool isVmUnresponsive = false)
    {
        const TimePoint now = TimePoint{} + when;
        return crashes.attribution(crashes.recent(now).front(), isVmUnresponsive, now);
    }
};

TEST(UnattributedUpstreamCrashes, arePendingUntilALostVmWouldHaveBeenDetected)
{
    reportCrash(1, std::chrono::seconds{10});
    CHECK(attributionAt(std::chrono::seconds{11}) == Attribution::Pending);
    CHECK(attributionAt(std::chrono::seconds{13}) == Attribution::Complete);
}

TEST(UnattributedUpstreamCrashes, cannotBeAttributedWhileAVmIsUnresponsive)
{
    reportCrash(1, std::chrono::seconds{10});
    CHECK(attributionAt(std::chrono::seconds{14}, true) == Attribution::Missing);
}

TEST(UnattributedUpstreamCrashes, cannotBeAttributedIfAVmWasLostAroundThem)
{
    crashes.onVmLost(TimePoint{} + std::chrono::seconds{9});
    reportCrash(1, std::chrono::seconds{10});
    CHECK(attributionAt(std::chrono::seconds{14}) == Attribution::Missing);
}

TEST(UnattributedUpstreamCrashes, canBeAttributedIfAVmWasLostLongBefore)
{
    crashes.onVmLost(TimePoint{} + std::chrono::seconds{5});
    reportCrash(1, std::chrono::seconds{10});
    CHECK(attributionAt(std::chrono::seconds{14}) == Attribution::Complete);
}

TEST(UnattributedUpstreamCrashes, areNotCountedAgainWhileTheSameIncarnationIsReported)
{
    for (int second = 10; second < 200; ++second) {
        reportCrash(1, std::chrono::seconds{second});
        crashes.recent(TimePoint{} + std::chrono::seconds{second});
    }
    LONGS_EQUAL(0, crashes.recent(TimePoint{} + std::chrono::seconds{200}).size());
}

TEST(UnattributedUpstreamCrashes, countOnceUntilTheWindowPassesOrTheyAreRetracted)
{
    reportCrash(1, std::chrono::seconds{10});
    reportCrash(1, std::chrono::seconds{20});
    reportCrash(2, std::chrono::seconds{20});
    LONGS_EQUAL(2, crashes.recent(TimePoint{} + std::chrono::seconds{20}).size());
    crashes.retract(UpstreamId{2}, Incarnation{1});
    LONGS_EQUAL(1, crashes.recent(TimePoint{} + std::chrono::seconds{20}).size());
    LONGS_EQUAL(0, crashes.recent(TimePoint{} + std::chrono::seconds{130}).size());
}

// --- quarantine ---

TEST_GROUP(AQuarantine)
{
    Quarantine quarantine{QuarantineOptions{}};
    const Fingerprint fingerprint{9};

    std::vector<SuspectNotice> reportCrash(std::uint64_t upstream, std::uint64_t incarnation = 1)
    {
        return quarantine.onUpstreamCrash(UpstreamId{upstream}, Incarnation{incarnation},
                                          std::span<const Fingerprint>(&fingerprint, 1), at(0));
    }
};

TEST(AQuarantine, suspectsAFingerprintAfterOneCrashAndQuarantinesItAfterTwo)
{
    CHECK(quarantine.quarantineState(fingerprint) == Quarantine::QuarantineState::Clean);
    reportCrash(1);
    CHECK(quarantine.quarantineState(fingerprint) == Quarantine::QuarantineState::Suspect);
    reportCrash(2);
    CHECK(quarantine.quarantineState(fingerprint) == Quarantine::QuarantineState::Quarantined);
}

TEST(AQuarantine, countsACrashOnceHoweverManyReportsItGets)
{
    const auto notices = reportCrash(1);
    quarantine.merge(notices.front(), at(1));
    reportCrash(1);
    CHECK(quarantine.quarantineState(fingerprint) == Quarantine::QuarantineState::Suspect);
}

TEST(AQuarantine, clearsASuspectThatCompletes)
{
    const auto notices = reportCrash(1);
    LONGS_EQUAL(1, quarantine.onCompleted(fingerprint).size());
    quarantine.merge(notices.front(), at(1));
    CHECK(quarantine.quarantineState(fingerprint) == Quarantine::QuarantineState::Clean);
}

TEST(AQuarantine, retractsACrashThatDidNotHappen)
{
    reportCrash(1);
    quarantine.retract(UpstreamId{1}, Incarnation{1});
    CHECK(quarantine.quarantineState(fingerprint) == Quarantine::QuarantineState::Clean);
}

TEST(AQuarantine, quarantinesAFingerprintAfterThreeUnconfirmedCrashes)
{
    const std::span<const Fingerprint> inFlight(&fingerprint, 1);
    for (std::uint64_t upstream = 1; upstream <= 2; ++upstream)
        quarantine.onUpstreamCrash(UpstreamId{upstream}, Incarnation{1}, inFlight, at(0),
                                   CrashState::Unconfirmed);
    CHECK(quarantine.quarantineState(fingerprint) == Quarantine::QuarantineState::Suspect);
    quarantine.onUpstreamCrash(UpstreamId{3}, Incarnation{1}, inFlight, at(0),
                               CrashState::Unconfirmed);
    CHECK(quarantine.quarantineState(fingerprint) == Quarantine::QuarantineState::Quarantined);
    quarantine.retract(UpstreamId{2}, Incarnation{1});
    CHECK(quarantine.quarantineState(fingerprint) == Quarantine::QuarantineState::Suspect);
}

TEST(AQuarantine, endsInTheSameStateWhateverTheOrderOfNotices)
{
    const SuspectNotice unconfirmed{fingerprint, {1, 2, 3}, CrashState::Unconfirmed};
    const SuspectNotice confirmed{fingerprint, {1, 2}, CrashState::Confirmed};
    const SuspectNotice cleared{fingerprint, {1}, CrashState::Cleared};
    std::vector<SuspectNotice> notices = {unconfirmed, confirmed, cleared};
    constexpr int kOrders = 6;
    for (int order = 0; order < kOrders; ++order) {
        Quarantine merged{QuarantineOptions{}};
        for (const SuspectNotice &notice : notices)
            merged.merge(notice, at(0));
        LONGS_EQUAL(1, merged.crashesOf(fingerprint).size());
        CHECK(merged.quarantineState(fingerprint) == Quarantine::QuarantineState::Suspect);
        std::next_permutation(
            notices.begin(), notices.end(),
            [](const SuspectNotice &a, const SuspectNotice &b) { return a.state < b.state; });
    }
}

TEST(AQuarantine, forgetsTheCrashesOfAQuarantinedRequestThatCompletesAfterAll)
{
    reportCrash(1);
    reportCrash(2);
    LONGS_EQUAL(1, quarantine.onCompleted(fingerprint).size());
    CHECK(quarantine.quarantineState(fingerprint) == Quarantine::QuarantineState::Clean);
}

TEST(AQuarantine, choosesTheSameIsolationUpstreamOnEveryVm)
{
    const std::vector<UpstreamId> one = {UpstreamId{1}, UpstreamId{2}, UpstreamId{3}};
    const std::vector<UpstreamId> other = {UpstreamId{3}, UpstreamId{1}, UpstreamId{2}};
    CHECK(Quarantine::isolationUpstream(fingerprint, one)
          == Quarantine::isolationUpstream(fingerprint, other));
}

TEST(AQuarantine, limitsTheNumberOfRecords)
{
    Quarantine small{QuarantineOptions{2, 3, 10, std::chrono::hours{1}}};
    for (std::uint64_t i = 1; i <= 100; ++i) {
        const Fingerprint each{i};
        small.onUpstreamCrash(UpstreamId{1}, Incarnation{i}, std::span<const Fingerprint>(&each, 1),
                              at(static_cast<double>(i)));
    }
    LONGS_EQUAL(10, small.size());
}
