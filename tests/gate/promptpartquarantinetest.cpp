// Which part of the prompts is to blame for crashes, by evidence that arrives in any order.
#include "arbutuspier/promptpartquarantine.h"
#include "gateway/partnoticescodec.h"
#include "gateway/peerdatagramcodec.h"
#include "gateway/suspectrowcodec.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>

using namespace arbutuspier;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr PromptPartId kShared{1};
constexpr PromptPartId kCrashing{2};
constexpr PromptPartId kOther{3};

} // namespace

TEST_GROUP(APromptPartQuarantine)
{
    PromptPartQuarantine quarantine{{}};
    TimePoint now{seconds{100}};
    PartNotices sent;

    static void append(PartNotices & to, const PartNotices &from)
    {
        to.evidence.insert(to.evidence.end(), from.evidence.begin(), from.evidence.end());
        to.clearances.insert(to.clearances.end(), from.clearances.begin(), from.clearances.end());
    }
    /// The request was sent now, and the upstream crashes later.
    void crash(std::uint64_t digest, std::uint64_t request, std::vector<PromptPartId> parts)
    {
        const TimePoint sentAt = now;
        now += milliseconds{100};
        crashOf(digest, request, parts, sentAt);
    }
    void crashOf(std::uint64_t digest, std::uint64_t request,
                 const std::vector<PromptPartId> &parts, TimePoint sentAt)
    {
        append(sent,
               quarantine.onCrash(digest, Fingerprint{request},
                                  quarantine.exposuresOf(parts, sentAt, now), now));
    }
    void succeed(std::vector<PromptPartId> parts)
    {
        append(sent, quarantine.onSuccess(parts, now));
    }
    bool isQuarantined(PromptPartId part)
    {
        return quarantine.quarantinedPart({{}, {part}}).isValid();
    }
    bool tryBegin(RequestIdentity & request)
    {
        return quarantine.tryBegin(request, kCrashing, now);
    }
};

TEST(APromptPartQuarantine, blamesAPartThatCrashesOneUpstreamAfterTheOther)
{
    for (std::uint64_t i = 1; i <= 4; ++i) {
        CHECK(!isQuarantined(kCrashing));
        crash(i, i, {kShared, kCrashing});
    }
    CHECK(isQuarantined(kCrashing));
    CHECK(!isQuarantined(kShared));
}

TEST(APromptPartQuarantine, blamesTheFirstPartIfTheOthersDiffer)
{
    for (std::uint64_t i = 1; i <= 4; ++i)
        crash(i, i, {kCrashing, PromptPartId{100 + i}});
    CHECK(isQuarantined(kCrashing));
}

// Guards against a route that is rejected as all of its replicas crashed at once.
TEST(APromptPartQuarantine, blamesNoPartIfAllUpstreamsCrashAtOnce)
{
    const TimePoint sentAt = now;
    now += seconds{1};
    for (std::uint64_t i = 1; i <= 40; ++i)
        crashOf(i, i, {kShared, PromptPartId{100 + i % 5}}, sentAt);
    CHECK(!isQuarantined(kShared));
    for (std::uint64_t i = 0; i < 5; ++i)
        CHECK(!isQuarantined(PromptPartId{100 + i}));
}

// Guards against a route that is rejected as its replicas crash in a series, while others answer.
TEST(APromptPartQuarantine, blamesNoPartThatSucceedsBetweenCrashes)
{
    for (std::uint64_t i = 1; i <= 40; ++i) {
        crash(i, i, {kShared});
        if (i % 2 == 0)
            succeed({kShared});
        CHECK(!isQuarantined(kShared));
    }
}

TEST(APromptPartQuarantine, needsMoreLevelsForAPartThatHasSucceeded)
{
    succeed({kCrashing});
    for (std::uint64_t i = 1; i <= 5; ++i)
        crash(i, i, {kCrashing});
    CHECK(!isQuarantined(kCrashing));
    crash(6, 6, {kCrashing});
    CHECK(isQuarantined(kCrashing));
}

TEST(APromptPartQuarantine, blamesNoPartOfASingleRequestThatCrashesUpstreams)
{
    for (std::uint64_t i = 1; i <= 10; ++i) {
        const TimePoint sentAt = now;
        now += milliseconds{100};
        crashOf(i, 1, {kShared, kCrashing}, sentAt);
        crashOf(i, 10 + i, {kShared, kOther}, sentAt);
    }
    CHECK(!isQuarantined(kCrashing));
    CHECK(!isQuarantined(kShared));
    CHECK(!isQuarantined(kOther));
}

