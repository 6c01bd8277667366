// What upstreams answer: tokens, ends, failures and deaths, and the retry that follows.
#pragma once

#include "arbutuspier/retrybudget.h"
#include "node/answers.h"
#include "node/dispatcher.h"
#include "node/nodecontext.h"
#include "node/parallelgrouphandler.h"
#include "node/requeststore.h"
#include "node/suspectstore.h"

#include <map>
#include <string>

namespace arbutuspier {

class AttemptHandler
{
public:
    AttemptHandler(NodeContext &context, RequestStore &store, Answers &answers,
                   Dispatcher &dispatcher, ParallelGroupHandler &parallelGroups,
                   SuspectStore &suspects)
        : m_context(context)
        , m_store(store)
        , m_answers(answers)
        , m_dispatcher(dispatcher)
        , m_parallelGroups(parallelGroups)
        , m_suspects(suspects)
    {
    }

    void noteFirstTry(const Request &request);
    void onFirstToken(const StreamFirstToken &event);
    void onDone(const StreamDone &event);
    void onFailed(const StreamFailed &event);
    /// The upstream's process is gone, with whatever ran there.
    void onUpstreamCrashed(UpstreamId upstream);
    /// The upstream neither answers nor says how it is: prompts go on elsewhere.
    void onUpstreamSilent(UpstreamId upstream);
    /// A report came: a death that was presumed for this very process did not happen.
    void onUpstreamAlive(UpstreamId upstream, Incarnation incarnation, TimePoint asOf);
    /// A peer lost an upstream to this body: copies of it that run here become suspects too.
    void onSuspectNews(Fingerprint fingerprint);

private:
    /// Counts the upstream's death for all bodies that ran there; returns them.
    std::vector<Fingerprint> presumeDead(UpstreamId upstream);
    void endAttempt(Request &request, FailureKind kind);
    void afterFailure(Request &request, FailureKind kind);
    void afterCallFailure(Request &request, FailureKind kind);
    /// Refuses a quarantined body; otherwise puts it in line for its next try.
    void settleSuspect(Request &request);
    /// Asks every VM for its word on the suspect: its trial waits for that.
    void beginWords(Request &request);
    void retry(Request &request);
    RetryBudget &budget(const std::string &className);

    NodeContext &m_context;
    RequestStore &m_store;
    Answers &m_answers;
    Dispatcher &m_dispatcher;
    ParallelGroupHandler &m_parallelGroups;
    SuspectStore &m_suspects;
    std::map<std::string, RetryBudget> m_budgets;
    struct Presumed
    {
        Incarnation incarnation;
        TimePoint at;
    };
    /// Lives presumed over; a later report of the same life takes it back.
    std::map<UpstreamId, Presumed> m_presumedDead;
};

} // namespace arbutuspier
