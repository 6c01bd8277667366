// Calls that must not be repeated: drives the at-most-once record and the one send.
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

    void begin(Request &request);
    /// True if the request is kept to record its outcome.
    bool onCallerLeft(Request &request);
    void onDeadline(Request &request);
    /// Carries out what the record asks for.
    void carryOut();

private:
    void onSend(const IdempotencyStore::SendNow &send);
    void onReplay(IdempotencyStore::Replay &replay);
    void onReject(const IdempotencyStore::Reject &refuse);

    NodeContext &m_context;
    RequestStore &m_store;
    Answers &m_answers;
    Dispatcher &m_dispatcher;
};

} // namespace arbutuspier