// Guards against harmless requests that stay rejected as they shared the upstreams that crashed.
TEST(APromptPartQuarantine, explainsTheCrashesOfAQuarantinedPart)
{
    for (std::uint64_t i = 1; i <= 4; ++i)
        crash(i, i, {kShared, kCrashing});
    CHECK(isQuarantined(kCrashing));
    crash(9, 9, {kShared, kOther});
    CHECK(quarantine.isExplained(1));
    CHECK(quarantine.isExplained(3));
    CHECK(!quarantine.isExplained(9));
}

TEST(APromptPartQuarantine, blamesTheMoreSpecificPartBesideCrashesOfOtherCauses)
{
    for (std::uint64_t i = 1; i <= 5; ++i)
        crash(i, i, {kShared, kCrashing});
    crash(8, 8, {kShared, kOther});
    CHECK(isQuarantined(kCrashing));
    CHECK(!isQuarantined(kShared));
}

TEST(APromptPartQuarantine, releasesAPartThatSucceeds)
{
    for (std::uint64_t i = 1; i <= 4; ++i)
        crash(i, i, {kCrashing});
    CHECK(isQuarantined(kCrashing));
    succeed({kCrashing});
    CHECK(!isQuarantined(kCrashing));
    LONGS_EQUAL(2, quarantine.takeChanges().size());
}

// Guards against a part that was quarantined wrongly and is rejected for good, as nothing with it
// can succeed any more.
TEST(APromptPartQuarantine, triesAPartAgainByTheVmThatReportedItsLastCrash)
{
    for (std::uint64_t i = 1; i <= 4; ++i)
        crash(i, i, {kCrashing});
    PromptPartQuarantine other{{}};
    other.merge(quarantine.notices(100), now);
    RequestIdentity request{Fingerprint{7}, {kCrashing}};
    now += seconds{44};
    CHECK(!tryBegin(request));
    now += seconds{1};
    CHECK(!other.tryBegin(request, kCrashing, now));
    CHECK(tryBegin(request));
    CHECK(!quarantine.quarantinedPart(request).isValid());
    CHECK(isQuarantined(kCrashing));
    RequestIdentity next{Fingerprint{8}, {kCrashing}};
    CHECK(!tryBegin(next));
    crash(5, 7, {kCrashing});
    CHECK(quarantine.quarantinedPart(request).isValid());
    now += seconds{89};
    CHECK(!tryBegin(next));
    now += seconds{1};
    CHECK(tryBegin(next));
    succeed({kCrashing});
    CHECK(!isQuarantined(kCrashing));
}

// Guards against upstreams that crash together, one shortly after the other, so that retries are in
// flight on each.
TEST(APromptPartQuarantine, countsCrashesThatFollowEachOtherAtOnceAsOneLevel)
{
    for (std::uint64_t i = 1; i <= 9; ++i) {
        const TimePoint sentAt = now;
        now += milliseconds{10};
        crashOf(i, i, {kShared}, sentAt);
    }
    CHECK(!isQuarantined(kShared));
}

TEST(APromptPartQuarantine, forgetsTheCrashOfAnUpstreamThatIsRunning)
{
    for (std::uint64_t i = 1; i <= 4; ++i)
        crash(i, i, {kCrashing});
    append(sent, quarantine.retract(2, now));
    CHECK(!isQuarantined(kCrashing));
    LONGS_EQUAL(1,
                std::count_if(sent.evidence.begin(), sent.evidence.end(),
                              [](const PartEvidence &item) { return item.isRetraction(); }));
}

TEST(APromptPartQuarantine, forgetsAllAfterTheLifetimeOfARecord)
{
    for (std::uint64_t i = 1; i <= 4; ++i)
        crash(i, i, {kCrashing});
    quarantine.tick(now + std::chrono::hours{2});
    CHECK(!isQuarantined(kCrashing));
    CHECK(quarantine.notices(100).empty());
}

