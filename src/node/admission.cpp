// A request that cannot be on time is refused now, with the time at which asking again may help.
#include "node/admission.h"

#include <algorithm>

namespace arbutuspier {

namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds{200};
constexpr Duration kQueueFullRetryAfter = std::chrono::seconds{1};
constexpr Duration kNoUpstreamRetryAfter = std::chrono::seconds{2};

LengthClass lengthClassByTokens(std::uint64_t tokens)
{
    if (tokens < kShortPromptTokens)
        return LengthClass::Short;
    return tokens < kLongPromptTokens ? LengthClass::Medium : LengthClass::Long;
}

} // namespace

LengthClass Admission::lengthClassFor(const RequestSpec &spec) const
{
    if (spec.kind == RequestKind::ServiceCall)
        return LengthClass::Short;
    const std::size_t engines = m_context.service<Router>(service::kRouter).parallelGroupSize(spec);
    return engines > 1 ? LengthClass::ParallelGroup : lengthClassByTokens(spec.promptTokens);
}

Duration Admission::timeAllowed(const RequestSpec &spec, const LimitRow &row,
                                LengthClass lengthClass) const
{
    const AdmissionOptions &options = m_context.settings.admission;
    Duration allowed =
        lengthClass == LengthClass::Short ? options.shortDeadline : options.longDeadline;
    if (spec.kind == RequestKind::ServiceCall)
        allowed = options.callDeadline;
    if (row.deadlineMs != 0)
        allowed = std::chrono::milliseconds{row.deadlineMs};
    if (spec.timeLimit > Duration::zero())
        allowed = std::min(allowed, spec.timeLimit);
    return allowed;
}

bool Admission::refuseUnfit(const CallerRequest &event)
{
    const auto refuse = [&](Reason reason, Duration retryAfter) {
        m_answers.rejectAtAdmission(event, Verdict::NotRun, reason, retryAfter);
        return true;
    };
    if (m_isStopped)
        return refuse(Reason::Draining, kMinRetryAfter);
    if (m_store.find(event.request))
        return refuse(Reason::BadRequest, {});
    if (m_store.size() >= m_context.settings.admission.maxQueued)
        return refuse(Reason::QueueFull, kQueueFullRetryAfter);
    const auto &router = m_context.service<Router>(service::kRouter);
    const RequestSpec &spec = event.spec;
    if (router.upstreamsFor(spec.kind, spec.target).empty())
        return refuse(Reason::NoUpstream, {});
    if (spec.kind == RequestKind::Prompt && router.parallelGroupSize(spec) == 0)
        return refuse(Reason::TooLarge, {});
    if (router.usableCount(spec.kind, spec.target, m_context.now) == 0)
        return refuse(Reason::NoUpstream, kNoUpstreamRetryAfter);
    const auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    if (quarantine.quarantineState(spec.fingerprint) == Quarantine::QuarantineState::Quarantined)
        return refuse(Reason::Quarantined, {});
    return false;
}

Request Admission::makeRequest(const CallerRequest &event, LengthClass lengthClass) const
{
    Request request;
    request.id = event.request;
    request.spec = event.spec;
    request.lengthClass = lengthClass;
    request.limits =
        m_context.service<LimitsTable>(service::kLimits).row(event.spec.team, event.spec.className);
    request.arrival = m_context.now;
    request.deadline = m_context.now + timeAllowed(event.spec, request.limits, lengthClass);
    const auto &router = m_context.service<Router>(service::kRouter);
    if (event.spec.kind == RequestKind::ServiceCall) {
        request.latestStart = request.deadline;
        return request;
    }
    const std::size_t engines = std::max<std::size_t>(router.parallelGroupSize(event.spec), 1);
    const Duration prefill =
        router.typicalPrefill(event.spec) / static_cast<Duration::rep>(engines);
    const Duration decode = CostModel().decode(event.spec.maxTokens);
    request.latestStart = request.deadline - prefill - decode;
    if (lengthClass == LengthClass::Short) {
        const Duration limit = m_context.settings.admission.shortFirstTokenLimit;
        request.latestStart = std::min(request.latestStart, m_context.now + limit - prefill);
        request.firstTokenDue = m_context.now + limit;
    }
    return request;
}

