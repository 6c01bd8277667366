// What each replica of a plain service still has to do and how fast it works, as one VM knows it:
// replicas that are slowed five times for some seconds, and reports that are late or lost.
#include "arbutuspier/remainingwork.h"

#include "arbutuspier/fleetload.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(TheSpeedOfAReplica)
{
    static constexpr TimePoint kStart = TimePoint{seconds{100}};
    ReplicaSpeeds speeds{ReplicaSpeedOptions{}};
    CostForecast forecast = CostForecast::fromMean(60, 0.5);
    ReplicaIncarnation replica{"r", 1};

    void complete(double durationMs, int times, TimePoint now = kStart)
    {
        for (int i = 0; i < times; ++i)
            speeds.onCompleted(replica, durationMs, forecast, now);
    }

    double factor(TimePoint now = kStart)
    {
        return speeds.slowdown(replica, now).factor;
    }
};

TEST(TheSpeedOfAReplica, isTheUsualOneAtFirst)
{
    DOUBLES_EQUAL(1, factor(), 0.001);
}

TEST(TheSpeedOfAReplica, isLearnedFromFewCallsOfASlowedReplica)
{
    complete(300, 3);
    CHECK(factor() > 2);
    complete(300, 5);
    CHECK(factor() > 3);
}

TEST(TheSpeedOfAReplica, isTheUsualOneAgainWhenASlowedReplicaRecovers)
{
    complete(300, 10);
    complete(53, 10, kStart + seconds{2});
    CHECK(factor(kStart + seconds{2}) < 1.7);
}

TEST(TheSpeedOfAReplica, isForgottenWithoutCallsSoThatTheReplicaIsTriedAgain)
{
    complete(300, 10);
    CHECK(factor(kStart + seconds{30}) < 1.1);
    speeds.tick(kStart + seconds{30});
    LONGS_EQUAL(1, speeds.size());
    speeds.tick(kStart + seconds{61});
    LONGS_EQUAL(0, speeds.size());
}

TEST(TheSpeedOfAReplica, isHardlyMovedByOneExpensiveCall)
{
    complete(53, 20);
    complete(3000, 1);
    CHECK(factor() < 1.5);
}

TEST(TheSpeedOfAReplica, isDoubtedWhileCallsRunUnusuallyLong)
{
    const RunningCall late{1, kStart, forecast};
    const std::vector<RunningCall> running = {late, late};
    const TimePoint now = kStart + milliseconds{400};
    CHECK(speeds.slowdownWhile(replica, running, now).factor > 2);
    DOUBLES_EQUAL(1, speeds.slowdownWhile(replica, running, kStart + milliseconds{20}).factor,
                  0.001);
}

TEST(TheSpeedOfAReplica, isNotJudgedByCallsOfOtherVms)
{
    const std::vector<RunningCall> running = {{1, kStart, std::nullopt}, {2, kStart, std::nullopt}};
    DOUBLES_EQUAL(1, speeds.slowdownWhile(replica, running, kStart + seconds{1}).factor, 0.001);
}

TEST_GROUP(TheWorkLeftAtAReplica)
{
    static constexpr TimePoint kStart = TimePoint{seconds{100}};
    FleetLoad load;
    CostForecast usual = CostForecast::fromMean(60, 0.5);

    void run(const char *vm, std::uint64_t id, std::optional<CostForecast> cost,
             TimePoint now = kStart)
    {
        ActiveRequest request;
        request.id = id;
        request.cost = cost;
        request.parts.push_back({"r", 0, 0, 0, true});
        load.begin(vm, request, now);
    }

    WorkLeft left(TimePoint now)
    {
        return workLeftAt(load.callsOf("r"), usual, 1, now);
    }
};

TEST(TheWorkLeftAtAReplica, isThatOfOwnAndReportedCalls)
{
    run("own", 1, CostForecast::fromMean(500, 0.5));
    run("peer", 1, std::nullopt);
    DOUBLES_EQUAL(500, left(kStart).ownMs, 0.001);
    DOUBLES_EQUAL(60, left(kStart).othersMs, 0.001);
    load.end("own", 1);
    DOUBLES_EQUAL(0, left(kStart).ownMs, 0);
    LONGS_EQUAL(1, left(kStart).othersCalls);
}

TEST(TheWorkLeftAtAReplica, isLessTheLongerACallHasRun)
{
    run("own", 1, usual);
    CHECK(left(kStart + milliseconds{40}).ownMs < 0.7 * 60);
}

TEST(TheWorkLeftAtAReplica, isSoonNothingIfTheReportOfAnEndIsLost)
{
    run("peer", 1, std::nullopt);
    CHECK(left(kStart + milliseconds{300}).othersMs < 1);
}

TEST(TheWorkLeftAtAReplica, isNotWhatAPeerClaims)
{
    // A peer names the replica and the time only; what its call costs is this VM's own estimate.
    run("liar", 1, std::nullopt);
    DOUBLES_EQUAL(usual.mean(), left(kStart).othersMs, 0.001);
}

TEST(TheWorkLeftAtAReplica, isGoneWithAVmThatIsUnresponsive)
{
    run("peer", 1, std::nullopt);
    run("peer", 2, std::nullopt);
    load.dropVm("peer", kStart);
    CHECK(load.callsOf("r").empty());
}

TEST(TheWorkLeftAtAReplica, isKeptWhenAFullReportRepeatsIt)
{
    run("peer", 1, std::nullopt);
    load.replace("peer", load.activeRequestsOf("peer"), kStart + seconds{1});
    LONGS_EQUAL(1, load.callsOf("r").size());
    load.end("peer", 1);
    CHECK(load.callsOf("r").empty());
}

TEST_GROUP(WhatAVmLearnsOfCalls)
{
    static constexpr TimePoint kStart = TimePoint{seconds{100}};
    RemainingWork work{CostEstimateOptions{}, ReplicaSpeedOptions{}};
    CostFeatures features{"service", "ask", "", 0, 0};
};

TEST(WhatAVmLearnsOfCalls, tellsASlowReplicaFromExpensiveCalls)
{
    for (int i = 0; i < 30; ++i) {
        const TimePoint now = kStart + milliseconds{100 * i};
        for (const char *replica : {"a", "b", "c"})
            work.onCompleted(features, {replica, 1}, 60, now);
        work.onCompleted(features, {"slow", 1}, 300, now);
    }
    const TimePoint end = kStart + seconds{3};
    DOUBLES_EQUAL(75, work.forecast(features, end).mean(), 25);
    CHECK(work.slowdownWhile({"slow", 1}, {}, end).factor > 2.5);
    CHECK(work.slowdownWhile({"a", 1}, {}, end).factor < 1.2);
}
