// Requests of one gateway before replicas that turn requests away and ask for rest.
#include "gatewayfixture.h"
#include "responsetext.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using namespace arbutuspier::gatetest;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char *kRoutes = R"({"version":1,"routes":[
 {"host":"f.example","prefix":"/look/","routeKind":"idempotent","timeoutMs":20000,"goalMs":400,
  "service":"desk","maxAttempts":2,"public":true},
 {"host":"f.example","prefix":"/order/","routeKind":"non_idempotent","timeoutMs":20000,"goalMs":400,
  "service":"desk","maxAttempts":1,"public":true},
 {"host":"f.example","prefix":"/ask/","routeKind":"streaming","timeoutMs":20000,"goalMs":400,
  "service":"desk","maxAttempts":2,"public":true,"resumable":true,"gapTargetMs":400}],
 "services":[{"name":"desk","maxConnections":100}]})";

ReplicaStep turnAway(std::string_view retryAfter)
{
    return {"HTTP/1.1 503 X\r\nX-Arbutuspier-Attempt-Id: %ID\r\nX-Arbutuspier-Not-Executed: 1\r\n"
            + std::string(retryAfter) + "Content-Length: 0\r\n\r\n"};
}

const ReplicaStep kServed{
    "HTTP/1.1 200 OK\r\nX-Arbutuspier-Attempt-Id: %ID\r\nX-Arbutuspier-Response-Signature: s1\r\n"
    "Content-Length: 4\r\n\r\ndone"};

} // namespace

TEST_GROUP(AReplicaThatAsksForRest)
{
    GatewayFixture fixture;

    void setup() override
    {
        fixture.configure(kRoutes);
    }

    std::string call(std::string_view path)
    {
        return fixture.call(GatewayFixture::request("POST", path, "", "x"));
    }
    bool isResting(const char *id)
    {
        return fixture.state.rests.isResting({id, 1}, fixture.clock.now());
    }
};

// Guards against requests to a replica that wants none (docs/incidents/requests-in-a-rest.md).
TEST(AReplicaThatAsksForRest, getsNoRequestsWhileOthersServe)
{
    ScriptedReplica &resting =
        fixture.addReplica("i-1", "desk", {turnAway("Retry-After: 3\r\n"), kServed});
    fixture.addReplica("i-2", "desk", {kServed});
    for (int i = 0; i < 20; ++i) {
        for (const char *path : {"/look/1", "/order/1", "/ask/1"})
            CHECK(isAnswered(call(path)) || std::string(path) == "/ask/1");
    }
    LONGS_EQUAL(1, resting.requests().size());
    CHECK(isResting("i-1"));
}

TEST(AReplicaThatAsksForRest, getsRequestsAgainAfterIt)
{
    ScriptedReplica &replica =
        fixture.addReplica("i-1", "desk", {turnAway("Retry-After: 0.25\r\n"), kServed});
    CHECK(call("/look/1").find(" 503 ") != std::string::npos);
    fixture.runFor(milliseconds{260});
    CHECK(isAnswered(call("/look/2")));
    LONGS_EQUAL(2, replica.requests().size());
}

TEST(AReplicaThatAsksForRest, isNotTriedForWantOfOthers)
{
    ScriptedReplica &first =
        fixture.addReplica("i-1", "desk", {turnAway("Retry-After: 5\r\n"), kServed});
    ScriptedReplica &second =
        fixture.addReplica("i-2", "desk", {turnAway("Retry-After: 2.5\r\n"), kServed});
    call("/look/1");
    const TimePoint start = fixture.clock.now();
    const std::string response = call("/look/2");
    CHECK(response.find(" 503 ") != std::string::npos);
    CHECK(fixture.clock.now() - start < milliseconds{100});
    // Any earlier time would bring the caller back in vain.
    const std::size_t at = response.find("Retry-After: ");
    const double retryAfter = std::stod(response.substr(at + 13));
    CHECK(retryAfter > 2.2 && retryAfter <= 2.5);
    LONGS_EQUAL(2, first.requests().size() + second.requests().size());
}

TEST(AReplicaThatAsksForRest, getsNoRetryAndNoBackupAttempt)
{
    ReplicaStep slow = kServed;
    slow.delay = milliseconds{900};
    ScriptedReplica &resting =
        fixture.addReplica("i-1", "desk", {turnAway("Retry-After: 3\r\n"), kServed});
    ScriptedReplica &other = fixture.addReplica("i-2", "desk", {slow});
    while (resting.requests().empty())
        call("/look/1");
    CHECK(isAnswered(call("/look/2")));
    LONGS_EQUAL(1, resting.requests().size());
    CHECK(!other.requests().empty());
}

