// Keeps one time for each VM: that of its last message.
#include "arbutuspier/vmroster.h"

namespace arbutuspier {

void VmRoster::onRegistered(std::span<const std::string> vms, TimePoint now)
{
    std::map<std::string, TimePoint> lastSeen;
    for (const std::string &vm : vms) {
        const auto known = m_lastSeen.find(vm);
        lastSeen[vm] = known == m_lastSeen.end() ? now : known->second;
    }
    m_lastSeen = std::move(lastSeen);
}

void VmRoster::onHeard(const std::string &vm, TimePoint now)
{
    const auto known = m_lastSeen.find(vm);
    if (known != m_lastSeen.end())
        known->second = now;
}

std::vector<std::string> VmRoster::removedVms(TimePoint now) const
{
    std::vector<std::string> unheard;
    for (const auto &[vm, seenAt] : m_lastSeen) {
        if (now >= seenAt + m_options.removalTimeout)
            unheard.push_back(vm);
    }
    const bool hearsFromMost = unheard.size() * 2 < m_lastSeen.size();
    return hearsFromMost ? unheard : std::vector<std::string>();
}

} // namespace arbutuspier
