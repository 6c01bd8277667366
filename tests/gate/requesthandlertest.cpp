// Handling of one caller request when replicas succeed, refuse, fail, disconnect or don't respond.
#include "gatewayfixture.h"

#include "gateway/requesthandler.h"

#include <CppUTest/TestHarness.h>

#include <sstream>

using namespace arbutuspier;
using namespace arbutuspier::gatetest;

namespace {

constexpr const char *kRoutes = R"({"version":1,"routes":[
 {"host":"f.example","prefix":"/look/","routeKind":"idempotent","timeoutMs":20000,"goalMs":8000,
  "service":"desk","maxAttempts":2,"public":true},
 {"host":"f.example","prefix":"/order/","routeKind":"non_idempotent","timeoutMs":20000,
  "goalMs":8000,"service":"desk","maxAttempts":1,"public":true},
 {"host":"f.example","prefix":"/ask/","routeKind":"streaming","timeoutMs":20000,"goalMs":8000,
  "service":"desk","maxAttempts":2,"public":true,"resumable":true,"gapTargetMs":8000},
 {"host":"f.example","prefix":"/once/","routeKind":"streaming","timeoutMs":20000,"goalMs":8000,
  "service":"desk","maxAttempts":2,"public":true,"resumable":false,"gapTargetMs":8000},
 {"host":"f.example","prefix":"/prompt/","routeKind":"streaming","timeoutMs":20000,"goalMs":3000,
  "service":"engine","maxAttempts":2,"public":true,"resumable":true,"gapTargetMs":8000},
 {"host":"f.example","prefix":"/patient/","routeKind":"streaming","timeoutMs":20000,
  "goalMs":20000,"service":"desk","maxAttempts":2,"public":true,"resumable":true,
  "gapTargetMs":8000},
 {"host":"f.example","prefix":"/keyed/","routeKind":"idempotent","timeoutMs":20000,"goalMs":8000,
  "service":"desk","maxAttempts":2,"public":false}],
 "services":[{"name":"desk","maxConnections":100},{"name":"engine","maxConnections":100,
  "runtime":{"slots":16,"kvCapacity":315000,"stride":51,"step_ms":0.85,"read_per_s":177000.0,
  "pairs_per_m":0.184,"chunk":2048}}],"limits":{"maxBodyBytes":2000},
 "tenants":[{"name":"team-a","apiKeys":["k1"]}]})";

std::string whole(int status, std::string_view body, std::string_view extra = "")
{
    return "HTTP/1.1 " + std::to_string(status)
        + " X\r\nX-Arbutuspier-Attempt-Id: %ID\r\nX-Arbutuspier-Response-Signature: s1\r\n"
        + std::string(extra) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + std::string(body);
}

std::string notExecuted()
{
    return "HTTP/1.1 503 X\r\nX-Arbutuspier-Attempt-Id: %ID\r\nX-Arbutuspier-Not-Executed: 1\r\n"
           "Content-Length: 0\r\n\r\n";
}

