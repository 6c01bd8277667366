// Keeps three maps: reservations of this VM, reservations of its peers, and releases that have not
// been acknowledged yet.
#include "arbutuspier/reservationregistry.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace arbutuspier {

ReservationRegistry::ReservationRegistry(VmId self, Incarnation incarnation,
                                         ReservationRegistryOptions options)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_options(options)
{
}

void ReservationRegistry::add(ReservationId reservation, UpstreamId upstream, TimePoint deadline,
                              Fingerprint body)
{
    assert(!m_releasing.contains(reservation));
    m_own[reservation] = {upstream, deadline, body, false};
}

void ReservationRegistry::forget(ReservationId reservation)
{
    auto it = m_own.find(reservation);
    if (it == m_own.end())
        return;
    if (it->second.isAnnounced) {
        ReservationNotice ended{
            reservation, it->second.upstream, m_self, m_incarnation, it->second.body, {}, true};
        m_ended.push_back(ended);
    }
    m_own.erase(it);
}

void ReservationRegistry::release(ReservationId reservation, TimePoint now)
{
    auto it = m_own.find(reservation);
    if (it == m_own.end())
        return;
    const Own own = it->second;
    forget(reservation);
    startRelease(reservation, own.upstream, own.body, now);
}

void ReservationRegistry::releaseUnknown(ReservationId reservation, UpstreamId upstream,
                                         TimePoint now)
{
    if (m_own.contains(reservation))
        release(reservation, now);
    else
        startRelease(reservation, upstream, {}, now);
}

void ReservationRegistry::startRelease(ReservationId reservation, UpstreamId upstream,
                                       Fingerprint body, TimePoint now)
{
    if (!m_releasing.contains(reservation))
        m_releasing[reservation] = {upstream, now, m_options.releaseRetry, body};
}

void ReservationRegistry::onReleased(ReservationId reservation)
{
    m_releasing.erase(reservation);
}

void ReservationRegistry::onUpstreamCrashed(UpstreamId upstream)
{
    const auto isThere = [&](const auto &entry) { return entry.second.upstream == upstream; };
    for (auto it = m_own.begin(); it != m_own.end();) {
        const ReservationId reservation = it->first;
        const bool isLost = isThere(*it);
        ++it;
        if (isLost)
            forget(reservation);
    }
    std::erase_if(m_peers, isThere);
    std::erase_if(m_releasing, isThere);
}

std::vector<Fingerprint> ReservationRegistry::fingerprintsOn(UpstreamId upstream,
                                                             std::span<const VmId> lostOwners) const
{
    std::vector<Fingerprint> bodies;
    const auto take = [&](const auto &entry) {
        if (entry.second.upstream == upstream && entry.second.body.isValid())
            bodies.push_back(entry.second.body);
    };
    for (const auto &entry : m_own)
        take(entry);
    for (const auto &entry : m_releasing)
        take(entry);
    for (const auto &entry : m_peers) {
        const bool isLost =
            std::find(lostOwners.begin(), lostOwners.end(), entry.second.owner) != lostOwners.end();
        if (isLost)
            take(entry);
    }
    std::sort(bodies.begin(), bodies.end());
    bodies.erase(std::unique(bodies.begin(), bodies.end()), bodies.end());
    return bodies;
}

void ReservationRegistry::onNotices(const ReservationNotices &notices, TimePoint now)
{
    for (const ReservationNotice &notice : notices.notices) {
        if (notice.isReleased) {
            m_peers.erase(notice.reservation);
            continue;
        }
        m_peers[notice.reservation] = {notice.upstream, notice.owner, notice.ownerIncarnation,
                                       now + notice.remaining, notice.body};
    }
}

void ReservationRegistry::onOwnerIncarnationEnded(VmId owner, Incarnation incarnation,
                                                  TimePoint now)
{
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        const bool isOrphan = it->second.owner == owner && it->second.incarnation == incarnation;
        if (!isOrphan) {
            ++it;
            continue;
        }
        startRelease(it->first, it->second.upstream, it->second.body, now);
        it = m_peers.erase(it);
    }
}

void ReservationRegistry::tick(TimePoint now)
{
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (now < it->second.deadline + m_options.grace) {
            ++it;
            continue;
        }
        startRelease(it->first, it->second.upstream, it->second.body, now);
        it = m_peers.erase(it);
    }
}

std::vector<ReservationRegistry::DueRelease> ReservationRegistry::dueReleases(TimePoint now)
{
    std::vector<DueRelease> due;
    for (auto &[reservation, releasing] : m_releasing) {
        if (now < releasing.dueAt)
            continue;
        due.push_back({reservation, releasing.upstream});
        releasing.dueAt = now + releasing.wait;
        releasing.wait = std::min(releasing.wait * 2, m_options.maxReleaseRetry);
    }
    return due;
}

ReservationNotice ReservationRegistry::notice(ReservationId id, const Own &own, TimePoint now) const
{
    const Duration remaining = std::max(Duration::zero(), own.deadline - now);
    return {id, own.upstream, m_self, m_incarnation, own.body, remaining, false};
}

std::optional<ReservationNotices> ReservationRegistry::takeNotices(TimePoint now)
{
    if (m_nextNotice && now < *m_nextNotice)
        return std::nullopt;
    m_nextNotice = now + m_options.noticeInterval;
    ReservationNotices notices;
    notices.notices = std::exchange(m_ended, {});
    for (auto &[id, own] : m_own) {
        if (own.isAnnounced)
            continue;
        own.isAnnounced = true;
        notices.notices.push_back(notice(id, own, now));
    }
    if (notices.notices.empty())
        return std::nullopt;
    return notices;
}

ReservationNotices ReservationRegistry::allNotices(TimePoint now) const
{
    ReservationNotices all;
    for (const auto &[id, own] : m_own)
        all.notices.push_back(notice(id, own, now));
    return all;
}

bool ReservationRegistry::isOwn(ReservationId reservation) const
{
    return m_own.contains(reservation);
}

bool ReservationRegistry::isReleasing(ReservationId reservation) const
{
    return m_releasing.contains(reservation);
}

} // namespace arbutuspier
