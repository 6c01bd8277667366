// Memory at several replicas is reserved completely or not at all, and released in every case.
#include "gatewayfixture.h"

#include "gateway/memoryreservation.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using namespace arbutuspier::gatetest;

namespace {

Step answer(int status)
{
    return {"HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 0\r\n\r\n"};
}

std::size_t ordersOf(const ScriptedReplica &replica, std::string_view operation)
{
    const std::string wanted = "\"operation\":\"" + std::string(operation) + '"';
    std::size_t count = 0;
    for (const ScriptedReplica::Request &request : replica.requests())
        count += request.body().find(wanted) != std::string::npos ? 1 : 0;
    return count;
}

} // namespace

TEST_GROUP(AMemoryHold)
{
    GatewayFixture world;
    std::unique_ptr<MemoryReservation> hold;

    /// Reserves memory at two replicas and waits for the outcome.
    void acquire()
    {
        bool isDone = false;
        asio::co_spawn(
            world.context,
            [this, &isDone]() -> Task<void> {
                std::vector<ReservationPart> parts;
                for (const char *id : {"i-1", "i-2"})
                    parts.push_back({*world.state.directory.find(id), 1'000, "hold-1"});
                hold = co_await MemoryReservation::acquire(world.state, std::move(parts));
                isDone = true;
            },
            asio::detached);
        while (!isDone)
            world.context.run_one();
    }
    /// Waits until the replica has received `count` release orders, and fails if fewer come.
    void waitForReleases(const ScriptedReplica &replica, std::size_t count)
    {
        // An order that is still to come arrives long before the context has been idle for this
        // long.
        constexpr auto kIdle = std::chrono::seconds{5};
        while (ordersOf(replica, "release") < count && world.context.run_one_for(kIdle) > 0) { }
        LONGS_EQUAL(count, ordersOf(replica, "release"));
    }
};

TEST(AMemoryHold, isHeldOnceEveryReplicaHasAgreedAndGivenBackAtItsEnd)
{
    auto &first = world.addReplica("i-1", "engine", {answer(200)});
    auto &second = world.addReplica("i-2", "engine", {answer(200)});
    acquire();
    CHECK(hold != nullptr);
    LONGS_EQUAL(1, ordersOf(first, "reserve"));
    LONGS_EQUAL(0, ordersOf(first, "release"));
    hold.reset();
    waitForReleases(first, 1);
    waitForReleases(second, 1);
}

TEST(AMemoryHold, isNoneIfOneReplicaRefusesAndTheOtherGetsItsMemoryBack)
{
    auto &first = world.addReplica("i-1", "engine", {answer(200)});
    world.addReplica("i-2", "engine", {answer(409), answer(200)});
    acquire();
    CHECK(hold == nullptr);
    waitForReleases(first, 1);
}

TEST(AMemoryHold, isGivenBackWhereTheAnswerWasLost)
{
    auto &first = world.addReplica("i-1", "engine", {answer(200)});
    // The replica may have reserved the memory before the reset, so it is sent a release too.
    auto &second = world.addReplica("i-2", "engine", {{"", false, true}, answer(200)});
    acquire();
    CHECK(hold == nullptr);
    waitForReleases(first, 1);
    waitForReleases(second, 1);
}

TEST(AMemoryHold, sendsALostReleaseAgain)
{
    auto &first = world.addReplica("i-1", "engine", {answer(200), {"", false, true}, answer(200)});
    world.addReplica("i-2", "engine", {answer(200)});
    acquire();
    hold.reset();
    waitForReleases(first, 2);
}

TEST(AMemoryHold, isReleasedAfterAnExtensionThatCrossesItsEnd)
{
    auto &first = world.addReplica("i-1", "engine", {answer(200)});
    world.addReplica("i-2", "engine", {answer(200)});
    acquire();
    while (ordersOf(first, "reserve") < 2)
        world.context.run_one();
    // The extension has reached the replica, but its response hasn't arrived yet. The replica might
    // carry the extension out after the release, so a second release must follow.
    hold.reset();
    waitForReleases(first, 2);
}