std::string chunk(const std::string &text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

std::string streamHead()
{
    return "HTTP/1.1 200 OK\r\nX-Arbutuspier-Attempt-Id: %ID\r\n"
           "X-Arbutuspier-Response-Signature: s1\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string stream(int from, int to)
{
    std::string text = streamHead();
    for (int id = from; id <= to; ++id)
        text += chunk(event(id));
    return text + "0\r\n\r\n";
}

int statusOf(const std::string &answer)
{
    return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(ACall)
{
    GatewayFixture world;

    void setup() override
    {
        world.configure(kRoutes);
    }

    std::string look()
    {
        return world.call(GatewayFixture::request("GET", "/look/5"));
    }
    std::string order()
    {
        return world.call(GatewayFixture::request("POST", "/order/5", "", "stone=3"));
    }
    std::string ask()
    {
        return world.call(GatewayFixture::request("POST", "/ask/5", "", "prompt"));
    }
};

TEST(ACall, isPassedOnByteForByteAndAnsweredUnchanged)
{
    auto &replica = world.addReplica("a", "desk", {{whole(200, "done")}});
    const std::string answer =
        world.call(GatewayFixture::request("POST", "/order/5?x=%20y", "X-Own: v\r\n", "stone=3"));
    LONGS_EQUAL(200, statusOf(answer));
    CHECK(contains(answer, "X-Arbutuspier-Response-Signature: s1"));
    CHECK(contains(answer, "\r\n\r\ndone"));
    STRCMP_EQUAL("/order/5?x=%20y", std::string(replica.requests()[0].target()).c_str());
    STRCMP_EQUAL("stone=3", replica.requests()[0].body().c_str());
    STRCMP_EQUAL("v", std::string(replica.requests()[0]["X-Own"]).c_str());
}

TEST(ACall, getsTheTeamOfItsKeyAndKeepsTheKeyFromTheReplica)
{
    auto &replica = world.addReplica("a", "desk", {{whole(200, "x")}});
    const std::string answer =
        world.call(GatewayFixture::request("GET", "/keyed/1",
                                           "Authorization: Bearer k1\r\n"
                                           "X-Arbutuspier-Tenant: forged\r\n"));
    LONGS_EQUAL(200, statusOf(answer));
    STRCMP_EQUAL("team-a", std::string(replica.requests()[0]["X-Arbutuspier-Tenant"]).c_str());
    LONGS_EQUAL(0, replica.requests()[0].count("Authorization"));
}

TEST(ACall, isRefusedWithoutAKnownKeyOrRoute)
{
    auto &replica = world.addReplica("a", "desk", {{whole(200, "x")}});
    LONGS_EQUAL(401, statusOf(world.call(GatewayFixture::request("GET", "/keyed/1"))));
    LONGS_EQUAL(404, statusOf(world.call(GatewayFixture::request("GET", "/none/1"))));
    LONGS_EQUAL(0, replica.requests().size());
}

TEST(ACall, isToldToComeBackWhileNoConfigurationIsKnown)
{
    GatewayFixture fresh;
    const std::string answer = fresh.call(GatewayFixture::request("GET", "/look/1"));
    LONGS_EQUAL(503, statusOf(answer));
    CHECK(contains(answer, "Retry-After: "));
}

TEST(ACall, withTooLargeABodyReachesNoReplica)
{
    auto &replica = world.addReplica("a", "desk", {{whole(200, "x")}});
    const std::string body(3000, 'x');
    LONGS_EQUAL(413, statusOf(world.call(GatewayFixture::request("POST", "/order/1", "", body))));
    LONGS_EQUAL(0, replica.requests().size());
}

TEST(ACall, thatSmugglesAnotherIsRefused)
{
    auto &replica = world.addReplica("a", "desk", {{whole(200, "x")}});
    const std::string answer = world.call(GatewayFixture::request(
        "POST", "/order/1", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"));
    LONGS_EQUAL(400, statusOf(answer));
    LONGS_EQUAL(0, replica.requests().size());
}

TEST(ACall, goesToAnotherReplicaIfOneDidNotRunIt)
{
    auto &first = world.addReplica("a", "desk", {{notExecuted()}});
    auto &second = world.addReplica("b", "desk", {{whole(200, "x")}});
    LONGS_EQUAL(200, statusOf(order()));
    LONGS_EQUAL(1, second.requests().size());
    CHECK(first.requests().size() <= 1);
}

TEST(ACall, isRefusedAsNotRunIfNoReplicaRanIt)
{
    world.addReplica("a", "desk", {{notExecuted()}});
    const std::string answer = order();
    LONGS_EQUAL(503, statusOf(answer));
    CHECK(contains(answer, "Retry-After: "));
}

TEST(ACall, isRefusedAtOnceIfThereIsNoReplica)
{
    LONGS_EQUAL(503, statusOf(order()));
}

TEST_GROUP_BASE(ACallThatMayRunOnce, TEST_GROUP_CppUTestGroupACall){};

TEST(ACallThatMayRunOnce, isNeverSentAgainAfterItsConnectionBroke)
{
    auto &first = world.addReplica("a", "desk", {{"", true}});
    auto &second = world.addReplica("b", "desk", {{"", true}});
    LONGS_EQUAL(502, statusOf(order()));
    LONGS_EQUAL(1, first.requests().size() + second.requests().size());
}

TEST(ACallThatMayRunOnce, isNeverSentAgainAfterHalfAnAnswer)
{
    const std::string half = whole(200, "stone").substr(0, whole(200, "stone").size() - 2);
    auto &first = world.addReplica("a", "desk", {{half, true}});
    auto &second = world.addReplica("b", "desk", {{half, true}});
    LONGS_EQUAL(502, statusOf(order()));
    LONGS_EQUAL(1, first.requests().size() + second.requests().size());
}

TEST(ACallThatMayRunOnce, isNotCalledNotRunByAnUnsignedAnswer)
{
    auto &replica =
        world.addReplica("a", "desk", {{"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"}});
    LONGS_EQUAL(502, statusOf(order()));
    LONGS_EQUAL(1, replica.requests().size());
}

TEST(ACallThatMayRunOnce, isNeverAnsweredByAnotherRequestsAnswer)
{
    world.addReplica("a", "desk",
                     {{"HTTP/1.1 200 OK\r\nX-Arbutuspier-Attempt-Id: other\r\n"
                       "X-Arbutuspier-Response-Signature: s\r\nContent-Length: 1\r\n\r\nx"}});
    LONGS_EQUAL(502, statusOf(order()));
}

TEST(ACallThatMayRunOnce, getsTheReplicasOwnFailureUnchanged)
{
    auto &replica = world.addReplica("a", "desk", {{whole(500, "broken")}});
    const std::string answer = order();
    LONGS_EQUAL(500, statusOf(answer));
    CHECK(contains(answer, "broken"));
    LONGS_EQUAL(1, replica.requests().size());
}

TEST_GROUP_BASE(ACallThatMayBeRepeated, TEST_GROUP_CppUTestGroupACall){};

TEST(ACallThatMayBeRepeated, isSentOnceMoreAfterABreak)
{
    const auto script = std::make_shared<Script>(std::vector<Step>{{"", true}, {whole(200, "x")}});
    auto &first = world.addReplica("a", "desk", script);
    auto &second = world.addReplica("b", "desk", script);
    LONGS_EQUAL(200, statusOf(look()));
    LONGS_EQUAL(1, first.requests().size());
    LONGS_EQUAL(1, second.requests().size());
}

TEST(ACallThatMayBeRepeated, isSentNoMoreOftenThanTheRouteAllows)
{
    auto &first = world.addReplica("a", "desk", {{"", true}});
    auto &second = world.addReplica("b", "desk", {{"", true}});
    auto &third = world.addReplica("c", "desk", {{"", true}});
    LONGS_EQUAL(502, statusOf(look()));
    LONGS_EQUAL(2, first.requests().size() + second.requests().size() + third.requests().size());
}

TEST(ACallThatMayBeRepeated, isNotRepeatedBeyondTheFleetsAllowance)
{
    world.settings.retrySlack = 0;
    auto &first = world.addReplica("a", "desk", {{"", true}});
    auto &second = world.addReplica("b", "desk", {{"", true}});
    LONGS_EQUAL(502, statusOf(look()));
    LONGS_EQUAL(1, first.requests().size() + second.requests().size());
}

TEST(ACallThatMayBeRepeated, usesAKeptConnectionAgain)
{
    auto &replica = world.addReplica("a", "desk", {{whole(200, "x", "Keep-Alive: timeout=9\r\n")}});
    look();
    look();
    LONGS_EQUAL(2, replica.requests().size());
    LONGS_EQUAL(1, replica.connections());
}

TEST(ACallThatMayBeRepeated, neverReusesAConnectionWithBytesThatNobodyAskedFor)
{
    auto &replica = world.addReplica("a", "desk", {{whole(200, "x") + whole(200, "extra")}});
    look();
    LONGS_EQUAL(200, statusOf(look()));
    LONGS_EQUAL(2, replica.connections());
}

TEST(ACall, withAPromptThatTakesLongerToReadThanItsCallerWaitsIsRefusedAtOnce)
{
    auto &replica = world.addReplica("a", "engine", {{stream(0, 1)}});
    const std::string soon =
        "POST /prompt/1 HTTP/1.1\r\nHost: f.example\r\nX-Arbutuspier-Attempt-Id: id1\r\n"
        "X-Arbutuspier-Deadline-Ms: 300\r\nX-Arbutuspier-Token-Usage: 100000,100\r\n"
        "Connection: close\r\n\r\n";
    const std::string answer = world.call(soon);
    LONGS_EQUAL(503, statusOf(answer));
    LONGS_EQUAL(0, replica.requests().size());
}

TEST_GROUP_BASE(AStream, TEST_GROUP_CppUTestGroupACall){};

TEST(AStream, isPassedOnEventByEvent)
{
    world.addReplica("a", "desk", {{stream(0, 3)}});
    const std::string answer = ask();
    LONGS_EQUAL(200, statusOf(answer));
    CHECK(contains(answer, event(0)) && contains(answer, event(3)));
    CHECK(contains(answer, "0\r\n\r\n"));
}

TEST(AStream, goesOnAtAnotherReplicaAfterABreakInTheMiddleOfAnEvent)
{
    const std::string broken = streamHead() + chunk(event(0) + event(1) + "id: 2\nda");
    const auto script = std::make_shared<Script>(std::vector<Step>{{broken, true}, {stream(2, 4)}});
    auto &first = world.addReplica("a", "desk", script);
    auto &second = world.addReplica("b", "desk", script);
    const std::string answer = ask();
    LONGS_EQUAL(1, first.requests().size());
    LONGS_EQUAL(1, second.requests().size());
    for (int id = 0; id <= 4; ++id)
        CHECK(contains(answer, event(id)));
    CHECK(!contains(answer, "id: 2\nda\r"));
    CHECK(contains(answer, "\r\n0\r\n\r\n"));
}

TEST(AStream, asksTheNextReplicaToGoOnAfterTheLastEvent)
{
    const std::string broken = streamHead() + chunk(event(0) + event(1));
    auto &first = world.addReplica("a", "desk", {{broken, false, true}});
    const std::string answer = ask();
    LONGS_EQUAL(2, first.requests().size());
    LONGS_EQUAL(0, first.requests()[0].count("Last-Event-Id"));
    STRCMP_EQUAL("1", std::string(first.requests()[1]["Last-Event-Id"]).c_str());
    CHECK(!contains(answer, "\r\n0\r\n\r\n"));
}

TEST(AStream, thatMayNotBeResumedIsBrokenOffAndNeverLooksComplete)
{
    const std::string broken = streamHead() + chunk(event(0));
    auto &first = world.addReplica("a", "desk", {{broken, true}});
    auto &second = world.addReplica("b", "desk", {{broken, true}});
    const std::string answer = world.call(GatewayFixture::request("POST", "/once/5", "", "prompt"));
    LONGS_EQUAL(1, first.requests().size() + second.requests().size());
    CHECK(contains(answer, event(0)));
    CHECK(!contains(answer, "\r\n0\r\n\r\n"));
}

TEST(AStream, goesOnElsewhereOnceASilentReplicaHasVanishedFromTheList)
{
    const auto script = std::make_shared<Script>(std::vector<Step>{{""}, {stream(0, 3)}});
    auto &first = world.addReplica("a", "desk", script);
    auto &second = world.addReplica("b", "desk", script);
    asio::co_spawn(
        world.context,
        [&]() -> Task<void> {
            asio::steady_timer timer(world.context);
            while (first.requests().empty() && second.requests().empty()) {
                timer.expires_after(std::chrono::milliseconds{10});
                co_await timer.async_wait(kAwait);
            }
            const char *silent = first.requests().empty() ? "b" : "a";
            world.state.directory.apply({{silent, std::nullopt}}, world.clock.now());
        },
        asio::detached);
    const std::string answer =
        world.call(GatewayFixture::request("POST", "/patient/5", "", "prompt"));
    LONGS_EQUAL(200, statusOf(answer));
    LONGS_EQUAL(1, first.requests().size());
    LONGS_EQUAL(1, second.requests().size());
    CHECK(contains(answer, event(3)));
}

TEST(AStream, freesItsReplicaWhenTheCallerLeaves)
{
    auto &replica = world.addReplica("a", "desk", {{streamHead() + chunk(event(0))}});
    world.callAndLeave(GatewayFixture::request("POST", "/ask/5", "", "prompt"), replica);
    LONGS_EQUAL(1, replica.closedByCaller());
    LONGS_EQUAL(0, world.state.dispatchQueue.running());
}

TEST(AStream, isSentElsewhereByAVmThatWillStopBeforeItsEnd)
{
    auto &replica = world.addReplica("a", "desk", {{stream(0, 1)}, {whole(200, "x")}});
    world.settings.grace = std::chrono::seconds{40};
    world.state.beginDrain();
    LONGS_EQUAL(200, statusOf(ask()));
    world.settings.grace = Duration::zero();
    world.state.beginDrain();
    const std::string answer = ask();
    LONGS_EQUAL(503, statusOf(answer));
    CHECK(contains(answer, "Retry-After: "));
    LONGS_EQUAL(1, replica.requests().size());
}

TEST(AStream, isRefusedAtOnceWhenItsBodyTookReplicasDown)
{
    auto &replica = world.addReplica("a", "desk", {{stream(0, 1)}});
    ask();
    const Fingerprint body = requestFingerprint("/ask/5", "", "prompt");
    world.state.quarantine.merge({body, {1, 2}, false}, world.clock.now());
    LONGS_EQUAL(503, statusOf(ask()));
    LONGS_EQUAL(1, replica.requests().size());
}
