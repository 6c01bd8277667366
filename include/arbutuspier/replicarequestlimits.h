// Keeps the request limits that replicas name: so many requests a second from all VMs together.
//
// Each VM that uses the replica may send it its share (requestshare.h). A share begins when the
// limit becomes known.
//
// A limit ends when an answer doesn't name it. If no VM has sent the replica a request for some
// time, one of them sends a single one as a probe, whether it has a share or not.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/random.h"
#include "arbutuspier/requestshare.h"
#include "arbutuspier/upstreamdirectory.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

struct ReplicaRequestLimitOptions
{
    /// In any window of this length a replica may get what its limit allows, as much again times
    /// `burstFraction`, and `burstRequests` more.
    Duration window = std::chrono::seconds{4};
    double burstFraction = 0.5;
    double burstRequests = 2;
    /// Time without a request of any VM until one is sent as a probe: two intervals of the limit,
    /// but within these bounds, and up to as much again by chance.
    Duration minProbeInterval = std::chrono::seconds{4};
    Duration maxProbeInterval = std::chrono::seconds{30};
    /// Interval at which shares follow the VMs that come and go.
    Duration shareUpdateInterval = std::chrono::milliseconds{200};
    /// A replica is forgotten after this time without news of its limit.
    Duration recordLifetime = std::chrono::minutes{10};
};

/// What a VM heard of a replica's limit, for the other VMs. Notices may be merged in any order.
struct RequestLimitNotice
{
    ReplicaIncarnation incarnation;
    /// Counts the changes of the limit; the notice with the higher one is the later.
    std::uint64_t sequence = 0;
    /// Requests a second from all VMs together; empty if the limit has ended.
    std::optional<double> perSecond;

    friend bool operator==(const RequestLimitNotice &, const RequestLimitNotice &) = default;
};

class ReplicaRequestLimits
{
public:
    ReplicaRequestLimits(std::string ownVm, ReplicaRequestLimitOptions options, std::uint64_t seed)
        : m_ownVm(std::move(ownVm))
        , m_options(options)
        , m_random(seed)
    {
    }

    /// The replica answered a request that was sent at `sentAt`, and named a limit or none.
    void onResponse(const ReplicaIncarnation &incarnation, std::optional<double> perSecond,
                    TimePoint sentAt, TimePoint now);
    /// Merges a notice of another VM. Returns true if it changed the limit.
    bool merge(const RequestLimitNotice &notice, TimePoint now);
    /// This VM sends a request to the replica.
    void onStart(const ReplicaIncarnation &incarnation, TimePoint now);
    /// Another VM sends a request to the replica, so that it will hear of the limit.
    void onPeerStart(std::string_view replicaId, TimePoint now);

    bool isLimited(const ReplicaIncarnation &incarnation) const;
    /// Time from which this VM may send the replica its next request; `now` if it may already.
    TimePoint nextStart(const ReplicaIncarnation &incarnation, TimePoint now);
    /// Whether no VM has sent the limited replica a request for so long that the next one should go
    /// there, to learn whether the limit still holds.
    bool isProbeDue(const ReplicaIncarnation &incarnation, TimePoint now) const;
    /// This VM's share in requests a second; zero if it has none or there is no limit.
    double share(const ReplicaIncarnation &incarnation) const;
    /// The limits and ended limits that are remembered.
    std::vector<RequestLimitNotice> notices() const;
    std::size_t limitedCount() const;
    void tick(TimePoint now);

    /// Returns the VMs that may use the replica. This VM is added if it is missing.
    std::function<std::vector<std::string>(const ReplicaIncarnation &)> sharingVms;
    /// Called for each notice of this VM, which the other VMs have to get.
    std::function<void(const RequestLimitNotice &)> onNotice;

private:
    struct Record
    {
        std::uint64_t sequence = 0;
        std::optional<double> perSecond;
        /// When this VM learnt that there is a limit.
        TimePoint limitedSince{};
        TimePoint lastNewsAt{};
        RequestShare share;
        TimePoint nextProbeAt{};
    };

    /// Sets the limit if the sequence or, with equal ones, the stricter limit says so. Returns true
    /// if it was set.
    bool apply(const RequestLimitNotice &notice, TimePoint now);
    /// Adds the tokens of the time since the last call, and updates the share from time to time.
    void refill(const ReplicaIncarnation &incarnation, Record &record, TimePoint now);
    void updateShare(const ReplicaIncarnation &incarnation, Record &record, TimePoint now) const;
    void delayProbe(Record &record, TimePoint now);

    std::string m_ownVm;
    ReplicaRequestLimitOptions m_options;
    Random m_random;
    std::map<ReplicaIncarnation, Record> m_records;
};

} // namespace arbutuspier
