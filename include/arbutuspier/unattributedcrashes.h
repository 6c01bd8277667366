// Upstream deaths that a lost VM may have had a part in.
//
// A VM that dies, freezes or is cut off can't say which bodies it had sent to an upstream that dies
// in the same moment. Until every VM has had its say, such a death may be owed to any body.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/ids.h"

#include <map>
#include <optional>
#include <vector>

namespace arbutuspier {

struct UnattributedCrashesOptions
{
    /// Time within which a caller sends copies of one body: deaths further apart are not related.
    Duration window = std::chrono::minutes{2};
    /// Time in which membership notices that a VM was lost.
    Duration detection = std::chrono::seconds{3};
};

struct UpstreamCrash
{
    UpstreamId upstream;
    Incarnation incarnation;
    TimePoint at;
};

class UnattributedCrashes
{
public:
    enum class Attribution {
        /// Every VM could tell what it had sent there.
        Complete,
        /// Too early to know whether a VM was lost.
        Pending,
        /// A VM is missing and may have sent anything.
        Missing
    };

    explicit UnattributedCrashes(UnattributedCrashesOptions options)
        : m_options(options)
    {
    }

    /// An upstream's life ended. Repeated news of one life counts once.
    void onDeath(UpstreamId upstream, Incarnation incarnation, TimePoint now);
    /// The life goes on: it had not ended.
    void retract(UpstreamId upstream, Incarnation incarnation);
    /// A VM fell silent or is gone.
    void onVmLost(TimePoint now) { m_lastVmLost = now; }

    /// Deaths within the window, the oldest first.
    const std::vector<UpstreamCrash> &recent(TimePoint now);
    /// What is known of who had work on that upstream. `isVmSilent`: some VM can't be reached now.
    Attribution attribution(const UpstreamCrash &death, bool isVmSilent, TimePoint now) const;

private:
    UnattributedCrashesOptions m_options;
    /// Invariant: at most one entry for each life, in the order of `at`.
    std::vector<UpstreamCrash> m_deaths;
    /// The life of each upstream that ended last.
    std::map<UpstreamId, Incarnation> m_lastIncarnation;
    std::optional<TimePoint> m_lastVmLost;
};

} // namespace arbutuspier
