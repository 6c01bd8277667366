// A crash and a network partition can't be told apart from a single connection; the detector
// distinguishes them by how many replicas become unreachable at once.
#include "arbutuspier/crashdetector.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kNow = TimePoint{std::chrono::seconds{100}};

} // namespace

TEST_GROUP(ADeathJudge)
{
    CrashDetector judge{CrashDetectorOptions{}};
};

TEST(ADeathJudge, believesInACrashOfOneReplica)
{
    judge.onUnreachable({"a", 1}, kNow);
    CHECK(judge.mayHaveCrashed({"a", 1}, kNow + milliseconds{30}));
}

TEST(ADeathJudge, believesInTheSecondReplicaOfARequestThatKills)
{
    judge.onUnreachable({"a", 1}, kNow);
    judge.onUnreachable({"b", 1}, kNow + milliseconds{5});
    CHECK(judge.mayHaveCrashed({"b", 1}, kNow + milliseconds{300}));
}

TEST(ADeathJudge, takesManyAtOnceForACut)
{
    for (const char *id : {"a", "b", "c", "d"})
        judge.onUnreachable({id, 1}, kNow);
    CHECK(!judge.mayHaveCrashed({"a", 1}, kNow + milliseconds{300}));
}

TEST(ADeathJudge, forgetsACut)
{
    for (const char *id : {"a", "b", "c", "d"})
        judge.onUnreachable({id, 1}, kNow);
    judge.onUnreachable({"e", 1}, kNow + std::chrono::seconds{2});
    CHECK(judge.mayHaveCrashed({"e", 1}, kNow + std::chrono::seconds{2}));
}

TEST(ADeathJudge, knowsThatALifeThatAnswersDidNotEnd)
{
    judge.recordCrash({"a", 1});
    CHECK(!judge.onResponse({"a", 2}));
    CHECK(judge.onResponse({"a", 1}));
    CHECK(!judge.onResponse({"a", 1}));
}
