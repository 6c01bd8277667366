// An incarnation that was seen draining is never used again. Everything else follows the newest
// list.
#include "arbutuspier/upstreamdirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace arbutuspier {

void UpstreamDirectory::replaceAll(const std::vector<ReplicaRow> &rows, TimePoint now, ListAge age)
{
    std::set<std::string, std::less<>> listedIds;
    for (const ReplicaRow &row : rows) {
        if (row.entry)
            listedIds.insert(row.id);
    }
    std::vector<std::string> missing;
    for (const auto &[id, tracked] : m_entries) {
        if (listedIds.count(id) == 0)
            missing.push_back(id);
    }
    for (const std::string &id : missing)
        onEntryMissing(id, now);
    if (age == ListAge::Current) {
        applyChanges(rows, now);
        return;
    }
    std::vector<ReplicaRow> present;
    for (const ReplicaRow &row : rows) {
        if (row.entry && !hasDeparted(row.entry->incarnation()))
            present.push_back(row);
    }
    applyChanges(present, now);
}

void UpstreamDirectory::applyChanges(const std::vector<ReplicaRow> &rows, TimePoint now)
{
    for (const ReplicaRow &row : rows) {
        if (row.entry)
            updateEntry(*row.entry);
        else
            onEntryMissing(row.id, now);
    }
}

void UpstreamDirectory::updateEntry(const ReplicaEntry &entry)
{
    const auto found = m_entries.find(entry.id);
    const bool isEarlier =
        found != m_entries.end() && found->second.entry.startedAtMs > entry.startedAtMs;
    if (isEarlier && !hasDeparted(found->second.entry.incarnation()))
        return;
    const bool isNew = found == m_entries.end()
        || found->second.entry.startedAtMs != entry.startedAtMs
        || found->second.entry.state != entry.state || found->second.missingSince;
    if (entry.state == ReplicaState::Draining)
        recordDeparture({entry.incarnation(), true});
    const auto departed = m_departed.find(entry.incarnation());
    const bool hasReturned = departed != m_departed.end() && !departed->second.wasDraining;
    if (hasReturned)
        m_departed.erase(departed);
    m_entries[entry.id] = TrackedEntry{entry, std::nullopt};
    if (isNew || hasReturned)
        ++m_revision;
}

void UpstreamDirectory::onEntryMissing(const std::string &id, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    const bool mayComeBack = !m_isReachable || now < m_graceEnd;
    if (mayComeBack) {
        if (!found->second.missingSince)
            found->second.missingSince = now;
        return;
    }
    recordDeparture({found->second.entry.incarnation(), false});
    m_entries.erase(found);
    ++m_revision;
}

void UpstreamDirectory::setUnreachable()
{
    m_isReachable = false;
}

void UpstreamDirectory::setReachable(TimePoint now)
{
    const bool startsGracePeriod = !m_isReachable && mayHaveExpired(now);
    m_lastReachableAt = now;
    m_isReachable = true;
    if (startsGracePeriod)
        startGracePeriod(now);
}

bool UpstreamDirectory::mayHaveExpired(TimePoint now) const
{
    return !m_lastReachableAt || now - *m_lastReachableAt >= m_options.shortestLapse;
}

void UpstreamDirectory::onReadByPeer(TimePoint now, Duration graceLeft)
{
    if (!m_isReachable)
        return;
    if (mayHaveExpired(now))
        m_graceEnd = std::max(m_graceEnd, now + graceLeft);
    m_lastReachableAt = now;
}

bool UpstreamDirectory::isNews(const ReplicaRow &row) const
{
    const auto found = m_entries.find(row.id);
    const bool isKnown = found != m_entries.end();
    if (!row.entry)
        return isKnown && !found->second.missingSince;
    const auto departed = m_departed.find(row.entry->incarnation());
    const bool hasReturned = departed != m_departed.end() && !departed->second.wasDraining;
    return !isKnown || found->second.entry != *row.entry || found->second.missingSince
        || hasReturned;
}

bool UpstreamDirectory::applyDeparture(const Departure &departure)
{
    const auto found = m_departed.find(departure.incarnation);
    const bool isKnown =
        found != m_departed.end() && (found->second.wasDraining || !departure.wasDraining);
    if (isKnown)
        return false;
    recordDeparture(departure);
    ++m_revision;
    return true;
}

