// Decides at the door: deadline, lane, whether the request can be on time, and what it waits for.
#pragma once

#include "node/answers.h"
#include "node/atmostoncehandler.h"
#include "node/attempthandler.h"
#include "node/dispatcher.h"
#include "node/nodecontext.h"
#include "node/requeststore.h"

namespace arbutuspier {

class Admission
{
public:
    Admission(NodeContext &context, RequestStore &store, Answers &answers, Dispatcher &dispatcher,
              AttemptHandler &attempts, AtMostOnceHandler &once)
        : m_context(context)
        , m_store(store)
        , m_answers(answers)
        , m_dispatcher(dispatcher)
        , m_attempts(attempts)
        , m_once(once)
    {
    }

    void onArrival(const CallerRequest &event);
    void onCallerDisconnected(const CallerDisconnected &event);
    /// Ends what is past its deadline and drops queued work that cannot be on time.
    void tick();
    /// Refuses what the dispatcher found too late to send.
    void endDoomed();
    /// From now on nothing is admitted.
    void stop() { m_isStopped = true; }

private:
    bool refuseUnfit(const CallerRequest &event);
    Request makeRequest(const CallerRequest &event, LengthClass lengthClass) const;
    LengthClass lengthClassFor(const RequestSpec &spec) const;
    bool refuseLate(const CallerRequest &event, const Request &request);
    Duration timeAllowed(const RequestSpec &spec, const LimitRow &row,
                         LengthClass lengthClass) const;
    void endLate(Request &request);
    void endQueued(Request &request);

    NodeContext &m_context;
    RequestStore &m_store;
    Answers &m_answers;
    Dispatcher &m_dispatcher;
    AttemptHandler &m_attempts;
    AtMostOnceHandler &m_once;
    bool m_isStopped = false;
};

} // namespace arbutuspier
