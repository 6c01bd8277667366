// Ends requests: the one final answer, the record of it, and everything the request held.
#pragma once

#include "node/nodecontext.h"
#include "node/requeststore.h"

namespace arbutuspier {

class Answers
{
public:
    Answers(NodeContext &context, RequestStore &store)
        : m_context(context)
        , m_store(store)
    {
    }

    /// A request that was not admitted; it is in no store.
    void rejectAtAdmission(const CallerRequest &event, Verdict verdict, Reason reason,
                           Duration retryAfter);
    /// Gives the final answer and forgets the request.
    void refuse(Request &request, Verdict verdict, Reason reason, Duration retryAfter = {});
    void finish(Request &request, std::uint64_t tokens);
    void replay(Request &request, int status, std::string result);
    /// Gives the final answer but keeps the request, until its call's outcome is recorded.
    void answerAndKeep(Request &request, Verdict verdict, Reason reason);
    /// Its caller is gone: no answer is given any more.
    void forgetCaller(Request &request);
    /// Forgets a request whose caller was answered before.
    void drop(Request &request);

private:
    void record(const Request &request, Verdict verdict, Reason reason, std::uint64_t tokens);
    void letGo(Request &request);

    NodeContext &m_context;
    RequestStore &m_store;
};

} // namespace arbutuspier
