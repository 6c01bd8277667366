// A single response clears a zone at once, as a demotion only changes the order of attempts.
#include "arbutuspier/zonehealth.h"

#include <algorithm>

namespace arbutuspier {

void ZoneHealth::onUnresponsive(std::string_view zone, std::string_view replica, TimePoint now)
{
    Record &record = m_zones[std::string(zone)];
    if (now > record.lastFailure + m_options.failureMemory) {
        record.unresponsiveReplicas.clear();
        record.nextDemotion = m_options.initialDemotion;
    }
    record.lastFailure = now;
    record.unresponsiveReplicas.emplace(replica);
    const bool isNewDemotion =
        record.unresponsiveReplicas.size() >= m_options.minUnresponsiveReplicas
        && now >= record.demotedUntil;
    if (!isNewDemotion)
        return;
    record.demotedUntil = now + record.nextDemotion;
    record.nextDemotion = std::min(record.nextDemotion * 2, m_options.maxDemotion);
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
