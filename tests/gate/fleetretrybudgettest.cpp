// The fleet's repeats stay within its allowance, whichever VMs send them.
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
    result.margin = 1.0;
    return result;
}

} // namespace

TEST_GROUP(AnAllowance)
{
    FleetRetryBudget allowance{options()};

    int spendAll(TimePoint now, std::size_t vms)
    {
        int spent = 0;
        while (allowance.trySpend(now, vms))
            ++spent;
        return spent;
    }
};

TEST(AnAllowance, hasItsPartOfTheSlackWithoutAnyRequest)
{
    LONGS_EQUAL(10, spendAll(kStart, 4));
}

TEST(AnAllowance, earnsWithRequests)
{
    for (int i = 0; i < 50; ++i)
        allowance.onRequest(kStart);
    LONGS_EQUAL(20, spendAll(kStart, 4));
}

TEST(AnAllowance, forgetsAfterTheWindow)
{
    spendAll(kStart, 4);
    LONGS_EQUAL(0, spendAll(kStart + milliseconds{9900}, 4));
    LONGS_EQUAL(10, spendAll(kStart + milliseconds{10000}, 4));
}

namespace {

/// Requests in the window that ends at `end`.
std::size_t countIn(const std::vector<TimePoint> &times, TimePoint end)
{
    return static_cast<std::size_t>(std::count_if(times.begin(), times.end(), [&](TimePoint at) {
        return at > end - options().window && at <= end;
    }));
}

} // namespace

TEST(AnAllowance, holdsOverAllVmsInEveryWindow)
{
    // Requests count in the window itself, in the one before, or half a window before, whichever
    // has most: a repeat comes after its request.
    const bool holds = rc::check("sum of repeats", [] {
        constexpr std::size_t kVms = 3;
        FleetRetryBudgetOptions own = options();
        own.margin = FleetRetryBudgetOptions{}.margin;
        std::vector<FleetRetryBudget> vms(kVms, FleetRetryBudget(own));
        std::vector<TimePoint> requests;
        std::vector<TimePoint> repeats;
        TimePoint now = kStart;
        for (int i = 0; i < 300; ++i) {
            now += milliseconds{*rc::gen::inRange(0, 200)};
            const auto vm = *rc::gen::inRange<std::size_t>(0, kVms);
            if (*rc::gen::arbitrary<bool>()) {
                vms[vm].onRequest(now);
                requests.push_back(now);
            } else if (vms[vm].trySpend(now, kVms)) {
                repeats.push_back(now);
            }
            const std::size_t most =
                std::max({countIn(requests, now), countIn(requests, now - options().window / 2),
                          countIn(requests, now - options().window)});
            const double allowed = options().ratio * static_cast<double>(most) + options().slack;
            RC_ASSERT(static_cast<double>(countIn(repeats, now)) <= allowed);
        }
    });
    CHECK(holds);
}
