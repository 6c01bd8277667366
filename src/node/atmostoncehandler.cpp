// The idempotency record decides which VM may send a call; this handler only finds an upstream and
// reports the outcome.
#include "node/atmostoncehandler.h"

namespace arbutuspier {

namespace {

/// The row key includes the team, so that equal keys of two teams get separate rows.
std::string recordKey(const RequestSpec &spec)
{
    return spec.target + '/' + spec.team + '/' + spec.idempotencyKey;
}

} // namespace

void AtMostOnceHandler::begin(Request &request)
{
    request.phase = Phase::Recording;
    request.atMostOnceAttempt = m_context.newAttempt();
    m_context.service<IdempotencyStore>(service::kIdempotencyStore)
        .begin(request.id, request.atMostOnceAttempt, recordKey(request.spec),
               request.spec.keyIssuedAt, request.spec.fingerprint, m_context.wallNow);
    performActions();
}

void AtMostOnceHandler::performActions()
{
    auto &idempotencyStore = m_context.service<IdempotencyStore>(service::kIdempotencyStore);
    for (IdempotencyStore::Action &action : idempotencyStore.takeActions()) {
        if (auto *call = std::get_if<IdempotencyStore::Call>(&action))
            m_context.emit(TableCall{call->op, std::move(call->request)});
        else if (const auto *send = std::get_if<IdempotencyStore::SendNow>(&action))
            onSend(*send);
        else if (auto *replay = std::get_if<IdempotencyStore::Replay>(&action))
            onReplay(*replay);
        else if (const auto *reject = std::get_if<IdempotencyStore::Reject>(&action))
            onReject(*reject);
    }
}

void AtMostOnceHandler::onSend(const IdempotencyStore::SendNow &send)
{
    Request *request = m_store.find(send.request);
    if (!request || request->phase != Phase::Recording) {
        m_context.service<IdempotencyStore>(service::kIdempotencyStore).onNotRun(send.attempt);
        return;
    }
    m_dispatcher.putAheadOfQueue(*request);
}

void AtMostOnceHandler::onReplay(IdempotencyStore::Replay &replay)
{
    if (Request *request = m_store.find(replay.request))
        m_completion.replay(*request, replay.httpStatus, std::move(replay.result));
}

void AtMostOnceHandler::onReject(const IdempotencyStore::Reject &reject)
{
    if (Request *request = m_store.find(reject.request))
        m_completion.reject(*request, reject.verdict, reject.reason, reject.retryAfter);
}

bool AtMostOnceHandler::onCallerDisconnected(Request &request)
{
    auto &idempotencyStore = m_context.service<IdempotencyStore>(service::kIdempotencyStore);
    switch (request.phase) {
    case Phase::Running:
        m_completion.recordCallerDisconnected(request);
        m_store.setDeadline(request, request.deadline + m_context.settings.admission.recordGrace);
        return true;
    case Phase::AheadOfQueue:
        idempotencyStore.onNotRun(request.atMostOnceAttempt);
        return false;
    case Phase::Recording:
    case Phase::Queued:
    case Phase::Reserving:
        idempotencyStore.abandon(request.id);
        return false;
    }
    return false;
}

void AtMostOnceHandler::onDeadline(Request &request)
{
    auto &idempotencyStore = m_context.service<IdempotencyStore>(service::kIdempotencyStore);
    switch (request.phase) {
    case Phase::Running:
        if (request.isCallerDone) {
            idempotencyStore.onUnknown(request.atMostOnceAttempt);
            m_completion.releaseAndRemove(request);
            return;
        }
        m_completion.rejectAndKeep(request, Verdict::MayHaveRun, Reason::DeadlinePassed);
        m_store.setDeadline(request, request.deadline + m_context.settings.admission.recordGrace);
        return;
    case Phase::AheadOfQueue:
        idempotencyStore.onNotRun(request.atMostOnceAttempt);
        m_completion.reject(request, Verdict::NotRun, Reason::DeadlinePassed);
        return;
    case Phase::Recording:
    case Phase::Queued:
    case Phase::Reserving: {
        const Verdict verdict = idempotencyStore.abandon(request.id);
        const Reason reason =
            verdict == Verdict::NotRun ? Reason::StoreUnavailable : Reason::KeyOutcomeUnknown;
        m_completion.reject(request, verdict, reason);
        return;
    }
    }
}

} // namespace arbutuspier
