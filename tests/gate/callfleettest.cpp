// A fleet of VMs that place calls of unlike cost by late reports, against simpler rules and an
// oracle
// (`bin/bench routing` prints the whole table).
#include "model/callfleet.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using namespace arbutuspier::model;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(AFleetThatPlacesCalls)
{
    static constexpr double kLoads[] = {0.6, 0.8, 0.95};

    CallFleetOptions options;

    void setup() override
    {
        options.duration = seconds{50};
    }

    double p99Ms(CallRule rule)
    {
        options.rule = rule;
        return runCallFleet(options).all.p99Ms;
    }

    /// With reports that are sent at once, and with reports that are as late as they may be.
    void checkNeverWorseThanFewestRunning()
    {
        // Differences by chance between two runs of this length.
        constexpr double kChance = 1.03;
        for (const double load : kLoads) {
            for (const Duration age :
                 {Duration{milliseconds{5}}, Duration{milliseconds{200}}, Duration{seconds{2}}}) {
                options.load = load;
                options.reportAge = age;
                const double learned = p99Ms(CallRule::LearnedCost);
                CHECK(learned < kChance * p99Ms(CallRule::FewestRunning));
            }
        }
    }
};

TEST(AFleetThatPlacesCalls, isNeverWorseThanByFewestRunningCalls)
{
    checkNeverWorseThanFewestRunning();
}

TEST(AFleetThatPlacesCalls, isNeverWorseThanByFewestRunningCallsWithSlowReplicas)
{
    options.slowReplicas = 2;
    checkNeverWorseThanFewestRunning();
}

TEST(AFleetThatPlacesCalls, isNeverWorseThanByFewestRunningCallsWith107Vms)
{
    options.vmCount = 107;
    checkNeverWorseThanFewestRunning();
}

TEST(AFleetThatPlacesCalls, isWithinATenthOfTheOracleWithFreshReports)
{
    options.reportAge = milliseconds{5};
    CHECK(p99Ms(CallRule::LearnedCost) < 1.1 * p99Ms(CallRule::Oracle));
}

TEST(AFleetThatPlacesCalls, doesNotCrowdTheReplicaThatLooksIdleInLateReports)
{
    options.reportAge = milliseconds{200};
    CHECK(p99Ms(CallRule::LearnedCost) < p99Ms(CallRule::TwoRandomChoices));
    CHECK(p99Ms(CallRule::LearnedCost) < 0.5 * p99Ms(CallRule::LeastOutstanding));
}

TEST(AFleetThatPlacesCalls, isNeverWorseThanByFewestRunningCallsIfAllReportsAreLost)
{
    options.hasReports = false;
    for (const double load : {0.6, 0.8}) {
        options.load = load;
        CHECK(p99Ms(CallRule::LearnedCost) < p99Ms(CallRule::FewestRunning));
    }
}

TEST(AFleetThatPlacesCalls, isNotWorseThanByFewestRunningCallsAtFullLoadIfAllReportsAreLost)
{
    options.hasReports = false;
    options.load = 0.95;
    CHECK(p99Ms(CallRule::LearnedCost) < p99Ms(CallRule::FewestRunning));
}
