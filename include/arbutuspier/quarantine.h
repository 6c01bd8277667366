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
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace arbutuspier {

struct QuarantineOptions
{
    /// Number of confirmed crashes after which requests with this fingerprint are rejected.
    std::size_t maxCrashes = 2;
    /// Number of crashes, confirmed or not, after which they are rejected.
    std::size_t maxUnconfirmedCrashes = 3;
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

    /// `isExplained` tells by the digest of a crash whether something else is to blame for it.
    QuarantineState quarantineState(
        Fingerprint fingerprint,
        const std::function<bool(std::uint64_t crash)> &isExplained = nullptr) const;
    /// An upstream's incarnation crashed, or may have crashed, while these fingerprints were in
    /// flight. Returns notices to send to every peer.
    std::vector<SuspectNotice> onUpstreamCrash(UpstreamId upstream, Incarnation incarnation,
                                               std::span<const Fingerprint> inFlight, TimePoint now,
                                               CrashState state = CrashState::Confirmed);
    /// As above for one fingerprint, and a crash that `crashOfAttempt` returned.
    std::vector<SuspectNotice> onCrash(std::uint64_t crash, Fingerprint fingerprint, TimePoint now,
                                       CrashState state);
    /// The crash at which an attempt that was sent at `sentAt` was in flight. It isn't one that was
    /// known by then: the upstream has started again under its id, and this VM doesn't know its
    /// new incarnation yet.
    std::uint64_t crashOfAttempt(UpstreamId upstream, Incarnation incarnation,
                                 Fingerprint fingerprint, TimePoint sentAt) const;
    /// The upstream's incarnation turned out to be still running, so it did not crash. Returns
    /// notices to send to every peer.
    std::vector<SuspectNotice> retract(UpstreamId upstream, Incarnation incarnation);
    /// A request with this fingerprint was executed to its end, so it is not to blame for the
    /// crashes. Returns a notice for the peers if it was suspected of any.
    std::vector<SuspectNotice> onCompleted(Fingerprint fingerprint) { return clear(fingerprint); }
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
    /// `restarts` counts the restarts since that this VM has noticed only by further crashes.
    static std::uint64_t crashDigest(UpstreamId upstream, Incarnation incarnation,
                                     std::uint64_t restarts = 0);

    /// Digests of the confirmed crashes.
    std::vector<std::uint64_t> crashesOf(Fingerprint fingerprint) const;
    /// All that is known of a fingerprint: one notice for each state that it has crashes of.
    std::vector<SuspectNotice> noticesOf(Fingerprint fingerprint) const;
    /// The crashes that count against suspects and quarantined fingerprints, of at most `maxCount`
    /// of these, the last updated first.
    std::vector<SuspectNotice> records(
        std::size_t maxCount = std::numeric_limits<std::size_t>::max()) const;
    std::size_t size() const { return m_records.size(); }

private:
    struct Crash
    {
        CrashState state = CrashState::Unconfirmed;
        /// When this VM learnt of it.
        TimePoint knownSince;
    };
    struct Record
    {
        /// By the digests of the incarnations, see `crashDigest`. A state is only ever replaced by
        /// a later one, so that late notices have no effect.
        std::map<std::uint64_t, Crash> crashes;
        TimePoint updatedAt;

        std::vector<std::uint64_t> crashesIn(CrashState state) const;
        std::size_t count(CrashState state,
                          const std::function<bool(std::uint64_t crash)> &isExplained) const;
        /// Returns true if the crash wasn't known yet to be in this or a later state.
        bool raise(std::uint64_t crash, CrashState state, TimePoint now);
    };

    Record &touchRecord(Fingerprint fingerprint, TimePoint now);

    QuarantineOptions m_options;
    std::unordered_map<Fingerprint, Record> m_records;
};

} // namespace arbutuspier
