// Every way out of the node passes through here, so that none leaves anything held.
#include "node/answers.h"

namespace arbutuspier {

void Answers::rejectAtAdmission(const CallerRequest &event, Verdict verdict, Reason reason,
                                Duration retryAfter)
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

void Answers::record(const Request &request, Verdict verdict, Reason reason, std::uint64_t tokens)
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
        ended.firstToken = *request.firstTokenAt - request.arrival;
    ended.queued = request.firstSentAt.value_or(m_context.now) - request.arrival;
    ended.total = m_context.now - request.arrival;
    ended.attempts = request.attempts;
    ended.at = m_context.now;
    m_context.emit(std::move(ended));
}

void Answers::letGo(Request &request)
{
    auto &holdings = m_context.service<ReservationRegistry>(service::kReservations);
    for (const ParallelGroupMember &member : request.parallelGroup)
        holdings.release(member.holding, m_context.now);
    request.parallelGroup.clear();
    if (request.phase == Phase::Running) {
        holdings.release(ReservationId{request.attempt.value}, m_context.now);
        m_context.service<Router>(service::kRouter).onEnded(request.attempt);
    }
    if (request.isCounted)
        m_context.service<TeamLimiter>(service::kTeamLimiter).onEnded(request.limits);
    request.isCounted = false;
}

void Answers::refuse(Request &request, Verdict verdict, Reason reason, Duration retryAfter)
{
    if (!request.isAnswered) {
        m_context.emit(RejectRequest{request.id, verdict, reason, retryAfter});
        record(request, verdict, reason, request.delivered);
    }
    drop(request);
}

void Answers::finish(Request &request, std::uint64_t tokens)
{
    if (!request.isAnswered) {
        m_context.emit(FinishRequest{request.id});
        record(request, Verdict::Ran, Reason::None, tokens);
    }
    drop(request);
}

void Answers::replay(Request &request, int status, std::string result)
{
    if (!request.isAnswered) {
        m_context.emit(ReplayResponse{request.id, status, std::move(result)});
        record(request, Verdict::Ran, Reason::None, 0);
    }
    drop(request);
}

void Answers::answerAndKeep(Request &request, Verdict verdict, Reason reason)
{
    if (request.isAnswered)
        return;
    request.isAnswered = true;
    m_context.emit(RejectRequest{request.id, verdict, reason, {}});
    record(request, verdict, reason, request.delivered);
}

void Answers::forgetCaller(Request &request)
{
    if (request.isAnswered)
        return;
    request.isAnswered = true;
    const bool mayHaveRun = request.mayHaveRun || request.phase == Phase::Running;
    record(request, mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun, Reason::CallerDisconnected,
           request.delivered);
}

void Answers::drop(Request &request)
{
    letGo(request);
    m_store.remove(request.id);
}

} // namespace arbutuspier
