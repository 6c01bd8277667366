// Keeps the rate at which replicas that are cold get requests from all VMs together. No I/O.
//
// A replica is cold for some time after its start, and may turn cold at any other moment. Its entry
// in the platform's list says for how long. Each VM may send it a share of what it takes while it
// is cold (requestshare.h): VMs that can't hear each other don't exceed it together, and one that
// has just started, or has just learnt that the replica is cold, begins with nothing.
//
// A replica may have been cold for some time before anyone knows. So a warm replica of a service
// whose cold ones are limited gets at most half of the bound from the VMs that hear each other:
// then neither both sides of a network partition together nor what was sent before and after the
// news exceed it.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/requestshare.h"
#include "arbutuspier/upstreamdirectory.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutuspier {

/// What a cold replica bears beyond its rate: in each window at most `overage` times the rate, and
/// `tolerance` requests more.
struct ColdBound
{
    double overage = 1;
    double tolerance = 0;

    friend bool operator==(const ColdBound &, const ColdBound &) = default;
};

/// How the replicas of a service start.
struct ColdFigures
{
    /// For how long a replica is cold after its start.
    Duration duration{};
    /// Requests a second that a cold replica takes from all VMs together; zero for any number.
    double startsPerSecond = 0;
};

struct ColdReplicaOptions
{
    /// The window in which the bound holds.
    Duration window = std::chrono::seconds{1};
    /// How much later a request may arrive than another that was sent at the same time: links and
    /// connections differ, and a busy VM sends late.
    Duration arrivalJitter = std::chrono::milliseconds{200};
    /// Requests of the bound that are left for VMs that see other VMs come and go than their peers.
    double reservedRequests = 2;
    /// Interval at which shares follow the VMs that come and go.
    Duration shareUpdateInterval = std::chrono::milliseconds{200};
    /// Ends of a cold time that differ by less count as the same.
    Duration endResolution = std::chrono::milliseconds{300};
};

class ColdReplicas
{
public:
    /// Whether this VM saw the replica start.
    enum class Sighting : std::uint8_t {
        Known,
        /// It is new, and others of its service were known before.
        Started,
    };

    ColdReplicas(std::string ownVm, ColdReplicaOptions options)
        : m_ownVm(std::move(ownVm))
        , m_options(options)
    {
    }

    /// Without a bound, cold replicas are treated like all others.
    void setBound(std::optional<ColdBound> bound) { m_bound = bound; }

    /// The replica's entry said, as of `now`, that it stays cold for `coldLeft`; zero if it isn't
    /// cold. One that has just started is taken for cold even if its entry doesn't say so.
    void onEntry(const ReplicaIncarnation &incarnation, Duration coldLeft, Sighting sighting,
                 TimePoint now);
    /// The replicas get requests again after a time without, and may be cold, whatever their
    /// entries say.
    void onReturned(std::span<const ReplicaIncarnation> incarnations, TimePoint now);
    /// Whether the entry says something that `onEntry` wasn't told yet, beside the passing of time.
    bool isNews(const ReplicaIncarnation &incarnation, Duration coldLeft, TimePoint now) const;

    /// This VM sends the replica a request.
    void onStart(const ReplicaIncarnation &incarnation, TimePoint now);
    /// Another VM sends the replica a request.
    void onPeerStart(const std::string &replicaId, TimePoint now);

    bool isCold(const ReplicaIncarnation &incarnation, TimePoint now) const;
    /// When the replica is no longer cold; empty if it isn't cold.
    std::optional<TimePoint> coldEnd(const ReplicaIncarnation &incarnation, TimePoint now) const;
    /// Time from which this VM may send the replica its next request; `now` if it may already.
    TimePoint nextStart(const ReplicaIncarnation &incarnation, TimePoint now);
    /// This VM's share of a cold replica in requests a second; zero if it has none.
    double share(const ReplicaIncarnation &incarnation) const;
    std::size_t coldCount(TimePoint now) const;
    void tick(TimePoint now);

    /// The figures of the replica's service; those of an unknown one are zero.
    std::function<ColdFigures(const std::string &replicaId)> figures;
    /// The VMs that may use the replica; empty while they aren't known. Then this VM has no share.
    std::function<std::vector<std::string>(const ReplicaIncarnation &)> sharingVms;
    /// A replica turned cold, and stays so for a time.
    std::function<void(const ReplicaIncarnation &, Duration)> onCold;
    /// A replica is no longer cold, and got a number of requests of this VM meanwhile.
    std::function<void(const ReplicaIncarnation &, std::uint64_t)> onWarm;

private:
    struct Record
    {
        TimePoint end{};
        /// The replica is cold until then whatever its entry says.
        TimePoint assumedEnd{};
        RequestShare share;
        std::uint64_t starts = 0;
    };

    void setEnd(const ReplicaIncarnation &incarnation, TimePoint end, TimePoint now);
    void setAssumedEnd(const ReplicaIncarnation &incarnation, TimePoint now);
    /// Whether the cold replicas of the replica's service are limited.
    bool isLimited(const std::string &replicaId) const
    {
        return m_bound && figures(replicaId).startsPerSecond > 0;
    }
    /// Requests that the replica may get in a window from all VMs together.
    double boundOf(double startsPerSecond) const;
    /// What the shares of all VMs add up to.
    SharedRequestRate sharedRate(double startsPerSecond) const;
    void refill(const ReplicaIncarnation &incarnation, Record &record, TimePoint now);
    void updateShare(const ReplicaIncarnation &incarnation, Record &record, TimePoint now) const;
    /// Time from which the VMs that hear each other may send the replica a request.
    TimePoint nextObservedStart(const std::string &replicaId, TimePoint now) const;
    void recordStart(const std::string &replicaId, TimePoint now);

    std::string m_ownVm;
    ColdReplicaOptions m_options;
    std::optional<ColdBound> m_bound;
    /// Replicas that are cold, or were so at the last tick.
    std::map<ReplicaIncarnation, Record> m_records;
    /// Requests of this VM and of those that it hears, by replica, for as long as the window.
    /// Invariant: in the order of time.
    std::map<std::string, std::deque<TimePoint>> m_starts;
};

} // namespace arbutuspier
