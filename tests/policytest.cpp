// Unit tests of the cost model, prefix index, router, upstream subset, stream assembler and retry
// budget.
#include "arbutuspier/costmodel.h"
#include "arbutuspier/prefixindex.h"
#include "arbutuspier/retrybudget.h"
#include "arbutuspier/router.h"
#include "arbutuspier/streamassembler.h"
#include "arbutuspier/upstreamsubset.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <set>

using namespace arbutuspier;

namespace {

const TimePoint kNow{std::chrono::seconds{100}};

UpstreamInfo engine(std::uint64_t id, const std::string &zone = "north")
{
    return {UpstreamId{id}, "engine", RequestKind::Prompt, "grain", zone, 400'000, true};
}

RequestSpec prompt(std::uint64_t tokens)
{
    RequestSpec spec;
    spec.target = "grain";
    spec.promptTokens = tokens;
    spec.maxTokens = 100;
    return spec;
}

} // namespace

TEST_GROUP(ACostModel){};

TEST(ACostModel, learnsASlowerEngine)
{
    CostModel model;
    const Duration before = model.prefill(4'000, 4'000);
    for (int i = 0; i < 200; ++i)
        model.learnPrefill(4'000, 4'000, before * 3);
    DOUBLES_EQUAL(3.0, toSeconds(model.prefill(4'000, 4'000)) / toSeconds(before), 0.2);
}

TEST(ACostModel, staysWithinItsBoundsForAnySamples)
{
    const bool isGood = rc::check("any samples", [](const std::vector<std::uint32_t> &samples) {
        CostModel model;
        for (std::uint32_t sample : samples) {
            model.learnPrefill(sample % 1'000'000, sample % 700'000,
                               std::chrono::microseconds{sample});
            model.learnDecode(sample % 1'000, std::chrono::microseconds{sample});
        }
        RC_ASSERT(model.parameters().secondsPerToken >= 4e-5 / 20.1);
        RC_ASSERT(model.parameters().secondsPerToken <= 4e-5 * 20.1);
        RC_ASSERT(model.parameters().secondsPerDecodedToken > 0);
    });
    CHECK(isGood);
}

TEST_GROUP(APrefixIndex)
{
    PrefixIndex index{4};
};

TEST(APrefixIndex, countsTheLeadingBlocksOnly)
{
    const std::vector<std::uint64_t> known = {1, 2};
    index.addExpected(known);
    const std::vector<std::uint64_t> promptBlocks = {1, 3, 2};
    LONGS_EQUAL(kPrefixBlockTokens, index.cachedTokens(promptBlocks));
}

TEST(APrefixIndex, evictsTheOldestBlocksBeyondItsBound)
{
    const std::vector<std::uint64_t> blocks = {1, 2, 3, 4, 5};
    index.addExpected(blocks);
    LONGS_EQUAL(4, index.size());
    LONGS_EQUAL(0, index.cachedTokens(std::span(blocks).first(1)));
}

TEST(APrefixIndex, lowersItsHitRatioAfterAGapOrAMiss)
{
    const std::vector<std::uint64_t> blocks = {1};
    index.apply(1, blocks, {});
    const std::uint64_t before = index.cachedTokens(blocks);
    index.apply(5, {}, {});
    CHECK(index.cachedTokens(blocks) < before);
    for (int i = 0; i < 50; ++i)
        index.learn(1'024, 0);
    LONGS_EQUAL(0, index.cachedTokens(blocks));
}

TEST_GROUP(ARouter)
{
    const std::vector<UpstreamInfo> engines = {engine(1), engine(2), engine(3, "south"),
                                               engine(4, "south"), engine(5, "south")};
    Router router{"north", engines, RouterOptions{}};
    Random random{1};

    UpstreamId choose(std::uint64_t tokens = 1'000)
    {
        const auto route = router.choose(prompt(tokens), LengthClass::Short, {}, kNow, random);
        return route ? route->upstream : UpstreamId{};
    }
    void report(std::uint64_t id, std::uint64_t queued, std::uint64_t free = 400'000,
                std::uint64_t incarnation = 1)
    {
        LoadReport load;
        load.upstream = UpstreamId{id};
        load.incarnation = Incarnation{incarnation};
        load.queuedTokens[0] = queued;
        load.freeTokens = free;
        router.onReport(load, kNow);
    }
};

TEST(ARouter, avoidsAnEngineWithABacklog)
{
    report(1, 100'000);
    CHECK(choose() != UpstreamId{1});
}

TEST(ARouter, choosesNoUpstreamWhenAllHaveAFullBacklog)
{
    for (std::uint64_t id = 1; id <= 5; ++id)
        report(id, 1'000'000);
    CHECK_FALSE(choose().isValid());
}

TEST(ARouter, doesNotChooseADrainingUpstream)
{
    for (std::uint64_t id = 1; id <= 4; ++id)
        router.markDraining(UpstreamId{id});
    CHECK(choose() == UpstreamId{5});
}

TEST(ARouter, keepsAnUpstreamDrainingUntilANewIncarnation)
{
    report(1, 0);
    router.markDraining(UpstreamId{1});
    report(1, 0);
    CHECK(router.isDraining(UpstreamId{1}));
    report(1, 0, 400'000, 2);
    CHECK_FALSE(router.isDraining(UpstreamId{1}));
}

TEST(ARouter, ejectsNoMoreThanAThirdOfTheUpstreams)
{
    for (std::uint64_t id = 1; id <= 5; ++id) {
        for (int i = 0; i < 3; ++i)
            router.onFailure(UpstreamId{id}, kNow);
    }
    LONGS_EQUAL(4, router.usableCount(RequestKind::Prompt, "grain", kNow));
}

TEST(ARouter, choosesNoUpstreamWithoutEnoughFreeMemory)
{
    for (std::uint64_t id = 1; id <= 5; ++id)
        report(id, 0, 500);
    CHECK_FALSE(choose().isValid());
}

TEST(ARouter, formsAParallelGroupWithinOneZone)
{
    LONGS_EQUAL(3, router.parallelGroupSize(prompt(1'000'000)));
    const auto parallelGroup = router.chooseParallelGroup(prompt(1'000'000), false, kNow);
    LONGS_EQUAL(3, parallelGroup.size());
    for (UpstreamId member : parallelGroup)
        STRCMP_EQUAL("south", router.info(member)->zone.c_str());
    LONGS_EQUAL(0, router.parallelGroupSize(prompt(5'000'000)));
}

TEST(ARouter, choosesTheSameUpstreamForEqualFingerprints)
{
    RequestSpec spec = prompt(1'000);
    spec.fingerprint = Fingerprint{77};
    Router other{"north", engines, RouterOptions{}};
    const auto a = router.choose(spec, LengthClass::Short, {}, kNow, random);
    const auto b = other.choose(spec, LengthClass::Short, {}, kNow, random);
    CHECK(a->upstream == b->upstream);
}

TEST_GROUP(AnUpstreamSubset){};

TEST(AnUpstreamSubset, isBoundedAndPrefersItsOwnZone)
{
    std::vector<UpstreamInfo> all;
    for (std::uint64_t i = 1; i <= 500; ++i)
        all.push_back(engine(i, "zone-" + std::to_string(i % 5)));
    const auto subset = chooseUpstreamSubset(all, VmId{1}, "zone-2", 64);
    LONGS_EQUAL(64, subset.size());
    std::size_t inZone = 0;
    for (const UpstreamInfo &upstream : subset)
        inZone += upstream.zone == "zone-2" ? 1 : 0;
    LONGS_EQUAL(48, inZone);
}

TEST(AnUpstreamSubset, coversEveryUpstreamOverAllVms)
{
    std::vector<UpstreamInfo> all;
    for (std::uint64_t i = 1; i <= 500; ++i)
        all.push_back(engine(i, "zone-" + std::to_string(i % 5)));
    std::set<UpstreamId> seen;
    for (std::uint64_t vm = 1; vm <= 76; ++vm) {
        for (const UpstreamInfo &upstream :
             chooseUpstreamSubset(all, VmId{vm}, "zone-" + std::to_string(vm % 5), 64))
            seen.insert(upstream.id);
    }
    LONGS_EQUAL(500, seen.size());
}

TEST(AnUpstreamSubset, holdsAllUpstreamsOfASmallFleet)
{
    const std::vector<UpstreamInfo> all = {engine(1), engine(2, "south")};
    LONGS_EQUAL(2, chooseUpstreamSubset(all, VmId{1}, "north", 64).size());
}

TEST_GROUP(AStreamAssembler){};

TEST(AStreamAssembler, passesEachUnitOnceAndInOrder)
{
    const bool isGood = rc::check("chunks of several attempts", [] {
        StreamAssembler assembler;
        std::uint64_t next = 0;
        const auto chunks =
            *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
                rc::gen::inRange(1, 4), rc::gen::inRange(0, 12), rc::gen::inRange(1, 5)));
        for (const auto &[number, from, length] : chunks) {
            const AttemptId attempt{static_cast<std::uint64_t>(number)};
            const auto offset = static_cast<std::uint64_t>(from);
            const auto count = static_cast<std::uint64_t>(length);
            if (count == 4)
                assembler.setAttempt(attempt);
            const auto decision = assembler.offer(attempt, offset, count);
            const bool isPassed = decision.action == StreamAssembler::ChunkAction::Pass;
            const bool isWanted =
                attempt == assembler.attempt() && offset <= next && offset + count > next;
            RC_ASSERT(isPassed == isWanted);
            if (!isPassed)
                continue;
            RC_ASSERT(offset + decision.skip == next);
            RC_ASSERT(decision.skip < count);
            next = offset + count;
            RC_ASSERT(assembler.delivered() == next);
        }
    });
    CHECK(isGood);
}

TEST(AStreamAssembler, dropsChunksOfAnEarlierAttempt)
{
    StreamAssembler assembler;
    assembler.setAttempt(AttemptId{1});
    CHECK(assembler.offer(AttemptId{1}, 0, 2).action == StreamAssembler::ChunkAction::Pass);
    assembler.setAttempt(AttemptId{2});
    CHECK(assembler.offer(AttemptId{1}, 2, 1).action == StreamAssembler::ChunkAction::Drop);
    CHECK(assembler.offer(AttemptId{2}, 3, 1).action == StreamAssembler::ChunkAction::Gap);
    CHECK(assembler.offer(AttemptId{2}, 1, 1).action == StreamAssembler::ChunkAction::Drop);
    CHECK(assembler.offer(AttemptId{2}, 2, 1).action == StreamAssembler::ChunkAction::Pass);
}

TEST_GROUP(ARetryBudget){};

TEST(ARetryBudget, limitsRetriesToAFractionOfTheRequests)
{
    RetryBudget budget(0.1, 2);
    int spent = 0;
    for (int i = 0; i < 100; ++i) {
        budget.onRequest();
        spent += budget.trySpend() ? 1 : 0;
    }
    CHECK(spent >= 10 && spent <= 12);
}
