// Memory held on upstreams, by this VM and by its peers, and its certain release.
//
// Each holding has an id, an upstream and a deadline. The owner releases it on every way out. Two
// peers know of it and release it once the owner's life is known to be over, or its deadline is
// past. A release is repeated until it is acknowledged or the upstream's process is another one.
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
    /// Time between copies to peers; holdings opened and closed in between are never sent.
    Duration noticeInterval = std::chrono::milliseconds{40};
    Duration releaseRetry = std::chrono::milliseconds{500};
    Duration maxReleaseRetry = std::chrono::seconds{10};
    /// Time past its deadline after which a peer's holding is released by this VM.
    Duration grace = std::chrono::seconds{2};
};

class ReservationRegistry
{
public:
    struct ReleaseNow
    {
        ReservationId holding;
        UpstreamId upstream;
    };

    ReservationRegistry(VmId self, Incarnation incarnation, ReservationRegistryOptions options);

    /// This VM now holds, or may hold, memory on an upstream.
    void add(ReservationId holding, UpstreamId upstream, TimePoint deadline, Fingerprint body);
    /// The holding ended by itself (answer done, upstream refused): nothing is to be released.
    void forget(ReservationId holding);
    /// Starts the release of a holding.
    void release(ReservationId holding, TimePoint now);
    /// Releases a holding that this VM does not know, such as one an upstream lists as expired.
    void releaseUnknown(ReservationId holding, UpstreamId upstream, TimePoint now);
    void onReleased(ReservationId holding);
    /// The upstream's process ended: what it held is gone.
    void onUpstreamDead(UpstreamId upstream);

    /// Bodies that may be running on an upstream for this VM, or for one of `lostOwners`.
    std::vector<Fingerprint> fingerprintsOn(UpstreamId upstream,
                                            std::span<const VmId> lostOwners) const;

    void onNotices(const ReservationNotices &notices, TimePoint now);
    /// The owner's life is over for certain: its holdings are released.
    void onOwnerGone(VmId owner, Incarnation incarnation, TimePoint now);

    /// Takes over the release of peers' holdings that are past their deadline.
    void tick(TimePoint now);
    /// Releases that are due now.
    std::vector<ReleaseNow> dueReleases(TimePoint now);
    /// News of own holdings for the copy holders, if the interval has passed.
    std::optional<ReservationNotices> takeNotices(TimePoint now);
    /// All own holdings, for a new copy holder.
    ReservationNotices allNotices(TimePoint now) const;

    bool isReleasing(ReservationId holding) const;
    bool isOwn(ReservationId holding) const;
    std::size_t ownCount() const { return m_own.size(); }
    std::size_t peerCount() const { return m_peers.size(); }
    std::size_t releasingCount() const { return m_releasing.size(); }

private:
    struct Own
    {
        UpstreamId upstream;
        TimePoint deadline;
        Fingerprint body;
        bool isAnnounced = false;
    };
    struct Peer
    {
        UpstreamId upstream;
        VmId owner;
        Incarnation incarnation;
        TimePoint deadline;
        Fingerprint body;
    };
    struct Releasing
    {
        UpstreamId upstream;
        TimePoint dueAt;
        Duration wait{};
        Fingerprint body;
    };

    ReservationNotice notice(ReservationId id, const Own &own, TimePoint now) const;
    void startRelease(ReservationId holding, UpstreamId upstream, Fingerprint body, TimePoint now);

    VmId m_self;
    Incarnation m_incarnation;
    ReservationRegistryOptions m_options;
    /// Invariant: no id is in both m_own and m_releasing.
    std::map<ReservationId, Own> m_own;
    std::map<ReservationId, Peer> m_peers;
    std::map<ReservationId, Releasing> m_releasing;
    std::vector<ReservationNotice> m_ended;
    std::optional<TimePoint> m_nextNotice;
};

} // namespace arbutuspier
