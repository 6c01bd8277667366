// Notices that a VM has lost its network path to all replicas of a service, and that it has it
// back.
//
// Only connections count. A response over a connection that is open already doesn't show that
// another one could be opened, and silence doesn't show that none could. A few replicas that can't
// be reached may be down: before the path counts as lost, the caller probes others, those first
// that responded last. While it is lost, the caller goes on probing, and the path is back when
// replicas have accepted connections for some time.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/upstreamdirectory.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace arbutuspier {

struct UpstreamPathOptions
{
    /// Different replicas that are unreachable within `window`, with no connection accepted in the
    /// meantime, until others are probed. A single one may be down, so that the path to a service
    /// with one replica never counts as lost.
    std::size_t minUnreachable = 2;
    Duration window = std::chrono::seconds{2};
    Duration checkInterval = std::chrono::milliseconds{500};
    /// Most replicas that one check probes.
    std::size_t maxProbes = 24;
    /// Most replicas that are probed at a time while the path is lost.
    std::size_t maxProbesWhileLost = 4;
    /// The path is back when a replica accepts a connection this long after one did for the first
    /// time. Doubled, up to the maximum, each time that the path is lost within `stableTime` after
    /// it was back.
    Duration confirmTime = std::chrono::milliseconds{200};
    Duration maxConfirmTime = std::chrono::milliseconds{1600};
    Duration stableTime = std::chrono::seconds{10};
};

class UpstreamPath
{
public:
    explicit UpstreamPath(UpstreamPathOptions options)
        : m_options(options)
        , m_confirmTime(options.confirmTime)
    {
    }

    /// A replica refused a connection or didn't accept it in time. Returns true if the caller has
    /// to probe the replicas that `replicasToProbe` returns, and to call `onCheckEnded`.
    bool onUnreachable(const ReplicaIncarnation &incarnation, TimePoint now);
    /// The path to other replicas was lost. Returns true if the caller has to begin a check, as for
    /// `onUnreachable`.
    bool onOtherPathLost(TimePoint now) { return tryBeginCheck(now); }
    /// A replica accepted a new connection. Returns true if the lost path is back by that.
    bool onConnected(const ReplicaIncarnation &incarnation, TimePoint now);
    /// A replica responded over any connection.
    void onResponse(const ReplicaIncarnation &incarnation, TimePoint now);

    /// Replicas whose probes show whether the path is lost: the last one of each zone to respond,
    /// then others, those known to be unreachable last.
    std::vector<ReplicaEntry> replicasToProbe(std::span<const ReplicaEntry *const> replicas) const;
    /// All probes of a check have ended. Returns true if the path is lost by that.
    bool onCheckEnded(bool wasAnyAccepted, TimePoint now);
    /// While the path is lost, the replicas to probe next: those that accepted a connection, then
    /// others in turn. Empty if there are no replicas.
    std::vector<ReplicaEntry> nextProbes(std::span<const ReplicaEntry *const> replicas);

    bool isLost() const { return m_isLost; }
    /// The path doesn't count as lost any more, and what was seen of it is forgotten.
    void reset();

private:
    /// Whether a check is due. It counts as begun then.
    bool tryBeginCheck(TimePoint now);

    UpstreamPathOptions m_options;
    /// Replicas that were unreachable, and when.
    std::map<ReplicaIncarnation, TimePoint> m_unreachable;
    std::map<ReplicaIncarnation, TimePoint> m_lastResponse;
    bool m_isLost = false;
    std::optional<TimePoint> m_restoredAt;
    std::optional<TimePoint> m_lastCheckAt;
    Duration m_confirmTime;
    /// Replicas that accepted a connection while the path was lost.
    std::set<ReplicaIncarnation> m_accepting;
    TimePoint m_acceptingSince{};
    std::size_t m_nextProbe = 0;
};

} // namespace arbutuspier
