// Splits a large fleet into groups of VMs; the VMs of a group share a set of replicas.
//
// A VM reports each dispatch to the other VMs of its group only, so that the message traffic grows
// with the size of the group and not with that of the fleet. Each group uses a part of the replicas
// of each service in proportion to its number of VMs, and places requests as a small fleet would.
// The assignment depends only on the names of the VMs and replicas, so that VMs that know the same
// names agree on it without messages. Adding or removing a few names moves only few others.
//
// How large a group may be follows from what it costs its VMs (groupbounds.h). While a VM runs an
// older build, all VMs use the bounds of that one: a VM must not use replicas whose load some VM
// doesn't report to it.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutuspier {

struct FleetGroupBounds
{
    /// A fleet of at most this many VMs forms one group.
    std::size_t maxUngroupedVms = 0;
    /// Largest number of VMs in a group of a larger fleet.
    std::size_t maxGroupVms = 0;

    friend bool operator==(const FleetGroupBounds &, const FleetGroupBounds &) = default;
};

struct FleetGroupsOptions
{
    /// The bounds of all fleets at least, and those of builds that know no others.
    FleetGroupBounds bounds = {96, 54};
    /// The bounds of builds that announce no protocol.
    FleetGroupBounds olderBounds = {48, 36};
    /// A group is split into sections as a fleet is into groups.
    FleetGroupBounds sectionBounds = {48, 36};
    /// If a service has fewer replicas per group than this, every group uses all of them.
    std::size_t minReplicasPerGroup = 6;
};

class FleetGroups
{
public:
    FleetGroups(std::string ownVm, FleetGroupsOptions options)
        : m_ownVm(std::move(ownVm))
        , m_options(options)
        , m_bounds(options.bounds)
    {
    }

    /// Sets the VMs of the fleet. This VM is added if `vms` lacks it.
    void setVms(std::vector<std::string> vms);
    /// Sets the bounds that all VMs of the fleet use.
    void setBounds(const FleetGroupBounds &bounds);
    const FleetGroupBounds &bounds() const { return m_bounds; }
    const FleetGroupsOptions &options() const { return m_options; }
    /// Whether older builds would split a fleet of this size into other groups.
    bool dependsOnBuilds() const { return m_vmCount > m_options.olderBounds.maxUngroupedVms; }
    std::size_t groupCount() const { return m_groupCount; }
    std::size_t vmCount() const { return m_vmCount; }
    /// Returns whether the VM is among those passed to `setVms`.
    bool isKnown(std::string_view vm) const { return m_groupOf.count(std::string(vm)) != 0; }
    /// Returns whether `vm` is in this VM's group, and so receives its active requests. True for
    /// any name while there is one group.
    bool isInOwnGroup(std::string_view vm) const;
    /// Returns those of one service's `replicas` that this VM's group uses.
    std::vector<std::string> ownReplicas(std::span<const std::string> replicas) const;
    /// Returns those of the group's replicas of a service that the section of this VM fills with
    /// short prompts first: all VMs of a large group would fill the same replica at a time.
    std::vector<std::string> preferredReplicas(std::span<const std::string> ownReplicas) const;
    /// Returns the VMs that use the same replicas of a service with `replicaCount` of them as this
    /// VM. Empty until the VMs of the fleet are known.
    std::vector<std::string> vmsSharingReplicas(std::size_t replicaCount) const;
    /// Increases with each change of the groups.
    std::uint64_t revision() const { return m_revision; }

private:
    void assign();
    void assignSections();
    /// Whether every group uses all replicas of a service that has so many.
    bool isSharedByAll(std::size_t replicaCount) const;

    std::string m_ownVm;
    FleetGroupsOptions m_options;
    std::size_t m_groupCount = 1;
    std::size_t m_vmCount = 1;
    FleetGroupBounds m_bounds;
    /// Empty until the VMs of the fleet are known.
    std::vector<std::string> m_vms;
    std::size_t m_ownGroup = 0;
    std::size_t m_sectionCount = 1;
    std::size_t m_ownSection = 0;
    std::uint64_t m_revision = 0;
    std::unordered_map<std::string, std::size_t> m_groupOf;
};

} // namespace arbutuspier
