// Tests the ejection of replicas by the failures that all VMs of a fleet group saw together.
#include "arbutuspier/sharedreplicahealth.h"

#include "arbutuspier/random.h"
#include "arbutuspier/replicahealth.h"
#include "gateway/cborfields.h"
#include "gateway/outcomereportcodec.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

using namespace arbutuspier;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kNow = TimePoint{seconds{100}};

} // namespace

TEST_GROUP(SharedFailuresOfAReplica)
{
    SharedReplicaHealth health{"vm-1", "north", SharedReplicaHealthOptions{}};
    ReplicaIncarnation replica{"r", 1};

    void peerReports(const std::string &vm, const std::string &zone,
                     const ReplicaOutcomes &outcomes, TimePoint now)
    {
        health.merge({vm, zone, {outcomes}}, now);
    }
    void peerFails(const std::string &vm, TimePoint now)
    {
        peerReports(vm, "south", {replica, 1, 0, 0}, now);
    }
};

TEST(SharedFailuresOfAReplica, ejectItBeforeThisVmHasSentItAnything)
{
    peerFails("vm-2", kNow);
    peerFails("vm-3", kNow);
    CHECK(!health.isEjected(replica, kNow));
    peerFails("vm-4", kNow);
    CHECK(health.isEjected(replica, kNow));
    CHECK(!health.isEjected(replica, kNow + milliseconds{400}));
}

TEST(SharedFailuresOfAReplica, ofOneVmAloneEjectNothing)
{
    for (int i = 0; i < 20; ++i)
        peerFails("vm-2", kNow + milliseconds{10 * i});
    CHECK(!health.isEjected(replica, kNow + milliseconds{200}));
}

TEST(SharedFailuresOfAReplica, amongManySuccessesEjectNothing)
{
    peerFails("vm-2", kNow);
    for (int i = 0; i < 12; ++i)
        peerReports("vm-3", "south", {replica, 0, 0, 1}, kNow + milliseconds{20 * i});
    peerFails("vm-4", kNow + milliseconds{300});
    peerFails("vm-5", kNow + milliseconds{400});
    CHECK(!health.isEjected(replica, kNow + milliseconds{400}));
}

TEST(SharedFailuresOfAReplica, farApartEjectNothing)
{
    peerFails("vm-2", kNow);
    peerFails("vm-3", kNow + seconds{3});
    peerFails("vm-4", kNow + seconds{6});
    CHECK(!health.isEjected(replica, kNow + seconds{6}));
}

TEST(SharedFailuresOfAReplica, ofTwoVmsSoonAfterAnEjectionEjectItForLonger)
{
    for (const char *vm : {"vm-2", "vm-3", "vm-4"})
        peerFails(vm, kNow);
    TimePoint now = kNow;
    for (const milliseconds expected : {milliseconds{800}, milliseconds{1600}, milliseconds{3200},
                                        milliseconds{4000}, milliseconds{4000}}) {
        while (health.isEjected(replica, now))
            now += milliseconds{100};
        peerFails("vm-2", now);
        CHECK(!health.isEjected(replica, now));
        peerFails("vm-3", now);
        CHECK(health.isEjected(replica, now + expected - milliseconds{1}));
        CHECK(!health.isEjected(replica, now + expected));
    }
}

TEST(SharedFailuresOfAReplica, duringItsEjectionDontProlongIt)
{
    for (const char *vm : {"vm-2", "vm-3", "vm-4", "vm-5", "vm-6"})
        peerFails(vm, kNow);
    CHECK(!health.isEjected(replica, kNow + milliseconds{400}));
}

TEST(SharedFailuresOfAReplica, doNotCarryOverToANewIncarnation)
{
    for (const char *vm : {"vm-2", "vm-3", "vm-4"})
        peerFails(vm, kNow);
    CHECK(!health.isEjected({"r", 2}, kNow));
}

TEST(SharedFailuresOfAReplica, thatOnlyCallersOfThisZoneSeeEjectItHere)
{
    peerReports("vm-2", "north", {replica, 1, 0, 0}, kNow);
    peerReports("vm-9", "south", {replica, 0, 0, 30}, kNow);
    peerReports("vm-3", "north", {replica, 1, 0, 0}, kNow);
    health.onFailure(replica, kNow);
    CHECK(health.isEjected(replica, kNow));
}

TEST(SharedFailuresOfAReplica, toConnectCountOnlyFromTheOwnZone)
{
    for (const char *vm : {"vm-2", "vm-3", "vm-4"})
        peerReports(vm, "south", {replica, 0, 1, 0}, kNow);
    CHECK(!health.isEjected(replica, kNow));
    peerReports("vm-5", "north", {replica, 0, 1, 0}, kNow);
    peerReports("vm-6", "north", {replica, 0, 1, 0}, kNow);
    const auto unreachable = health.merge({"vm-7", "north", {{replica, 0, 1, 0}}}, kNow);
    CHECK(health.isEjected(replica, kNow));
    CHECK_EQUAL(1, unreachable.size());
}

