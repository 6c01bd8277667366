// Remembers which requests were sent to a replica and got no complete response, for the case that
// the replica turns out to have crashed.
//
// An attempt may end long before its replica crashes: its caller leaves, or it is given up after a
// timeout, while the replica still runs it.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/ids.h"
#include "arbutuspier/promptpartquarantine.h"
#include "arbutuspier/upstreamdirectory.h"

#include <cstddef>
#include <map>
#include <vector>

namespace arbutuspier {

struct UnansweredAttemptsOptions
{
    /// Time after the end of an attempt in which its replica may still run it and in which the list
    /// shows that the replica has ended.
    Duration window = std::chrono::seconds{8};
    /// Most attempts that are remembered for a replica. Beyond them, new ones are ignored.
    std::size_t maxAttemptsPerReplica = 1024;
};

struct UnansweredAttempt
{
    Fingerprint fingerprint;
    TimePoint sentAt{};
    /// The replica had begun to respond, so the request is less likely to blame for its crash.
    bool hasOutput = false;
    /// Empty if no part of its prompt can be to blame.
    std::vector<PartExposure> parts = {};
};

class UnansweredAttempts
{
public:
    explicit UnansweredAttempts(UnansweredAttemptsOptions options)
        : m_options(options)
    {
    }

    /// An attempt at the replica ended now without a complete response.
    void record(const ReplicaIncarnation &incarnation, UnansweredAttempt attempt, TimePoint now);
    /// Attempts at the replica that ended within the window, at most one for each request: one
    /// without output if there is one.
    std::vector<UnansweredAttempt> of(const ReplicaIncarnation &incarnation, TimePoint now) const;
    /// Replicas with such attempts.
    std::vector<ReplicaIncarnation> incarnations() const;
    /// The request was executed to its end elsewhere: its attempts are not to blame for a crash
    /// that is found later.
    void forget(Fingerprint fingerprint);
    /// Forgets attempts that ended before the window.
    void tick(TimePoint now);

private:
    struct Record
    {
        /// When the last attempt was sent, and when it ended.
        TimePoint sentAt{};
        TimePoint endedAt{};
        bool hasOutput = true;
        std::vector<PartExposure> parts;
    };

    UnansweredAttemptsOptions m_options;
    /// Invariant: no inner map is empty.
    std::map<ReplicaIncarnation, std::map<Fingerprint, Record>> m_attempts;
};

} // namespace arbutuspier
