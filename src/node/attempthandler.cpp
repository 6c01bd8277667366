// Late and repeated news of an attempt finds no request and is dropped.
#include "node/attempthandler.h"

#include <algorithm>

namespace arbutuspier {

namespace {

constexpr int kMaxAttempts = 4;
constexpr Duration kSuspectPause = std::chrono::milliseconds{400};
constexpr Duration kRefusedRetryAfter = std::chrono::seconds{1};

} // namespace

RetryBudget &AttemptHandler::budget(const std::string &className)
{
    const AdmissionOptions &options = m_context.settings.admission;
    return m_budgets.try_emplace(className, options.retriesPerRequest, options.maxSavedRetries)
        .first->second;
}

void AttemptHandler::noteFirstTry(const Request &request)
{
    budget(request.spec.className).onRequest();
}

void AttemptHandler::onFirstToken(const StreamFirstToken &event)
{
    Request *request = m_store.byAttempt(event.attempt);
    if (!request)
        return;
    m_context.service<Router>(service::kRouter).onFirstToken(event.attempt, m_context.now);
    if (!request->firstTokenAt)
        request->firstTokenAt = m_context.now;
}

void AttemptHandler::onDone(const StreamDone &event)
{
    Request *request = m_store.byAttempt(event.attempt);
    if (!request)
        return;
    m_context.service<Router>(service::kRouter)
        .onDone(event.attempt, event.tokens, event.cachedTokens, m_context.now);
    m_context.service<ReservationRegistry>(service::kReservations)
        .forget(ReservationId{event.attempt.value});
    if (request->isAtMostOnce())
        m_context.service<IdempotencyStore>(service::kIdempotencyStore)
            .onRan(event.attempt, event.status, event.result);
    auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    for (const SuspectNotice &notice : quarantine.onCompleted(request->spec.fingerprint)) {
        m_context.broadcast(notice);
        m_suspects.note(notice.fingerprint);
    }
    m_answers.finish(*request, event.tokens);
}

void AttemptHandler::endAttempt(Request &request, FailureKind kind)
{
    auto &holdings = m_context.service<ReservationRegistry>(service::kReservations);
    const ReservationId holding{request.attempt.value};
    const bool isNothingHeld = kind == FailureKind::NotSent || kind == FailureKind::Refused;
    if (isNothingHeld)
        holdings.forget(holding);
    else
        holdings.release(holding, m_context.now);
    m_context.service<Router>(service::kRouter).onEnded(request.attempt);
    if (!isNothingHeld)
        request.mayHaveRun = true;
}

void AttemptHandler::onFailed(const StreamFailed &event)
{
    Request *request = m_store.byAttempt(event.attempt);
    if (!request)
        return;
    request->delivered = std::max(request->delivered, event.deliveredTokens);
    const UpstreamId upstream = request->upstream;
    std::vector<Fingerprint> suspects;
    if (event.kind == FailureKind::ConnectionLost)
        suspects = presumeDead(upstream);
    if (event.kind != FailureKind::Refused)
        m_context.service<Router>(service::kRouter).onFailure(upstream, m_context.now);
    endAttempt(*request, event.kind);
    afterFailure(*request, event.kind);
    for (Fingerprint body : suspects)
        onSuspectNews(body);
}

std::vector<Fingerprint> AttemptHandler::presumeDead(UpstreamId upstream)
{
    const auto &router = m_context.service<Router>(service::kRouter);
    const Incarnation incarnation = router.incarnation(upstream);
    m_context.service<UnattributedCrashes>(service::kUnattributedCrashes)
        .onDeath(upstream, incarnation, m_context.now);
    m_presumedDead[upstream] = {incarnation, m_context.now};
    const std::vector<VmId> lost =
        m_context.service<Membership>(service::kMembership).unreachable();
    const std::vector<Fingerprint> inFlight =
        m_context.service<ReservationRegistry>(service::kReservations)
            .fingerprintsOn(upstream, lost);
    auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    const auto notices = quarantine.onUpstreamCrash(upstream, incarnation, inFlight, m_context.now);
    for (const SuspectNotice &notice : notices) {
        m_context.broadcast(notice);
        m_suspects.note(notice.fingerprint);
    }
    std::vector<Fingerprint> suspects;
    suspects.reserve(notices.size());
    for (const SuspectNotice &notice : notices)
        suspects.push_back(notice.fingerprint);
    if (notices.empty())
        return suspects;
    m_context.log(LogLine("upstream_presumed_dead")
                      .add("upstream", m_context.upstreamName(upstream))
                      .add("suspects", std::uint64_t{notices.size()}));
    return suspects;
}

void AttemptHandler::onUpstreamAlive(UpstreamId upstream, Incarnation incarnation, TimePoint asOf)
{
    auto it = m_presumedDead.find(upstream);
    // A report from before the death says nothing of it.
    if (it == m_presumedDead.end() || asOf <= it->second.at)
        return;
    const bool isSameIncarnation = it->second.incarnation == incarnation && incarnation.isValid();
    m_presumedDead.erase(it);
    if (!isSameIncarnation)
        return;
    m_context.service<UnattributedCrashes>(service::kUnattributedCrashes)
        .retract(upstream, incarnation);
    auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    for (const SuspectNotice &notice : quarantine.retract(upstream, incarnation)) {
        m_context.broadcast(notice);
        m_suspects.note(notice.fingerprint);
    }
}

void AttemptHandler::onSuspectNews(Fingerprint fingerprint)
{
    const auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    const bool isQuarantined =
        quarantine.quarantineState(fingerprint) == Quarantine::QuarantineState::Quarantined;
    for (RequestId id : m_store.withFingerprint(fingerprint)) {
        Request *request = m_store.find(id);
        const bool isOnTrial = request->trialUntil.has_value();
        if (request->isAtMostOnce() || (isOnTrial && !isQuarantined))
            continue;
        switch (request->phase) {
        case Phase::Running:
            endAttempt(*request, FailureKind::Broken);
            afterFailure(*request, FailureKind::Broken);
            break;
        case Phase::Queued:
        case Phase::Reserving:
            m_dispatcher.withdraw(*request);
            m_parallelGroups.giveBack(*request);
            settleSuspect(*request);
            break;
        case Phase::FirstInLine:
            // It waits already: the news ends the waiting, or a new round of words begins.
            if (!isQuarantined) {
                beginWords(*request);
                break;
            }
            m_dispatcher.withdraw(*request);
            settleSuspect(*request);
            break;
        case Phase::Recording:
            break;
        }
    }
}

void AttemptHandler::onUpstreamDead(UpstreamId upstream)
{
    const std::vector<RequestId> lost = m_store.onUpstream(upstream);
    const std::vector<Fingerprint> suspects = presumeDead(upstream);
    m_context.service<ReservationRegistry>(service::kReservations).onUpstreamDead(upstream);
    m_context.service<Router>(service::kRouter).onCrash(upstream, m_context.now);
    for (RequestId id : lost) {
        Request *request = m_store.find(id);
        if (!request || request->phase != Phase::Running)
            continue;
        endAttempt(*request, FailureKind::ConnectionLost);
        afterFailure(*request, FailureKind::ConnectionLost);
    }
    for (Fingerprint body : suspects)
        onSuspectNews(body);
}

void AttemptHandler::onUpstreamSilent(UpstreamId upstream)
{
    for (RequestId id : m_store.onUpstream(upstream)) {
        Request *request = m_store.find(id);
        // A call that runs at most once can only be waited for.
        if (!request || request->phase != Phase::Running || request->isAtMostOnce())
            continue;
        endAttempt(*request, FailureKind::Broken);
        afterFailure(*request, FailureKind::Broken);
    }
}

void AttemptHandler::afterFailure(Request &request, FailureKind kind)
{
    m_store.setAttempt(request, {});
    request.phase = Phase::FirstInLine;
    if (request.isAtMostOnce()) {
        afterCallFailure(request, kind);
        return;
    }
    m_parallelGroups.giveBack(request);
    settleSuspect(request);
}

void AttemptHandler::beginWords(Request &request)
{
    request.suspectSince = m_context.now;
    m_context.service<Membership>(service::kMembership).probeAll(m_context.now);
}

void AttemptHandler::settleSuspect(Request &request)
{
    const auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    const Verdict verdict = request.mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
    switch (quarantine.quarantineState(request.spec.fingerprint)) {
    case Quarantine::QuarantineState::Quarantined:
        m_answers.refuse(request, verdict, Reason::Quarantined);
        return;
    case Quarantine::QuarantineState::Suspect:
        // Peers that lost an upstream to a copy of this body have time to say so.
        request.notBefore = m_context.now + kSuspectPause;
        beginWords(request);
        break;
    case Quarantine::QuarantineState::Clean:
        request.notBefore = m_context.now;
        break;
    }
    retry(request);
}

void AttemptHandler::afterCallFailure(Request &request, FailureKind kind)
{
    auto &once = m_context.service<IdempotencyStore>(service::kIdempotencyStore);
    // The row names the attempt; setAttempt has only cut the link from late answers.
    const AttemptId attempt = request.onceAttempt;
    const bool isNotRun = kind == FailureKind::NotSent || kind == FailureKind::Refused;
    if (isNotRun) {
        once.onNotRun(attempt);
        m_answers.refuse(request, Verdict::NotRun, Reason::UpstreamRefused, kRefusedRetryAfter);
        return;
    }
    once.onUnknown(attempt);
    m_answers.refuse(request, Verdict::MayHaveRun, Reason::UpstreamLost);
}

void AttemptHandler::retry(Request &request)
{
    const Verdict verdict = request.mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
    const bool isAllowed =
        request.attempts < kMaxAttempts && budget(request.spec.className).trySpend();
    if (!isAllowed) {
        m_answers.refuse(request, verdict, Reason::UpstreamLost, kRefusedRetryAfter);
        return;
    }
    if (request.upstream.isValid())
        request.avoid.push_back(request.upstream);
    m_dispatcher.putFirstInLine(request);
}

} // namespace arbutuspier
