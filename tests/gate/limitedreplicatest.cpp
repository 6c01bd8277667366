// Requests of one gateway before replicas that name a request limit in their answers.
#include "gatewayfixture.h"
#include "responsetext.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using namespace arbutuspier::gatetest;
using std::chrono::milliseconds;

namespace {

constexpr const char *kRoutes = R"({"version":1,"routes":[
 {"host":"f.example","prefix":"/look/","routeKind":"idempotent","timeoutMs":20000,"goalMs":8000,
  "service":"desk","maxAttempts":2,"public":true},
 {"host":"f.example","prefix":"/fast/","routeKind":"idempotent","timeoutMs":900,"goalMs":100,
  "service":"desk","maxAttempts":2,"public":true},
 {"host":"f.example","prefix":"/ask/","routeKind":"streaming","timeoutMs":20000,"goalMs":8000,
  "service":"desk","maxAttempts":2,"public":true,"resumable":true,"gapTargetMs":8000}],
 "services":[{"name":"desk","maxConnections":100}]})";
/// Requests a second.
constexpr const char *kLimit = "0.5";
/// More than one gateway may send at once after hearing of the limit.
constexpr std::size_t kManyCalls = 12;

ReplicaStep answer(int status, std::string_view limit)
{
    std::string text = "HTTP/1.1 " + std::to_string(status)
        + " X\r\nX-Arbutuspier-Attempt-Id: %ID\r\nX-Arbutuspier-Response-Signature: s1\r\n";
    if (!limit.empty())
        text += "Server-Limit: " + std::string(limit) + "\r\n";
    return {text + "Content-Length: 4\r\n\r\ndone"};
}

} // namespace

TEST_GROUP(ALimitedReplica)
{
    GatewayFixture fixture;

    void setup() override
    {
        fixture.configure(kRoutes);
    }

    bool isLimited(const char *id)
    {
        return fixture.state.limits.isLimited(fixture.state.directory.find(id)->incarnation());
    }
    std::string call(std::string_view path)
    {
        return fixture.call(GatewayFixture::request("GET", path));
    }
};

// Guards against a replica that gets its part of all requests although it named a limit.
TEST(ALimitedReplica, leavesTheWorkToOthers)
{
    auto &limited = fixture.addReplica("a", "desk", {answer(200, kLimit)});
    CHECK(isAnswered(call("/look/1")));
    CHECK(isLimited("a"));
    auto &other = fixture.addReplica("b", "desk", {answer(200, "")});
    for (std::size_t i = 0; i < kManyCalls; ++i)
        CHECK(isAnswered(call("/look/1")));
    CHECK(!isLimited("b"));
    LONGS_EQUAL(1, limited.requests().size());
    LONGS_EQUAL(kManyCalls, other.requests().size());
}

TEST(ALimitedReplica, namesItsLimitInAnErrorResponseToo)
{
    fixture.addReplica("a", "desk", {answer(500, kLimit)});
    call("/look/1");
    CHECK(isLimited("a"));
}

TEST(ALimitedReplica, namesItsLimitInTheHeadOfAStream)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Arbutuspier-Attempt-Id: %ID\r\n"
                             "X-Arbutuspier-Response-Signature: s1\r\nServer-Limit: 0.5\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "f\r\nid: 0\ndata: x\n\n\r\n";
    auto &replica = fixture.addReplica("a", "desk", {{head}});
    fixture.start(GatewayFixture::request("GET", "/ask/1"));
    fixture.runFor(milliseconds{100});
    LONGS_EQUAL(1, replica.requests().size());
    // The stream goes on.
    LONGS_EQUAL(1, fixture.state.dispatchQueue.running());
    CHECK(isLimited("a"));
}

// Guards against retries that are not counted as requests.
TEST(ALimitedReplica, getsNoRetryBeyondItsLimit)
{
    auto &failing = fixture.addReplica("a", "desk", {answer(500, "")});
    auto &limited = fixture.addReplica("b", "desk", {answer(200, kLimit)});
    for (std::size_t i = 0; i < kManyCalls; ++i)
        call("/fast/1");
    CHECK(isLimited("b"));
    CHECK(failing.requests().size() > 1);
    LONGS_EQUAL(1, limited.requests().size());
}

// Guards against requests that wait until their deadline for a share that comes too late.
TEST(ALimitedReplica, causesARejectionAtOnceIfThereIsNoOther)
{
    auto &limited = fixture.addReplica("a", "desk", {answer(200, kLimit)});
    CHECK(isAnswered(call("/fast/1")));
    const TimePoint before = fixture.clock.now();
    const std::string rejected = call("/fast/1");
    CHECK(fixture.clock.now() < before + milliseconds{200});
    CHECK(rejected.find(" 503 ") != std::string::npos);
    CHECK(rejected.find("Retry-After: ") != std::string::npos);
    LONGS_EQUAL(1, limited.requests().size());
}

TEST(ALimitedReplica, getsARequestThatCanWaitForTheShare)
{
    auto &limited = fixture.addReplica("a", "desk", {answer(200, "4")});
    CHECK(isAnswered(call("/look/1")));
    // Without the timer of the gateway, this makes the waiting request try again.
    asio::steady_timer timer(fixture.context, milliseconds{400});
    timer.async_wait([this](ErrorCode) { fixture.state.dispatchQueue.dispatchWaiting(); });
    CHECK(isAnswered(call("/look/1")));
    LONGS_EQUAL(2, limited.requests().size());
}

TEST(ALimitedReplica, isUsedAsBeforeOnceItNamesNoLimit)
{
    auto &replica = fixture.addReplica("a", "desk", {answer(200, "4"), answer(200, "")});
    CHECK(isAnswered(call("/look/1")));
    CHECK(isLimited("a"));
    fixture.runFor(milliseconds{400});
    for (std::size_t i = 0; i < kManyCalls; ++i)
        CHECK(isAnswered(call("/look/1")));
    CHECK(!isLimited("a"));
    LONGS_EQUAL(kManyCalls + 1, replica.requests().size());
}

// Guards against a limit that is never seen to end, as the other replicas can take all the work.
TEST(ALimitedReplica, isProbedBesideOthersThatAreIdle)
{
    auto &replica = fixture.addReplica("a", "desk", {answer(200, kLimit), answer(200, "")});
    CHECK(isAnswered(call("/look/1")));
    fixture.addReplica("b", "desk", {answer(200, "")});
    // The first probe is due after four to eight seconds.
    constexpr int kMaxCalls = 45;
    for (int i = 0; i < kMaxCalls && isLimited("a"); ++i) {
        fixture.runFor(milliseconds{200});
        CHECK(isAnswered(call("/look/1")));
    }
    CHECK(!isLimited("a"));
    LONGS_EQUAL(2, replica.requests().size());
}

// Guards against a value that is no number and yet limits a replica, or ends its limit.
TEST(ALimitedReplica, keepsItsLimitIfALaterValueIsInvalid)
{
    fixture.addReplica("a", "desk", {answer(200, "soon"), answer(200, "4"), answer(200, "-1")});
    call("/look/1");
    CHECK(!isLimited("a"));
    call("/look/1");
    CHECK(isLimited("a"));
    fixture.runFor(milliseconds{400});
    CHECK(isAnswered(call("/look/1")));
    CHECK(isLimited("a"));
}
