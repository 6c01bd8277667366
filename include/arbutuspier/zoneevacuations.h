// The zones whose replicas the operator wants no requests sent to, as the platform's store and the
// other VMs report them. Performs no I/O.
//
// There is one record for each zone that was ever named, which says at which revision of the store
// the zone was evacuated or returned. The record with the higher revision holds, so that records
// may be merged in any order and more than once: all VMs that got the same ones agree. A complete
// read that lacks a zone ends its evacuation at the revision of the read.
#pragma once

#include "arbutuspier/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutuspier {

/// A state of the store. One that came back from a copy has a higher era, whatever its numbers.
struct EvacuationRevision
{
    std::uint64_t era = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const EvacuationRevision &, const EvacuationRevision &) = default;
};

/// What is known of one zone.
struct ZoneEvacuation
{
    std::string zone;
    /// Revision at which the zone was evacuated or returned.
    EvacuationRevision revision;
    bool isEvacuated = false;

    friend bool operator==(const ZoneEvacuation &, const ZoneEvacuation &) = default;
};

/// What VMs tell each other: all that the sender knows.
struct ZoneEvacuationNotice
{
    /// Time since the sender, or the VM that it learnt it from, has read the store.
    Duration age{};
    std::vector<ZoneEvacuation> zones;
};

struct ZoneEvacuationsOptions
{
    /// Most zones to remember. Of those beyond it, the one that returned at the lowest revision is
    /// forgotten; an evacuated one never is.
    std::size_t maxZones = 128;
    /// Bounds of the time that a rejected caller is asked to wait, see retryAfter().
    Duration minRetryAfter = std::chrono::seconds{1};
    Duration maxRetryAfter = std::chrono::seconds{10};
};

class ZoneEvacuations
{
public:
    explicit ZoneEvacuations(ZoneEvacuationsOptions options)
        : m_options(options)
    {
    }

    /// Applies a complete read of the store at `revision`: a zone that isn't among `zones` has
    /// returned. Returns the zones whose state changed.
    std::vector<ZoneEvacuation> applyRead(const std::vector<ZoneEvacuation> &zones,
                                          EvacuationRevision revision, TimePoint now);
    /// Applies what changed since the last read of the store. Returns the zones whose state
    /// changed.
    std::vector<ZoneEvacuation> applyChanges(const std::vector<ZoneEvacuation> &zones,
                                             TimePoint now);
    /// Applies what a peer knows. Returns the zones whose state changed.
    std::vector<ZoneEvacuation> merge(const ZoneEvacuationNotice &notice, TimePoint now);

    /// What peers are told.
    ZoneEvacuationNotice notice(TimePoint now) const;
    /// False until the store was read or a peer told what it knows.
    bool isKnown() const { return m_readAt.has_value(); }
    /// Time since the store was last read, by this VM or by the one that told; empty if nothing is
    /// known.
    std::optional<Duration> age(TimePoint now) const;
    std::set<std::string> evacuated() const;
    bool isEvacuated(const std::string &zone) const;
    /// When callers should ask again that are rejected because of evacuated zones. Nobody knows
    /// when the operator returns a zone; it is taken to stay evacuated for as long again as it has
    /// been, within the options' bounds. Of several zones, the one evacuated last counts.
    Duration retryAfter(TimePoint now) const;

private:
    struct Record
    {
        EvacuationRevision revision;
        bool isEvacuated = false;
        /// When this VM learnt of it.
        TimePoint since{};
    };

    /// Applies one record if it is newer than what is known. True if the zone's state changed.
    bool apply(const ZoneEvacuation &zone, TimePoint now);
    std::vector<ZoneEvacuation> applyAll(const std::vector<ZoneEvacuation> &zones, TimePoint now);
    void forgetOldest();

    ZoneEvacuationsOptions m_options;
    std::map<std::string, Record> m_zones;
    /// When the store was last read, by this VM or by the one that told; empty before.
    std::optional<TimePoint> m_readAt;
};

} // namespace arbutuspier
