// Upstream crashes that a request of an unresponsive VM may have caused.
//
// A VM that crashes, freezes or is behind a network partition can't report which requests it had
// sent to an upstream that crashes at the same time. Until every VM has reported, any request may
// have caused such a crash.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/ids.h"

#include <map>
#include <optional>
#include <vector>

namespace arbutuspier {

struct UnattributedCrashesOptions
{
    /// Time within which a caller sends copies of one request. Crashes further apart are treated as
    /// unrelated.
    Duration window = std::chrono::minutes{2};
    /// Time that membership needs to notice that a VM is lost.
    Duration detectionTime = std::chrono::seconds{3};
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
        /// Every VM was able to report which requests it had sent to the upstream.
        Complete,
        /// It is too early to know whether a VM was lost at the time of the crash.
        Pending,
        /// A VM is lost, so the requests that it had sent to the upstream are unknown.
        Missing
    };

    explicit UnattributedCrashes(UnattributedCrashesOptions options)
        : m_options(options)
    {
    }

    /// An upstream's incarnation crashed. Repeated reports of one incarnation count once.
    void onCrash(UpstreamId upstream, Incarnation incarnation, TimePoint now);
    /// The incarnation turned out to be still running, so it did not crash.
    void retract(UpstreamId upstream, Incarnation incarnation);
    /// A VM became unresponsive or was removed.
    void onVmLost(TimePoint now) { m_lastVmLost = now; }

    /// Crashes within the window, oldest first.
    const std::vector<UpstreamCrash> &recent(TimePoint now);
    /// Whether every VM was able to report its requests on the crashed upstream. `isVmUnresponsive`
    /// tells whether some VM is unresponsive now.
    Attribution attribution(const UpstreamCrash &crash, bool isVmUnresponsive, TimePoint now) const;

private:
    UnattributedCrashesOptions m_options;
    /// Invariant: at most one entry for each incarnation, ordered by `at`.
    std::vector<UpstreamCrash> m_crashes;
    /// The last incarnation of each upstream that crashed.
    std::map<UpstreamId, Incarnation> m_lastIncarnation;
    std::optional<TimePoint> m_lastVmLost;
};

} // namespace arbutuspier
