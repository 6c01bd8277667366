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

void VmRoster::onMessageFrom(const std::string &vm, TimePoint now)
{
    const auto known = m_lastSeen.find(vm);
    if (known != m_lastSeen.end())
        known->second = now;
}

std::vector<std::string> VmRoster::removedVms(TimePoint now) const
{
    std::vector<std::string> unresponsive;
    for (const auto &[vm, seenAt] : m_lastSeen) {
        if (now >= seenAt + m_options.removalTimeout)
            unresponsive.push_back(vm);
    }
    const bool areMostResponsive = unresponsive.size() * 2 < m_lastSeen.size();
    return areMostResponsive ? unresponsive : std::vector<std::string>();
}

} // namespace arbutuspier
