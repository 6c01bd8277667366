// At-most-once calls: updates their idempotency records and allows each a single attempt.
#pragma once

#include "node/dispatcher.h"
#include "node/nodecontext.h"
#include "node/requestcompletion.h"
#include "node/requeststore.h"

namespace arbutuspier {

class AtMostOnceHandler
{
public:
    AtMostOnceHandler(NodeContext &context, RequestStore &store, RequestCompletion &completion,
                      Dispatcher &dispatcher)
        : m_context(context)
        , m_store(store)
        , m_completion(completion)
        , m_dispatcher(dispatcher)
    {
    }

    /// Requests the idempotency record that must exist before the call is sent.
    void begin(Request &request);
    /// Returns true if the request must be kept until its outcome is recorded.
    bool onCallerDisconnected(Request &request);
    void onDeadline(Request &request);
    /// Performs the actions that the idempotency store has requested.
    void performActions();

private:
    void onSend(const IdempotencyStore::SendNow &send);
    void onReplay(IdempotencyStore::Replay &replay);
    void onReject(const IdempotencyStore::Reject &reject);

    NodeContext &m_context;
    RequestStore &m_store;
    RequestCompletion &m_completion;
    Dispatcher &m_dispatcher;
};

} // namespace arbutuspier
