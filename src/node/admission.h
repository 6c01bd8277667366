// Admission of requests: sets deadline and length class, rejects a request that cannot meet its
// deadline, and queues the others.
#pragma once

#include "node/atmostoncehandler.h"
#include "node/attempthandler.h"
#include "node/dispatcher.h"
#include "node/nodecontext.h"
#include "node/requestcompletion.h"
#include "node/requeststore.h"

namespace arbutuspier {

class Admission
{
public:
    Admission(NodeContext &context, RequestStore &store, RequestCompletion &completion,
              Dispatcher &dispatcher, AttemptHandler &attempts, AtMostOnceHandler &atMostOnce)
        : m_context(context)
        , m_store(store)
        , m_completion(completion)
        , m_dispatcher(dispatcher)
        , m_attempts(attempts)
        , m_atMostOnce(atMostOnce)
    {
    }

    /// Admits or rejects a new request.
    void onArrival(const CallerRequest &event);
    void onCallerDisconnected(const CallerDisconnected &event);
    /// Ends expired requests and rejects queued ones that can no longer meet their deadline.
    void tick();
    /// Rejects the requests that the dispatcher found too late to send.
    void rejectTooLate();
    /// Rejects all requests that arrive from now on; those admitted before go on.
    void beginDrain() { m_isDraining = true; }

private:
    /// Returns true if the request was rejected.
    bool rejectIfInadmissible(const CallerRequest &event);
    Request makeRequest(const CallerRequest &event, LengthClass lengthClass) const;
    LengthClass lengthClassFor(const RequestSpec &spec) const;
    /// Returns true if the request was rejected because it can't start in time.
    bool rejectIfTooLate(const CallerRequest &event, const Request &request);
    Duration timeAllowed(const RequestSpec &spec, const LimitRow &row,
                         LengthClass lengthClass) const;
    void endExpired(Request &request);
    void rejectQueued(Request &request);

    NodeContext &m_context;
    RequestStore &m_store;
    RequestCompletion &m_completion;
    Dispatcher &m_dispatcher;
    AttemptHandler &m_attempts;
    AtMostOnceHandler &m_atMostOnce;
    bool m_isDraining = false;
};

} // namespace arbutuspier
