// Cold replicas, as one VM treats them.
#include "arbutuspier/coldreplicas.h"
#include "gateway/gatewaysettings.h"
#include "gateway/replicanoticecodec.h"
#include "gateway/statedcoldtimes.h"
#include "platform/configdecoder.h"
#include "platform/httpheaders.h"
#include "platform/replicadecoder.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint{seconds{100}};
constexpr double kPerSecond = 14;
constexpr ColdBound kBound{1.5, 5};
/// 14 x 1.5 + 5.
constexpr int kAllowed = 26;

} // namespace

TEST_GROUP(AColdReplica)
{
    const ReplicaIncarnation replica{"i-1", 7};
    ColdReplicas cold{"edge-1", {}};
    std::vector<std::string> vms{"edge-1", "edge-2"};
    ColdFigures figures{seconds{3}, kPerSecond};
    int coldEvents = 0;
    std::optional<std::uint64_t> startsWhenWarm;

    void setup() override
    {
        cold.setBound(kBound);
        cold.figures = [this](const std::string &) { return figures; };
        cold.sharingVms = [this](const ReplicaIncarnation &) { return vms; };
        cold.onCold = [this](const ReplicaIncarnation &, Duration) { ++coldEvents; };
        cold.onWarm = [this](const ReplicaIncarnation &, std::uint64_t starts) {
            startsWhenWarm = starts;
        };
    }

    void seeEntry(Duration coldLeft, TimePoint now)
    {
        cold.onEntry(replica, coldLeft, ColdReplicas::Sighting::Known, now);
    }
    bool mayStart(TimePoint now)
    {
        return cold.nextStart(replica, now) <= now;
    }
    /// Starts as many requests as possible for a time, and returns how many.
    int startAll(TimePoint from, Duration duration)
    {
        int count = 0;
        for (TimePoint now = from; now < from + duration; now += milliseconds{1}) {
            if (!mayStart(now))
                continue;
            cold.onStart(replica, now);
            ++count;
        }
        return count;
    }
};

// Guards against a VM that spends at once what it, or its previous incarnation, may have spent
// already.
TEST(AColdReplica, getsNothingAtTheMomentWhenThisVmLearnsOfIt)
{
    seeEntry(seconds{3}, kStart);
    CHECK(cold.isCold(replica, kStart));
    CHECK(!mayStart(kStart));
    CHECK(mayStart(kStart + milliseconds{150}));
}

TEST(AColdReplica, getsTheShareOfThisVm)
{
    seeEntry(seconds{3}, kStart);
    const int count = startAll(kStart, seconds{2});
    CHECK(count >= kPerSecond - 2);
    CHECK(count <= kPerSecond + 1);
}

TEST(AColdReplica, isWarmOnceItsTimeIsOver)
{
    seeEntry(seconds{3}, kStart);
    const int sent = startAll(kStart, milliseconds{2900});
    CHECK(!cold.isCold(replica, kStart + seconds{3}));
    cold.tick(kStart + seconds{3});
    LONGS_EQUAL(sent, *startsWhenWarm);
    LONGS_EQUAL(1, coldEvents);
    LONGS_EQUAL(0, cold.coldCount(kStart + seconds{3}));
}

TEST(AColdReplica, isWarmAtOnceIfItsEntrySaysSo)
{
    seeEntry(seconds{3}, kStart);
    seeEntry(Duration{}, kStart + seconds{1});
    CHECK(!cold.isCold(replica, kStart + seconds{1}));
}

// Guards against a replica that turns cold while it runs, without a restart.
TEST(AColdReplica, mayTurnColdAtAnyMomentAndAgain)
{
    seeEntry(Duration{}, kStart);
    CHECK(mayStart(kStart));
    seeEntry(seconds{3}, kStart + seconds{10});
    CHECK(!mayStart(kStart + seconds{10}));
    cold.tick(kStart + seconds{14});
    seeEntry(seconds{2}, kStart + seconds{15});
    CHECK(cold.isCold(replica, kStart + seconds{16}));
    CHECK(!cold.isCold(replica, kStart + seconds{17}));
    LONGS_EQUAL(2, coldEvents);
}

