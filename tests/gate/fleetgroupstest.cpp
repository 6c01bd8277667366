// Tests how fleets of different sizes are split into groups of VMs that share replicas.
#include "arbutuspier/fleetgroups.h"

#include <CppUTest/TestHarness.h>

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

} // namespace

TEST_GROUP(FleetGroups){};

TEST(FleetGroups, areOneGroupInASmallFleet)
{
    const FleetGroups groups = groupsOf("vm-1", names("vm-", 48));
    LONGS_EQUAL(1, groups.groupCount());
    CHECK(groups.isInOwnGroup("vm-47"));
    CHECK(groups.isInOwnGroup("a-vm-not-listed-yet"));
    LONGS_EQUAL(100, groups.ownReplicas(names("i-", 100)).size());
}

TEST(FleetGroups, areBoundedAndOfSimilarSizeInALargeFleet)
{
    const auto vms = names("vm-", 380);
    const auto replicas = names("i-", 2'500);
    std::map<std::string, std::size_t> users;
    for (const std::string &vm : vms) {
        const FleetGroups groups = groupsOf(vm, vms);
        LONGS_EQUAL(11, groups.groupCount());
        std::size_t peers = 0;
        for (const std::string &other : vms)
            peers += groups.isInOwnGroup(other) ? 1 : 0;
        CHECK(peers >= 20);
        CHECK(peers <= 36);
        const auto own = groups.ownReplicas(replicas);
        CHECK(own.size() <= 228);
        CHECK(own.size() >= 200);
        for (const std::string &replica : own)
            ++users[replica];
    }
    // Every replica is used, each by the VMs of one group, which are at most 36.
    LONGS_EQUAL(replicas.size(), users.size());
    for (const auto &[replica, count] : users)
        CHECK(count <= 36);
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

TEST(FleetGroups, haveARevisionThatIncreasesOnlyWithAChange)
{
    FleetGroups groups = groupsOf("vm-1", names("vm-", 100));
    const std::uint64_t before = groups.revision();
    groups.setVms(names("vm-", 100));
    LONGS_EQUAL(before, groups.revision());
    groups.setVms(names("vm-", 101));
    CHECK(groups.revision() > before);
}
