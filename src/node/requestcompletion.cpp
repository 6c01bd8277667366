// Every request ends in this class, so that its reservations and limits are always released.
#include "node/requestcompletion.h"

namespace arbutuspier {

void RequestCompletion::rejectAtAdmission(const CallerRequest &event, Verdict verdict,
                                          Reason reason, Duration retryAfter)
{
    m_context.emit(RejectRequest{event.request, verdict, reason, retryAfter});
    RequestEnded ended;
    ended.request = event.request;
    ended.team = event.spec.team;
    ended.className = event.spec.className;
    ended.promptTokens = event.spec.promptTokens;
    ended.verdict = verdict;
    ended.reason = reason;
    ended.at = m_context.now;
    m_context.emit(std::move(ended));
}

void RequestCompletion::reportOutcome(const Request &request, Verdict verdict, Reason reason,
                                      std::uint64_t tokens)
{
    RequestEnded ended;
    ended.request = request.id;
    ended.team = request.spec.team;
    ended.className = request.spec.className;
    ended.promptTokens = request.spec.promptTokens;
    ended.tokens = tokens;
    ended.verdict = verdict;
    ended.reason = reason;
    if (request.firstTokenAt)
        ended.timeToFirstToken = *request.firstTokenAt - request.arrival;
    ended.queueTime = request.firstSentAt.value_or(m_context.now) - request.arrival;
    ended.total = m_context.now - request.arrival;
    ended.attempts = request.attempts;
    ended.at = m_context.now;
    m_context.emit(std::move(ended));
}

void RequestCompletion::releaseResources(Request &request)
{
    auto &reservations = m_context.service<ReservationRegistry>(service::kReservations);
    for (const ParallelGroupMember &member : request.parallelGroup)
        reservations.release(member.reservation, m_context.now);
    request.parallelGroup.clear();
    if (request.phase == Phase::Running) {
        reservations.release(ReservationId{request.attempt.value}, m_context.now);
        m_context.service<Router>(service::kRouter).onEnded(request.attempt);
    }
    if (request.isCountedByLimiter)
        m_context.service<TeamLimiter>(service::kTeamLimiter).onEnded(request.limits);
    request.isCountedByLimiter = false;
}

void RequestCompletion::reject(Request &request, Verdict verdict, Reason reason,
                               Duration retryAfter)
{
    if (!request.isCallerDone) {
        m_context.emit(RejectRequest{request.id, verdict, reason, retryAfter});
        reportOutcome(request, verdict, reason, request.deliveredTokens);
    }
    releaseAndRemove(request);
}

void RequestCompletion::finish(Request &request, std::uint64_t tokens)
{
    if (!request.isCallerDone) {
        m_context.emit(FinishRequest{request.id});
        reportOutcome(request, Verdict::Ran, Reason::None, tokens);
    }
    releaseAndRemove(request);
}

void RequestCompletion::replay(Request &request, int status, std::string result)
{
    if (!request.isCallerDone) {
        m_context.emit(ReplayResponse{request.id, status, std::move(result)});
        reportOutcome(request, Verdict::Ran, Reason::None, 0);
    }
    releaseAndRemove(request);
}

void RequestCompletion::rejectAndKeep(Request &request, Verdict verdict, Reason reason)
{
    if (request.isCallerDone)
        return;
    request.isCallerDone = true;
    m_context.emit(RejectRequest{request.id, verdict, reason, {}});
    reportOutcome(request, verdict, reason, request.deliveredTokens);
}

void RequestCompletion::recordCallerDisconnected(Request &request)
{
    if (request.isCallerDone)
        return;
    request.isCallerDone = true;
    const bool mayHaveRun = request.mayHaveRun || request.phase == Phase::Running;
    reportOutcome(request, mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun,
                  Reason::CallerDisconnected, request.deliveredTokens);
}

void RequestCompletion::releaseAndRemove(Request &request)
{
    releaseResources(request);
    m_store.remove(request.id);
}

} // namespace arbutuspier
