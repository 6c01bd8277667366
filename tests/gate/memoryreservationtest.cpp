// Memory at several replicas is reserved completely or not at all, and released in every case.
#include "gatewayfixture.h"

#include "gateway/memoryreservation.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using namespace arbutuspier::gatetest;

namespace {

ReplicaStep responseWith(int status)
{
    return {"HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 0\r\n\r\n"};
}

std::size_t orderCount(const ScriptedReplica &replica, std::string_view operation)
{
    const std::string operationField = "\"operation\":\"" + std::string(operation) + '"';
    std::size_t count = 0;
    for (const ScriptedReplica::Request &request : replica.requests())
        count += request.body().find(operationField) != std::string::npos ? 1 : 0;
    return count;
}

} // namespace

TEST_GROUP(AMemoryReservation)
{
    GatewayFixture fixture;
    std::unique_ptr<MemoryReservation> reservation;

    /// Reserves memory at two replicas and waits for the outcome.
    void acquire()
    {
        bool isDone = false;
        asio::co_spawn(
            fixture.context,
            [this, &isDone]() -> Task<void> {
                std::vector<ReservationPart> parts;
                for (const char *id : {"i-1", "i-2"})
                    parts.push_back({*fixture.state.directory.find(id), 1'000, "hold-1"});
                reservation = co_await MemoryReservation::acquire(fixture.state, std::move(parts));
                isDone = true;
            },
            asio::detached);
        while (!isDone)
            fixture.context.run_one();
    }
    /// Waits until the replica has received `count` release orders, and fails if fewer come.
    void waitForReleases(const ScriptedReplica &replica, std::size_t count)
    {
        // An order that is still to come arrives long before the context has been idle for this
        // long.
        constexpr auto kIdleTimeout = std::chrono::seconds{5};
        while (orderCount(replica, "release") < count
               && fixture.context.run_one_for(kIdleTimeout) > 0) { }
        LONGS_EQUAL(count, orderCount(replica, "release"));
    }
};

TEST(AMemoryReservation, isGrantedOnceEveryReplicaConfirmedAndReleasedAtItsEnd)
{
    auto &first = fixture.addReplica("i-1", "engine", {responseWith(200)});
    auto &second = fixture.addReplica("i-2", "engine", {responseWith(200)});
    acquire();
    CHECK(reservation != nullptr);
    LONGS_EQUAL(1, orderCount(first, "reserve"));
    LONGS_EQUAL(0, orderCount(first, "release"));
    reservation.reset();
    waitForReleases(first, 1);
    waitForReleases(second, 1);
}

TEST(AMemoryReservation, failsIfOneReplicaRefusesAndIsReleasedAtTheOther)
{
    auto &first = fixture.addReplica("i-1", "engine", {responseWith(200)});
    fixture.addReplica("i-2", "engine", {responseWith(409), responseWith(200)});
    acquire();
    CHECK(reservation == nullptr);
    waitForReleases(first, 1);
}

TEST(AMemoryReservation, isReleasedWhereTheResponseWasLost)
{
    auto &first = fixture.addReplica("i-1", "engine", {responseWith(200)});
    // The replica may have reserved the memory before the reset, so it is sent a release too.
    auto &second = fixture.addReplica("i-2", "engine", {{"", false, true}, responseWith(200)});
    acquire();
    CHECK(reservation == nullptr);
    waitForReleases(first, 1);
    waitForReleases(second, 1);
}

TEST(AMemoryReservation, retriesALostRelease)
{
    auto &first = fixture.addReplica("i-1", "engine",
                                     {responseWith(200), {"", false, true}, responseWith(200)});
    fixture.addReplica("i-2", "engine", {responseWith(200)});
    acquire();
    reservation.reset();
    waitForReleases(first, 2);
}

TEST(AMemoryReservation, isReleasedAgainAfterAnExtensionThatOverlapsTheRelease)
{
    auto &first = fixture.addReplica("i-1", "engine", {responseWith(200)});
    fixture.addReplica("i-2", "engine", {responseWith(200)});
    acquire();
    while (orderCount(first, "reserve") < 2)
        fixture.context.run_one();
    // The extension has reached the replica, but its response hasn't arrived yet. The replica might
    // carry the extension out after the release, so a second release must follow.
    reservation.reset();
    waitForReleases(first, 2);
}
