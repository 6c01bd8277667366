// For each fingerprint, keeps the state of each crash. States only go up, so that notices can be
// merged in any order and more than once.
#include "arbutuspier/quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

namespace arbutuspier {

namespace {

std::uint64_t isolationRank(Fingerprint fingerprint, UpstreamId upstream)
{
    return XXH64(&upstream.value, sizeof(upstream.value), fingerprint.value);
}

} // namespace

std::uint64_t Quarantine::crashDigest(UpstreamId upstream, Incarnation incarnation,
                                      std::uint64_t restarts)
{
    const std::array<std::uint64_t, 2> parts{upstream.value, incarnation.value};
    return XXH64(parts.data(), sizeof(parts), restarts);
}

std::uint64_t Quarantine::crashOfAttempt(UpstreamId upstream, Incarnation incarnation,
                                         Fingerprint fingerprint, TimePoint sentAt) const
{
    std::uint64_t crash = crashDigest(upstream, incarnation);
    const auto record = m_records.find(fingerprint);
    if (record == m_records.end())
        return crash;
    const std::map<std::uint64_t, Crash> &known = record->second.crashes;
    for (std::uint64_t restarts = 1;; ++restarts) {
        const auto found = known.find(crash);
        const bool wasKnown = found != known.end() && found->second.knownSince < sentAt;
        if (!wasKnown)
            return crash;
        crash = crashDigest(upstream, incarnation, restarts);
    }
}

std::vector<std::uint64_t> Quarantine::Record::crashesIn(CrashState state) const
{
    std::vector<std::uint64_t> result;
    for (const auto &[digest, crash] : crashes) {
        if (crash.state == state)
            result.push_back(digest);
    }
    return result;
}

std::size_t Quarantine::Record::count(
    CrashState state, const std::function<bool(std::uint64_t crash)> &isExplained) const
{
    const auto counts = [&](const auto &entry) {
        return entry.second.state == state && !(isExplained && isExplained(entry.first));
    };
    return static_cast<std::size_t>(std::count_if(crashes.begin(), crashes.end(), counts));
}

bool Quarantine::Record::raise(std::uint64_t crash, CrashState state, TimePoint now)
{
    const auto [entry, isNew] = crashes.try_emplace(crash, Crash{state, now});
    if (isNew)
        return true;
    if (entry->second.state >= state)
        return false;
    entry->second.state = state;
    return true;
}

Quarantine::QuarantineState Quarantine::quarantineState(
    Fingerprint fingerprint, const std::function<bool(std::uint64_t crash)> &isExplained) const
{
    auto it = m_records.find(fingerprint);
    if (it == m_records.end())
        return QuarantineState::Clean;
    const std::size_t confirmed = it->second.count(CrashState::Confirmed, isExplained);
    const std::size_t all = confirmed + it->second.count(CrashState::Unconfirmed, isExplained);
    if (all == 0)
        return QuarantineState::Clean;
    const bool isQuarantined =
        confirmed >= m_options.maxCrashes || all >= m_options.maxUnconfirmedCrashes;
    return isQuarantined ? QuarantineState::Quarantined : QuarantineState::Suspect;
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
                                                       TimePoint now, CrashState state)
{
    const std::uint64_t crash = crashDigest(upstream, incarnation);
    std::vector<SuspectNotice> notices;
    for (Fingerprint fingerprint : inFlight) {
        for (SuspectNotice &notice : onCrash(crash, fingerprint, now, state))
            notices.push_back(std::move(notice));
    }
    return notices;
}

std::vector<SuspectNotice> Quarantine::onCrash(std::uint64_t crash, Fingerprint fingerprint,
                                               TimePoint now, CrashState state)
{
    Record &record = touchRecord(fingerprint, now);
    if (!record.raise(crash, state, now))
        return {};
    return {{fingerprint, record.crashesIn(state), state}};
}

std::vector<SuspectNotice> Quarantine::retract(UpstreamId upstream, Incarnation incarnation)
{
    std::vector<SuspectNotice> notices;
    for (auto &[fingerprint, record] : m_records) {
        SuspectNotice notice{fingerprint, {}, CrashState::Cleared};
        for (std::uint64_t restarts = 0;; ++restarts) {
            const auto found = record.crashes.find(crashDigest(upstream, incarnation, restarts));
            if (found == record.crashes.end())
                break;
            if (std::exchange(found->second.state, CrashState::Cleared) != CrashState::Cleared)
                notice.crashes.push_back(found->first);
        }
        if (!notice.crashes.empty())
            notices.push_back(std::move(notice));
    }
    return notices;
}

std::vector<SuspectNotice> Quarantine::clear(Fingerprint fingerprint)
{
    auto it = m_records.find(fingerprint);
    if (it == m_records.end())
        return {};
    SuspectNotice notice{fingerprint, {}, CrashState::Cleared};
    for (auto &[digest, crash] : it->second.crashes) {
        if (std::exchange(crash.state, CrashState::Cleared) != CrashState::Cleared)
            notice.crashes.push_back(digest);
    }
    if (notice.crashes.empty())
        return {};
    return {std::move(notice)};
}

bool Quarantine::merge(const SuspectNotice &notice, TimePoint now)
{
    const QuarantineState before = quarantineState(notice.fingerprint);
    Record &record = touchRecord(notice.fingerprint, now);
    for (std::uint64_t crash : notice.crashes)
        record.raise(crash, notice.state, now);
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
    return it->second.crashesIn(CrashState::Confirmed);
}

std::vector<SuspectNotice> Quarantine::noticesOf(Fingerprint fingerprint) const
{
    std::vector<SuspectNotice> notices;
    auto it = m_records.find(fingerprint);
    if (it == m_records.end())
        return notices;
    for (CrashState state : {CrashState::Unconfirmed, CrashState::Confirmed, CrashState::Cleared}) {
        std::vector<std::uint64_t> crashes = it->second.crashesIn(state);
        if (!crashes.empty())
            notices.push_back({fingerprint, std::move(crashes), state});
    }
    return notices;
}

std::vector<SuspectNotice> Quarantine::records(std::size_t maxCount) const
{
    std::vector<std::pair<TimePoint, Fingerprint>> suspects;
    for (const auto &[fingerprint, record] : m_records) {
        if (quarantineState(fingerprint) != QuarantineState::Clean)
            suspects.emplace_back(record.updatedAt, fingerprint);
    }
    std::sort(suspects.begin(), suspects.end(), std::greater<>());
    suspects.resize(std::min(suspects.size(), maxCount));
    std::vector<SuspectNotice> found;
    for (const auto &[updatedAt, fingerprint] : suspects) {
        for (SuspectNotice &notice : noticesOf(fingerprint)) {
            if (!notice.isCleared())
                found.push_back(std::move(notice));
        }
    }
    return found;
}

} // namespace arbutuspier
