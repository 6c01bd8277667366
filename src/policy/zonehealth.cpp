// A single response clears a zone at once, as a demotion only changes the order of attempts.
#include "arbutuspier/zonehealth.h"

#include <algorithm>

namespace arbutuspier {

void ZoneHealth::onSilence(std::string_view zone, std::string_view replica, TimePoint now)
{
    Record &record = m_zones[std::string(zone)];
    if (now > record.lastSilence + m_options.memory) {
        record.silent.clear();
        record.nextDoubt = m_options.initialDemotion;
    }
    record.lastSilence = now;
    record.silent.emplace(replica);
    const bool isNewDoubt =
        record.silent.size() >= m_options.minSilentReplicas && now >= record.doubtedUntil;
    if (!isNewDoubt)
        return;
    record.doubtedUntil = now + record.nextDoubt;
    record.nextDoubt = std::min(record.nextDoubt * 2, m_options.maxDemotion);
}

void ZoneHealth::onAnswer(std::string_view zone)
{
    const auto found = m_zones.find(zone);
    if (found != m_zones.end())
        m_zones.erase(found);
}

bool ZoneHealth::isDemoted(std::string_view zone, TimePoint now) const
{
    const auto found = m_zones.find(zone);
    return found != m_zones.end() && now < found->second.doubtedUntil;
}

} // namespace arbutuspier
