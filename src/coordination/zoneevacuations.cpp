// Revisions decide, never the order in which records arrive.
#include "arbutuspier/zoneevacuations.h"

#include <algorithm>
#include <utility>

namespace arbutuspier {

bool ZoneEvacuations::apply(const ZoneEvacuation &zone, TimePoint now)
{
    const auto [known, isNew] = m_zones.try_emplace(zone.zone);
    Record &record = known->second;
    // Of two records with one revision, all VMs have to choose the same.
    const bool isNewer = isNew || zone.revision > record.revision
        || (zone.revision == record.revision && zone.isEvacuated && !record.isEvacuated);
    if (!isNewer)
        return false;
    const bool hasChanged = record.isEvacuated != zone.isEvacuated;
    const TimePoint since = hasChanged ? now : record.since;
    record = {zone.revision, zone.isEvacuated, since};
    return hasChanged;
}

std::vector<ZoneEvacuation> ZoneEvacuations::applyAll(const std::vector<ZoneEvacuation> &zones,
                                                      TimePoint now)
{
    std::vector<ZoneEvacuation> changed;
    for (const ZoneEvacuation &zone : zones) {
        if (apply(zone, now))
            changed.push_back(zone);
    }
    forgetOldest();
    return changed;
}

std::vector<ZoneEvacuation> ZoneEvacuations::applyRead(const std::vector<ZoneEvacuation> &zones,
                                                       EvacuationRevision revision, TimePoint now)
{
    m_readAt = now;
    std::vector<ZoneEvacuation> all = zones;
    std::set<std::string> missing = evacuated();
    for (const ZoneEvacuation &zone : zones)
        missing.erase(zone.zone);
    for (const std::string &zone : missing)
        all.push_back({zone, revision, false});
    return applyAll(all, now);
}

std::vector<ZoneEvacuation> ZoneEvacuations::applyChanges(const std::vector<ZoneEvacuation> &zones,
                                                          TimePoint now)
{
    m_readAt = now;
    return applyAll(zones, now);
}

std::vector<ZoneEvacuation> ZoneEvacuations::merge(const ZoneEvacuationNotice &notice,
                                                   TimePoint now)
{
    const TimePoint readAt = now - notice.age;
    m_readAt = std::max(m_readAt.value_or(readAt), readAt);
    return applyAll(notice.zones, now);
}

ZoneEvacuationNotice ZoneEvacuations::notice(TimePoint now) const
{
    ZoneEvacuationNotice notice;
    notice.age = age(now).value_or(Duration{});
    for (const auto &[name, record] : m_zones)
        notice.zones.push_back({name, record.revision, record.isEvacuated});
    return notice;
}

std::optional<Duration> ZoneEvacuations::age(TimePoint now) const
{
    if (!m_readAt)
        return std::nullopt;
    return std::max(Duration{}, now - *m_readAt);
}

std::set<std::string> ZoneEvacuations::evacuated() const
{
    std::set<std::string> zones;
    for (const auto &[name, record] : m_zones) {
        if (record.isEvacuated)
            zones.insert(name);
    }
    return zones;
}

bool ZoneEvacuations::isEvacuated(const std::string &zone) const
{
    const auto known = m_zones.find(zone);
    return known != m_zones.end() && known->second.isEvacuated;
}

Duration ZoneEvacuations::retryAfter(TimePoint now) const
{
    Duration shortest = m_options.maxRetryAfter;
    for (const auto &[name, record] : m_zones) {
        if (record.isEvacuated)
            shortest = std::min(shortest, now - record.since);
    }
    return std::clamp(shortest, m_options.minRetryAfter, m_options.maxRetryAfter);
}

void ZoneEvacuations::forgetOldest()
{
    const auto isOlder = [](const auto &a, const auto &b) {
        return std::pair(a.second.isEvacuated, a.second.revision)
            < std::pair(b.second.isEvacuated, b.second.revision);
    };
    while (m_zones.size() > m_options.maxZones) {
        const auto oldest = std::min_element(m_zones.begin(), m_zones.end(), isOlder);
        if (oldest->second.isEvacuated)
            return;
        m_zones.erase(oldest);
    }
}

} // namespace arbutuspier
