// Tests the order, weights, pausing and memory use of the fair queue.
#include "arbutuspier/fairqueue.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace arbutuspier;

TEST_GROUP(AFairQueue)
{
    FairQueue queue;
    std::uint64_t next = 1;

    RequestId push(const char *team, std::uint64_t cost = 100, std::uint32_t weight = 1,
                   const char *className = "ask", LengthClass lengthClass = LengthClass::Short)
    {
        const RequestId id{next++};
        queue.push(id, className, team, lengthClass, cost, weight);
        return id;
    }
};

TEST(AFairQueue, isEmptyAtFirst)
{
    CHECK_FALSE(queue.front(LengthClass::Short).has_value());
    CHECK_FALSE(queue.pop(LengthClass::Short).has_value());
    CHECK(queue.validate());
}

TEST(AFairQueue, servesOneTeamInOrder)
{
    const RequestId first = push("saws");
    const RequestId second = push("saws");
    CHECK(*queue.pop(LengthClass::Short) == first);
    CHECK(*queue.pop(LengthClass::Short) == second);
    CHECK_FALSE(queue.pop(LengthClass::Short).has_value());
}

TEST(AFairQueue, keepsLengthClassesApart)
{
    push("saws", 100, 1, "ask", LengthClass::Long);
    CHECK_FALSE(queue.pop(LengthClass::Short).has_value());
    CHECK(queue.pop(LengthClass::Long).has_value());
}

TEST(AFairQueue, doesNotChargeARemovedRequest)
{
    const RequestId removed = push("saws");
    const RequestId kept = push("saws");
    CHECK(queue.remove(removed));
    CHECK_FALSE(queue.remove(removed));
    CHECK(*queue.pop(LengthClass::Short) == kept);
    LONGS_EQUAL(0, queue.queuedCost(LengthClass::Short));
}

/// A queue with a backlog of 1,000 requests of the team "flood".
TEST_GROUP_BASE(AFairQueueUnderAFlood, TEST_GROUP_CppUTestGroupAFairQueue){
    void setup() override{for (int i = 0; i < 1'000; ++i) push("flood");
}
}
;

TEST(AFairQueueUnderAFlood, servesANewTeamWithinTwoRequests)
{
    for (int i = 0; i < 10; ++i)
        queue.pop(LengthClass::Short);
    const RequestId other = push("quiet");
    const auto first = queue.pop(LengthClass::Short);
    const auto second = queue.pop(LengthClass::Short);
    CHECK(*first == other || *second == other);
}

TEST(AFairQueueUnderAFlood, sharesServiceByWeight)
{
    std::map<std::uint64_t, int> served;
    const std::uint64_t firstHeavy = next;
    for (int i = 0; i < 1'000; ++i)
        push("heavy", 100, 3);
    for (int i = 0; i < 400; ++i)
        ++served[queue.pop(LengthClass::Short)->value >= firstHeavy ? 1 : 0];
    CHECK(served[1] >= 295 && served[1] <= 305);
}

TEST(AFairQueueUnderAFlood, chargesServiceFromOtherVms)
{
    for (int i = 0; i < 100; ++i)
        push("quiet");
    queue.debit("ask", "flood", 5'000);
    for (int i = 0; i < 50; ++i)
        CHECK(queue.pop(LengthClass::Short)->value > 1'000);
}

TEST(AFairQueueUnderAFlood, skipsAPausedTeam)
{
    const RequestId other = push("quiet");
    queue.pause("ask", "flood");
    CHECK(*queue.pop(LengthClass::Short) == other);
    CHECK_FALSE(queue.pop(LengthClass::Short).has_value());
    queue.resume("ask", "flood");
    CHECK(queue.pop(LengthClass::Short).has_value());
    CHECK(queue.validate());
}

TEST(AFairQueueUnderAFlood, estimatesTheCostAheadOfATeam)
{
    const std::uint64_t ahead = queue.costAhead("ask", "quiet", LengthClass::Short, 1);
    LONGS_EQUAL(0, ahead);
    LONGS_EQUAL(100'000, queue.costAhead("ask", "flood", LengthClass::Short, 1));
}

TEST_GROUP_BASE(AFairQueueWithManyTeams, TEST_GROUP_CppUTestGroupAFairQueue){};

TEST(AFairQueueWithManyTeams, holdsStateForActiveTeamsOnly)
{
    for (int round = 0; round < 20; ++round) {
        for (int i = 0; i < 1'000; ++i)
            push(std::to_string(round * 1'000 + i).c_str());
        while (queue.pop(LengthClass::Short)) { }
    }
    CHECK(queue.activeTeams() <= 1'000);
    CHECK(queue.validate());
}

TEST(AFairQueueWithManyTeams, sharesAmongClassesFirst)
{
    queue.setClassWeight("recall", 3);
    const std::uint64_t firstRecall = next;
    for (int i = 0; i < 1'000; ++i)
        push("office", 100, 1, "recall");
    for (int team = 0; team < 10; ++team) {
        for (int i = 0; i < 100; ++i)
            push(std::to_string(team).c_str());
    }
    int recall = 0;
    for (int i = 0; i < 400; ++i)
        recall += queue.pop(LengthClass::Short)->value < firstRecall + 1'000 ? 1 : 0;
    CHECK(recall >= 295 && recall <= 305);
}
