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

TEST_GROUP(ReadersOfOneList)
{
    Random random{20261204};

    /// Returns the longest time without a poll of any VM, if all poll at once each `news`.
    Duration longestSilence(Duration news)
    {
        std::vector<SharedPollInterval> paces(kReaders, SharedPollInterval(options()));
        TimePoint lastRead = kStart;
        TimePoint nextNews = kStart + news;
        Duration longest{};
        for (TimePoint now = kStart; now < kStart + std::chrono::minutes{20};
             now += milliseconds{10}) {
            const bool hasNews = now >= nextNews;
            if (hasNews)
                nextNews = now + news;
            bool isRead = hasNews;
            for (SharedPollInterval &pace : paces) {
                const TimePoint next = pace.next(now - milliseconds{10}, kReaders, random);
                isRead = isRead || next <= now;
            }
            if (!isRead)
                continue;
            longest = std::max(longest, now - lastRead);
            lastRead = now;
        }
        return longest;
    }
};

TEST(ReadersOfOneList, readMoreOftenTheFewerTheyAre)
{
    const SharedPollInterval pace(options());
    CHECK(pace.interval(1) == milliseconds{900});
    CHECK(pace.interval(4) == milliseconds{900});
    CHECK(pace.interval(20) > milliseconds{3900});
    CHECK(pace.interval(1000) == std::chrono::seconds{8});
}

TEST(ReadersOfOneList, leaveNoDrainBoundWithoutARead)
{
    CHECK(longestSilence(std::chrono::hours{1}) < kDrainBound);
}

TEST(ReadersOfOneList, doNotFallIntoStepWhenAllHearTheSameNews)
{
    CHECK(longestSilence(std::chrono::seconds{11}) < kDrainBound);
}

TEST(ReadersOfOneList, keepTheirPhaseWhenNewsMakeThemRead)
{
    SharedPollInterval pace(options());
    const TimePoint next = pace.next(kStart, kReaders, random);
    CHECK(pace.next(kStart + milliseconds{1}, kReaders, random) == next);
}

TEST_GROUP(AReadSchedule)
{
    PollSchedule schedule{milliseconds{300}};
};

TEST(AReadSchedule, joinsChangesThatComeInSeries)
{
    schedule.scheduleAt(kStart + std::chrono::seconds{8});
    int reads = 0;
    for (int change = 0; change < 20; ++change) {
        const TimePoint now = kStart + milliseconds{50} * change;
        schedule.onNews(now);
        if (!schedule.isDue(now))
            continue;
        ++reads;
        schedule.scheduleAt(now + std::chrono::seconds{8});
    }
    CHECK(reads <= 4);
    CHECK(schedule.isDue(kStart + milliseconds{1300}));
}

TEST(AReadSchedule, isNotPutOffByNews)
{
    schedule.scheduleAt(kStart + milliseconds{100});
    schedule.onNews(kStart);
    CHECK(schedule.isDue(kStart + milliseconds{100}));
}

TEST(AReadSchedule, readsAtOnceWhatCannotBeTrusted)
{
    schedule.scheduleAt(kStart + std::chrono::seconds{8});
    schedule.scheduleNow(kStart);
    CHECK(schedule.isDue(kStart));
}
