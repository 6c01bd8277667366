// Assigns names to groups by rendezvous hashing with an upper bound on the group size.
#include "arbutuspier/fleetgroups.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace arbutuspier {

namespace {

std::uint64_t hashOf(std::string_view name, std::uint64_t seed)
{
    return XXH64(name.data(), name.size(), seed);
}

/// The group of each name. No group gets more than an equal part of the names, rounded up; a name
/// whose preferred group is full gets its next preference. Names are assigned in the order of their
/// hashes, so that most names keep their group when others are added or removed.
std::unordered_map<std::string, std::size_t> assignToGroups(std::span<const std::string> names,
                                                            std::size_t groupCount)
{
    assert(groupCount > 0);
    constexpr std::uint64_t kOrderSeed = 0;
    std::vector<std::string> ordered(names.begin(), names.end());
    std::sort(ordered.begin(), ordered.end(), [](const std::string &a, const std::string &b) {
        return std::pair(hashOf(a, kOrderSeed), a) < std::pair(hashOf(b, kOrderSeed), b);
    });
    const std::size_t maxPerGroup = (ordered.size() + groupCount - 1) / groupCount;
    std::vector<std::size_t> sizes(groupCount, 0);
    std::unordered_map<std::string, std::size_t> result;
    for (const std::string &name : ordered) {
        std::size_t best = groupCount;
        for (std::size_t group = 0; group < groupCount; ++group) {
            const bool isBetter = sizes[group] < maxPerGroup
                && (best == groupCount || hashOf(name, group + 1) > hashOf(name, best + 1));
            if (isBetter)
                best = group;
        }
        ++sizes[best];
        result[name] = best;
    }
    return result;
}

/// Number of parts of similar size within the bounds.
std::size_t partCount(std::size_t vmCount, const FleetGroupBounds &bounds)
{
    return vmCount <= bounds.maxUngroupedVms
        ? 1
        : (vmCount + bounds.maxGroupVms - 1) / bounds.maxGroupVms;
}

} // namespace

void FleetGroups::setVms(std::vector<std::string> vms)
{
    if (std::find(vms.begin(), vms.end(), m_ownVm) == vms.end())
        vms.push_back(m_ownVm);
    m_vms = std::move(vms);
    assign();
}

void FleetGroups::setBounds(const FleetGroupBounds &bounds)
{
    if (bounds == m_bounds)
        return;
    m_bounds = bounds;
    if (!m_vms.empty())
        assign();
}

void FleetGroups::assign()
{
    const std::size_t groupCount = partCount(m_vms.size(), m_bounds);
    auto groupOf = assignToGroups(m_vms, groupCount);
    m_vmCount = m_vms.size();
    if (groupCount == m_groupCount && groupOf == m_groupOf)
        return;
    m_groupCount = groupCount;
    m_groupOf = std::move(groupOf);
    m_ownGroup = m_groupOf.at(m_ownVm);
    assignSections();
    ++m_revision;
}

void FleetGroups::assignSections()
{
    std::vector<std::string> members;
    for (const auto &[vm, group] : m_groupOf) {
        if (group == m_ownGroup)
            members.push_back(vm);
    }
    m_sectionCount = partCount(members.size(), m_options.sectionBounds);
    m_ownSection = assignToGroups(members, m_sectionCount).at(m_ownVm);
}

std::vector<std::string> FleetGroups::preferredReplicas(
    std::span<const std::string> ownReplicas) const
{
    std::vector<std::string> preferred;
    const auto sectionOf = assignToGroups(ownReplicas, m_sectionCount);
    for (const std::string &replica : ownReplicas) {
        if (sectionOf.at(replica) == m_ownSection)
            preferred.push_back(replica);
    }
    return preferred;
}

bool FleetGroups::isInOwnGroup(std::string_view vm) const
{
    if (m_groupCount == 1)
        return true;
    const auto found = m_groupOf.find(std::string(vm));
    return found != m_groupOf.end() && found->second == m_ownGroup;
}

bool FleetGroups::isSharedByAll(std::size_t replicaCount) const
{
    return m_groupCount == 1 || replicaCount < m_groupCount * m_options.minReplicasPerGroup;
}

std::vector<std::string> FleetGroups::vmsSharingReplicas(std::size_t replicaCount) const
{
    const bool isShared = isSharedByAll(replicaCount);
    std::vector<std::string> vms;
    for (const auto &[vm, group] : m_groupOf) {
        if (isShared || group == m_ownGroup)
            vms.push_back(vm);
    }
    return vms;
}

std::vector<std::string> FleetGroups::ownReplicas(std::span<const std::string> replicas) const
{
    std::vector<std::string> own;
    if (isSharedByAll(replicas.size())) {
        own.assign(replicas.begin(), replicas.end());
        return own;
    }
    const auto groupOf = assignToGroups(replicas, m_groupCount);
    for (const std::string &replica : replicas) {
        if (groupOf.at(replica) == m_ownGroup)
            own.push_back(replica);
    }
    return own;
}

} // namespace arbutuspier
