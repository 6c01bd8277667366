// Ejects replicas by the failures that all VMs of a fleet group saw together.
//
// In a large group each VM sends a replica a request now and then only, so that it would need long
// to learn by itself that the replica fails what it gets. VMs therefore report their failures to
// each other. A failure puts the replica under watch; while it is watched, successes are counted
// too, so that a replica that fails now and then is kept.
//
// A failure to connect may be that of a path, so it counts only for VMs of the reporting VM's
// availability zone. No VM alone ejects a replica for the others. An ejection only changes the
// order of preference: a request for which no other replica is left still goes there.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/upstreamdirectory.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

struct SharedReplicaHealthOptions
{
    /// Failures of this time add up; a replica is watched for so long after its last one.
    Duration window = std::chrono::seconds{2};
    /// Failures that eject a replica that was not ejected lately. Soon after an ejection, one of
    /// each of `minVms` VMs is enough.
    std::uint32_t minFailures = 3;
    /// VMs that must have seen the failures.
    std::size_t minVms = 2;
    /// Fraction of the watched requests that has to fail.
    double minFailureFraction = 0.25;
    /// Length of the first ejection; doubled with each that follows it soon.
    Duration initialEjection = std::chrono::milliseconds{400};
    Duration maxEjection = std::chrono::seconds{4};
    /// Successes of watched replicas are reported within this time, failures at once.
    Duration reportDelay = std::chrono::milliseconds{100};
};

/// What one VM saw of a replica since its last report.
struct ReplicaOutcomes
{
    ReplicaIncarnation incarnation;
    std::uint32_t failures = 0;
    /// Connections that could not be opened.
    std::uint32_t unreachable = 0;
    std::uint32_t successes = 0;

    friend bool operator==(const ReplicaOutcomes &, const ReplicaOutcomes &) = default;
};

/// The report of one VM to its peers. Not repeated: later failures make up for a lost one.
struct OutcomeReport
{
    std::string vm;
    std::string zone;
    std::vector<ReplicaOutcomes> outcomes;

    friend bool operator==(const OutcomeReport &, const OutcomeReport &) = default;
};

class SharedReplicaHealth
{
public:
    SharedReplicaHealth(std::string ownVm, std::string ownZone, SharedReplicaHealthOptions options)
        : m_ownVm(std::move(ownVm))
        , m_ownZone(std::move(ownZone))
        , m_options(options)
    {
    }

    /// This VM's requests: the replica failed one, could not be reached, or served one.
    void onFailure(const ReplicaIncarnation &incarnation, TimePoint now);
    void onUnreachable(const ReplicaIncarnation &incarnation, TimePoint now);
    void onSuccess(const ReplicaIncarnation &incarnation, TimePoint now);
    /// Adds the report of a peer. Returns the replicas that it ejected as unreachable from this
    /// VM's availability zone.
    std::vector<ReplicaIncarnation> merge(const OutcomeReport &report, TimePoint now);

    /// Whether the reports eject the replica now.
    bool isEjected(const ReplicaIncarnation &incarnation, TimePoint now) const;
    /// The failures so far weren't those of the replica.
    void endEjection(const ReplicaIncarnation &incarnation);
    std::size_t ejectedCount(TimePoint now) const;
    /// When a report has to be sent; empty if there is nothing to tell.
    std::optional<TimePoint> reportDue() const { return m_reportDue; }
    /// The outcomes that the peers don't know yet.
    OutcomeReport takeReport();
    /// Forgets the replicas that have neither failed nor been ejected lately.
    void tick(TimePoint now);

    /// Called when the reports eject a replica.
    std::function<void(const ReplicaIncarnation &, Duration ejection)> onEjected;

private:
    /// What one VM reported at one time.
    struct Evidence
    {
        TimePoint at{};
        std::string vm;
        bool isOwnZone = false;
        std::uint32_t failures = 0;
        std::uint32_t unreachable = 0;
        std::uint32_t successes = 0;
    };
    struct Record
    {
        /// Invariant: not older than the window, and not older than the last ejection.
        std::vector<Evidence> evidence;
        TimePoint watchedUntil{};
        std::uint32_t ejections = 0;
        TimePoint ejectedUntil{};
    };

    void add(const ReplicaIncarnation &incarnation, Evidence evidence, TimePoint now);
    void addOwn(const ReplicaOutcomes &outcomes, Duration delay, TimePoint now);
    /// Whether the evidence, or only that of this VM's availability zone, ejects the replica.
    bool isFailing(const Record &record, bool isOwnZoneOnly, TimePoint now) const;
    bool wasEjectedLately(const Record &record, TimePoint now) const
    {
        return record.ejections > 0 && now < record.ejectedUntil + m_options.window;
    }
    bool isWatched(const ReplicaIncarnation &incarnation, TimePoint now) const;
    void eject(const ReplicaIncarnation &incarnation, Record &record, TimePoint now) const;

    std::string m_ownVm;
    std::string m_ownZone;
    SharedReplicaHealthOptions m_options;
    /// Invariant: only replicas that failed lately, or are ejected.
    std::map<ReplicaIncarnation, Record> m_records;
    std::map<ReplicaIncarnation, ReplicaOutcomes> m_unreported;
    std::optional<TimePoint> m_reportDue;
};

} // namespace arbutuspier
