// Compares the times of upstream crashes with the time at which a VM was last lost.
#include "arbutuspier/unattributedcrashes.h"

#include <algorithm>

namespace arbutuspier {

void UnattributedCrashes::onCrash(UpstreamId upstream, Incarnation incarnation, TimePoint now)
{
    // A crashed upstream is reported repeatedly, even after the window has passed.
    const auto [last, isFirst] = m_lastIncarnation.try_emplace(upstream, incarnation);
    const bool isKnown = !isFirst && last->second == incarnation;
    if (isKnown)
        return;
    last->second = incarnation;
    m_crashes.push_back({upstream, incarnation, now});
}

void UnattributedCrashes::retract(UpstreamId upstream, Incarnation incarnation)
{
    m_lastIncarnation.erase(upstream);
    std::erase_if(m_crashes, [&](const UpstreamCrash &crash) {
        return crash.upstream == upstream && crash.incarnation == incarnation;
    });
}

const std::vector<UpstreamCrash> &UnattributedCrashes::recent(TimePoint now)
{
    std::erase_if(m_crashes,
                  [&](const UpstreamCrash &crash) { return now >= crash.at + m_options.window; });
    return m_crashes;
}

UnattributedCrashes::Attribution UnattributedCrashes::attribution(const UpstreamCrash &crash,
                                                                  bool isVmUnresponsive,
                                                                  TimePoint now) const
{
    const bool wasVmLost = m_lastVmLost && *m_lastVmLost >= crash.at - m_options.detectionTime;
    if (isVmUnresponsive || wasVmLost)
        return Attribution::Missing;
    return now < crash.at + m_options.detectionTime ? Attribution::Pending : Attribution::Complete;
}

} // namespace arbutuspier
