// At-most-once calls: updates their idempotency records and allows each a single attempt.
#pragma once

#include "node/answers.h"
#include "node/dispatcher.h"
#include "node/nodecontext.h"
#include "node/requeststore.h"

namespace arbutuspier {

class AtMostOnceHandler
{
public:
    AtMostOnceHandler(NodeContext &context, RequestStore &store, Answers &answers,
                      Dispatcher &dispatcher)
        : m_context(context)
        , m_store(store)
        , m_answers(answers)
        , m_dispatcher(dispatcher)
    {
    }

    /// Requests the idempotency record that must exist before the call is sent.
    void begin(Request &request);
    /// Returns true if the request must be kept until its outcome is recorded.
    bool onCallerLeft(Request &request);
    void onDeadline(Request &request);
    /// Performs the actions that the idempotency store has requested.
    void carryOut();

private:
    void onSend(const IdempotencyStore::SendNow &send);
    void onReplay(IdempotencyStore::Replay &replay);
    void onRefuse(const IdempotencyStore::Refuse &refuse);

    NodeContext &m_context;
    RequestStore &m_store;
    Answers &m_answers;
    Dispatcher &m_dispatcher;
};

} // namespace arbutuspier
