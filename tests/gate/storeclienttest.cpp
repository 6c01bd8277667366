// Reads of the metadata store after it has come back from a copy and gives its revisions out again.
#include "gatewayfixture.h"

#include "platform/storeclient.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using namespace arbutuspier::gatetest;
using platform::StoreRead;
using platform::StoreRevision;

namespace {

std::string storeResponse(int status, std::uint64_t era, std::string_view body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nStore-Era: " + std::to_string(era)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

} // namespace

TEST_GROUP(AStoreRevision){};

TEST(AStoreRevision, isHigherInALaterEraWhateverItsNumber)
{
    CHECK(StoreRevision(2, 1) > StoreRevision(1, 900));
    CHECK(StoreRevision(2, 2) > StoreRevision(2, 1));
}

TEST_GROUP(AReadOfTheStore)
{
    GatewayFixture fixture;

    StoreRead readChanges(const std::string &response, StoreRevision since)
    {
        ScriptedReplica &store = fixture.addReplica("store", "store", {{response, true}});
        Address address;
        CHECK(parseAddress(store.address(), address));
        platform::StoreClient client(fixture.context.get_executor(), address);
        StoreRead read;
        bool isDone = false;
        asio::co_spawn(
            fixture.context,
            [&]() -> Task<void> {
                read = co_await client.readChanges("servers", since, Duration::zero(),
                                                   std::chrono::seconds{2});
                isDone = true;
            },
            asio::detached);
        while (!isDone)
            fixture.context.run_one();
        return read;
    }
};

TEST(AReadOfTheStore, returnsTheChangesOfTheSameEra)
{
    const StoreRead read = readChanges(
        storeResponse(200, 3, R"({"rows":[{"key":"a","schemaVersion":8}],"schemaVersion":9})"),
        {3, 7});
    CHECK(read.outcome == StoreRead::Outcome::Done);
    CHECK(read.revision == StoreRevision(3, 9));
    CHECK(read.rows.front().version == StoreRevision(3, 8));
}

// Guards against changes that are missed because the store went back and gave the number of the
// last read out again.
TEST(AReadOfTheStore, saysThatHistoryIsTruncatedIfTheStoreCameBackFromACopy)
{
    const StoreRead read =
        readChanges(storeResponse(200, 4, R"({"rows":[],"schemaVersion":9})"), {3, 7});
    CHECK(read.outcome == StoreRead::Outcome::HistoryTruncated);
    LONGS_EQUAL(4, read.revision.era);
}

TEST(AReadOfTheStore, saysThatHistoryIsTruncatedIfTheStoreDoesNotHaveTheRevision)
{
    const StoreRead read = readChanges(storeResponse(410, 4, "{}"), {3, 7});
    CHECK(read.outcome == StoreRead::Outcome::HistoryTruncated);
    LONGS_EQUAL(4, read.revision.era);
}

TEST(AReadOfTheStore, belongsToEraZeroIfTheStoreStatesNone)
{
    const StoreRead read = readChanges("HTTP/1.1 200 X\r\nContent-Length: 29\r\n\r\n"
                                       R"({"rows":[],"schemaVersion":9})",
                                       {0, 7});
    CHECK(read.outcome == StoreRead::Outcome::Done);
    CHECK(read.revision == StoreRevision(0, 9));
}