// Guards against an entry that its replica wrote before it knew that it is cold.
TEST(AColdReplica, isAssumedAfterAStartThatThisVmSaw)
{
    cold.onEntry(replica, Duration{}, ColdReplicas::Sighting::Started, kStart);
    CHECK(cold.isCold(replica, kStart + milliseconds{2900}));
    CHECK(!cold.isCold(replica, kStart + seconds{3}));
    CHECK(!mayStart(kStart));
}

// Guards against replicas of a returned zone that turned cold before it was evacuated.
TEST(AColdReplica, isAssumedAfterItsReturnWhateverItsEntrySays)
{
    cold.onReturned(std::vector{replica}, kStart);
    seeEntry(Duration{}, kStart + seconds{1});
    CHECK(cold.isCold(replica, kStart + seconds{2}));
    CHECK(!cold.isCold(replica, kStart + seconds{3}));
}

// Guards against a VM that takes the share of all, as it knows of no other.
TEST(AColdReplica, getsNothingWhileTheVmsOfTheFleetAreUnknown)
{
    vms.clear();
    seeEntry(seconds{3}, kStart);
    LONGS_EQUAL(0, startAll(kStart, milliseconds{2900}));
    CHECK(cold.nextStart(replica, kStart) == kStart + seconds{3});
}

TEST(AColdReplica, isLikeAnyOtherWithoutABoundOrARate)
{
    cold.setBound(std::nullopt);
    seeEntry(seconds{3}, kStart);
    CHECK(!cold.isCold(replica, kStart));
    CHECK(!cold.isNews(replica, seconds{3}, kStart));
    cold.setBound(kBound);
    figures.startsPerSecond = 0;
    seeEntry(seconds{3}, kStart);
    CHECK(mayStart(kStart));
}

// Guards against a replica that repeats with each heartbeat what its entry said last before it was
// warm.
TEST(AColdReplica, isWarmAlthoughItsEntryKeepsItsLastTime)
{
    StatedColdTimes times;
    CHECK(times.coldLeft(replica, seconds{3}, kStart) == seconds{3});
    CHECK(times.coldLeft(replica, milliseconds{533}, kStart + seconds{3}) == milliseconds{533});
    for (int second = 4; second < 20; ++second)
        CHECK(times.coldLeft(replica, milliseconds{533}, kStart + seconds{second}) == Duration{});
    // It turns cold again.
    CHECK(times.coldLeft(replica, seconds{3}, kStart + seconds{20}) == seconds{3});
    CHECK(times.coldLeft(replica, seconds{3}, kStart + seconds{21}) == seconds{2});
    CHECK(times.coldLeft(replica, Duration{}, kStart + seconds{22}) == Duration{});
    CHECK(times.coldLeft(replica, seconds{3}, kStart + seconds{23}) == seconds{3});
}

TEST(AColdReplica, isNewsOnceAndNotWithEachHeartbeat)
{
    CHECK(!cold.isNews(replica, Duration{}, kStart));
    CHECK(cold.isNews(replica, seconds{3}, kStart));
    seeEntry(seconds{3}, kStart);
    CHECK(!cold.isNews(replica, milliseconds{1950}, kStart + seconds{1}));
    CHECK(cold.isNews(replica, seconds{3}, kStart + seconds{1}));
    CHECK(cold.isNews(replica, Duration{}, kStart + seconds{1}));
}

// Guards against a replica that was cold for a second before anyone knew: it must not have got more
// than it bears from two sides of a network partition.
TEST(AColdReplica, getsHalfOfWhatItBearsBeforeItIsKnownToBeCold)
{
    const int unknown = startAll(kStart, milliseconds{999});
    LONGS_EQUAL(kAllowed / 2, unknown);
    CHECK(cold.nextStart(replica, kStart + milliseconds{999}) == kStart + seconds{1});
}

TEST(AColdReplica, countsTheRequestsOfPeersBeforeItIsKnownToBeCold)
{
    for (int i = 0; i < kAllowed / 2; ++i)
        cold.onPeerStart(replica.id, kStart);
    CHECK(!mayStart(kStart));
    CHECK(mayStart(kStart + seconds{1}));
    cold.tick(kStart + seconds{2});
    CHECK(mayStart(kStart + seconds{2}));
}

