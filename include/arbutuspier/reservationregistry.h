// Tracks memory that this VM and its peers have reserved on upstreams, and makes sure that every
// reservation is released.
//
// Each reservation has an id, an upstream and a deadline. The owner releases it however the request
// ends. Two backup peers know of it as well. They release it once the owner's incarnation is known
// to have ended or the deadline has passed. A release is repeated until the upstream acknowledges
// it or the upstream's process has been replaced.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/ids.h"
#include "arbutuspier/peer.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace arbutuspier {

struct ReservationRegistryOptions
{
    /// Time between notices to backup peers. A reservation that is made and ends in between is
    /// never announced.
    Duration noticeInterval = std::chrono::milliseconds{40};
    /// Time until an unacknowledged release is sent again; doubles with each attempt.
    Duration releaseRetry = std::chrono::milliseconds{500};
    Duration maxReleaseRetry = std::chrono::seconds{10};
    /// This VM releases a peer's reservation once its deadline is this far in the past.
    Duration deadlineGrace = std::chrono::seconds{2};
};

class ReservationRegistry
{
public:
    struct DueRelease
    {
        ReservationId reservation;
        UpstreamId upstream;
    };

    ReservationRegistry(VmId self, Incarnation incarnation, ReservationRegistryOptions options);

    /// Records that this VM has, or may have, memory reserved on an upstream.
    void add(ReservationId reservation, UpstreamId upstream, TimePoint deadline,
             Fingerprint fingerprint);
    /// The reservation ended on its own (response complete or request refused by the upstream), so
    /// no release needs to be sent.
    void forget(ReservationId reservation);
    /// Starts releasing a reservation of this VM.
    void release(ReservationId reservation, TimePoint now);
    /// Releases a reservation that this VM may not know, such as one that an upstream lists as
    /// expired.
    void releaseUnknown(ReservationId reservation, UpstreamId upstream, TimePoint now);
    /// The upstream acknowledged the release.
    void onReleased(ReservationId reservation);
    /// The upstream's process ended, and its reservations ended with it.
    void onUpstreamCrashed(UpstreamId upstream);

    /// Fingerprints of the requests that may be running on an upstream for this VM or for one of
    /// `lostOwners`, sorted and without duplicates.
    std::vector<Fingerprint> fingerprintsOn(UpstreamId upstream,
                                            std::span<const VmId> lostOwners) const;

    void onNotices(const ReservationNotices &notices, TimePoint now);
    /// The owner's incarnation is known to have ended: releases its reservations.
    void onOwnerIncarnationEnded(VmId owner, Incarnation incarnation, TimePoint now);

    /// Starts releasing peers' reservations that are past their deadline and the grace period.
    void tick(TimePoint now);
    /// Returns the releases to send now and schedules the retry of each.
    std::vector<DueRelease> dueReleases(TimePoint now);
    /// Returns the changes of this VM's reservations since the last call, for the backup peers, or
    /// nothing if the notice interval hasn't passed or nothing has changed.
    std::optional<ReservationNotices> takeNotices(TimePoint now);
    /// Returns all reservations of this VM, for a new backup peer.
    ReservationNotices allNotices(TimePoint now) const;

    bool isReleasing(ReservationId reservation) const;
    bool isOwn(ReservationId reservation) const;
    std::size_t ownCount() const { return m_ownReservations.size(); }
    std::size_t peerCount() const { return m_peerReservations.size(); }
    std::size_t releasingCount() const { return m_pendingReleases.size(); }

private:
    struct OwnReservation
    {
        UpstreamId upstream;
        TimePoint deadline;
        Fingerprint fingerprint;
        bool isAnnounced = false;
    };
    struct PeerReservation
    {
        UpstreamId upstream;
        VmId owner;
        Incarnation incarnation;
        TimePoint deadline;
        Fingerprint fingerprint;
    };
    struct PendingRelease
    {
        UpstreamId upstream;
        TimePoint dueAt;
        Duration retryWait{};
        Fingerprint fingerprint;
    };

    ReservationNotice notice(ReservationId id, const OwnReservation &own, TimePoint now) const;
    void startRelease(ReservationId reservation, UpstreamId upstream, Fingerprint fingerprint,
                      TimePoint now);

    VmId m_self;
    Incarnation m_incarnation;
    ReservationRegistryOptions m_options;
    /// Invariant: no id is in both m_ownReservations and m_pendingReleases.
    std::map<ReservationId, OwnReservation> m_ownReservations;
    std::map<ReservationId, PeerReservation> m_peerReservations;
    std::map<ReservationId, PendingRelease> m_pendingReleases;
    std::vector<ReservationNotice> m_endedNotices;
    std::optional<TimePoint> m_nextNoticeAt;
};

} // namespace arbutuspier
