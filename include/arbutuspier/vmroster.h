// Detects registered VMs that were removed for good.
//
// A VM that is replaced can't delete its own registration. Its peers delete it when the VM has sent
// them no message for a long time while most others have. A VM that gets no messages from most
// others deletes nothing, as it may itself be behind a network partition.
#pragma once

#include "arbutuspier/clock.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace arbutuspier {

struct VmRosterOptions
{
    /// Time without messages after which a VM counts as removed. A network partition, a freeze or a
    /// restart is over long before.
    Duration removalTimeout = std::chrono::minutes{5};
};

class VmRoster
{
public:
    explicit VmRoster(VmRosterOptions options)
        : m_options(options)
    {
    }

    /// Sets the other VMs that are currently registered.
    void onRegistered(std::span<const std::string> vms, TimePoint now);
    void onMessageFrom(const std::string &vm, TimePoint now);
    /// Registered VMs that count as removed; none unless most of the others are responsive.
    std::vector<std::string> removedVms(TimePoint now) const;

private:
    /// Time of the last message of each registered VM, or of its registration if there was none.
    std::map<std::string, TimePoint> m_lastSeen;
    VmRosterOptions m_options;
};

} // namespace arbutuspier
