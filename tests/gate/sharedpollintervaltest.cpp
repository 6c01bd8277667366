// Polling of the list of replicas by many VMs, and coalescing of reported changes.
#include "arbutuspier/sharedpollinterval.h"
#include "arbutuspier/pollschedule.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace arbutuspier;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart = TimePoint{std::chrono::seconds{100}};
constexpr std::size_t kReaders = 35;
constexpr Duration kDrainBound = std::chrono::seconds{3};

SharedPollIntervalOptions options()
{
    return {milliseconds{900}, 0.22, std::chrono::seconds{8}, milliseconds{1200}};
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

TEST_GROUP(AFleetThatSharesThePolls)
{
    /// Polls that don't succeed end after this time.
    static constexpr Duration kCallTimeout = milliseconds{800};

    struct Vm
    {
        SharedPollInterval interval{options()};
        TimePoint due = kStart;
        bool isCut = false;
        std::size_t readers = kReaders;
    };

    /// All VMs but the first `survivors` lose the store at the same moment, and `after` that a
    /// change is written. Returns how long it takes until one of the others has read it.
    static Duration timeUntilRead(unsigned seed, std::size_t survivors, Duration after)
    {
        Random random(seed);
        std::vector<Vm> vms(kReaders);
        const TimePoint cutAt = kStart + std::chrono::seconds{30};
        const TimePoint changedAt = cutAt + after;
        std::vector<TimePoint> saysLostAt(kReaders, TimePoint::max());
        for (TimePoint now = kStart;; now += milliseconds{5}) {
            for (std::size_t i = 0; i < vms.size(); ++i) {
                Vm &vm = vms[i];
                const bool isCut = i >= survivors && now >= cutAt;
                if (now < std::min(vm.due, vm.interval.staleAt()))
                    continue;
                if (isCut) {
                    saysLostAt[i] = std::min(saysLostAt[i], now + kCallTimeout);
                    vm.due = TimePoint::max();
                    vm.interval.onRead(now + std::chrono::hours{1});
                    continue;
                }
                if (now >= changedAt)
                    return now - changedAt;
                vm.readers = static_cast<std::size_t>(std::count_if(
                    saysLostAt.begin(), saysLostAt.end(), [&](TimePoint at) { return at > now; }));
                vm.due = vm.interval.nextPoll(now, vm.readers, random);
                for (Vm &other : vms)
                    other.interval.onRead(now);
            }
        }
    }

    static void checkReadsInTime(std::size_t survivors)
    {
        for (unsigned seed = 1; seed <= 200; ++seed) {
            Random random(seed);
            const Duration after = milliseconds{random() % 2000};
            CHECK(timeUntilRead(seed, survivors, after) < kDrainBound * 2 / 3);
        }
    }
};

// Guards against a VM that waits for peers which have lost the store
// (docs/incidents/requests-after-a-departure.md).
TEST(AFleetThatSharesThePolls, readsInTimeIfAllButOneLoseTheStore)
{
    checkReadsInTime(1);
}

TEST(AFleetThatSharesThePolls, readsInTimeIfAllButTwoLoseTheStore)
{
    checkReadsInTime(2);
}

TEST(AFleetThatSharesThePolls, readsInTimeIfAZoneKeepsTheStore)
{
    checkReadsInTime(kReaders / 3);
}

TEST(AFleetThatSharesThePolls, pollsNoMoreOftenOnACalmDay)
{
    const auto pollsOf = [](SharedPollIntervalOptions used) {
        Random random(7);
        std::vector<Vm> vms(kReaders);
        for (Vm &vm : vms)
            vm.interval = SharedPollInterval(used);
        int polls = 0;
        for (TimePoint now = kStart; now < kStart + std::chrono::minutes{20};
             now += milliseconds{5}) {
            for (Vm &vm : vms) {
                if (now < std::min(vm.due, vm.interval.staleAt()))
                    continue;
                ++polls;
                vm.due = vm.interval.nextPoll(now, kReaders, random);
                for (Vm &other : vms)
                    other.interval.onRead(now);
            }
        }
        return polls;
    };
    SharedPollIntervalOptions alone = options();
    alone.maxReadAge.reset();
    CHECK(pollsOf(options()) <= pollsOf(alone) * 1.02);
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
