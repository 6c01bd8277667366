// One unfinished request of this node.
#pragma once

#include "arbutuspier/command.h"
#include "arbutuspier/fairqueue.h"
#include "arbutuspier/limits.h"
#include "arbutuspier/request.h"

#include <optional>
#include <vector>

namespace arbutuspier {

/// Processing phase of a request.
enum class Phase {
    /// In the fair queue.
    Queued,
    /// Waiting ahead of the queue, as a retry, a suspect or a recorded at-most-once call.
    AheadOfQueue,
    /// Its idempotency key is being recorded.
    Recording,
    /// The memory of its parallel group is being reserved.
    Reserving,
    /// An attempt is open.
    Running,
};

struct Request
{
    RequestId id;
    RequestSpec spec;
    LengthClass lengthClass = LengthClass::Short;
    LimitRow limits;
    TimePoint arrival;
    TimePoint deadline;
    /// A request that has not started by then cannot meet its deadline.
    TimePoint latestStart;
    /// Deadline of the first token; set for short prompts only.
    std::optional<TimePoint> firstTokenDue;
    Phase phase = Phase::Queued;
    /// The open attempt; invalid while there is none.
    AttemptId attempt;
    /// The attempt that the idempotency record names; set for an at-most-once call only.
    AttemptId atMostOnceAttempt;
    UpstreamId upstream;
    /// Upstreams where an attempt failed; they are used again only if no other is available.
    std::vector<UpstreamId> avoidedUpstreams;
    /// Tokens already passed to the caller.
    std::uint64_t deliveredTokens = 0;
    int attempts = 0;
    /// An upstream may have received and run one of the attempts.
    bool mayHaveRun = false;
    /// The caller has its final response or disconnected; only the call's outcome is still awaited.
    bool isCallerDone = false;
    /// The team limiter counts the request as started.
    bool isCountedByLimiter = false;
    std::optional<TimePoint> firstSentAt;
    std::optional<TimePoint> firstTokenAt;
    std::vector<ParallelGroupMember> parallelGroup;
    /// The next attempt waits until then.
    TimePoint notBefore;
    /// When its fingerprint became a suspect or its quarantine state last changed.
    TimePoint suspectSince;
    /// Until then other suspects are kept off the upstream of its isolated retry.
    std::optional<TimePoint> isolatedUntil;

    /// Prompt and output tokens, as charged to the team.
    std::uint64_t cost() const { return spec.promptTokens + spec.maxTokens; }
    /// Fingerprint to suspect if the upstream crashes; empty for an at-most-once call, which is
    /// never sent again and so can't cause a second crash.
    Fingerprint suspectFingerprint() const
    {
        return isAtMostOnce() ? Fingerprint{} : spec.fingerprint;
    }
    bool isAtMostOnce() const { return spec.kind == RequestKind::ServiceCall && !spec.isRetryable; }
};

} // namespace arbutuspier
