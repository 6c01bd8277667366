// The memory that requests hold together, and what becomes of a request for which there is none.
#include "gatewayfixture.h"
#include "responsetext.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace arbutuspier;
using namespace arbutuspier::gatetest;

namespace {

constexpr std::size_t kMaxBytes = 1000;
constexpr std::size_t kSmallBytes = 10;
constexpr std::size_t kSmallExtraBytes = 20;

constexpr const char *kRoutes = R"({"version":1,"routes":[
 {"host":"f.example","prefix":"/slow/","routeKind":"non_idempotent","timeoutMs":20000,
  "goalMs":8000,"service":"slow","maxAttempts":1,"public":true},
 {"host":"f.example","prefix":"/order/","routeKind":"non_idempotent","timeoutMs":20000,
  "goalMs":8000,"service":"desk","maxAttempts":1,"public":true}],
 "services":[{"name":"desk","maxConnections":100},{"name":"slow","maxConnections":100}]})";

} // namespace

TEST_GROUP(AMemoryBudget)
{
    MemoryBudget budget{{kMaxBytes, kSmallBytes, kSmallExtraBytes}};
    MemoryBudget::Share first{budget};
    MemoryBudget::Share second{budget};
};

TEST(AMemoryBudget, boundsAllHoldersTogether)
{
    CHECK(first.resize(kMaxBytes - 1));
    CHECK(second.resize(1));
    CHECK(!second.resize(kSmallBytes + 1));
    CHECK(first.resize(1));
    CHECK(second.resize(kSmallBytes + 1));
}

TEST(AMemoryBudget, hasSomeMoreForSmallHolders)
{
    CHECK(first.resize(kMaxBytes));
    CHECK(second.resize(kSmallBytes));
    MemoryBudget::Share third(budget);
    MemoryBudget::Share fourth(budget);
    CHECK(third.resize(kSmallBytes));
    CHECK(!fourth.resize(1));
}

// Guards against holders that were given up and still keep others out.
TEST(AMemoryBudget, countsNoHolderForWhichThereIsNoRoom)
{
    CHECK(first.resize(kMaxBytes / 2));
    CHECK(!second.resize(kMaxBytes));
    LONGS_EQUAL(kMaxBytes / 2, budget.used());
    CHECK(second.resize(kMaxBytes / 2));
}

TEST(AMemoryBudget, isFreeAgainOnceItsHoldersAreGone)
{
    {
        MemoryBudget::Share third(budget);
        third.resize(kMaxBytes);
    }
    LONGS_EQUAL(0, budget.used());
    LONGS_EQUAL(kMaxBytes, budget.peak());
}

// Guards against a VM whose requests and responses may take more memory than it has.
TEST(AMemoryBudget, leavesAPartOfTheVmsMemoryToAllElse)
{
    constexpr double kMostForBodies = 0.75;
    for (const std::size_t vmBytes : {112'000'000UL, 512'000'000UL}) {
        const MemoryBudgetOptions requests = requestMemoryOf(vmBytes);
        const std::size_t most =
            requests.maxBytes + requests.smallExtraBytes + responseMemoryOf(vmBytes).maxBytes;
        CHECK(static_cast<double>(most) < kMostForBodies * static_cast<double>(vmBytes));
    }
    CHECK(requestMemoryOf(0).maxBytes > 0);
}

TEST_GROUP(ARequestWithoutMemory)
{
    static constexpr std::size_t kLargeBytes = 600'000;
    static constexpr std::size_t kBudgetBytes = 1'000'000;
    static constexpr std::size_t kSmallRequestBytes = 1000;

    GatewayFixture fixture;
    ScriptedReplica *slow = nullptr;
    ScriptedReplica *sound = nullptr;

    void setup() override
    {
        fixture.configure(kRoutes);
        fixture.state.requestMemory.setOptions({kBudgetBytes, kSmallRequestBytes});
        ReplicaStep late{fullResponse(200, "late")};
        late.delay = std::chrono::milliseconds{300};
        slow = &fixture.addReplica("a", "slow", {late});
        sound = &fixture.addReplica("b", "desk", {{fullResponse(200, "done")}});
    }
    static std::string upload(std::string_view path, std::size_t bytes)
    {
        return GatewayFixture::request("POST", path, "", std::string(bytes, 'x'));
    }
    static std::string uploadInChunks(std::string_view path, std::size_t bytes)
    {
        return GatewayFixture::request("POST", path, "Transfer-Encoding: chunked\r\n")
            + chunk(std::string(bytes, 'x')) + "0\r\n\r\n";
    }
    /// Starts an upload and waits until its replica has it.
    const GatewayFixture::StartedCall &startSlowUpload()
    {
        const auto &call = fixture.start(upload("/slow/1", kLargeBytes));
        while (slow->requests().empty())
            fixture.context.run_one();
        return call;
    }
    void finish(const GatewayFixture::StartedCall &call)
    {
        while (!call.isDone)
            fixture.context.run_one();
        LONGS_EQUAL(200, statusOf(call.response));
    }
    void checkIsRefused(const std::string &response)
    {
        LONGS_EQUAL(503, statusOf(response));
        CHECK(contains(response, "X-Arbutuspier-Attempt-Id: id1"));
        CHECK(contains(response, "Retry-After: "));
        LONGS_EQUAL(0, sound->requests().size());
    }
};

// Guards against a VM that is killed, with all calls in flight, as slow replicas leave it with the
// bodies of too many long requests.
TEST(ARequestWithoutMemory, isRefusedAtOnce)
{
    const auto &running = startSlowUpload();
    checkIsRefused(fixture.call(upload("/order/1", kLargeBytes)));
    CHECK(!running.isDone);
    finish(running);
    CHECK(fixture.state.requestMemory.peak() <= kBudgetBytes);
}

TEST(ARequestWithoutMemory, isRefusedAtOnceIfItsBodyComesInChunks)
{
    const auto &running = startSlowUpload();
    checkIsRefused(fixture.call(uploadInChunks("/order/1", kLargeBytes)));
    finish(running);
}

TEST(ARequestWithoutMemory, isServedIfItIsSmall)
{
    const auto &running = startSlowUpload();
    const auto &other = fixture.start(upload("/slow/2", kBudgetBytes - kLargeBytes));
    fixture.runFor(std::chrono::milliseconds{50});
    LONGS_EQUAL(200, statusOf(fixture.call(upload("/order/1", kSmallRequestBytes))));
    finish(running);
    finish(other);
}

TEST(ARequestWithoutMemory, isServedOnceAnotherOneHasEnded)
{
    finish(startSlowUpload());
    LONGS_EQUAL(200, statusOf(fixture.call(upload("/order/1", kLargeBytes))));
    LONGS_EQUAL(200, statusOf(fixture.call(uploadInChunks("/order/1", kLargeBytes / 2))));
    fixture.runFor(std::chrono::milliseconds{20});
    LONGS_EQUAL(0, fixture.state.requestMemory.used());
}
