// What one gate knows and counts; owned by the control thread and read by the exchanges.
#pragma once

#include "arbutuspier/crashdetector.h"
#include "arbutuspier/fleetgroups.h"
#include "arbutuspier/fleetretrybudget.h"
#include "arbutuspier/quarantine.h"
#include "arbutuspier/random.h"
#include "arbutuspier/replicahealth.h"
#include "arbutuspier/routetable.h"
#include "arbutuspier/upstreamdirectory.h"
#include "arbutuspier/zonehealth.h"
#include "gateway/dispatchqueue.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/gatewaysettings.h"
#include "gateway/upstreampool.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace arbutuspier {

class GatewayState
{
public:
    GatewayState(asio::any_io_executor executor, const GatewaySettings &settings,
                 const Clock &clock);

    /// Puts a configuration in force unless one as new is. True if it was newer.
    bool applyConfiguration(std::shared_ptr<const RouteTable> table, std::string_view source);
    /// The configuration in force; null while none is known.
    const std::shared_ptr<const RouteTable> &routes() const { return m_routes; }

    /// A replica crashed with this request in flight, or so it seems.
    void noteCrash(const ReplicaIncarnation &incarnation, Fingerprint fingerprint);
    /// A request had a whole answer, so it is no suspect any more.
    void noteCompleted(Fingerprint fingerprint);
    /// A replica answered: what was held against requests for its death is taken back.
    void noteAnswer(const ReplicaEntry &replica);
    /// No connection to the replica came about.
    void noteUnreachable(const ReplicaEntry &replica);

    FleetRetryBudget &allowance(const std::string &service);
    /// The settings were read anew.
    void onSettings();
    /// VMs that serve at present, this one among them.
    std::size_t vmCount() const { return m_vmCount; }
    void setVmCount(std::size_t count) { m_vmCount = count; }
    /// VMs that share replicas with this one at present, this one among them.
    void setSharingVms(std::size_t count) { m_sharingVms = count; }
    /// Idle connections that this VM may keep to a replica, as others have theirs.
    std::size_t idleShare(const ReplicaIncarnation &incarnation) const;
    /// VMs that read the store at present and tell the others, this one among them.
    std::size_t readerCount() const { return m_readerCount; }
    void setReaderCount(std::size_t count) { m_readerCount = count; }

    bool isDraining() const { return m_drainEnd.has_value(); }
    /// When everything in flight must have ended, once the VM drains.
    const std::optional<TimePoint> &drainEnd() const { return m_drainEnd; }
    void beginDrain();
    /// False once a stream that begins now might not end before this VM stops.
    bool takesStreams() const;

    const GatewaySettings &settings;
    const Clock &clock;
    asio::any_io_executor executor;
    UpstreamDirectory directory;
    FleetGroups groups;
    FleetLoad load;
    ReplicaHealth health;
    ZoneHealth zones;
    UpstreamPool pool;
    Quarantine quarantine;
    CrashDetector crashes;
    DispatchQueue workList;
    GatewayMetrics metrics;
    Random random;
    /// Requests that a replica's crash made suspects, for peers.
    std::function<void(const SuspectNotice &)> onSuspect;

private:
    FleetRetryBudgetOptions allowanceOptions() const;
    void tellSuspects(const std::vector<SuspectNotice> &notices);

    std::shared_ptr<const RouteTable> m_routes;
    std::map<std::string, FleetRetryBudget> m_allowances;
    std::size_t m_vmCount = 1;
    std::size_t m_sharingVms = 1;
    std::size_t m_readerCount = 1;
    std::optional<TimePoint> m_drainEnd;
    TimePoint m_lastStreamAt = TimePoint::max();
};

} // namespace arbutuspier
