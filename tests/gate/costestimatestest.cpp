// What requests cost, learned from those that were completed: 20,000 teams whose requests look
// alike and differ a hundredfold in work.
#include "arbutuspier/costestimates.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace arbutuspier;
using std::chrono::seconds;

TEST_GROUP(ACostEstimate)
{
    static constexpr TimePoint kStart = TimePoint{seconds{100}};
    CostEstimates estimates{CostEstimateOptions{}};
    CostForecast published = CostForecast::fromMean(100, 1);

    static CostFeatures ask(std::string_view team, std::string_view route = "ask")
    {
        return {"service", route, team, 1000, 0};
    }

    void record(const CostFeatures &features, double cost, int times, TimePoint now = kStart)
    {
        for (int i = 0; i < times; ++i)
            estimates.record(features, cost, published, now);
    }

    double mean(const CostFeatures &features, TimePoint now = kStart)
    {
        return estimates.forecast(features, published, now).mean();
    }
};

TEST(ACostEstimate, isThePublishedFigureAtFirst)
{
    DOUBLES_EQUAL(100, mean(ask("a")), 0.001);
    DOUBLES_EQUAL(0, estimates.forecast(ask("a"), published, kStart).evidence, 0);
}

TEST(ACostEstimate, isThePublishedFigureAgainAfterARestart)
{
    record(ask("a"), 20, 50);
    estimates = CostEstimates{CostEstimateOptions{}};
    DOUBLES_EQUAL(100, mean(ask("a")), 0.001);
}

TEST(ACostEstimate, approachesTheCostsOfCompletedRequests)
{
    record(ask("a"), 20, 100);
    DOUBLES_EQUAL(20, mean(ask("a")), 4);
}

TEST(ACostEstimate, tellsTeamsAndRoutesApart)
{
    record(ask("cheap"), 10, 100);
    record(ask("costly"), 500, 100);
    record(ask("cheap", "list"), 50, 100);
    CHECK(mean(ask("cheap")) < 20);
    CHECK(mean(ask("costly")) > 300);
    DOUBLES_EQUAL(50, mean(ask("cheap", "list")), 20);
}

TEST(ACostEstimate, tellsSizesApart)
{
    const CostFeatures small = {"service", "ask", "a", 100, 0};
    const CostFeatures large = {"service", "ask", "a", 100'000, 0};
    record(small, 10, 100);
    record(large, 500, 100);
    CHECK(mean(small) < 20);
    CHECK(mean(large) > 300);
}

TEST(ACostEstimate, ofAnUnknownTeamIsThatOfTheRoute)
{
    for (int i = 0; i < 40; ++i)
        record(ask("team-" + std::to_string(i)), 20, 1);
    CHECK(mean(ask("new")) < 40);
}

TEST(ACostEstimate, isHardlyMovedByAnOutlier)
{
    record(ask("a"), 20, 50);
    const double before = mean(ask("a"));
    record(ask("a"), 20'000, 1);
    CHECK(mean(ask("a")) < 1.2 * before);
}

TEST(ACostEstimate, ofOthersIsHardlyMovedByOneTeamHoweverMuchItSends)
{
    for (int i = 0; i < 40; ++i)
        record(ask("team-" + std::to_string(i)), 20, 3);
    const double before = mean(ask("team-1"));
    const double ofNewBefore = mean(ask("new"));
    record(ask("hostile"), 5000, 10'000);
    CHECK(mean(ask("team-1")) < 1.5 * before);
    CHECK(mean(ask("new")) < 2 * ofNewBefore);
    CHECK(mean(ask("hostile")) > 1000);
}

TEST(ACostEstimate, followsACostThatChanged)
{
    record(ask("a"), 20, 100);
    record(ask("a"), 200, 60, kStart + seconds{120});
    CHECK(mean(ask("a"), kStart + seconds{120}) > 120);
}

TEST(ACostEstimate, returnsToThePublishedFigureWithoutRequests)
{
    record(ask("a"), 20, 20);
    DOUBLES_EQUAL(100, mean(ask("a"), kStart + seconds{3600}), 1);
}

TEST(ACostEstimate, takesBoundedMemoryWithManyTeams)
{
    record(ask("busy"), 20, 50);
    for (int i = 0; i < 20'000; ++i) {
        record(ask("team-" + std::to_string(i)), 30, 1);
        if (i % 1000 == 0)
            record(ask("busy"), 20, 1);
    }
    LONGS_EQUAL(CostEstimateOptions{}.maxEstimates, estimates.size());
    DOUBLES_EQUAL(20, mean(ask("busy")), 5);
}

TEST(ACostEstimate, ignoresCostsThatAreNone)
{
    record(ask("a"), 0, 10);
    record(ask("a"), -1, 10);
    record(ask("a"), 0.0 / 0.0, 10);
    LONGS_EQUAL(0, estimates.size());
}

TEST_GROUP(ACostForecast)
{
    CostForecast forecast = CostForecast::fromMean(60, 0.5);
};

TEST(ACostForecast, leavesTheWholeMeanToARequestThatJustBegan)
{
    DOUBLES_EQUAL(60, forecast.meanResidual(0), 0.001);
    DOUBLES_EQUAL(60, forecast.meanResidual(1), 2);
}

TEST(ACostForecast, leavesLessAndLessUntilARequestRunsUnusuallyLong)
{
    CHECK(forecast.meanResidual(40) < forecast.meanResidual(10));
    CHECK(forecast.meanResidual(1000) > forecast.meanResidual(100));
}

TEST(ACostForecast, exceedsItsMedianWithHalfProbability)
{
    DOUBLES_EQUAL(0.5, forecast.exceedProbability(60 * 0.8825), 0.001);
    DOUBLES_EQUAL(1, forecast.exceedProbability(0), 0);
}
