// Responses of replicas that have neither a length nor chunks: they end with their connection, and
// only its orderly end, at the end of an event for a stream, makes them complete.
#include "gatewayfixture.h"
#include "responsetext.h"

#include "gateway/requesthandler.h"

#include <CppUTest/TestHarness.h>

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
  "service":"desk","maxAttempts":2,"public":true,"resumable":false,"gapTargetMs":8000}],
 "services":[{"name":"desk","maxConnections":100}]})";

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLastChunk = "\r\n0\r\n\r\n";

/// Head of a response without a length.
std::string head(int status, std::string_view extra = "")
{
    return "HTTP/1.1 " + std::to_string(status)
        + " X\r\nX-Arbutuspier-Attempt-Id: %ID\r\nX-Arbutuspier-Response-Signature: s1\r\n"
        + std::string(extra) + "\r\n";
}

std::string events(int from, int to)
{
    std::string text;
    for (int id = from; id <= to; ++id)
        text += event(id);
    return text;
}

std::string bodyOf(const std::string &response)
{
    const auto at = response.find(kHeadEnd);
    return at == std::string::npos ? std::string() : response.substr(at + kHeadEnd.size());
}

/// The contents of the chunks of a response, as far as they came.
std::string chunkContents(const std::string &response)
{
    std::string contents;
    std::string rest = bodyOf(response);
    while (!rest.empty()) {
        const std::size_t size = std::stoul(rest, nullptr, 16);
        const std::size_t start = rest.find("\r\n") + 2;
        contents += rest.substr(start, size);
        rest.erase(0, start + size + 2);
    }
    return contents;
}

} // namespace

TEST_GROUP(AnAnswerWithoutLength)
{
    GatewayFixture fixture;

    void setup() override
    {
        fixture.configure(kRoutes);
    }

    std::string callIdempotent()
    {
        return fixture.call(GatewayFixture::request("GET", "/look/5"));
    }
    std::string callAtMostOnce()
    {
        return fixture.call(GatewayFixture::request("POST", "/order/5", "", "stone=3"));
    }
    std::string callStream()
    {
        return fixture.call(GatewayFixture::request("POST", "/ask/5", "", "prompt"));
    }
    std::string callStreamOnce()
    {
        return fixture.call(GatewayFixture::request("POST", "/once/5", "", "prompt"));
    }
    /// The caller gets the body with a length.
    void checkIsWhole(int status, const std::string &body, const std::string &response)
    {
        LONGS_EQUAL(status, statusOf(response));
        const std::string length = "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        CHECK(contains(response, length));
        CHECK(body == bodyOf(response));
    }
    /// Runs a stream that ends before its end, on a route that doesn't allow another attempt.
    void checkIsBrokenOff(const ReplicaStep &step, const std::string &completeEvents)
    {
        auto &replica = fixture.addReplica("a", "desk", {step});
        const std::string response = callStreamOnce();
        LONGS_EQUAL(1, replica.requests().size());
        STRCMP_EQUAL(completeEvents.c_str(), chunkContents(response).c_str());
        CHECK(!contains(response, kLastChunk));
    }
    /// Runs a stream whose first attempt ends before its end.
    void checkIsResumedAfterEvent(const std::string &lastId, const ReplicaStep &step)
    {
        const auto script = std::make_shared<Script>(
            std::vector<ReplicaStep>{step, closing(head(200) + events(0, 3))});
        auto &first = fixture.addReplica("a", "desk", script);
        auto &second = fixture.addReplica("b", "desk", script);
        const std::string response = callStream();
        LONGS_EQUAL(1, first.requests().size());
        LONGS_EQUAL(1, second.requests().size());
        const bool isFirstA = first.requests()[0].count("Last-Event-Id") == 0;
        const auto &resumed = isFirstA ? second.requests()[0] : first.requests()[0];
        STRCMP_EQUAL(lastId.c_str(), std::string(resumed["Last-Event-Id"]).c_str());
        STRCMP_EQUAL(events(0, 3).c_str(), chunkContents(response).c_str());
        CHECK(contains(response, kLastChunk));
    }
};

