// Results of attempts: tokens, completed responses, failures, upstream crashes and retries.
#pragma once

#include "arbutuspier/retrybudget.h"
#include "node/dispatcher.h"
#include "node/nodecontext.h"
#include "node/parallelgrouphandler.h"
#include "node/requestcompletion.h"
#include "node/requeststore.h"
#include "node/suspectstore.h"

#include <map>
#include <string>

namespace arbutuspier {

class AttemptHandler
{
public:
    AttemptHandler(NodeContext &context, RequestStore &store, RequestCompletion &completion,
                   Dispatcher &dispatcher, ParallelGroupHandler &parallelGroups,
                   SuspectStore &suspects)
        : m_context(context)
        , m_store(store)
        , m_completion(completion)
        , m_dispatcher(dispatcher)
        , m_parallelGroups(parallelGroups)
        , m_suspects(suspects)
    {
    }

    /// Credits the retry budget of the request's class for a new request.
    void creditRetryBudget(const Request &request);
    void onFirstToken(const StreamFirstToken &event);
    void onDone(const StreamDone &event);
    void onFailed(const StreamFailed &event);
    /// The upstream's process crashed: all its attempts failed.
    void onUpstreamCrashed(UpstreamId upstream);
    /// The upstream is unresponsive and sends no load reports: its requests are retried elsewhere
    /// where that is possible, except at-most-once calls.
    void onUpstreamUnresponsive(UpstreamId upstream);
    /// A load report that the upstream made at `asOf` arrived. If it is later than the presumed
    /// crash of the same incarnation, that crash is retracted.
    void onUpstreamAlive(UpstreamId upstream, Incarnation incarnation, TimePoint asOf);
    /// The quarantine state of a fingerprint changed: rejects its requests on this VM if it is now
    /// quarantined, otherwise retries them. At-most-once calls go on, and so does an isolated retry
    /// unless the fingerprint is quarantined.
    void onSuspectChange(Fingerprint fingerprint);

private:
    /// Counts a presumed crash against each fingerprint that runs on the upstream. Returns the
    /// fingerprints whose record changed.
    std::vector<Fingerprint> recordPresumedCrash(UpstreamId upstream);
    /// The request was executed to its end: it is no suspect any more.
    void clearSuspicion(Fingerprint fingerprint);
    /// Releases what the attempt reserved and records whether the request may have run.
    /// `handleFailure` must follow.
    void endAttempt(Request &request, FailureKind kind);
    /// Retries or rejects a request whose attempt ended.
    void handleFailure(Request &request, FailureKind kind);
    /// Records the outcome of the call and rejects it; the call is never sent again.
    void handleAtMostOnceFailure(Request &request, FailureKind kind);
    /// Rejects the request if its fingerprint is quarantined; otherwise schedules a retry.
    void rejectOrRetry(Request &request);
    /// Probes every VM; the isolated retry of a suspect waits for their replies.
    void probeAllVms(Request &request);
    /// Queues the request for another attempt, or rejects it if its attempts or the retry budget
    /// are used up.
    void retry(Request &request);
    /// Whether another upstream is usable, and attempts and retry budget allow a retry.
    bool canRetryElsewhere(const Request &request);
    RetryBudget &budget(const std::string &className);

    NodeContext &m_context;
    RequestStore &m_store;
    RequestCompletion &m_completion;
    Dispatcher &m_dispatcher;
    ParallelGroupHandler &m_parallelGroups;
    SuspectStore &m_suspects;
    std::map<std::string, RetryBudget> m_budgets;
    struct PresumedCrash
    {
        Incarnation incarnation;
        TimePoint at;
    };
    /// Incarnations presumed to have crashed; a later load report of the same incarnation retracts
    /// the presumption.
    std::map<UpstreamId, PresumedCrash> m_presumedCrashes;
};

} // namespace arbutuspier
