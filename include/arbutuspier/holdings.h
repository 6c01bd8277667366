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

struct HoldingsOptions
{
    /// Time between copies to peers; holdings opened and closed in between are never sent.
    Duration noticeInterval = std::chrono::milliseconds{40};
    Duration releaseRetry = std::chrono::milliseconds{500};
    Duration maxReleaseRetry = std::chrono::seconds{10};
    /// Time past its deadline after which a peer's holding is released by this VM.
    Duration grace = std::chrono::seconds{2};
};

class Holdings
{
public:
    struct ReleaseNow
    {
        HoldingId holding;
        UpstreamId upstream;
    };

    Holdings(VmId self, Incarnation incarnation, HoldingsOptions options);

    /// This VM now holds, or may hold, memory on an upstream.
    void add(HoldingId holding, UpstreamId upstream, TimePoint deadline, Fingerprint body);
    /// The holding ended by itself (answer done, upstream refused): nothing is to be released.
    void forget(HoldingId holding);
    /// Starts the release of a holding.
    void release(HoldingId holding, TimePoint now);
    /// Releases a holding that this VM does not know, such as one an upstream lists as expired.
    void releaseUnknown(HoldingId holding, UpstreamId upstream, TimePoint now);
    void onReleased(HoldingId holding);
    /// The upstream's process ended: what it held is gone.
    void onUpstreamDead(UpstreamId upstream);

    /// Bodies that may be running on an upstream for this VM, or for one of `lostOwners`.
    std::vector<Fingerprint> bodiesOn(UpstreamId upstream, std::span<const VmId> lostOwners) const;

    void onNotices(const HoldingNotices &notices, TimePoint now);
    /// The owner's life is over for certain: its holdings are released.
    void onOwnerGone(VmId owner, Incarnation incarnation, TimePoint now);

    /// Takes over the release of peers' holdings that are past their deadline.
    void tick(TimePoint now);
    /// Releases that are due now.
    std::vector<ReleaseNow> dueReleases(TimePoint now);
    /// News of own holdings for the copy holders, if the interval has passed.
    std::optional<HoldingNotices> takeNotices(TimePoint now);
    /// All own holdings, for a new copy holder.
    HoldingNotices allNotices(TimePoint now) const;

    bool isReleasing(HoldingId holding) const;
    bool isOwn(HoldingId holding) const;
    std::size_t ownCount() const { return m_own.size(); }
    std::size_t peerCount() const { return m_peers.size(); }
    std::size_t releasingCount() const { return m_releasing.size(); }

private:
    struct Own
    {
        UpstreamId upstream;
        TimePoint deadline;
        Fingerprint body;
        bool isNoticed = false;
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

    HoldingNotice notice(HoldingId id, const Own &own, TimePoint now) const;
    void startRelease(HoldingId holding, UpstreamId upstream, Fingerprint body, TimePoint now);

    VmId m_self;
    Incarnation m_incarnation;
    HoldingsOptions m_options;
    /// Invariant: no id is in both m_own and m_releasing.
    std::map<HoldingId, Own> m_own;
    std::map<HoldingId, Peer> m_peers;
    std::map<HoldingId, Releasing> m_releasing;
    std::vector<HoldingNotice> m_ended;
    std::optional<TimePoint> m_nextNotice;
};

} // namespace arbutuspier
