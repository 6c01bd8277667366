// How many VMs may form one fleet group, by what the smallest of them can bear.
#include "arbutuspier/groupbounds.h"

#include <CppUTest/TestHarness.h>

using namespace arbutuspier;

namespace {

constexpr VmCapacity kSmallVm = {0.084, 14};
constexpr VmCapacity kLargeVm = {0.5, 1'500};

} // namespace

TEST_GROUP(GroupBounds)
{
    FleetGroupBounds least = FleetGroupsOptions{}.bounds;
    GroupCostOptions options;

    FleetGroupBounds boundsFor(const VmCapacity &capacity) const
    {
        return groupBoundsFor(capacity, least, options);
    }
    std::size_t groupsOf(std::size_t vmCount, const VmCapacity &capacity) const
    {
        FleetGroups groups("vm-0", FleetGroupsOptions{});
        groups.setBounds(boundsFor(capacity));
        std::vector<std::string> vms;
        for (std::size_t i = 0; i < vmCount; ++i)
            vms.push_back("vm-" + std::to_string(i));
        groups.setVms(vms);
        return groups.groupCount();
    }
};

TEST(GroupBounds, areThoseOfEarlierBuildsIfTheSettingsSayNoCapacity)
{
    CHECK(least == boundsFor({}));
    CHECK(least == boundsFor({0.5, 0}));
    CHECK(least == boundsFor({0, 200}));
}

TEST(GroupBounds, leaveAFleetOfSmallVmsWholeWhileItGrowsByASixth)
{
    LONGS_EQUAL(1, groupsOf(107, kSmallVm));
    LONGS_EQUAL(1, groupsOf(125, kSmallVm));
}

TEST(GroupBounds, splitAFleetThatIsTooLargeForItsVms)
{
    CHECK(groupsOf(301, kSmallVm) > 2);
    CHECK(groupsOf(301, kLargeVm) > 2);
    CHECK(groupsOf(380, kLargeVm) > 2);
}

TEST(GroupBounds, doNotDependOnCapacityInAFleetOfLessThanAHundred)
{
    LONGS_EQUAL(1, groupsOf(31, kLargeVm));
    LONGS_EQUAL(1, groupsOf(78, kLargeVm));
    LONGS_EQUAL(1, groupsOf(78, {0.001, 0.1}));
}

TEST(GroupBounds, keepAVmWithinItsProcessorShareItsLinkAndItsMessageBudget)
{
    for (const VmCapacity &vm : {kSmallVm, kLargeVm, VmCapacity{0.2, 2}, VmCapacity{0.07, 1'000}}) {
        const auto peers = static_cast<double>(boundsFor(vm).maxUngroupedVms - 1);
        const bool isLeast = boundsFor(vm).maxUngroupedVms == least.maxUngroupedVms;
        const double datagrams = peers * options.datagramsPerSecond;
        const double bytes = datagrams * options.datagramBytes;
        const double linkBytes = 2 * datagrams * (options.datagramBytes + options.headerBytes);
        const bool isBorne = bytes <= options.maxBytesPerSecond
            && linkBytes <= options.maxLinkFraction * vm.linkMbps * 125'000
            && datagrams * toSeconds(options.processorTime)
                <= options.maxProcessorFraction * vm.cores;
        CHECK(isBorne || isLeast);
    }
}

TEST(GroupBounds, followTheSmallestVm)
{
    const VmCapacity smallest = smallerOf(kLargeVm, kSmallVm);
    DOUBLES_EQUAL(0.084, smallest.cores, 1e-9);
    DOUBLES_EQUAL(14, smallest.linkMbps, 1e-9);
    DOUBLES_EQUAL(0.5, smallerOf({}, kLargeVm).cores, 1e-9);
    DOUBLES_EQUAL(0.5, smallerOf(kLargeVm, {}).cores, 1e-9);
}
