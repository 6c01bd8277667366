// Splits a large fleet into groups of VMs that share replicas among them.
//
// Every VM tells the others of its group each dispatch, so what that costs grows with the group and
// not with the fleet. Each group has its part of each service's replicas, as large as its part of
// the VMs, and places work as a small fleet would. All VMs that know the same names agree, without
// a word; a few names more or less move only a few.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutuspier {

struct FleetGroupsOptions
{
    /// A fleet of up to so many VMs is one group.
    std::size_t maxUngroupedVms = 48;
    /// VMs in a group of a larger fleet, at most.
    std::size_t maxGroupVms = 36;
    /// A service with fewer replicas for each group than this is shared by all.
    std::size_t minReplicasPerGroup = 6;
};

class FleetGroups
{
public:
    FleetGroups(std::string ownVm, FleetGroupsOptions options)
        : m_ownVm(std::move(ownVm))
        , m_options(options)
    {
    }

    /// The VMs there are, this one among them or not.
    void setVms(std::vector<std::string> vms);
    std::size_t count() const { return m_count; }
    std::size_t vmCount() const { return m_vmCount; }
    /// True if the VM is one of those that were set.
    bool isKnown(std::string_view vm) const { return m_groupOf.count(std::string(vm)) != 0; }
    /// True if this VM tells that one of its work.
    bool isInOwnGroup(std::string_view vm) const;
    /// Of one service's replicas those that this VM's group uses.
    std::vector<std::string> ownReplicas(std::span<const std::string> replicas) const;
    /// Grows with each change of the groups.
    std::uint64_t revision() const { return m_revision; }

private:
    std::string m_ownVm;
    FleetGroupsOptions m_options;
    std::size_t m_count = 1;
    std::size_t m_vmCount = 1;
    std::size_t m_ownGroup = 0;
    std::uint64_t m_revision = 0;
    std::unordered_map<std::string, std::size_t> m_groupOf;
};

} // namespace arbutuspier