TEST(SharedFailuresOfAReplica, areReportedAtOnceAndSuccessesSoonWhileItIsWatched)
{
    health.onSuccess(replica, kNow);
    CHECK(!health.reportDue());
    health.onFailure(replica, kNow);
    CHECK(health.reportDue() == kNow);
    const OutcomeReport report = health.takeReport();
    CHECK(report == (OutcomeReport{"vm-1", "north", {{replica, 1, 0, 0}}}));
    CHECK(!health.reportDue());
    health.onSuccess(replica, kNow);
    CHECK(health.reportDue() == kNow + milliseconds{100});
}

TEST(SharedFailuresOfAReplica, areForgottenAfterTheWatch)
{
    for (const char *vm : {"vm-2", "vm-3", "vm-4"})
        peerFails(vm, kNow);
    CHECK_EQUAL(1, health.ejectedCount(kNow));
    health.tick(kNow + seconds{4});
    health.onSuccess(replica, kNow + seconds{4});
    CHECK(!health.reportDue());
}

TEST_GROUP(AnOutcomeReport)
{
    OutcomeReport report{"vm-1", "north", {{{"r", 7}, 1, 2, 3}, {{"s", -1}, 0, 0, 1}}};
};

TEST(AnOutcomeReport, isDecodedAsItWasEncoded)
{
    CHECK(decodeOutcomeReport(encodeOutcomeReport(report)) == report);
}

TEST(AnOutcomeReport, mayHaveFieldsOfLaterBuilds)
{
    Json document = parseCbor(encodeOutcomeReport(report));
    document.push_back("new");
    document[4][0].push_back(5);
    CHECK(decodeOutcomeReport(toCbor(document)) == report);
}

TEST(AnOutcomeReport, withNegativeOrMissingFieldsIsRejected)
{
    Json negative = parseCbor(encodeOutcomeReport(report));
    negative[4][0][2] = -1;
    CHECK(!decodeOutcomeReport(toCbor(negative)));
    Json missing = parseCbor(encodeOutcomeReport(report));
    missing[4][0].erase(4);
    CHECK(!decodeOutcomeReport(toCbor(missing)));
}

TEST(AnOutcomeReport, withAnAbsurdCountIsBounded)
{
    report.outcomes = {{{"r", 7}, 4'000'000'000, 0, 0}};
    const auto decoded = decodeOutcomeReport(encodeOutcomeReport(report));
    CHECK(decoded.has_value());
    CHECK_EQUAL(10'000, decoded->outcomes[0].failures);
}

/// The load: each of many VMs gets a request a second, and an eighth of the replicas fail whatever
/// they get, at once, while their health checks succeed. Every VM prefers the same replica that
/// isn't ejected. Reports take a few milliseconds.
TEST_GROUP(AFleetBeforeReplicasThatFailEverything)
{
    static constexpr int kVms = 100;
    static constexpr int kReplicas = 56;
    static constexpr int kFailing = 7;

    struct Vm
    {
        std::unique_ptr<SharedReplicaHealth> shared;
        ReplicaHealth own{ReplicaHealthOptions{}};
    };
    std::vector<Vm> vms;
    Random random{1};

    void setup() override
    {
        for (int i = 0; i < kVms; ++i)
            vms.push_back({std::make_unique<SharedReplicaHealth>("vm-" + std::to_string(i),
                                                                 "zone-" + std::to_string(i % 3),
                                                                 SharedReplicaHealthOptions{}),
                           ReplicaHealth{ReplicaHealthOptions{}}});
    }

    static ReplicaIncarnation replica(int index)
    {
        return {"r-" + std::to_string(index), 1};
    }

    /// Requests that failed at their first replica in six seconds.
    int failures(bool isShared)
    {
        int failed = 0;
        TimePoint now = kNow;
        for (int request = 0; request < 6 * kVms; ++request) {
            now += milliseconds{10};
            Vm &vm = vms[static_cast<std::size_t>(uniform(random) * kVms)];
            int choice = 0;
            while (vm.own.isEjected(replica(choice), now)
                   || (isShared && vm.shared->isEjected(replica(choice), now)))
                ++choice;
            if (choice >= kFailing) {
                vm.own.onSuccess(replica(choice), 0);
                vm.shared->onSuccess(replica(choice), now);
                continue;
            }
            ++failed;
            vm.own.onFailure(replica(choice), now);
            vm.shared->onFailure(replica(choice), now);
            const OutcomeReport report = vm.shared->takeReport();
            for (Vm &peer : vms)
                peer.shared->merge(report, now + milliseconds{5});
        }
        return failed;
    }
};

TEST(AFleetBeforeReplicasThatFailEverything, losesFewRequestsToThem)
{
    // A second's worth of requests at most, instead of all.
    CHECK(failures(true) < kVms);
}

TEST(AFleetBeforeReplicasThatFailEverything, wouldLoseMostWithoutReports)
{
    CHECK(failures(false) > 3 * kVms);
}
