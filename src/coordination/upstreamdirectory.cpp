// An incarnation that was seen draining is never used again. Everything else follows the newest
// list.
#include "arbutuspier/upstreamdirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace arbutuspier {

void UpstreamDirectory::replaceAll(const std::vector<ReplicaRow> &rows, TimePoint now)
{
    std::set<std::string, std::less<>> present;
    for (const ReplicaRow &row : rows) {
        if (row.entry)
            present.insert(row.id);
    }
    std::vector<std::string> missing;
    for (const auto &[id, slot] : m_entries) {
        if (present.count(id) == 0)
            missing.push_back(id);
    }
    for (const std::string &id : missing)
        drop(id, now);
    apply(rows, now);
}

void UpstreamDirectory::apply(const std::vector<ReplicaRow> &rows, TimePoint now)
{
    for (const ReplicaRow &row : rows) {
        if (row.entry)
            put(*row.entry);
        else
            drop(row.id, now);
    }
}

void UpstreamDirectory::put(const ReplicaEntry &entry)
{
    const auto found = m_entries.find(entry.id);
    if (found != m_entries.end() && found->second.entry.startedAtMs > entry.startedAtMs)
        return;
    const bool isNew = found == m_entries.end()
        || found->second.entry.startedAtMs != entry.startedAtMs
        || found->second.entry.state != entry.state || found->second.goneAt;
    if (entry.state == ReplicaState::Draining)
        recordLeft({entry.incarnation(), true});
    const auto left = m_left.find(entry.incarnation());
    const bool isBack = left != m_left.end() && !left->second.isDraining;
    if (isBack)
        m_left.erase(left);
    m_entries[entry.id] = Slot{entry, std::nullopt};
    if (isNew || isBack)
        ++m_revision;
}

void UpstreamDirectory::drop(const std::string &id, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    const bool mayComeBack = !m_isReachable || now < m_graceEnd;
    if (mayComeBack) {
        if (!found->second.goneAt)
            found->second.goneAt = now;
        return;
    }
    recordLeft({found->second.entry.incarnation(), false});
    m_entries.erase(found);
    ++m_revision;
}

void UpstreamDirectory::setUnreachable()
{
    m_isReachable = false;
}

void UpstreamDirectory::setReachable(TimePoint now)
{
    if (m_isReachable)
        return;
    m_isReachable = true;
    m_graceEnd = now + m_options.missingEntryGrace;
}

bool UpstreamDirectory::markLeaving(const Departure &departure)
{
    const auto found = m_left.find(departure.incarnation);
    const bool isKnown =
        found != m_left.end() && (found->second.isDraining || !departure.isDraining);
    if (isKnown)
        return false;
    recordLeft(departure);
    ++m_revision;
    return true;
}

void UpstreamDirectory::recordLeft(const Departure &departure)
{
    auto [it, isNew] = m_left.try_emplace(departure.incarnation);
    const bool isNews = isNew || (departure.isDraining && !it->second.isDraining);
    if (!isNews)
        return;
    it->second = {departure.isDraining, m_leftCount++};
    m_newlyLeft.push_back(departure);
    if (m_left.size() > m_options.maxDepartures)
        forgetOldest();
}

void UpstreamDirectory::forgetOldest()
{
    const auto isOlder = [](const auto &a, const auto &b) {
        return a.second.order < b.second.order;
    };
    m_left.erase(std::min_element(m_left.begin(), m_left.end(), isOlder));
}

void UpstreamDirectory::tick(TimePoint now)
{
    if (!m_isReachable || now < m_graceEnd)
        return;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (!it->second.goneAt) {
            ++it;
            continue;
        }
        recordLeft({it->second.entry.incarnation(), false});
        it = m_entries.erase(it);
        ++m_revision;
    }
}

std::vector<const ReplicaEntry *> UpstreamDirectory::usable(std::string_view service) const
{
    std::vector<const ReplicaEntry *> result;
    for (const auto &[id, slot] : m_entries) {
        const ReplicaEntry &entry = slot.entry;
        if (entry.service == service && entry.state == ReplicaState::Ready
            && !hasLeft(entry.incarnation()))
            result.push_back(&entry);
    }
    return result;
}

std::vector<ReplicaEntry> UpstreamDirectory::entries() const
{
    std::vector<ReplicaEntry> result;
    for (const auto &[id, slot] : m_entries) {
        if (!hasLeft(slot.entry.incarnation()))
            result.push_back(slot.entry);
    }
    return result;
}

std::vector<Departure> UpstreamDirectory::departures() const
{
    std::vector<Departure> result;
    for (const auto &[incarnation, left] : m_left)
        result.push_back({incarnation, left.isDraining});
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
    return entry && entry->startedAtMs == incarnation.startedAtMs
        && entry->state == ReplicaState::Ready && !hasLeft(incarnation);
}

bool UpstreamDirectory::wasRemovedOrReplaced(const ReplicaIncarnation &incarnation) const
{
    const auto left = m_left.find(incarnation);
    const ReplicaEntry *entry = find(incarnation.id);
    const bool isReplaced = entry && entry->startedAtMs > incarnation.startedAtMs;
    return isReplaced || (left != m_left.end() && !left->second.isDraining);
}

std::vector<Departure> UpstreamDirectory::takeNewDepartures()
{
    return std::exchange(m_newlyLeft, {});
}

} // namespace arbutuspier
