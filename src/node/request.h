// One request in the care of this node.
#pragma once

#include "arbutuspier/command.h"
#include "arbutuspier/fairqueue.h"
#include "arbutuspier/limits.h"
#include "arbutuspier/request.h"

#include <optional>
#include <vector>

namespace arbutuspier {

/// Where a request stands.
enum class Phase {
    /// In the fair queue.
    Queued,
    /// Waiting ahead of the queue: a retry, or a suspect for its trial.
    FirstInLine,
    /// Its idempotency key is being recorded.
    Recording,
    /// Its gang's memory is being reserved.
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
    /// Queued work that has not started by then cannot be on time.
    TimePoint latestStart;
    /// When the first token is due, if it is.
    std::optional<TimePoint> firstTokenDue;
    Phase phase = Phase::Queued;
    /// The one open attempt, or the one that will be.
    AttemptId attempt;
    /// The attempt that the idempotency key's row names, for a call that must not be repeated.
    AttemptId onceAttempt;
    UpstreamId upstream;
    std::vector<UpstreamId> avoid;
    std::uint64_t delivered = 0;
    int attempts = 0;
    /// Some attempt's bytes may have reached an upstream that may have acted on them.
    bool mayHaveRun = false;
    /// The caller has its final answer, or is gone; only the outcome is still recorded.
    bool isAnswered = false;
    bool isCounted = false;
    std::optional<TimePoint> firstSentAt;
    std::optional<TimePoint> firstTokenAt;
    std::vector<ParallelGroupMember> parallelGroup;
    /// The next attempt waits until then.
    TimePoint notBefore;
    /// When its body became a suspect, or its standing changed last.
    TimePoint suspectSince;
    /// A suspect runs apart from other suspects until this time.
    std::optional<TimePoint> trialUntil;

    std::uint64_t cost() const { return spec.promptTokens + spec.maxTokens; }
    /// What is blamed if its upstream dies. A call that runs at most once can't kill twice.
    Fingerprint suspectFingerprint() const
    {
        return isAtMostOnce() ? Fingerprint{} : spec.fingerprint;
    }
    bool isAtMostOnce() const { return spec.kind == RequestKind::ServiceCall && !spec.isRetryable; }
};

} // namespace arbutuspier
