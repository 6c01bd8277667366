// Replicas judged by how they answer.
#include "arbutuspier/replicahealth.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kNow = TimePoint{std::chrono::seconds{100}};

} // namespace

TEST_GROUP(AReplicasHealth)
{
    ReplicaHealth health{HealthOptions{}};
    ReplicaLife life{"r", 1};
};

TEST(AReplicasHealth, survivesOneFailure)
{
    health.onFailure(life, kNow);
    CHECK(!health.isShunned(life, kNow));
}

TEST(AReplicasHealth, isShunnedAfterFailuresInARow)
{
    health.onFailure(life, kNow);
    health.onFailure(life, kNow);
    CHECK(health.isShunned(life, kNow));
    CHECK(!health.isShunned(life, kNow + std::chrono::seconds{2}));
}

TEST(AReplicasHealth, isShunnedLongerWithEachFailure)
{
    for (int i = 0; i < 12; ++i)
        health.onUnreachable(life, kNow);
    CHECK(health.isShunned(life, kNow + milliseconds{3900}));
    CHECK(!health.isShunned(life, kNow + milliseconds{4100}));
}

TEST(AReplicasHealth, showsAReplicaThatFailsNowAndThen)
{
    for (int i = 0; i < 6; ++i) {
        health.onFailure(life, kNow);
        health.onSuccess(life, 0);
    }
    health.onFailure(life, kNow);
    CHECK(health.isShunned(life, kNow));
}

TEST(AReplicasHealth, learnsHowSlowAReplicaIs)
{
    for (int i = 0; i < 40; ++i)
        health.onSuccess(life, 4.0 / health.pace(life));
    DOUBLES_EQUAL(4.0, health.pace(life), 0.2);
}

TEST(AReplicasHealth, isThatOfOneLifeOnly)
{
    health.onUnreachable(life, kNow);
    CHECK(!health.isShunned({"r", 2}, kNow));
}
