// Requests of one gateway that places them by learned cost, or doesn't: a plain service with a
// replica that is five times slower, and an engine whose responses are shorter than published.
#include "gatewayfixture.h"
#include "responsetext.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace arbutuspier;
using namespace arbutuspier::gatetest;
using std::chrono::milliseconds;

namespace {

constexpr const char *kRoutes = R"({"version":1,"routes":[
 {"name":"look","host":"f.example","prefix":"/look/","routeKind":"idempotent","timeoutMs":20000,
  "goalMs":300,"service":"desk","maxAttempts":1,"public":true},
 {"name":"ask","host":"f.example","prefix":"/ask/","routeKind":"streaming","timeoutMs":20000,
  "goalMs":8000,"service":"llm","maxAttempts":1,"public":true,"sticky":true,
  "gapTargetMs":8000}],
 "services":[{"name":"desk","maxConnections":100},
  {"name":"llm","maxConnections":100,"runtime":{"slots":6,"kvCapacity":400000,"step_ms":0.01,
   "per_seq_ms":0.001,"read_per_s":177000000.0,"chunk":2048,"stride":10,
   "usual":{"prompt":1000,"answer":100}}}]})";
constexpr int kCalls = 6;
constexpr int kManyStreams = 10;

} // namespace

TEST_GROUP(AGatewayThatPlacesByLearnedCost)
{
    GatewayFixture fixture;

    void setup() override
    {
        fixture.configure(kRoutes);
        fixture.settings.learnedCost = true;
    }

    /// Calls of the service have taken 300 ms at one replica and 60 ms at another.
    void learnSlow(const char *slow, const char *usual)
    {
        const CostFeatures features{"desk", "look", "", 0, 0};
        for (int i = 0; i < 20; ++i) {
            const TimePoint now = fixture.clock.now();
            fixture.state.work.onCompleted(features, {usual, 1}, 60, now);
            if (i % 2 == 0)
                fixture.state.work.onCompleted(features, {slow, 1}, 300, now);
        }
    }

    void callManyTimes()
    {
        for (int i = 0; i < kCalls; ++i)
            CHECK(isAnswered(fixture.call(GatewayFixture::request("GET", "/look/1"))));
    }

    /// Memory of an engine that a prompt of 1,000 tokens without an announced length takes.
    std::uint64_t memoryOfStream()
    {
        fixture.start(GatewayFixture::request("POST", "/ask/1",
                                              "X-Arbutuspier-Token-Usage: 1000,400\r\n", "x"));
        while (fixture.state.dispatchQueue.running() == 0)
            fixture.context.run_one();
        const std::uint64_t tokens = fixture.state.load.of("e").memoryTokens;
        while (fixture.state.dispatchQueue.running() > 0)
            fixture.context.run_one();
        return tokens;
    }
};

TEST(AGatewayThatPlacesByLearnedCost, sparesASlowReplica)
{
    auto &a = fixture.addReplica("a", "desk", {{fullResponse(200, "done")}});
    auto &b = fixture.addReplica("b", "desk", {{fullResponse(200, "done")}});
    learnSlow("a", "b");
    callManyTimes();
    LONGS_EQUAL(0, a.requests().size());
    LONGS_EQUAL(kCalls, b.requests().size());
}

TEST(AGatewayThatPlacesByLearnedCost, sparesWhicheverReplicaIsSlow)
{
    auto &a = fixture.addReplica("a", "desk", {{fullResponse(200, "done")}});
    auto &b = fixture.addReplica("b", "desk", {{fullResponse(200, "done")}});
    learnSlow("b", "a");
    callManyTimes();
    LONGS_EQUAL(kCalls, a.requests().size());
    LONGS_EQUAL(0, b.requests().size());
}

TEST(AGatewayThatPlacesByLearnedCost, learnsFromCompleteSuccessfulResponses)
{
    fixture.addReplica("a", "desk", {{fullResponse(500, "failed")}, {fullResponse(200, "done")}});
    fixture.call(GatewayFixture::request("GET", "/look/1"));
    LONGS_EQUAL(0, fixture.state.work.estimateCount());
    fixture.call(GatewayFixture::request("GET", "/look/1"));
    CHECK(fixture.state.work.estimateCount() > 0);
    CHECK(fixture.state.metrics.prometheusText().find("cost_forecasts") != std::string::npos);
}

TEST(AGatewayThatPlacesByLearnedCost, learnsNothingWithoutTheSetting)
{
    fixture.settings.learnedCost = false;
    fixture.addReplica("a", "desk", {{fullResponse(200, "done")}});
    callManyTimes();
    LONGS_EQUAL(0, fixture.state.work.estimateCount());
}

TEST(AGatewayThatPlacesByLearnedCost, explainsAChoiceWithoutMakingIt)
{
    fixture.addReplica("a", "desk", {{fullResponse(200, "done")}});
    fixture.addReplica("b", "desk", {{fullResponse(200, "done")}});
    learnSlow("a", "b");
    DispatchRequirements requirements;
    requirements.table = fixture.state.routes();
    requirements.service = "desk";
    requirements.prompt.objective = milliseconds{300};
    for (int i = 0; i < 2; ++i) {
        const CallChoice choice = fixture.state.dispatchQueue.explainCall(requirements);
        STRCMP_EQUAL("b", choice.replica->c_str());
        LONGS_EQUAL(2, choice.candidates.size());
        LONGS_EQUAL(0, fixture.state.dispatchQueue.running());
    }
}

TEST(AGatewayThatPlacesByLearnedCost, expectsAsManyOutputTokensAsSimilarResponsesHad)
{
    // Six events of ten tokens each.
    std::string stream = streamHead();
    for (int id = 0; id < 6; ++id)
        stream += chunk(event(id));
    fixture.addReplica("e", "llm", {{stream + "0\r\n\r\n"}});
    LONGS_EQUAL(1100, memoryOfStream());
    for (int i = 0; i < kManyStreams; ++i)
        memoryOfStream();
    const std::uint64_t learned = memoryOfStream();
    CHECK(learned >= 1050);
    CHECK(learned < 1080);
    fixture.settings.learnedCost = false;
    LONGS_EQUAL(1100, memoryOfStream());
}
