// The record decides who sends; this flow only finds an upstream and reports the outcome.
#include "node/atmostoncehandler.h"

namespace arbutuspier {

namespace {

/// Team and key are joined so that no two teams share a row.
std::string recordKey(const RequestSpec &spec)
{
    return spec.target + '/' + spec.team + '/' + spec.idempotencyKey;
}

} // namespace

void AtMostOnceHandler::begin(Request &request)
{
    request.phase = Phase::Recording;
    request.onceAttempt = m_context.newAttempt();
    m_context.service<IdempotencyStore>(service::kIdempotencyStore)
        .begin(request.id, request.onceAttempt, recordKey(request.spec), request.spec.keyIssuedAt,
               request.spec.fingerprint, m_context.wallNow);
    carryOut();
}

void AtMostOnceHandler::carryOut()
{
    auto &once = m_context.service<IdempotencyStore>(service::kIdempotencyStore);
    for (IdempotencyStore::Action &action : once.takeActions()) {
        if (auto *call = std::get_if<IdempotencyStore::Call>(&action))
            m_context.emit(TableCall{call->op, std::move(call->request)});
        else if (const auto *send = std::get_if<IdempotencyStore::SendNow>(&action))
            onSend(*send);
        else if (auto *replay = std::get_if<IdempotencyStore::Replay>(&action))
            onReplay(*replay);
        else if (const auto *refuse = std::get_if<IdempotencyStore::Reject>(&action))
            onReject(*refuse);
    }
}

void AtMostOnceHandler::onSend(const IdempotencyStore::SendNow &send)
{
    Request *request = m_store.find(send.request);
    if (!request || request->phase != Phase::Recording) {
        m_context.service<IdempotencyStore>(service::kIdempotencyStore).onNotRun(send.attempt);
        return;
    }
    m_dispatcher.putFirstInLine(*request);
}

void AtMostOnceHandler::onReplay(IdempotencyStore::Replay &replay)
{
    if (Request *request = m_store.find(replay.request))
        m_answers.replay(*request, replay.httpStatus, std::move(replay.result));
}

void AtMostOnceHandler::onReject(const IdempotencyStore::Reject &refuse)
{
    if (Request *request = m_store.find(refuse.request))
        m_answers.refuse(*request, refuse.verdict, refuse.reason, refuse.retryAfter);
}

bool AtMostOnceHandler::onCallerLeft(Request &request)
{
    auto &once = m_context.service<IdempotencyStore>(service::kIdempotencyStore);
    switch (request.phase) {
    case Phase::Running:
        m_answers.forgetCaller(request);
        m_store.setDeadline(request, request.deadline + m_context.settings.admission.recordGrace);
        return true;
    case Phase::FirstInLine:
        once.onNotRun(request.onceAttempt);
        return false;
    case Phase::Recording:
    case Phase::Queued:
    case Phase::Reserving:
        once.abandon(request.id);
        return false;
    }
    return false;
}

void AtMostOnceHandler::onDeadline(Request &request)
{
    auto &once = m_context.service<IdempotencyStore>(service::kIdempotencyStore);
    switch (request.phase) {
    case Phase::Running:
        if (request.isAnswered) {
            once.onUnknown(request.onceAttempt);
            m_answers.drop(request);
            return;
        }
        m_answers.answerAndKeep(request, Verdict::MayHaveRun, Reason::DeadlinePassed);
        m_store.setDeadline(request, request.deadline + m_context.settings.admission.recordGrace);
        return;
    case Phase::FirstInLine:
        once.onNotRun(request.onceAttempt);
        m_answers.refuse(request, Verdict::NotRun, Reason::DeadlinePassed);
        return;
    case Phase::Recording:
    case Phase::Queued:
    case Phase::Reserving: {
        const Verdict verdict = once.abandon(request.id);
        const Reason reason =
            verdict == Verdict::NotRun ? Reason::StoreUnavailable : Reason::KeyOutcomeUnknown;
        m_answers.refuse(request, verdict, reason);
        return;
    }
    }
}

} // namespace arbutuspier
