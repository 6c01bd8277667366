// Tests the ejection of replicas after failures, and their learned slowdown factor.
#include "arbutuspier/replicahealth.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kNow = TimePoint{std::chrono::seconds{100}};

} // namespace

TEST_GROUP(AReplicasHealth)
{
    ReplicaHealth health{ReplicaHealthOptions{}};
    ReplicaIncarnation incarnation{"r", 1};
};

TEST(AReplicasHealth, allowsASingleFailure)
{
    health.onFailure(incarnation, kNow);
    CHECK(!health.isEjected(incarnation, kNow));
}

TEST(AReplicasHealth, ejectsAfterConsecutiveFailures)
{
    health.onFailure(incarnation, kNow);
    health.onFailure(incarnation, kNow);
    CHECK(health.isEjected(incarnation, kNow));
    CHECK(!health.isEjected(incarnation, kNow + std::chrono::seconds{2}));
}

TEST(AReplicasHealth, ejectsForLongerWithEachFailureUpToABound)
{
    for (int i = 0; i < 12; ++i)
        health.onUnreachable(incarnation, kNow);
    CHECK(health.isEjected(incarnation, kNow + milliseconds{3900}));
    CHECK(!health.isEjected(incarnation, kNow + milliseconds{4100}));
}

TEST(AReplicasHealth, ejectsAReplicaThatFailsIntermittently)
{
    for (int i = 0; i < 6; ++i) {
        health.onFailure(incarnation, kNow);
        health.onSuccess(incarnation, 0);
    }
    health.onFailure(incarnation, kNow);
    CHECK(health.isEjected(incarnation, kNow));
}

TEST(AReplicasHealth, learnsTheSlowdownFactor)
{
    for (int i = 0; i < 40; ++i)
        health.onSuccess(incarnation, 4.0 / health.slowdown(incarnation));
    DOUBLES_EQUAL(4.0, health.slowdown(incarnation), 0.2);
}

TEST(AReplicasHealth, doesNotCarryOverToANewIncarnation)
{
    health.onUnreachable(incarnation, kNow);
    CHECK(!health.isEjected({"r", 2}, kNow));
}
