// For each fingerprint, keeps a grow-only set of crashes and a grow-only set of crashes from which
// it was cleared. The crashes in the first but not in the second set count.
#include "arbutuspier/quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace arbutuspier {

namespace {

std::uint64_t isolationRank(Fingerprint fingerprint, UpstreamId upstream)
{
    return XXH64(&upstream.value, sizeof(upstream.value), fingerprint.value);
}

} // namespace

std::uint64_t Quarantine::crashDigest(UpstreamId upstream, Incarnation incarnation)
{
    const std::array<std::uint64_t, 2> parts{upstream.value, incarnation.value};
    return XXH64(parts.data(), sizeof(parts), 0);
}

Quarantine::QuarantineState Quarantine::quarantineState(Fingerprint fingerprint) const
{
    auto it = m_records.find(fingerprint);
    if (it == m_records.end() || it->second.crashes.empty())
        return QuarantineState::Clean;
    return it->second.crashes.size() >= m_options.maxCrashes ? QuarantineState::Quarantined
                                                             : QuarantineState::Suspect;
}

Quarantine::Record &Quarantine::touchRecord(Fingerprint fingerprint, TimePoint now)
{
    const bool isFull = m_records.size() >= m_options.maxRecords;
    if (isFull && !m_records.contains(fingerprint)) {
        auto oldest =
            std::min_element(m_records.begin(), m_records.end(), [](const auto &a, const auto &b) {
                return a.second.updatedAt < b.second.updatedAt;
            });
        m_records.erase(oldest);
    }
    Record &record = m_records[fingerprint];
    record.updatedAt = now;
    return record;
}

std::vector<SuspectNotice> Quarantine::onUpstreamCrash(UpstreamId upstream, Incarnation incarnation,
                                                       std::span<const Fingerprint> inFlight,
                                                       TimePoint now)
{
    const std::uint64_t crash = crashDigest(upstream, incarnation);
    std::vector<SuspectNotice> notices;
    for (Fingerprint fingerprint : inFlight) {
        Record &record = touchRecord(fingerprint, now);
        if (!record.crashes.insert(crash).second)
            continue;
        SuspectNotice notice;
        notice.fingerprint = fingerprint;
        notice.crashes.assign(record.crashes.begin(), record.crashes.end());
        notices.push_back(std::move(notice));
    }
    return notices;
}

std::vector<SuspectNotice> Quarantine::retract(UpstreamId upstream, Incarnation incarnation)
{
    const std::uint64_t crash = crashDigest(upstream, incarnation);
    std::vector<SuspectNotice> notices;
    for (auto &[fingerprint, record] : m_records) {
        if (record.crashes.erase(crash) == 0)
            continue;
        record.cleared.insert(crash);
        notices.push_back({fingerprint, {crash}, true});
    }
    return notices;
}

std::vector<SuspectNotice> Quarantine::onCompleted(Fingerprint fingerprint)
{
    if (quarantineState(fingerprint) != QuarantineState::Suspect)
        return {};
    return clear(fingerprint);
}

std::vector<SuspectNotice> Quarantine::clear(Fingerprint fingerprint)
{
    auto it = m_records.find(fingerprint);
    if (it == m_records.end() || it->second.crashes.empty())
        return {};
    Record &record = it->second;
    SuspectNotice notice;
    notice.fingerprint = fingerprint;
    notice.crashes.assign(record.crashes.begin(), record.crashes.end());
    notice.isCleared = true;
    record.cleared.insert(record.crashes.begin(), record.crashes.end());
    record.crashes.clear();
    return {std::move(notice)};
}

bool Quarantine::merge(const SuspectNotice &notice, TimePoint now)
{
    const QuarantineState before = quarantineState(notice.fingerprint);
    Record &record = touchRecord(notice.fingerprint, now);
    for (std::uint64_t crash : notice.crashes) {
        if (notice.isCleared) {
            record.cleared.insert(crash);
            record.crashes.erase(crash);
        } else if (!record.cleared.contains(crash)) {
            record.crashes.insert(crash);
        }
    }
    return quarantineState(notice.fingerprint) != before;
}

void Quarantine::tick(TimePoint now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        return now >= entry.second.updatedAt + m_options.recordLifetime;
    });
}

UpstreamId Quarantine::isolationUpstream(Fingerprint fingerprint,
                                         std::span<const UpstreamId> present)
{
    UpstreamId best;
    for (UpstreamId upstream : present) {
        const bool isBetter = !best.isValid()
            || isolationRank(fingerprint, upstream) < isolationRank(fingerprint, best);
        if (isBetter)
            best = upstream;
    }
    return best;
}

std::vector<std::uint64_t> Quarantine::crashesOf(Fingerprint fingerprint) const
{
    auto it = m_records.find(fingerprint);
    if (it == m_records.end())
        return {};
    return {it->second.crashes.begin(), it->second.crashes.end()};
}

std::vector<SuspectNotice> Quarantine::records() const
{
    std::vector<SuspectNotice> found;
    for (const auto &[fingerprint, record] : m_records) {
        if (record.crashes.empty())
            continue;
        found.push_back({fingerprint, {record.crashes.begin(), record.crashes.end()}, false});
    }
    std::sort(found.begin(), found.end(), [](const SuspectNotice &a, const SuspectNotice &b) {
        return a.fingerprint < b.fingerprint;
    });
    return found;
}

} // namespace arbutuspier
