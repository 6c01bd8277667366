// Tests that the retries of the fleet stay within its budget, whichever VMs send them.
#include "arbutuspier/fleetretrybudget.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace arbutuspier;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart = TimePoint{std::chrono::seconds{100}};

FleetRetryBudgetOptions options()
{
    FleetRetryBudgetOptions result;
    result.ratio = 0.2;
    result.window = std::chrono::seconds{10};
    result.slack = 40;
    result.usedFraction = 1.0;
    return result;
}

} // namespace

TEST_GROUP(AFleetRetryBudget)
{
    FleetRetryBudget budget{options()};

    int spendAll(TimePoint now, std::size_t vmCount)
    {
        int spent = 0;
        while (budget.trySpend(now, vmCount))
            ++spent;
        return spent;
    }
};

TEST(AFleetRetryBudget, allowsItsPartOfTheSlackWithoutRequests)
{
    LONGS_EQUAL(10, spendAll(kStart, 4));
}

TEST(AFleetRetryBudget, growsWithTheRequests)
{
    for (int i = 0; i < 50; ++i)
        budget.onRequest(kStart);
    LONGS_EQUAL(20, spendAll(kStart, 4));
}

TEST(AFleetRetryBudget, expiresRetriesAfterTheWindow)
{
    spendAll(kStart, 4);
    LONGS_EQUAL(0, spendAll(kStart + milliseconds{9900}, 4));
    LONGS_EQUAL(10, spendAll(kStart + milliseconds{10000}, 4));
}

namespace {

/// Number of `times` in the window that ends at `end`.
std::size_t countIn(const std::vector<TimePoint> &times, TimePoint end)
{
    return static_cast<std::size_t>(std::count_if(times.begin(), times.end(), [&](TimePoint at) {
        return at > end - options().window && at <= end;
    }));
}

} // namespace

TEST(AFleetRetryBudget, boundsTheRetriesOfAllVmsInEveryWindow)
{
    // A retry may fall into a later window than its request. The bound therefore uses the largest
    // number of requests in the window itself, half a window earlier and one window earlier.
    const bool holds = rc::check("sum of retries", [] {
        constexpr std::size_t kVms = 3;
        FleetRetryBudgetOptions vmOptions = options();
        vmOptions.usedFraction = FleetRetryBudgetOptions{}.usedFraction;
        std::vector<FleetRetryBudget> vms(kVms, FleetRetryBudget(vmOptions));
        std::vector<TimePoint> requests;
        std::vector<TimePoint> retries;
        TimePoint now = kStart;
        for (int i = 0; i < 300; ++i) {
            now += milliseconds{*rc::gen::inRange(0, 200)};
            const auto vm = *rc::gen::inRange<std::size_t>(0, kVms);
            if (*rc::gen::arbitrary<bool>()) {
                vms[vm].onRequest(now);
                requests.push_back(now);
            } else if (vms[vm].trySpend(now, kVms)) {
                retries.push_back(now);
            }
            const std::size_t most =
                std::max({countIn(requests, now), countIn(requests, now - options().window / 2),
                          countIn(requests, now - options().window)});
            const double allowed = options().ratio * static_cast<double>(most) + options().slack;
            RC_ASSERT(static_cast<double>(countIn(retries, now)) <= allowed);
        }
    });
    CHECK(holds);
}
