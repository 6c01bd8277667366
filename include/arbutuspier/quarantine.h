// Requests that kill upstreams: at most two upstreams are lost to one body.
//
// Every request in flight on an upstream that dies becomes a suspect. A suspect is tried once more,
// apart from other suspects, on an upstream that every VM chooses alike; so copies sent through
// several VMs meet on one upstream. A second death quarantines the body; a whole answer clears it.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/ids.h"
#include "arbutuspier/peer.h"

#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace arbutuspier {

struct QuarantineOptions
{
    /// Upstreams that one body may take down before it is refused.
    std::size_t maxCrashes = 2;
    /// Bodies remembered; the longest untouched are forgotten first.
    std::size_t maxRecords = 16'384;
    /// A record is forgotten this long after its last death.
    Duration memory = std::chrono::hours{24};
};

class Quarantine
{
public:
    enum class QuarantineState { Clean, Suspect, Quarantined };

    explicit Quarantine(QuarantineOptions options)
        : m_options(options)
    {
    }

    QuarantineState quarantineState(Fingerprint fingerprint) const;
    /// An upstream's life ended with these bodies in flight. The notices go to every peer.
    std::vector<SuspectNotice> onUpstreamCrash(UpstreamId upstream, Incarnation incarnation,
                                               std::span<const Fingerprint> inFlight,
                                               TimePoint now);
    /// The upstream's process turned out to live on: that death did not happen.
    std::vector<SuspectNotice> retract(UpstreamId upstream, Incarnation incarnation);
    /// The body had a whole answer. Returns a notice for peers if it was a suspect.
    std::vector<SuspectNotice> onCompleted(Fingerprint fingerprint);
    /// A peer's notice or a row of the table. True if the standing changed.
    bool merge(const SuspectNotice &notice, TimePoint now);
    /// An operator clears a body. Returns the notice for peers.
    std::vector<SuspectNotice> clear(Fingerprint fingerprint);
    void tick(TimePoint now);

    /// The upstream on which every VM tries this suspect, out of those present. It depends on
    /// nothing else, so that VMs with the same list agree. Invalid if the list is empty.
    static UpstreamId isolationUpstream(Fingerprint fingerprint,
                                        std::span<const UpstreamId> present);

    /// The name under which one life's end is counted.
    static std::uint64_t crashDigest(UpstreamId upstream, Incarnation incarnation);

    std::vector<std::uint64_t> crashesOf(Fingerprint fingerprint) const;
    std::vector<SuspectNotice> records() const;
    std::size_t size() const { return m_records.size(); }

private:
    struct Record
    {
        /// Digests of (upstream, life).
        std::set<std::uint64_t> deaths;
        std::set<std::uint64_t> cleared;
        TimePoint touchedAt;
    };

    Record &touch(Fingerprint fingerprint, TimePoint now);

    QuarantineOptions m_options;
    std::unordered_map<Fingerprint, Record> m_records;
};

} // namespace arbutuspier