// Each of these guards against a response that is taken for complete too early, or never.
TEST(AnAnswerWithoutLength, isCompleteAtTheEndOfItsConnection)
{
    auto &replica = fixture.addReplica("a", "desk", {closing(head(200) + "done")});
    checkIsWhole(200, "done", callAtMostOnce());
    LONGS_EQUAL(1, replica.requests().size());
}

TEST(AnAnswerWithoutLength, isCompleteIfItsBodyComesLaterThanItsHead)
{
    fixture.addReplica("a", "desk", {closing(head(200), "done")});
    checkIsWhole(200, "done", callAtMostOnce());
}

TEST(AnAnswerWithoutLength, hasAnEmptyBodyIfItsConnectionEndsAfterItsHead)
{
    fixture.addReplica("a", "desk", {closing(head(200))});
    checkIsWhole(200, "", callAtMostOnce());
}

TEST(AnAnswerWithoutLength, isForwardedWholeIfItIsLongerThanTheBuffers)
{
    std::string body;
    for (int line = 0; line < 40'000; ++line)
        body += "line " + std::to_string(line) + '\n';
    fixture.addReplica("a", "desk", {closing(head(200) + body)});
    checkIsWhole(200, body, callAtMostOnce());
}

TEST(AnAnswerWithoutLength, keepsTheStatusOfAnError)
{
    fixture.addReplica("a", "desk", {closing(head(404) + "no such stone")});
    checkIsWhole(404, "no such stone", callAtMostOnce());
}

TEST(AnAnswerWithoutLength, isNotCompleteIfItsConnectionIsReset)
{
    auto &replica = fixture.addReplica("a", "desk", {resetting(head(200) + "done")});
    const std::string response = callAtMostOnce();
    LONGS_EQUAL(502, statusOf(response));
    CHECK(!contains(response, "done"));
    LONGS_EQUAL(1, replica.requests().size());
}

TEST(AnAnswerWithoutLength, isNotCompleteIfItsConnectionIsResetLater)
{
    fixture.addReplica("a", "desk", {resetting(head(200), "done")});
    LONGS_EQUAL(502, statusOf(callAtMostOnce()));
}

TEST(AnAnswerWithoutLength, isNotCompleteWithinItsHead)
{
    fixture.addReplica("a", "desk", {closing("HTTP/1.1 200 OK\r\nX-Arbutuspier-Attempt-Id: %ID")});
    LONGS_EQUAL(502, statusOf(callAtMostOnce()));
}

TEST(AnAnswerWithoutLength, isRetriedWhereAllowedIfItsConnectionIsReset)
{
    const auto script = std::make_shared<Script>(
        std::vector<ReplicaStep>{resetting(head(200) + "do"), closing(head(200) + "done")});
    auto &first = fixture.addReplica("a", "desk", script);
    auto &second = fixture.addReplica("b", "desk", script);
    checkIsWhole(200, "done", callIdempotent());
    LONGS_EQUAL(2, first.requests().size() + second.requests().size());
}

TEST(AnAnswerWithoutLength, doesNotLeaveAConnectionForTheNextRequest)
{
    const std::string fields = "Connection: keep-alive\r\nKeep-Alive: timeout=60\r\n";
    auto &replica = fixture.addReplica("a", "desk", {closing(head(200, fields) + "done")});
    checkIsWhole(200, "done", callIdempotent());
    LONGS_EQUAL(0, fixture.state.pool.idleCount());
    checkIsWhole(200, "done", callIdempotent());
    LONGS_EQUAL(2, replica.connections());
}

TEST_GROUP_BASE(AStreamWithoutChunks, TEST_GROUP_CppUTestGroupAnAnswerWithoutLength){};

TEST(AStreamWithoutChunks, isCompleteIfItsConnectionEndsAfterAnEvent)
{
    auto &replica = fixture.addReplica("a", "desk", {closing(head(200) + events(0, 3))});
    const std::string response = callStream();
    LONGS_EQUAL(200, statusOf(response));
    STRCMP_EQUAL(events(0, 3).c_str(), chunkContents(response).c_str());
    CHECK(contains(response, kLastChunk));
    LONGS_EQUAL(1, replica.requests().size());
}

TEST(AStreamWithoutChunks, isCompleteIfItsEventsComeLaterThanItsHead)
{
    fixture.addReplica("a", "desk", {closing(head(200), events(0, 3))});
    const std::string response = callStreamOnce();
    STRCMP_EQUAL(events(0, 3).c_str(), chunkContents(response).c_str());
    CHECK(contains(response, kLastChunk));
}

// Guards against a stream that is never forwarded because its lines end with CR and LF.
TEST(AStreamWithoutChunks, mayEndItsLinesWithCarriageReturns)
{
    const std::string text = "id: 0\r\ndata: x\r\n\r\nid: 1\r\ndata: y\r\n\r\n";
    fixture.addReplica("a", "desk", {closing(head(200) + text)});
    const std::string response = callStreamOnce();
    LONGS_EQUAL(200, statusOf(response));
    STRCMP_EQUAL(text.c_str(), chunkContents(response).c_str());
    CHECK(contains(response, kLastChunk));
}

// Guards against a stream that looks complete though its connection ended inside an event.
TEST(AStreamWithoutChunks, isBrokenOffIfItsConnectionEndsWithinAnEvent)
{
    checkIsBrokenOff(closing(head(200) + event(0) + "id: 1\nda"), event(0));
}

TEST(AStreamWithoutChunks, isBrokenOffIfItsConnectionEndsBeforeTheEmptyLineOfAnEvent)
{
    checkIsBrokenOff(closing(head(200) + event(0) + "id: 1\ndata: x\n"), event(0));
}

TEST(AStreamWithoutChunks, isBrokenOffIfItsConnectionIsResetAfterAnEvent)
{
    checkIsBrokenOff(resetting(head(200) + event(0), event(1)), events(0, 1));
}

TEST(AStreamWithoutChunks, continuesAfterItsConnectionEndedWithinAnEvent)
{
    checkIsResumedAfterEvent("1", closing(head(200) + events(0, 1) + "id: 2\ndata"));
}

TEST(AStreamWithoutChunks, continuesAfterItsConnectionWasResetAfterAnEvent)
{
    checkIsResumedAfterEvent("1", resetting(head(200) + event(0), event(1)));
}

TEST(AStreamWithoutChunks, isCompleteIfNothingIsLeftAfterItContinued)
{
    const auto script = std::make_shared<Script>(
        std::vector<ReplicaStep>{resetting(head(200) + events(0, 3)), closing(head(200))});
    fixture.addReplica("a", "desk", script);
    fixture.addReplica("b", "desk", script);
    const std::string response = callStream();
    STRCMP_EQUAL(events(0, 3).c_str(), chunkContents(response).c_str());
    CHECK(contains(response, kLastChunk));
}

// Guards against a success without any event from a replica that ended as it was to begin.
TEST(AStreamWithoutChunks, isNotCompleteWithoutAnyEvent)
{
    auto &replica = fixture.addReplica("a", "desk", {closing(head(200))});
    LONGS_EQUAL(502, statusOf(callStreamOnce()));
    LONGS_EQUAL(1, replica.requests().size());
}

TEST(AStreamWithoutChunks, continuesWhereverItsConnectionEndsWithinAnEvent)
{
    const std::string whole = events(0, 2);
    const std::size_t eventSize = event(0).size();
    for (std::size_t cut = 1; cut < whole.size(); ++cut) {
        if (cut % eventSize == 0)
            continue;
        GatewayFixture cutFixture;
        cutFixture.configure(kRoutes);
        const auto script = std::make_shared<Script>(std::vector<ReplicaStep>{
            closing(head(200) + whole.substr(0, cut)), closing(head(200) + whole)});
        cutFixture.addReplica("a", "desk", script);
        cutFixture.addReplica("b", "desk", script);
        const std::string response =
            cutFixture.call(GatewayFixture::request("POST", "/ask/5", "", "prompt"));
        STRCMP_EQUAL(whole.c_str(), chunkContents(response).c_str());
        CHECK(contains(response, kLastChunk));
    }
}
