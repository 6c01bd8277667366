// A single response clears a zone at once, as a demotion only changes the order of attempts.
#include "arbutuspier/zonehealth.h"

#include <algorithm>

namespace arbutuspier {

void ZoneHealth::onUnresponsive(std::string_view zone, std::string_view replica, TimePoint now)
{
    ZoneState &state = m_zones[std::string(zone)];
    if (now > state.lastFailure + m_options.failureWindow) {
        state.unresponsiveReplicas.clear();
        state.nextDemotion = m_options.initialDemotion;
    }
    state.lastFailure = now;
    state.unresponsiveReplicas.emplace(replica);
    const bool isNewDemotion =
        state.unresponsiveReplicas.size() >= m_options.minUnresponsiveReplicas
        && now >= state.demotedUntil;
    if (!isNewDemotion)
        return;
    state.demotedUntil = now + state.nextDemotion;
    state.nextDemotion = std::min(state.nextDemotion * 2, m_options.maxDemotion);
}

void ZoneHealth::onResponse(std::string_view zone)
{
    const auto found = m_zones.find(zone);
    if (found != m_zones.end())
        m_zones.erase(found);
}

bool ZoneHealth::isDemoted(std::string_view zone, TimePoint now) const
{
    const auto found = m_zones.find(zone);
    return found != m_zones.end() && now < found->second.demotedUntil;
}

} // namespace arbutuspier
