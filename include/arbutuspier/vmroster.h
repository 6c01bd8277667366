// Which of the VMs that registered themselves are gone for good.
//
// A VM that is replaced can't take back its registration. Its peers do, once they have not heard
// it for long while they hear most of the others: a VM that hears nobody may itself be cut off.
#pragma once

#include "arbutuspier/clock.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace arbutuspier {

struct VmRosterOptions
{
    /// A VM that is cut off, frozen or restarted is back long before this.
    Duration gone = std::chrono::minutes{5};
};

class VmRoster
{
public:
    explicit VmRoster(VmRosterOptions options)
        : m_options(options)
    {
    }

    /// The other VMs that are registered at present.
    void onRegistered(std::span<const std::string> vms, TimePoint now);
    void onHeard(const std::string &vm, TimePoint now);
    /// Registered VMs that are gone.
    std::vector<std::string> gone(TimePoint now) const;

private:
    /// When each registered VM was heard last, or first seen registered.
    std::map<std::string, TimePoint> m_lastSeen;
    VmRosterOptions m_options;
};

} // namespace arbutuspier