// Guards against requests of before and after the news that are too many together.
TEST(AColdReplica, bearsWhatItGotBeforeAndAfterItWasKnownToBeCold)
{
    vms = {"edge-1"};
    for (int offsetMs = 0; offsetMs < 1000; offsetMs += 50) {
        ColdReplicas fresh("edge-1", {});
        fresh.setBound(kBound);
        fresh.figures = cold.figures;
        fresh.sharingVms = cold.sharingVms;
        int count = 0;
        for (int ms = 0; ms < 1000; ++ms) {
            const TimePoint now = kStart + milliseconds{ms};
            if (ms == offsetMs)
                fresh.onEntry(replica, seconds{3}, ColdReplicas::Sighting::Known, now);
            if (fresh.nextStart(replica, now) > now)
                continue;
            fresh.onStart(replica, now);
            ++count;
        }
        CHECK(count <= kAllowed);
    }
}

TEST(AColdReplica, isNamedByItsEntryInMilliseconds)
{
    const std::string row = R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":2,)"
                            R"("state":"ready","born":7,"coldLeftMs":)";
    CHECK(platform::decodeReplica("i-1", row + "1500}")->coldLeft == milliseconds{1500});
    // What can't be read says nothing.
    CHECK(platform::decodeReplica("i-1", row + "-1}")->coldLeft == Duration{});
    CHECK(platform::decodeReplica("i-1", row + "\"1\"}")->coldLeft == Duration{});
}

TEST(AColdReplica, isNamedInAResponse)
{
    platform::Fields fields;
    CHECK(!platform::readResponseHead(200, fields).coldLeft);
    fields.set("X-Arbutuspier-Cold-Ms", "1200");
    CHECK(platform::readResponseHead(200, fields).coldLeft == milliseconds{1200});
    // Another process has the address of the replica.
    CHECK(!platform::readResponseHead(421, fields).coldLeft);
    fields.set("X-Arbutuspier-Cold-Ms", "soon");
    CHECK(!platform::readResponseHead(200, fields).coldLeft);
}

TEST(AColdReplica, hasItsFiguresInTheConfiguration)
{
    const auto decoded = platform::decodeConfiguration(
        R"({"version":1,"services":[{"name":"s","coldStartS":3.0,"coldPerS":14.0},{"name":"t"}]})");
    CHECK(decoded.has_value());
    CHECK((*decoded)->service("s")->coldDuration == seconds{3});
    DOUBLES_EQUAL(kPerSecond, (*decoded)->service("s")->coldStartsPerSecond, 0);
    CHECK((*decoded)->service("t")->coldDuration == Duration{});
    DOUBLES_EQUAL(0, (*decoded)->service("t")->coldStartsPerSecond, 0);
}

TEST_GROUP_BASE(ANoticeOfAColdReplica, TEST_GROUP_CppUTestGroupAColdReplica)
{
    ReplicaNotice notice;

    void setup() override
    {
        TEST_GROUP_CppUTestGroupAColdReplica::setup();
        ReplicaEntry entry;
        entry.id = "i-1";
        entry.startedAtMs = 7;
        entry.coldLeft = milliseconds{2500};
        notice.rows = {{"i-1", entry}, {"i-2", std::nullopt}};
    }
};

TEST(ANoticeOfAColdReplica, saysForHowLongItStaysCold)
{
    const auto decoded = decodeReplicaNotice(encodeReplicaNotice(notice));
    CHECK(decoded.has_value());
    LONGS_EQUAL(2, decoded->rows.size());
    CHECK(decoded->rows[0].entry->coldLeft == milliseconds{2500});
}

// Guards against followers that take a replica for cold each time that the news is repeated.
TEST(ANoticeOfAColdReplica, countsTheTimeSinceItWasRead)
{
    ReplicaNews news({});
    news.advance({0, 5}, notice.rows, kStart);
    CHECK(news.notice(kStart + seconds{1}).rows[0].entry->coldLeft == milliseconds{1500});
    CHECK(news.notice(kStart + seconds{4}).rows[0].entry->coldLeft == Duration{});
}