void UpstreamDirectory::recordDeparture(const Departure &departure)
{
    auto [it, isNew] = m_departed.try_emplace(departure.incarnation);
    const bool isNewInformation = isNew || (departure.wasDraining && !it->second.wasDraining);
    if (!isNewInformation)
        return;
    it->second = {departure.wasDraining, m_departureCount++};
    m_newDepartures.push_back(departure);
    if (m_departed.size() > m_options.maxDepartures)
        removeOldestDeparture();
}

void UpstreamDirectory::removeOldestDeparture()
{
    const auto isOlder = [](const auto &a, const auto &b) {
        return a.second.order < b.second.order;
    };
    m_departed.erase(std::min_element(m_departed.begin(), m_departed.end(), isOlder));
}

void UpstreamDirectory::tick(TimePoint now)
{
    if (!m_isReachable || now < m_graceEnd)
        return;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (!it->second.missingSince) {
            ++it;
            continue;
        }
        recordDeparture({it->second.entry.incarnation(), false});
        it = m_entries.erase(it);
        ++m_revision;
    }
}

std::vector<const ReplicaEntry *> UpstreamDirectory::usable(std::string_view service) const
{
    std::vector<const ReplicaEntry *> result;
    for (const auto &[id, tracked] : m_entries) {
        if (tracked.entry.service == service && isUsable(tracked.entry))
            result.push_back(&tracked.entry);
    }
    return result;
}

std::set<std::string> UpstreamDirectory::services() const
{
    std::set<std::string> result;
    for (const auto &[id, tracked] : m_entries) {
        if (isUsable(tracked.entry))
            result.insert(tracked.entry.service);
    }
    return result;
}

std::vector<ReplicaEntry> UpstreamDirectory::entries() const
{
    std::vector<ReplicaEntry> result;
    for (const auto &[id, tracked] : m_entries) {
        if (!hasDeparted(tracked.entry.incarnation()))
            result.push_back(tracked.entry);
    }
    return result;
}

std::vector<Departure> UpstreamDirectory::departures() const
{
    std::vector<Departure> result;
    for (const auto &[incarnation, departed] : m_departed)
        result.push_back({incarnation, departed.wasDraining});
    return result;
}

const ReplicaEntry *UpstreamDirectory::find(std::string_view id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.entry;
}

bool UpstreamDirectory::isUsable(const ReplicaIncarnation &incarnation) const
{
    const ReplicaEntry *entry = find(incarnation.id);
    return entry && entry->startedAtMs == incarnation.startedAtMs && isUsable(*entry);
}

bool UpstreamDirectory::isServing(const ReplicaIncarnation &incarnation) const
{
    const ReplicaEntry *entry = find(incarnation.id);
    return entry && entry->startedAtMs == incarnation.startedAtMs && isServing(*entry);
}

bool UpstreamDirectory::isServing(const ReplicaEntry &entry) const
{
    return entry.state == ReplicaState::Ready && !hasDeparted(entry.incarnation());
}

bool UpstreamDirectory::isUsable(const ReplicaEntry &entry) const
{
    return isServing(entry) && !isEvacuated(entry);
}

void UpstreamDirectory::setEvacuatedZones(std::set<std::string> zones)
{
    if (zones == m_evacuatedZones)
        return;
    m_evacuatedZones = std::move(zones);
    ++m_revision;
}

bool UpstreamDirectory::areAllEvacuated(std::string_view service) const
{
    bool hasServing = false;
    for (const auto &[id, tracked] : m_entries) {
        if (tracked.entry.service != service || !isServing(tracked.entry))
            continue;
        if (!isEvacuated(tracked.entry))
            return false;
        hasServing = true;
    }
    return hasServing;
}

bool UpstreamDirectory::wasRemovedOrReplaced(const ReplicaIncarnation &incarnation) const
{
    const auto departed = m_departed.find(incarnation);
    const ReplicaEntry *entry = find(incarnation.id);
    const bool isReplaced = entry && entry->startedAtMs > incarnation.startedAtMs;
    return isReplaced || (departed != m_departed.end() && !departed->second.wasDraining);
}

std::vector<Departure> UpstreamDirectory::takeNewDepartures()
{
    return std::exchange(m_newDepartures, {});
}

} // namespace arbutuspier
