// Polling of the list of replicas by many VMs, and coalescing of reported changes.
#include "arbutuspier/sharedpollinterval.h"
#include "arbutuspier/pollschedule.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace arbutuspier;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart = TimePoint{std::chrono::seconds{100}};
constexpr std::size_t kReaders = 35;
constexpr Duration kDrainBound = std::chrono::seconds{3};

SharedPollIntervalOptions options()
{
    return {milliseconds{900}, 0.22, std::chrono::seconds{8}};
}

} // namespace

TEST_GROUP(SharedPollInterval)
{
    Random random{20261204};

    /// Returns the longest time without a poll of any VM, if a change makes all of them poll at
    /// once every `changeInterval`.
    Duration longestTimeWithoutPoll(Duration changeInterval)
    {
        std::vector<SharedPollInterval> pollIntervals(kReaders, SharedPollInterval(options()));
        TimePoint lastPoll = kStart;
        TimePoint nextChange = kStart + changeInterval;
        Duration longest{};
        for (TimePoint now = kStart; now < kStart + std::chrono::minutes{20};
             now += milliseconds{10}) {
            const bool hasChange = now >= nextChange;
            if (hasChange)
                nextChange = now + changeInterval;
            bool isPolled = hasChange;
            for (SharedPollInterval &pollInterval : pollIntervals) {
                const TimePoint nextPoll =
                    pollInterval.nextPoll(now - milliseconds{10}, kReaders, random);
                isPolled = isPolled || nextPoll <= now;
            }
            if (!isPolled)
                continue;
            longest = std::max(longest, now - lastPoll);
            lastPoll = now;
        }
        return longest;
    }
};

TEST(SharedPollInterval, isShorterForFewerReaders)
{
    const SharedPollInterval pollInterval(options());
    CHECK(pollInterval.interval(1) == milliseconds{900});
    CHECK(pollInterval.interval(4) == milliseconds{900});
    CHECK(pollInterval.interval(20) > milliseconds{3900});
    CHECK(pollInterval.interval(1000) == std::chrono::seconds{8});
}

TEST(SharedPollInterval, allVmsTogetherPollWithinEachDrainBound)
{
    CHECK(longestTimeWithoutPoll(std::chrono::hours{1}) < kDrainBound);
}

TEST(SharedPollInterval, pollsStaySpreadWhenAllVmsReceiveTheSameChange)
{
    CHECK(longestTimeWithoutPoll(std::chrono::seconds{11}) < kDrainBound);
}

TEST(SharedPollInterval, keepsItsPhaseAfterAnEarlyPoll)
{
    SharedPollInterval pollInterval(options());
    const TimePoint nextPoll = pollInterval.nextPoll(kStart, kReaders, random);
    CHECK(pollInterval.nextPoll(kStart + milliseconds{1}, kReaders, random) == nextPoll);
}

TEST_GROUP(PollSchedule)
{
    PollSchedule schedule{milliseconds{300}};
};

TEST(PollSchedule, coalescesChangesInQuickSuccession)
{
    schedule.scheduleAt(kStart + std::chrono::seconds{8});
    int polls = 0;
    for (int change = 0; change < 20; ++change) {
        const TimePoint now = kStart + milliseconds{50} * change;
        schedule.onChange(now);
        if (!schedule.isDue(now))
            continue;
        ++polls;
        schedule.scheduleAt(now + std::chrono::seconds{8});
    }
    CHECK(polls <= 4);
    CHECK(schedule.isDue(kStart + milliseconds{1300}));
}

TEST(PollSchedule, isNotDelayedByAReportedChange)
{
    schedule.scheduleAt(kStart + milliseconds{100});
    schedule.onChange(kStart);
    CHECK(schedule.isDue(kStart + milliseconds{100}));
}

TEST(PollSchedule, scheduleNowMakesAPollDueAtOnce)
{
    schedule.scheduleAt(kStart + std::chrono::seconds{8});
    schedule.scheduleNow(kStart);
    CHECK(schedule.isDue(kStart));
}
