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
                              Fingerprint fingerprint)
{
    assert(!m_pendingReleases.contains(reservation));
    m_ownReservations[reservation] = {upstream, deadline, fingerprint, false};
}

void ReservationRegistry::forget(ReservationId reservation)
{
    auto it = m_ownReservations.find(reservation);
    if (it == m_ownReservations.end())
        return;
    if (it->second.isAnnounced) {
        ReservationNotice ended{reservation,   it->second.upstream,    m_self,
                                m_incarnation, it->second.fingerprint, {},
                                true};
        m_endedNotices.push_back(ended);
    }
    m_ownReservations.erase(it);
}

void ReservationRegistry::release(ReservationId reservation, TimePoint now)
{
    auto it = m_ownReservations.find(reservation);
    if (it == m_ownReservations.end())
        return;
    const OwnReservation own = it->second;
    forget(reservation);
    startRelease(reservation, own.upstream, own.fingerprint, now);
}

void ReservationRegistry::releaseUnknown(ReservationId reservation, UpstreamId upstream,
                                         TimePoint now)
{
    if (m_ownReservations.contains(reservation))
        release(reservation, now);
    else
        startRelease(reservation, upstream, {}, now);
}

void ReservationRegistry::startRelease(ReservationId reservation, UpstreamId upstream,
                                       Fingerprint fingerprint, TimePoint now)
{
    if (!m_pendingReleases.contains(reservation))
        m_pendingReleases[reservation] = {upstream, now, m_options.releaseRetry, fingerprint};
}

void ReservationRegistry::onReleased(ReservationId reservation)
{
    m_pendingReleases.erase(reservation);
}

void ReservationRegistry::onUpstreamCrashed(UpstreamId upstream)
{
    const auto isOnUpstream = [&](const auto &entry) { return entry.second.upstream == upstream; };
    for (auto it = m_ownReservations.begin(); it != m_ownReservations.end();) {
        const ReservationId reservation = it->first;
        const bool isLost = isOnUpstream(*it);
        ++it;
        if (isLost)
            forget(reservation);
    }
    std::erase_if(m_peerReservations, isOnUpstream);
    std::erase_if(m_pendingReleases, isOnUpstream);
}

std::vector<Fingerprint> ReservationRegistry::fingerprintsOn(UpstreamId upstream,
                                                             std::span<const VmId> lostOwners) const
{
    std::vector<Fingerprint> fingerprints;
    const auto addFingerprint = [&](const auto &entry) {
        if (entry.second.upstream == upstream && entry.second.fingerprint.isValid())
            fingerprints.push_back(entry.second.fingerprint);
    };
    for (const auto &entry : m_ownReservations)
        addFingerprint(entry);
    for (const auto &entry : m_pendingReleases)
        addFingerprint(entry);
    for (const auto &entry : m_peerReservations) {
        const bool isLost =
            std::find(lostOwners.begin(), lostOwners.end(), entry.second.owner) != lostOwners.end();
        if (isLost)
            addFingerprint(entry);
    }
    std::sort(fingerprints.begin(), fingerprints.end());
    fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()), fingerprints.end());
    return fingerprints;
}

void ReservationRegistry::onNotices(const ReservationNotices &notices, TimePoint now)
{
    for (const ReservationNotice &notice : notices.notices) {
        if (notice.isReleased) {
            m_peerReservations.erase(notice.reservation);
            continue;
        }
        m_peerReservations[notice.reservation] = {notice.upstream, notice.owner,
                                                  notice.ownerIncarnation, now + notice.remaining,
                                                  notice.fingerprint};
    }
}

void ReservationRegistry::onOwnerIncarnationEnded(VmId owner, Incarnation incarnation,
                                                  TimePoint now)
{
    for (auto it = m_peerReservations.begin(); it != m_peerReservations.end();) {
        const bool isOrphan = it->second.owner == owner && it->second.incarnation == incarnation;
        if (!isOrphan) {
            ++it;
            continue;
        }
        startRelease(it->first, it->second.upstream, it->second.fingerprint, now);
        it = m_peerReservations.erase(it);
    }
}

void ReservationRegistry::tick(TimePoint now)
{
    for (auto it = m_peerReservations.begin(); it != m_peerReservations.end();) {
        if (now < it->second.deadline + m_options.deadlineGrace) {
            ++it;
            continue;
        }
        startRelease(it->first, it->second.upstream, it->second.fingerprint, now);
        it = m_peerReservations.erase(it);
    }
}

std::vector<ReservationRegistry::DueRelease> ReservationRegistry::dueReleases(TimePoint now)
{
    std::vector<DueRelease> due;
    for (auto &[reservation, pending] : m_pendingReleases) {
        if (now < pending.dueAt)
            continue;
        due.push_back({reservation, pending.upstream});
        pending.dueAt = now + pending.retryWait;
        pending.retryWait = std::min(pending.retryWait * 2, m_options.maxReleaseRetry);
    }
    return due;
}

ReservationNotice ReservationRegistry::notice(ReservationId id, const OwnReservation &own,
                                              TimePoint now) const
{
    const Duration remaining = std::max(Duration::zero(), own.deadline - now);
    return {id, own.upstream, m_self, m_incarnation, own.fingerprint, remaining, false};
}

std::optional<ReservationNotices> ReservationRegistry::takeNotices(TimePoint now)
{
    if (m_nextNoticeAt && now < *m_nextNoticeAt)
        return std::nullopt;
    m_nextNoticeAt = now + m_options.noticeInterval;
    ReservationNotices notices;
    notices.notices = std::exchange(m_endedNotices, {});
    for (auto &[id, own] : m_ownReservations) {
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
    for (const auto &[id, own] : m_ownReservations)
        all.notices.push_back(notice(id, own, now));
    return all;
}

bool ReservationRegistry::isOwn(ReservationId reservation) const
{
    return m_ownReservations.contains(reservation);
}

bool ReservationRegistry::isReleasing(ReservationId reservation) const
{
    return m_pendingReleases.contains(reservation);
}

} // namespace arbutuspier
