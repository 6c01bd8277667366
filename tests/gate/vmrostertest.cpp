// Tests the detection of removed VMs while others register, leave and lose their network.
#include "arbutuspier/vmroster.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;
using std::chrono::minutes;

TEST_GROUP(AVmRoster)
{
    const std::vector<std::string> registered = {"vm-2", "vm-3", "vm-4", "vm-5"};
    VmRoster roster{VmRosterOptions{minutes{5}}};
    const TimePoint start = TimePoint{} + std::chrono::hours{1};

    void setup() override
    {
        roster.onRegistered(registered, start);
    }
    void receiveFrom(std::initializer_list<const char *> vms, Duration when)
    {
        for (const char *vm : vms)
            roster.onMessageFrom(vm, start + when);
    }
};

TEST(AVmRoster, reportsTheOneUnresponsiveVm)
{
    receiveFrom({"vm-2", "vm-3", "vm-4"}, minutes{4});
    CHECK(roster.removedVms(start + minutes{4}).empty());
    const auto removed = roster.removedVms(start + minutes{5});
    LONGS_EQUAL(1, removed.size());
    STRCMP_EQUAL("vm-5", removed.front().c_str());
}

TEST(AVmRoster, reportsNoVmWhileMostAreUnresponsive)
{
    receiveFrom({"vm-2"}, minutes{9});
    CHECK(roster.removedVms(start + minutes{10}).empty());
}

TEST(AVmRoster, givesANewVmTheWholeTimeoutFromItsRegistration)
{
    receiveFrom({"vm-2", "vm-3", "vm-4", "vm-5"}, minutes{9});
    auto more = registered;
    more.push_back("vm-6");
    roster.onRegistered(more, start + minutes{9});
    CHECK(roster.removedVms(start + minutes{10}).empty());
    receiveFrom({"vm-2", "vm-3", "vm-4", "vm-5"}, minutes{13});
    LONGS_EQUAL(1, roster.removedVms(start + minutes{14}).size());
}

TEST(AVmRoster, forgetsAVmThatIsNoLongerRegistered)
{
    receiveFrom({"vm-2", "vm-3", "vm-4"}, minutes{4});
    roster.onRegistered(std::vector<std::string>{"vm-2", "vm-3", "vm-4"}, start + minutes{5});
    CHECK(roster.removedVms(start + minutes{5}).empty());
}
