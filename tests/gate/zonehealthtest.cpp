// Tests the demotion of a zone whose replicas do not respond.
#include "arbutuspier/zonehealth.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kNow = TimePoint{std::chrono::seconds{100}};

} // namespace

TEST_GROUP(AZone)
{
    ZoneHealth health{ZoneHealthOptions{}};
};

TEST(AZone, isNotDemotedForOneReplica)
{
    health.onUnresponsive("yard", "a", kNow);
    health.onUnresponsive("yard", "a", kNow);
    CHECK(!health.isDemoted("yard", kNow));
}

TEST(AZone, isDemotedWhenTwoReplicasAreUnresponsive)
{
    health.onUnresponsive("yard", "a", kNow);
    health.onUnresponsive("yard", "b", kNow);
    CHECK(health.isDemoted("yard", kNow + milliseconds{700}));
    CHECK(!health.isDemoted("hall", kNow));
    CHECK(!health.isDemoted("yard", kNow + milliseconds{900}));
}

TEST(AZone, isDemotedLongerWhileItStaysUnresponsive)
{
    health.onUnresponsive("yard", "a", kNow);
    health.onUnresponsive("yard", "b", kNow);
    health.onUnresponsive("yard", "c", kNow + milliseconds{900});
    CHECK(health.isDemoted("yard", kNow + milliseconds{2400}));
}

TEST(AZone, isNoLongerDemotedAfterOneResponse)
{
    health.onUnresponsive("yard", "a", kNow);
    health.onUnresponsive("yard", "b", kNow);
    health.onResponse("yard");
    CHECK(!health.isDemoted("yard", kNow));
}

TEST(AZone, isNotDemotedForFailuresFarApart)
{
    health.onUnresponsive("yard", "a", kNow);
    health.onUnresponsive("yard", "b", kNow + std::chrono::seconds{3});
    CHECK(!health.isDemoted("yard", kNow + std::chrono::seconds{3}));
}