// Guards against a response of another process that has the replica's address.
TEST(AReplicaThatAsksForRest, isNotRestedForAResponseToAnotherRequest)
{
    ReplicaStep foreign{"HTTP/1.1 503 X\r\nX-Arbutuspier-Attempt-Id: other\r\nRetry-After: 3\r\n"
                        "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"};
    fixture.addReplica("i-1", "desk", {foreign});
    call("/look/1");
    CHECK(!isResting("i-1"));
    CHECK(fixture.state.directory.isUsable({"i-1", 1}));
}

TEST(AReplicaThatAsksForRest, keepsTheLongerOfTwoRests)
{
    const ReplicaIncarnation replica{"i-1", 1};
    const TimePoint now{seconds{100}};
    ReplicaRests rests{{}};
    CHECK(rests.onRest(replica, seconds{5}, now));
    CHECK(rests.onRest(replica, seconds{1}, now + seconds{1}));
    CHECK(rests.isResting(replica, now + seconds{4}));
    CHECK(!rests.isResting(replica, now + seconds{5}));
    CHECK(!rests.isResting({"i-1", 2}, now));
    CHECK(!rests.onRest(replica, Duration::zero(), now));
}

TEST(AReplicaThatAsksForRest, restsNoLongerThanTheLongestRest)
{
    const ReplicaIncarnation replica{"i-1", 1};
    const TimePoint now{seconds{100}};
    ReplicaRests rests{{}};
    rests.onRest(replica, std::chrono::hours{1000}, now);
    CHECK(rests.isResting(replica, now + std::chrono::minutes{59}));
    CHECK(!rests.isResting(replica, now + std::chrono::minutes{61}));
}

TEST(AReplicaThatAsksForRest, getsAtMostTwoControlRequests)
{
    const ReplicaIncarnation replica{"i-1", 1};
    const TimePoint now{seconds{100}};
    ReplicaRests rests{{}};
    for (int i = 0; i < 5; ++i)
        CHECK(rests.tryControlRequest(replica, now));
    rests.onRest(replica, seconds{3}, now);
    CHECK(rests.tryControlRequest(replica, now + seconds{1}));
    CHECK(rests.tryControlRequest(replica, now + seconds{2}));
    CHECK(!rests.tryControlRequest(replica, now + seconds{2}));
    CHECK(rests.tryControlRequest(replica, now + seconds{3}));
}

// Guards against questions to a replica that wants none, when it has left the list.
TEST(AReplicaThatAsksForRest, isAskedAtMostTwiceWhetherItStillRuns)
{
    ScriptedReplica &replica =
        fixture.addReplica("i-1", "desk", {{"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"}});
    const ReplicaEntry entry = *fixture.state.directory.find("i-1");
    fixture.state.directory.applyChanges({{"i-1", std::nullopt}}, fixture.clock.now());
    const auto askFiveTimes = [&] {
        for (int i = 0; i < 5; ++i) {
            fixture.state.suspects.startCheck(entry);
            fixture.runFor(milliseconds{100});
        }
        return replica.requests().size();
    };
    fixture.state.rests.onRest(entry.incarnation(), seconds{30}, fixture.clock.now());
    LONGS_EQUAL(2, askFiveTimes());
    fixture.state.rests.tick(fixture.clock.now() + seconds{30});
    LONGS_EQUAL(7, askFiveTimes());
}

TEST(AReplicaThatAsksForRest, statesItInSeconds)
{
    const auto restOf = [](int status, std::vector<const char *> values) {
        platform::Fields fields;
        for (const char *value : values)
            fields.insert("Retry-After", value);
        const platform::ResponseHead head = platform::readResponseHead(status, fields);
        return head.rest ? toSeconds(*head.rest) : -1;
    };
    DOUBLES_EQUAL(3, restOf(503, {"3"}), 1e-9);
    DOUBLES_EQUAL(0.25, restOf(503, {" 0.25 "}), 1e-9);
    DOUBLES_EQUAL(4, restOf(503, {"2", "4", "x"}), 1e-9);
    DOUBLES_EQUAL(1e6, restOf(503, {"99999999999999999999"}), 1e-9);
    for (const char *value : {"", "-3", "x", "1e3", "nan", "3 s", "Fri, 04 Dec 2026 12:00:00 GMT"})
        DOUBLES_EQUAL(-1, restOf(503, {value}), 1e-9);
    DOUBLES_EQUAL(-1, restOf(200, {"3"}), 1e-9);
    DOUBLES_EQUAL(-1, restOf(429, {"3"}), 1e-9);
}
