// A crash and a network partition can't be told apart from a single connection; the detector
// distinguishes them by how many replicas become unreachable at once.
#include "arbutuspier/crashdetector.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kNow = TimePoint{std::chrono::seconds{100}};

} // namespace

TEST_GROUP(ACrashDetector)
{
    CrashDetector detector{CrashDetectorOptions{}};
};

TEST(ACrashDetector, considersACrashPossibleForOneReplica)
{
    detector.onUnreachable({"a", 1}, kNow);
    CHECK(detector.mayHaveCrashed({"a", 1}, kNow + milliseconds{30}));
}

TEST(ACrashDetector, considersACrashPossibleForASecondReplica)
{
    detector.onUnreachable({"a", 1}, kNow);
    detector.onUnreachable({"b", 1}, kNow + milliseconds{5});
    CHECK(detector.mayHaveCrashed({"b", 1}, kNow + milliseconds{300}));
}

TEST(ACrashDetector, treatsManyUnreachableReplicasAsANetworkPartition)
{
    for (const char *id : {"a", "b", "c", "d"})
        detector.onUnreachable({id, 1}, kNow);
    CHECK(!detector.mayHaveCrashed({"a", 1}, kNow + milliseconds{300}));
}

TEST(ACrashDetector, forgetsANetworkPartitionAfterTheWindow)
{
    for (const char *id : {"a", "b", "c", "d"})
        detector.onUnreachable({id, 1}, kNow);
    detector.onUnreachable({"e", 1}, kNow + std::chrono::seconds{2});
    CHECK(detector.mayHaveCrashed({"e", 1}, kNow + std::chrono::seconds{2}));
}

TEST(ACrashDetector, takesBackTheCrashOfAnIncarnationThatWritesHeartbeats)
{
    detector.recordCrash({"a", 1}, CrashEvidence::Unreachable, kNow);
    CHECK(!detector.onHeartbeat({"a", 2}, kNow + std::chrono::seconds{10}));
    CHECK(detector.onHeartbeat({"a", 1}, kNow + std::chrono::seconds{10}));
    CHECK(!detector.onHeartbeat({"a", 1}, kNow + std::chrono::seconds{11}));
}

TEST(ACrashDetector, ignoresAHeartbeatThatMayHaveBeenWrittenBeforeTheCrash)
{
    detector.recordCrash({"a", 1}, CrashEvidence::Unreachable, kNow);
    CHECK(!detector.onHeartbeat({"a", 1}, kNow + std::chrono::seconds{3}));
}

// Guards against the crash of a replica that is taken back for a heartbeat that it wrote while it
// ran, and that the store carried out seconds later.
TEST(ACrashDetector, ignoresAHeartbeatThatTheStoreMayHaveCarriedOutLate)
{
    detector.recordCrash({"a", 1}, CrashEvidence::Unreachable, kNow);
    CHECK(!detector.onHeartbeat({"a", 1}, kNow + std::chrono::seconds{6}));
}

TEST(ACrashDetector, doesNotTakeACrashBackBecauseItsAddressResponds)
{
    detector.recordCrash({"a", 1}, CrashEvidence::Unreachable, kNow);
    detector.onResponse({"a", 1});
    CHECK(detector.onHeartbeat({"a", 1}, kNow + std::chrono::seconds{10}));
}

TEST(ACrashDetector, forgetsWhatCouldNotBeReachedWhenNothingCould)
{
    const auto seconds = [](int count) { return std::chrono::seconds{count}; };
    detector.recordCrash({"before", 1}, CrashEvidence::Unreachable, kNow);
    detector.recordCrash({"removed", 1}, CrashEvidence::Removed, kNow + seconds(3));
    detector.recordCrash({"cut", 1}, CrashEvidence::Unreachable, kNow + seconds(3));
    const auto forgotten = detector.forgetUnreachable(kNow + seconds(2));
    LONGS_EQUAL(1, forgotten.size());
    CHECK(forgotten[0].id == "cut");
    CHECK(!detector.crashedAt({"cut", 1}));
    CHECK(detector.crashedAt({"before", 1}).has_value());
    CHECK(detector.crashedAt({"removed", 1}).has_value());
}

TEST(ACrashDetector, knowsSinceWhenACrashedReplicaWasUnreachable)
{
    detector.recordCrash({"a", 1}, CrashEvidence::Removed, kNow);
    CHECK(detector.crashedAt({"a", 1}) == kNow);
    CHECK(!detector.unreachableSince({"a", 1}));
    const TimePoint later = kNow + std::chrono::seconds{1};
    detector.recordCrash({"a", 1}, CrashEvidence::Unreachable, later);
    CHECK(detector.crashedAt({"a", 1}) == kNow);
    CHECK(detector.unreachableSince({"a", 1}) == later);
}
