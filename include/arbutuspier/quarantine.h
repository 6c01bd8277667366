// Quarantines requests that crash upstreams, so that one fingerprint crashes at most two of them.
//
// Every request in flight on an upstream that crashes becomes a suspect. A suspect is retried once,
// isolated from other suspects, on an upstream that every VM chooses alike; so copies sent through
// several VMs all reach the same upstream. A second crash quarantines the fingerprint; a complete
// response clears it.
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
    /// Number of crashes after which requests with this fingerprint are rejected.
    std::size_t maxCrashes = 2;
    /// Most fingerprints that are remembered. The least recently updated is dropped first.
    std::size_t maxRecords = 16'384;
    /// A record is dropped this long after its last update.
    Duration recordLifetime = std::chrono::hours{24};
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
    /// An upstream's incarnation crashed while these fingerprints were in flight. Returns notices
    /// to send to every peer.
    std::vector<SuspectNotice> onUpstreamCrash(UpstreamId upstream, Incarnation incarnation,
                                               std::span<const Fingerprint> inFlight,
                                               TimePoint now);
    /// The upstream's incarnation turned out to be still running, so it did not crash. Returns
    /// notices to send to every peer.
    std::vector<SuspectNotice> retract(UpstreamId upstream, Incarnation incarnation);
    /// A request with this fingerprint got a complete response. Returns a notice for the peers if
    /// it was a suspect.
    std::vector<SuspectNotice> onCompleted(Fingerprint fingerprint);
    /// Merges a peer's notice or a row of the table service. Returns true if the quarantine state
    /// changed.
    bool merge(const SuspectNotice &notice, TimePoint now);
    /// Clears a fingerprint on behalf of an operator. Returns the notice for the peers.
    std::vector<SuspectNotice> clear(Fingerprint fingerprint);
    void tick(TimePoint now);

    /// Returns the upstream on which every VM runs the isolated retry of this suspect. The result
    /// depends only on the arguments, so that VMs with the same upstreams agree. Invalid if
    /// `present` is empty.
    static UpstreamId isolationUpstream(Fingerprint fingerprint,
                                        std::span<const UpstreamId> present);

    /// A digest that identifies the crash of one incarnation, so that it counts only once.
    static std::uint64_t crashDigest(UpstreamId upstream, Incarnation incarnation);

    std::vector<std::uint64_t> crashesOf(Fingerprint fingerprint) const;
    std::vector<SuspectNotice> records() const;
    std::size_t size() const { return m_records.size(); }

private:
    struct Record
    {
        /// Digests of the incarnations that crashed, see `crashDigest`.
        std::set<std::uint64_t> crashes;
        /// Digests that were cleared or retracted; late notices of them are ignored.
        std::set<std::uint64_t> cleared;
        TimePoint updatedAt;
    };

    Record &touchRecord(Fingerprint fingerprint, TimePoint now);

    QuarantineOptions m_options;
    std::unordered_map<Fingerprint, Record> m_records;
};

} // namespace arbutuspier
