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

    /// Adds a new request's share to the retry budget of its class.
    void addToRetryBudget(const Request &request);
    void onFirstToken(const StreamFirstToken &event);
    void onDone(const StreamDone &event);
    void onFailed(const StreamFailed &event);
    /// The upstream's process crashed: all its attempts failed.
    void onUpstreamCrashed(UpstreamId upstream);
    /// The upstream is unresponsive and sends no load reports: its prompts are retried elsewhere.
    void onUpstreamUnresponsive(UpstreamId upstream);
    /// A load report of time `asOf` arrived: retracts the crash presumed earlier for its
    /// incarnation.
    void onUpstreamAlive(UpstreamId upstream, Incarnation incarnation, TimePoint asOf);
    /// A fingerprint's quarantine state changed: its requests on this VM are handled as suspects.
    void onSuspectChange(Fingerprint fingerprint);

private:
    /// Counts the crash against all fingerprints that ran on the upstream; returns these.
    std::vector<Fingerprint> presumeCrashed(UpstreamId upstream);
    void endAttempt(Request &request, FailureKind kind);
    void handleFailure(Request &request, FailureKind kind);
    void handleAtMostOnceFailure(Request &request, FailureKind kind);
    /// Rejects the request if its fingerprint is quarantined; otherwise schedules a retry.
    void rejectOrRetry(Request &request);
    /// Probes every VM; the isolated retry of a suspect waits for their replies.
    void probeAllVms(Request &request);
    void retry(Request &request);
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
    /// Incarnations presumed to have crashed; a later report of the same incarnation retracts it.
    std::map<UpstreamId, PresumedCrash> m_presumedCrashes;
};

} // namespace arbutuspier
