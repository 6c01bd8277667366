// Tests when a VM takes the path to a service's replicas for lost, and for back.
#include "arbutuspier/upstreampath.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using std::chrono::milliseconds;

namespace {

ReplicaEntry replica(std::string id, std::string zone)
{
    ReplicaEntry entry;
    entry.id = std::move(id);
    entry.zone = std::move(zone);
    return entry;
}

ReplicaIncarnation incarnation(std::string id)
{
    return {std::move(id), 0};
}

} // namespace

TEST_GROUP(AnUpstreamPath)
{
    UpstreamPath path{UpstreamPathOptions{}};
    TimePoint now{std::chrono::seconds{100}};

    void lose()
    {
        path.onUnreachable(incarnation("a"), now);
        path.onUnreachable(incarnation("b"), now);
        path.onCheckEnded(false, now);
    }
};

TEST(AnUpstreamPath, isNotCheckedForOneUnreachableReplica)
{
    CHECK(!path.onUnreachable(incarnation("a"), now));
    CHECK(!path.onUnreachable(incarnation("a"), now + milliseconds{100}));
}

TEST(AnUpstreamPath, isCheckedWhenTwoReplicasAreUnreachable)
{
    path.onUnreachable(incarnation("a"), now);
    CHECK(path.onUnreachable(incarnation("b"), now));
    CHECK(!path.onUnreachable(incarnation("c"), now + milliseconds{10}));
}

TEST(AnUpstreamPath, isCheckedOnceWhenAnotherPathIsLost)
{
    CHECK(path.onOtherPathLost(now));
    CHECK(!path.onOtherPathLost(now + milliseconds{10}));
    path.onCheckEnded(false, now + milliseconds{20});
    CHECK(!path.onOtherPathLost(now + std::chrono::seconds{1}));
}

TEST(AnUpstreamPath, isNotCheckedIfAReplicaAcceptedAConnectionInBetween)
{
    path.onUnreachable(incarnation("a"), now);
    path.onConnected(incarnation("c"), now);
    CHECK(!path.onUnreachable(incarnation("b"), now));
}

TEST(AnUpstreamPath, isNotCheckedForReplicasThatWereUnreachableLongApart)
{
    path.onUnreachable(incarnation("a"), now);
    CHECK(!path.onUnreachable(incarnation("b"), now + milliseconds{2100}));
}

TEST(AnUpstreamPath, isKeptIfAnyProbeIsAccepted)
{
    CHECK(!path.onCheckEnded(true, now));
    CHECK(!path.isLost());
    CHECK(path.onCheckEnded(false, now));
    CHECK(path.isLost());
}

// Guards against a VM in a zone that is cut off from others, which still reaches its own replicas.
TEST(AnUpstreamPath, isProbedAtTheReplicaOfEachZoneThatRespondedLast)
{
    const std::vector<ReplicaEntry> all = {replica("a1", "a"), replica("a2", "a"),
                                           replica("a3", "a"), replica("b1", "b"),
                                           replica("c1", "c"), replica("c2", "c")};
    std::vector<const ReplicaEntry *> pointers;
    for (const ReplicaEntry &entry : all)
        pointers.push_back(&entry);
    path.onResponse(incarnation("a2"), now);
    path.onResponse(incarnation("c2"), now - milliseconds{50});
    path.onUnreachable(incarnation("b1"), now);
    const auto probed = path.replicasToProbe(pointers);
    LONGS_EQUAL(6, probed.size());
    STRCMP_EQUAL("a2", probed[0].id.c_str());
    STRCMP_EQUAL("c2", probed[1].id.c_str());
    STRCMP_EQUAL("b1", probed[2].id.c_str());
}

TEST(AnUpstreamPath, isBackWhenReplicasAcceptForSomeTime)
{
    lose();
    CHECK(!path.onConnected(incarnation("a"), now));
    CHECK(!path.onConnected(incarnation("b"), now + milliseconds{100}));
    CHECK(path.onConnected(incarnation("c"), now + milliseconds{250}));
    CHECK(!path.isLost());
}

TEST(AnUpstreamPath, isNotBackByReplicasThatBecomeUnreachableAgain)
{
    lose();
    path.onConnected(incarnation("a"), now);
    path.onUnreachable(incarnation("a"), now + milliseconds{100});
    CHECK(!path.onConnected(incarnation("a"), now + milliseconds{250}));
}

TEST(AnUpstreamPath, isProbedAtTheReplicasInTurnWhileItIsLost)
{
    std::vector<ReplicaEntry> all;
    for (char id = 'a'; id < 'k'; ++id)
        all.push_back(replica(std::string(1, id), "a"));
    std::vector<const ReplicaEntry *> pointers;
    for (const ReplicaEntry &entry : all)
        pointers.push_back(&entry);
    lose();
    std::set<std::string> probed;
    for (int round = 0; round < 3; ++round) {
        for (const ReplicaEntry &entry : path.nextProbes(pointers))
            probed.insert(entry.id);
    }
    LONGS_EQUAL(10, probed.size());
    path.onConnected(incarnation("d"), now);
    STRCMP_EQUAL("d", path.nextProbes(pointers).front().id.c_str());
}

TEST(AnUpstreamPath, staysLostLongerEachTimeItComesAndGoes)
{
    const auto timeUntilBack = [&] {
        const TimePoint start = now;
        while (path.isLost()) {
            now += milliseconds{50};
            path.onConnected(incarnation("a"), now);
            path.onConnected(incarnation("b"), now);
        }
        return now - start;
    };
    lose();
    const Duration first = timeUntilBack();
    now += milliseconds{600};
    lose();
    const Duration second = timeUntilBack();
    now += std::chrono::seconds{30};
    lose();
    CHECK(second > first + milliseconds{150});
    CHECK(timeUntilBack() == first);
}