bool Admission::refuseLate(const CallerRequest &event, const Request &request)
{
    if (!m_context.settings.admission.refusesEarly || request.isAtMostOnce())
        return false;
    Duration start = m_dispatcher.expectedWait(request);
    if (request.lengthClass != LengthClass::ParallelGroup) {
        const auto &router = m_context.service<Router>(service::kRouter);
        const Duration alone = router.typicalPrefill(request.spec);
        const Duration predicted =
            router.predict(request.spec, request.lengthClass, m_context.now).value_or(alone);
        start += std::max(Duration::zero(), predicted - alone);
    }
    const TimePoint predictedStart = m_context.now + start;
    if (predictedStart <= request.latestStart)
        return false;
    const Duration excess = predictedStart - request.latestStart;
    const Duration retryAfter =
        jittered(m_context.random, std::max<Duration>(excess, kMinRetryAfter));
    m_answers.rejectAtAdmission(event, Verdict::NotRun, Reason::CannotMeetDeadline, retryAfter);
    return true;
}

void Admission::onArrival(const CallerRequest &event)
{
    if (refuseUnfit(event))
        return;
    const LengthClass lengthClass = lengthClassFor(event.spec);
    Request fresh = makeRequest(event, lengthClass);
    if (refuseLate(event, fresh))
        return;
    Request &request = m_store.add(std::move(fresh));
    m_attempts.noteFirstTry(request);
    if (request.isAtMostOnce()) {
        m_once.begin(request);
        return;
    }
    const auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    if (quarantine.quarantineState(request.spec.fingerprint)
        == Quarantine::QuarantineState::Suspect)
        m_dispatcher.putFirstInLine(request);
    else
        m_dispatcher.enqueue(request);
}

void Admission::onCallerDisconnected(const CallerDisconnected &event)
{
    Request *request = m_store.find(event.request);
    if (!request)
        return;
    m_dispatcher.withdraw(*request);
    if (request->isAtMostOnce() && m_once.onCallerLeft(*request))
        return;
    m_answers.forgetCaller(*request);
    m_answers.drop(*request);
}

void Admission::endLate(Request &request)
{
    const bool isHeldByLimit = m_dispatcher.isHeldByLimit(request);
    m_dispatcher.withdraw(request);
    if (request.isAtMostOnce()) {
        m_once.onDeadline(request);
        return;
    }
    const bool mayHaveRun = request.mayHaveRun || request.phase == Phase::Running;
    m_answers.refuse(request, mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun,
                     isHeldByLimit ? Reason::OverLimit : Reason::DeadlinePassed);
}

void Admission::endQueued(Request &request)
{
    const Reason reason =
        m_dispatcher.isHeldByLimit(request) ? Reason::OverLimit : Reason::CannotMeetDeadline;
    m_dispatcher.withdraw(request);
    m_answers.refuse(request, Verdict::NotRun, reason,
                     jittered(m_context.random, kQueueFullRetryAfter));
}

void Admission::endDoomed()
{
    for (RequestId id : m_dispatcher.takeDoomed()) {
        if (Request *request = m_store.find(id))
            endQueued(*request);
    }
}

void Admission::tick()
{
    for (RequestId id : m_store.pastDeadline(m_context.now)) {
        if (Request *request = m_store.find(id))
            endLate(*request);
    }
    if (!m_context.settings.admission.refusesEarly)
        return;
    for (RequestId id : m_store.doomed(m_context.now)) {
        Request *request = m_store.find(id);
        if (request && request->phase == Phase::Queued && !request->mayHaveRun)
            endQueued(*request);
        else if (request)
            m_store.noteStarted(*request);
    }
}

} // namespace arbutuspier
