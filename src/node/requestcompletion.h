// Ends requests: sends the one final response, reports the outcome and releases all resources.
#pragma once

#include "node/nodecontext.h"
#include "node/requeststore.h"

namespace arbutuspier {

class RequestCompletion
{
public:
    RequestCompletion(NodeContext &context, RequestStore &store)
        : m_context(context)
        , m_store(store)
    {
    }

    /// Rejects a request that was not admitted and is not in the request store.
    void rejectAtAdmission(const CallerRequest &event, Verdict verdict, Reason reason,
                           Duration retryAfter);
    /// Sends a rejection as the final response and drops the request.
    void reject(Request &request, Verdict verdict, Reason reason, Duration retryAfter = {});
    /// Reports that the upstream's response is complete and drops the request.
    void finish(Request &request, std::uint64_t tokens);
    /// Sends the recorded result of the call's first run and drops the request.
    void replay(Request &request, int status, std::string result);
    /// Sends the final response but keeps the request until the outcome of its call is recorded.
    void rejectAndKeep(Request &request, Verdict verdict, Reason reason);
    /// The caller disconnected: reports the outcome and sends no response.
    void recordCallerDisconnected(Request &request);
    /// Releases the request's resources and removes it, once its caller has a response or is gone.
    void releaseAndRemove(Request &request);

private:
    void reportOutcome(const Request &request, Verdict verdict, Reason reason,
                       std::uint64_t tokens);
    void releaseResources(Request &request);

    NodeContext &m_context;
    RequestStore &m_store;
};

} // namespace arbutuspier
