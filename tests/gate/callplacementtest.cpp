// Which replica a call goes to: replicas of unlike speed and load, reports that are late, and VMs
// that would all choose the one that looks idle.
#include "arbutuspier/callplacement.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace arbutuspier;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ACallToAPlainService)
{
    std::vector<CallCandidate> candidates;
    CallDemand demand{CostForecast::fromMean(60, 0.5), milliseconds{300}, milliseconds{5}, 60};

    CallCandidate &add(const char *replica)
    {
        CallCandidate candidate;
        candidate.replica = replica;
        candidate.slots = 6;
        candidate.turn = candidates.size();
        candidates.push_back(candidate);
        return candidates.back();
    }

    /// A replica at which other VMs run calls.
    CallCandidate &add(const char *replica, std::uint32_t calls)
    {
        CallCandidate &candidate = add(replica);
        candidate.running = calls;
        candidate.work.othersCalls = calls;
        candidate.work.othersMs = 40.0 * calls;
        return candidate;
    }

    CallChoice choose()
    {
        return chooseReplica(candidates, demand, {});
    }
    std::string chosen()
    {
        return choose().replica.value_or("none");
    }
};

TEST(ACallToAPlainService, goesWhereItEndsFirst)
{
    add("busy", 5);
    add("idle", 0);
    STRCMP_EQUAL("idle", chosen().c_str());
}

TEST(ACallToAPlainService, avoidsAnIdleReplicaThatIsSlow)
{
    add("slow").slowdown = {5, 0.2};
    add("busy", 4);
    STRCMP_EQUAL("busy", chosen().c_str());
}

TEST(ACallToAPlainService, avoidsTheSlowReplicaTheMoreTheMoreItCosts)
{
    CallCandidate &fast = add("fast", 5);
    fast.work.othersMs = 600;
    add("slow").slowdown = {2, 0.1};
    demand.cost = CostForecast::fromMean(20, 0.3);
    STRCMP_EQUAL("slow", chosen().c_str());
    demand.cost = CostForecast::fromMean(200, 0.3);
    STRCMP_EQUAL("fast", chosen().c_str());
}

TEST(ACallToAPlainService, staysInItsZoneAmongNearEquals)
{
    add("remote");
    add("local").isLocalZone = true;
    STRCMP_EQUAL("local", chosen().c_str());
}

TEST(ACallToAPlainService, leavesItsZoneWhereThatIsMuchBetter)
{
    add("remote");
    add("local", 6).isLocalZone = true;
    candidates.back().running = 5;
    STRCMP_EQUAL("remote", chosen().c_str());
}

TEST(ACallToAPlainService, usesNoReplicaWithoutAFreeSlot)
{
    add("full", 6);
    CHECK(!choose().replica.has_value());
    add("slow").slowdown = {8, 0.2};
    STRCMP_EQUAL("slow", chosen().c_str());
}

TEST(ACallToAPlainService, usesAReplicaThatFailedOnlyIfNoOtherHasAFreeSlot)
{
    add("failed").isEjected = true;
    add("slow").slowdown = {8, 0.2};
    STRCMP_EQUAL("slow", chosen().c_str());
    candidates.back().running = 6;
    STRCMP_EQUAL("failed", chosen().c_str());
}

TEST(ACallToAPlainService, countsOldReportsForLittle)
{
    add("reported-busy", 4);
    add("reported-idle", 0).turn = 9;
    STRCMP_EQUAL("reported-idle", chosen().c_str());
    demand.reportAge = seconds{2};
    STRCMP_EQUAL("reported-busy", chosen().c_str());
}

TEST(ACallToAPlainService, countsItsVmsOwnCallsInFullHoweverOldReportsAre)
{
    demand.reportAge = seconds{2};
    CallCandidate &own = add("own");
    own.running = 4;
    own.work.ownCalls = 4;
    own.work.ownMs = 160;
    add("other").turn = 9;
    STRCMP_EQUAL("other", chosen().c_str());
}

TEST(ACallToAPlainService, saysWhyEachReplicaWasLeftOut)
{
    add("chosen").isLocalZone = true;
    add("later").isLocalZone = true;
    add("remote");
    add("slow").slowdown = {5, 0.2};
    add("full", 6);
    add("failed").isEjected = true;
    const CallChoice choice = choose();
    std::map<std::string, std::string> verdicts;
    for (const RatedCandidate &rated : choice.candidates)
        verdicts[rated.replica] = toText(rated.verdict);
    STRCMP_EQUAL("chosen", verdicts["chosen"].c_str());
    STRCMP_EQUAL("used-later", verdicts["later"].c_str());
    STRCMP_EQUAL("other-zone", verdicts["remote"].c_str());
    STRCMP_EQUAL("slower", verdicts["slow"].c_str());
    STRCMP_EQUAL("no-free-slot", verdicts["full"].c_str());
    STRCMP_EQUAL("ejected", verdicts["failed"].c_str());
    CHECK(choice.candidates[3].expectedMs > 4 * choice.candidates[0].expectedMs);
    CHECK(choice.candidates[3].lateProbability > choice.candidates[0].lateProbability);
}

TEST_GROUP(TheTurnsOfReplicas){};

TEST(TheTurnsOfReplicas, beginInAnOrderThatDiffersBetweenVms)
{
    std::map<std::string, int> firsts;
    for (int vm = 0; vm < 70; ++vm) {
        const ReplicaTurns turns("vm" + std::to_string(vm));
        std::string first = "r0";
        for (const char *replica : {"r1", "r2", "r3", "r4", "r5", "r6"}) {
            if (turns.turn(replica) < turns.turn(first))
                first = replica;
        }
        ++firsts[first];
    }
    LONGS_EQUAL(7, firsts.size());
    for (const auto &[replica, count] : firsts)
        CHECK(count < 25);
}

TEST(TheTurnsOfReplicas, goRound)
{
    ReplicaTurns turns("vm");
    turns.onUse("a");
    turns.onUse("b");
    CHECK(turns.turn("a") < turns.turn("b"));
    CHECK(turns.turn("unused") < turns.turn("a"));
    turns.onUse("a");
    CHECK(turns.turn("b") < turns.turn("a"));
}