TEST(APromptPartQuarantine, remembersABoundedNumberOfCrashesAndRequests)
{
    for (std::uint64_t i = 1; i <= 2000; ++i)
        crashOf(i % 700, i, {PromptPartId{i}}, now);
    for (std::uint64_t i = 1; i <= 100; ++i)
        crashOf(5000, i, {kOther}, now);
    const PartNotices notices = quarantine.notices(100'000);
    CHECK(notices.evidence.size() <= 512 * 64);
    LONGS_EQUAL(64,
                std::count_if(notices.evidence.begin(), notices.evidence.end(),
                              [](const PartEvidence &item) { return item.crash == 5000; }));
    LONGS_EQUAL(10, quarantine.notices(10).evidence.size());
}

// Guards against VMs that disagree on requests with one fingerprint and different prompts.
TEST(APromptPartQuarantine, blamesTheSamePartWhateverTheOrderOfARequestsParts)
{
    const auto exposures = [](std::uint32_t level, std::vector<PromptPartId> parts) {
        std::vector<PartExposure> result;
        for (PromptPartId part : parts)
            result.push_back({part, level, false});
        return result;
    };
    std::vector<PartEvidence> items;
    for (std::uint32_t level = 1; level <= 4; ++level) {
        items.push_back({level, Fingerprint{level}, exposures(level, {kCrashing, kOther})});
        items.push_back({level, Fingerprint{level}, exposures(level, {kOther, kCrashing})});
    }
    PromptPartQuarantine forwards{{}};
    for (const PartEvidence &item : items)
        forwards.merge({{item}, {}}, now);
    std::reverse(items.begin(), items.end());
    PromptPartQuarantine backwards{{}};
    for (const PartEvidence &item : items)
        backwards.merge({{item}, {}}, now);
    for (PromptPartId part : {kCrashing, kOther})
        CHECK_EQUAL(forwards.quarantinedPart({{}, {part}}).isValid(),
                    backwards.quarantinedPart({{}, {part}}).isValid());
    CHECK(forwards.quarantinedPart({{}, {kCrashing, kOther}}).isValid());
}

// Guards against VMs that disagree for good, as notices reach them in different orders.
TEST(APromptPartQuarantine, agreesWhateverTheOrderOfTheNotices)
{
    constexpr unsigned kSeeds = 200;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        std::mt19937_64 random(seed);
        quarantine = PromptPartQuarantine{{}};
        sent = {};
        for (std::uint64_t i = 1; i <= 30; ++i) {
            std::vector<PromptPartId> parts{kShared, PromptPartId{2 + random() % 4}};
            if (random() % 4 == 0) {
                succeed(parts);
            } else {
                const std::uint64_t digest = random() % 20;
                const std::uint64_t request = random() % 12;
                crash(digest, request, parts);
            }
            if (random() % 10 == 0)
                append(sent, quarantine.retract(random() % 20, now));
        }
        // Without the successes that only this VM remembers.
        std::vector<std::vector<bool>> verdicts;
        for (int order = 0; order < 4; ++order) {
            std::vector<PartNotices> items;
            for (const PartEvidence &item : sent.evidence)
                items.push_back({{item}, {}});
            for (const PartClearance &item : sent.clearances)
                items.push_back({{}, {item}});
            items.insert(items.end(), items.begin(), items.begin() + 5);
            std::shuffle(items.begin(), items.end(), random);
            PromptPartQuarantine other{{}};
            for (const PartNotices &item : items)
                other.merge(item, now += milliseconds{1});
            verdicts.emplace_back();
            for (std::uint64_t part = 1; part <= 5; ++part) {
                const PromptPartId id{part};
                verdicts.back().push_back(other.quarantinedPart({{}, {id}}).isValid());
            }
            CHECK(verdicts.back() == verdicts.front());
        }
    }
}

TEST_GROUP_BASE(APartRow, TEST_GROUP_CppUTestGroupAPromptPartQuarantine){};

TEST(APartRow, decodesToWhatWasEncoded)
{
    crash(1, 1, {kShared, kCrashing});
    succeed({kShared});
    append(sent, quarantine.retract(1, now));
    const PartRow row{seconds{1'796'000'000}, sent};
    const auto decoded = decodePartRow(encodePartRow(row));
    CHECK(decoded.has_value());
    CHECK(decoded->writtenAt == row.writtenAt);
    CHECK(decoded->notices == sent);
}

TEST(APartRow, isRejectedIfItIsDamaged)
{
    crash(1, 1, {kShared, kCrashing});
    const std::string bytes = encodePartRow({{}, sent});
    CHECK(!decodePartRow(bytes.substr(0, bytes.size() - 1)));
    CHECK(!decodePartRow("row"));
    CHECK(!decodePartRow(""));
}

// Guards against an earlier build that takes these notices for something else.
TEST(APartRow, isNoDatagramAndNoRowOfAnotherKind)
{
    crash(1, 1, {kShared, kCrashing});
    const std::string bytes = encodePartRow({seconds{5}, sent});
    CHECK(!decodePeerDatagram(bytes));
    CHECK(!decodeSuspectRow(bytes));
    CHECK(isPartRowKey(partRowKey("edge-1")));
    CHECK(!isPartRowKey(suspectRowKey(Fingerprint{77}, "edge-1")));
}
