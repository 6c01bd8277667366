// How long and how many idle connections the pool keeps.
#include "gateway/upstreampool.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(AnUpstreamPool)
{
    const ReplicaIncarnation incarnation{"i-1", 7};
    const TimePoint startTime = TimePoint{} + seconds{100};
    asio::io_context context;
    UpstreamPool pool{UpstreamPoolOptions{}};

    void addIdleConnection(TimePoint now)
    {
        auto connection = std::make_unique<UpstreamConnection>(context.get_executor());
        connection->keepAlive = seconds{10};
        pool.release(incarnation, std::move(connection), now);
    }
};

TEST(AnUpstreamPool, keepsConnectionsUntilTheyExpire)
{
    addIdleConnection(startTime);
    addIdleConnection(startTime + seconds{1});
    LONGS_EQUAL(2, pool.idleCount());
    pool.tick(startTime + milliseconds{8'500});
    LONGS_EQUAL(1, pool.idleCount());
    pool.tick(startTime + milliseconds{9'500});
    LONGS_EQUAL(0, pool.idleCount());
}

TEST(AnUpstreamPool, closesTheOldestConnectionBeyondItsLimit)
{
    pool.maxIdleConnections = [](const ReplicaIncarnation &) { return std::size_t{2}; };
    for (int i = 0; i < 5; ++i)
        addIdleConnection(startTime + seconds{i});
    LONGS_EQUAL(2, pool.idleCount());
    // The two remaining ones were released at 3 and 4 s and expire 8 s later, at 11 and 12 s.
    pool.tick(startTime + milliseconds{10'900});
    LONGS_EQUAL(2, pool.idleCount());
    pool.tick(startTime + milliseconds{11'100});
    LONGS_EQUAL(1, pool.idleCount());
}
