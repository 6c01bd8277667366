// A request that cannot meet its deadline is rejected on arrival, with the time after which a
// retry by the caller may succeed.
#include "node/admission.h"

#include <algorithm>

namespace arbutuspier {

namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds{200};
/// Retry-after of requests rejected because of the queue: it is full, or the request waited in it
/// until it could no longer start in time.
constexpr Duration kQueueRetryAfter = std::chrono::seconds{1};
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

bool Admission::rejectIfInadmissible(const CallerRequest &event)
{
    const auto reject = [&](Reason reason, Duration retryAfter) {
        m_completion.rejectAtAdmission(event, Verdict::NotRun, reason, retryAfter);
        return true;
    };
    if (m_isDraining)
        return reject(Reason::Draining, kMinRetryAfter);
    // An unfinished request already has this id.
    if (m_store.find(event.request))
        return reject(Reason::BadRequest, {});
    if (m_store.size() >= m_context.settings.admission.maxQueued)
        return reject(Reason::QueueFull, kQueueRetryAfter);
    const auto &router = m_context.service<Router>(service::kRouter);
    const RequestSpec &spec = event.spec;
    if (router.upstreamsFor(spec.kind, spec.target).empty())
        return reject(Reason::NoUpstream, {});
    if (spec.kind == RequestKind::Prompt && router.parallelGroupSize(spec) == 0)
        return reject(Reason::TooLarge, {});
    if (router.usableCount(spec.kind, spec.target, m_context.now) == 0)
        return reject(Reason::NoUpstream, kNoUpstreamRetryAfter);
    const auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    if (quarantine.quarantineState(spec.fingerprint) == Quarantine::QuarantineState::Quarantined)
        return reject(Reason::Quarantined, {});
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
    const Duration prefillTime =
        router.typicalPrefill(event.spec) / static_cast<Duration::rep>(engines);
    const Duration decodeTime = CostModel().decode(event.spec.maxTokens);
    request.latestStart = request.deadline - prefillTime - decodeTime;
    if (lengthClass == LengthClass::Short) {
        const Duration limit = m_context.settings.admission.shortFirstTokenLimit;
        request.latestStart = std::min(request.latestStart, m_context.now + limit - prefillTime);
        request.firstTokenDue = m_context.now + limit;
    }
    return request;
}

bool Admission::rejectIfTooLate(const CallerRequest &event, const Request &request)
{
    if (!m_context.settings.admission.rejectsEarly || request.isAtMostOnce())
        return false;
    Duration startDelay = m_dispatcher.expectedWait(request);
    if (request.lengthClass != LengthClass::ParallelGroup) {
        const auto &router = m_context.service<Router>(service::kRouter);
        // `latestStart` already allows for the typical prefill time. What the predicted time to
        // first token exceeds it by delays the request like a longer wait in the queue.
        const Duration typicalPrefillTime = router.typicalPrefill(request.spec);
        const Duration predicted =
            router.predictTimeToFirstToken(request.spec, request.lengthClass, m_context.now)
                .value_or(typicalPrefillTime);
        startDelay += std::max(Duration::zero(), predicted - typicalPrefillTime);
    }
    const TimePoint predictedStart = m_context.now + startDelay;
    if (predictedStart <= request.latestStart)
        return false;
    const Duration excess = predictedStart - request.latestStart;
    const Duration retryAfter =
        jittered(m_context.random, std::max<Duration>(excess, kMinRetryAfter));
    m_completion.rejectAtAdmission(event, Verdict::NotRun, Reason::CannotMeetDeadline, retryAfter);
    return true;
}

void Admission::onArrival(const CallerRequest &event)
{
    if (rejectIfInadmissible(event))
        return;
    const LengthClass lengthClass = lengthClassFor(event.spec);
    Request newRequest = makeRequest(event, lengthClass);
    if (rejectIfTooLate(event, newRequest))
        return;
    Request &request = m_store.add(std::move(newRequest));
    m_attempts.creditRetryBudget(request);
    if (request.isAtMostOnce()) {
        m_atMostOnce.begin(request);
        return;
    }
    const auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    if (quarantine.quarantineState(request.spec.fingerprint)
        == Quarantine::QuarantineState::Suspect)
        m_dispatcher.putAheadOfQueue(request);
    else
        m_dispatcher.enqueue(request);
}

void Admission::onCallerDisconnected(const CallerDisconnected &event)
{
    Request *request = m_store.find(event.request);
    if (!request)
        return;
    m_dispatcher.removeFromQueue(*request);
    if (request->isAtMostOnce() && m_atMostOnce.onCallerDisconnected(*request))
        return;
    m_completion.recordCallerDisconnected(*request);
    m_completion.releaseAndRemove(*request);
}

void Admission::endExpired(Request &request)
{
    const bool isBlockedByTeamLimit = m_dispatcher.isBlockedByTeamLimit(request);
    m_dispatcher.removeFromQueue(request);
    if (request.isAtMostOnce()) {
        m_atMostOnce.onDeadline(request);
        return;
    }
    const bool mayHaveRun = request.mayHaveRun || request.phase == Phase::Running;
    m_completion.reject(request, mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun,
                        isBlockedByTeamLimit ? Reason::OverLimit : Reason::DeadlinePassed);
}

void Admission::rejectQueued(Request &request)
{
    const Reason reason =
        m_dispatcher.isBlockedByTeamLimit(request) ? Reason::OverLimit : Reason::CannotMeetDeadline;
    m_dispatcher.removeFromQueue(request);
    m_completion.reject(request, Verdict::NotRun, reason,
                        jittered(m_context.random, kQueueRetryAfter));
}

void Admission::rejectTooLate()
{
    for (RequestId id : m_dispatcher.takeTooLate()) {
        if (Request *request = m_store.find(id))
            rejectQueued(*request);
    }
}

void Admission::tick()
{
    for (RequestId id : m_store.pastDeadline(m_context.now)) {
        if (Request *request = m_store.find(id))
            endExpired(*request);
    }
    if (!m_context.settings.admission.rejectsEarly)
        return;
    for (RequestId id : m_store.pastLatestStart(m_context.now)) {
        Request *request = m_store.find(id);
        if (request && request->phase == Phase::Queued && !request->mayHaveRun)
            rejectQueued(*request);
        // A request that has been sent is no longer rejected for a late start.
        else if (request)
            m_store.stopWatchingLatestStart(*request);
    }
}

} // namespace arbutuspier
