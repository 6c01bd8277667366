// Replicas whose heartbeats are no longer found in the platform's list.
#include "arbutuspier/replicaheartbeats.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using std::chrono::milliseconds;

TEST_GROUP(TheHeartbeatsOfAReplica)
{
    ReplicaHeartbeats heartbeats{milliseconds{1200}};
    const ReplicaIncarnation replica{"i-1", 7};

    static TimePoint at(int milliseconds)
    {
        return TimePoint{std::chrono::seconds{100} + std::chrono::milliseconds{milliseconds}};
    }
    void poll(int sentAt, bool hasHeartbeat)
    {
        if (hasHeartbeat)
            heartbeats.onHeartbeat(replica, at(sentAt + 10));
        heartbeats.onPoll(at(sentAt));
    }
};

TEST(TheHeartbeatsOfAReplica, areNotOverdueWhileTheyCome)
{
    for (int sentAt = 0; sentAt < 12'000; sentAt += 600) {
        poll(sentAt, sentAt % 1200 == 0);
        CHECK(!heartbeats.isOverdue(replica));
    }
}

TEST(TheHeartbeatsOfAReplica, areOverdueAfterOneWasMissed)
{
    poll(0, true);
    for (int sentAt : {600, 1200, 1800}) {
        poll(sentAt, false);
        CHECK(!heartbeats.isOverdue(replica));
    }
    poll(2400, false);
    CHECK(heartbeats.isOverdue(replica));
}

TEST(TheHeartbeatsOfAReplica, areNotOverdueWhileTheListCannotBeRead)
{
    poll(0, true);
    poll(600, false);
    CHECK(!heartbeats.isOverdue(replica));
    poll(9000, true);
    CHECK(!heartbeats.isOverdue(replica));
}

TEST(TheHeartbeatsOfAReplica, areNotOverdueIfNoneWasFoundYet)
{
    poll(0, false);
    poll(6000, false);
    CHECK(!heartbeats.isOverdue(replica));
}

TEST(TheHeartbeatsOfAReplica, areThoseOfOneIncarnation)
{
    poll(0, true);
    poll(3000, false);
    CHECK(!heartbeats.isOverdue({"i-1", 8}));
    CHECK(heartbeats.isOverdue(replica));
}
