// Tests how fleets of different sizes are split into groups of VMs that share replicas.
#include "arbutuspier/fleetgroups.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

using namespace arbutuspier;

namespace {

std::vector<std::string> names(std::string_view prefix, std::size_t count, std::size_t first = 0)
{
    std::vector<std::string> result;
    for (std::size_t i = first; i < first + count; ++i)
        result.push_back(std::string(prefix) + std::to_string(i));
    return result;
}

FleetGroups groupsOf(const std::string &vm, const std::vector<std::string> &vms)
{
    FleetGroups groups(vm, FleetGroupsOptions{});
    groups.setVms(vms);
    return groups;
}

/// Checks the groups of 380 VMs with 2,500 replicas.
void checkLargeFleet(bool hasOlderBuilds, std::size_t groupCount, std::size_t maxGroupVms)
{
    const auto vms = names("vm-", 380);
    const auto replicas = names("i-", 2'500);
    const std::size_t maxReplicas = replicas.size() / groupCount + 1;
    std::map<std::string, std::size_t> users;
    for (const std::string &vm : vms) {
        FleetGroups groups = groupsOf(vm, vms);
        const FleetGroupsOptions options;
        groups.setBounds(hasOlderBuilds ? options.olderBounds : options.bounds);
        LONGS_EQUAL(groupCount, groups.groupCount());
        std::size_t peers = 0;
        for (const std::string &other : vms)
            peers += groups.isInOwnGroup(other) ? 1 : 0;
        CHECK(peers >= 20);
        CHECK(peers <= maxGroupVms);
        const auto own = groups.ownReplicas(replicas);
        CHECK(own.size() <= maxReplicas);
        CHECK(own.size() * 8 >= maxReplicas * 7);
        for (const std::string &replica : own)
            ++users[replica];
    }
    // Every replica is used, each by the VMs of one group.
    LONGS_EQUAL(replicas.size(), users.size());
    for (const auto &[replica, count] : users)
        CHECK(count <= maxGroupVms);
}

} // namespace

TEST_GROUP(FleetGroups){};

TEST(FleetGroups, areOneGroupInASmallFleet)
{
    const FleetGroups groups = groupsOf("vm-1", names("vm-", 96));
    LONGS_EQUAL(1, groups.groupCount());
    CHECK(groups.isInOwnGroup("vm-95"));
    CHECK(groups.isInOwnGroup("a-vm-not-listed-yet"));
    LONGS_EQUAL(100, groups.ownReplicas(names("i-", 100)).size());
}

TEST(FleetGroups, areBoundedAndOfSimilarSizeInALargeFleet)
{
    checkLargeFleet(false, 8, 54);
}

TEST(FleetGroups, areTheSameOnEveryVm)
{
    const auto vms = names("vm-", 100);
    for (const std::string &a : vms) {
        const FleetGroups ofA = groupsOf(a, vms);
        for (const std::string &b : {std::string("vm-3"), std::string("vm-77")})
            CHECK_EQUAL(ofA.isInOwnGroup(b), groupsOf(b, vms).isInOwnGroup(a));
    }
}

TEST(FleetGroups, moveFewReplicasWhenOneIsRemoved)
{
    const FleetGroups groups = groupsOf("vm-1", names("vm-", 380));
    const auto before = groups.ownReplicas(names("i-", 2'500));
    const auto after = groups.ownReplicas(names("i-", 2'499, 1));
    std::set<std::string> both(before.begin(), before.end());
    std::size_t kept = 0;
    for (const std::string &replica : after)
        kept += both.count(replica);
    CHECK(kept * 10 >= before.size() * 9);
}

TEST(FleetGroups, allUseAServiceOfFewReplicas)
{
    const FleetGroups groups = groupsOf("vm-1", names("vm-", 380));
    LONGS_EQUAL(3, groups.ownReplicas(names("desk-", 3)).size());
}

TEST(FleetGroups, haveSectionsThatFillReplicasOfTheirOwnFirst)
{
    const auto vms = names("vm-", 78);
    const auto replicas = names("i-", 112);
    std::map<std::string, std::size_t> fillers;
    for (const std::string &vm : vms) {
        const auto preferred = groupsOf(vm, vms).preferredReplicas(replicas);
        CHECK(preferred.size() >= 36);
        CHECK(preferred.size() <= 38);
        for (const std::string &replica : preferred)
            ++fillers[replica];
    }
    LONGS_EQUAL(replicas.size(), fillers.size());
    for (const auto &[replica, count] : fillers)
        CHECK(count <= 26);
}

TEST(FleetGroups, haveOneSectionUpToTheSizeOfASmallFleet)
{
    const auto replicas = names("i-", 60);
    LONGS_EQUAL(60, groupsOf("vm-1", names("vm-", 48)).preferredReplicas(replicas).size());
    CHECK(groupsOf("vm-1", names("vm-", 49)).preferredReplicas(replicas).size() < 60);
}

TEST(FleetGroups, dependOnBuildsOnlyAboveTheOlderBound)
{
    CHECK(!groupsOf("vm-1", names("vm-", 48)).dependsOnBuilds());
    CHECK(groupsOf("vm-1", names("vm-", 49)).dependsOnBuilds());
}

TEST_GROUP(FleetGroupsBesideOlderBuilds)
{
    FleetGroups groups = groupsOf("vm-1", names("vm-", 78));

    void setup() override
    {
        groups.setBounds(FleetGroupsOptions{}.olderBounds);
    }
};

TEST(FleetGroupsBesideOlderBuilds, areThoseOfTheOlderBounds)
{
    LONGS_EQUAL(3, groups.groupCount());
    FleetGroups small = groupsOf("vm-1", names("vm-", 48));
    small.setBounds(FleetGroupsOptions{}.olderBounds);
    LONGS_EQUAL(1, small.groupCount());
    checkLargeFleet(true, 11, 36);
}

TEST(FleetGroupsBesideOlderBuilds, areTheSameAsOnThose)
{
    // As build 248f30e assigns them.
    const std::vector<std::string> peers = {
        "vm-0",  "vm-1",  "vm-6",  "vm-11", "vm-18", "vm-22", "vm-23", "vm-24", "vm-25",
        "vm-28", "vm-31", "vm-32", "vm-34", "vm-36", "vm-38", "vm-40", "vm-42", "vm-47",
        "vm-49", "vm-50", "vm-59", "vm-62", "vm-65", "vm-72", "vm-74", "vm-75"};
    for (const std::string &vm : names("vm-", 78)) {
        const bool isPeer = std::find(peers.begin(), peers.end(), vm) != peers.end();
        CHECK_EQUAL(isPeer, groups.isInOwnGroup(vm));
    }
    const std::vector<std::string> expected = {
        "i-0",  "i-2",  "i-5",  "i-9",  "i-10", "i-11", "i-12", "i-22", "i-23", "i-25",
        "i-28", "i-29", "i-31", "i-36", "i-43", "i-45", "i-48", "i-49", "i-53", "i-59"};
    CHECK(expected == groups.ownReplicas(names("i-", 60)));
}

TEST(FleetGroupsBesideOlderBuilds, areJoinedOnceThereIsNoneLeft)
{
    const std::uint64_t before = groups.revision();
    groups.setBounds(FleetGroupsOptions{}.bounds);
    LONGS_EQUAL(1, groups.groupCount());
    CHECK(groups.revision() > before);
    groups.setBounds(FleetGroupsOptions{}.bounds);
    LONGS_EQUAL(before + 1, groups.revision());
}

TEST(FleetGroups, haveARevisionThatIncreasesOnlyWithAChange)
{
    FleetGroups groups = groupsOf("vm-1", names("vm-", 100));
    const std::uint64_t before = groups.revision();
    groups.setVms(names("vm-", 100));
    LONGS_EQUAL(before, groups.revision());
    groups.setVms(names("vm-", 101));
    CHECK(groups.revision() > before);
}
