// A late or repeated event of an attempt finds no request and is ignored.
#include "node/attempthandler.h"

#include "kernel/httpstatus.h"

#include <algorithm>

namespace arbutuspier {

namespace {

constexpr int kMaxAttempts = 4;
constexpr Duration kSuspectRetryDelay = std::chrono::milliseconds{400};
constexpr Duration kRefusedRetryAfter = std::chrono::seconds{1};

} // namespace

RetryBudget &AttemptHandler::budget(const std::string &className)
{
    const AdmissionOptions &options = m_context.settings.admission;
    return m_budgets.try_emplace(className, options.retriesPerRequest, options.maxStoredRetries)
        .first->second;
}

void AttemptHandler::creditRetryBudget(const Request &request)
{
    budget(request.spec.className).onRequest();
}

void AttemptHandler::onFirstToken(const StreamFirstToken &event)
{
    Request *request = m_store.findByAttempt(event.attempt);
    if (!request)
        return;
    m_context.service<Router>(service::kRouter).onFirstToken(event.attempt, m_context.now);
    if (!request->firstTokenAt)
        request->firstTokenAt = m_context.now;
}

void AttemptHandler::onDone(const StreamDone &event)
{
    Request *request = m_store.findByAttempt(event.attempt);
    if (!request)
        return;
    m_context.service<Router>(service::kRouter)
        .onDone(event.attempt, event.tokens, event.cachedTokens, m_context.now);
    m_context.service<ReservationRegistry>(service::kReservations)
        .forget(ReservationId{event.attempt.value});
    if (request->isAtMostOnce())
        m_context.service<IdempotencyStore>(service::kIdempotencyStore)
            .onRan(event.attempt, event.status, event.result);
    // An error response doesn't show that the upstream executed the request.
    if (isSuccessStatus(event.status))
        clearSuspicion(request->spec.fingerprint);
    m_completion.finish(*request, event.tokens);
}

void AttemptHandler::clearSuspicion(Fingerprint fingerprint)
{
    auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    for (const SuspectNotice &notice : quarantine.onCompleted(fingerprint)) {
        m_context.broadcast(notice);
        m_suspects.markChanged(notice.fingerprint);
    }
}

void AttemptHandler::endAttempt(Request &request, FailureKind kind)
{
    auto &reservations = m_context.service<ReservationRegistry>(service::kReservations);
    const ReservationId reservation{request.attempt.value};
    const bool isNothingReserved = kind == FailureKind::NotSent || kind == FailureKind::Refused;
    if (isNothingReserved)
        reservations.forget(reservation);
    else
        reservations.release(reservation, m_context.now);
    m_context.service<Router>(service::kRouter).onEnded(request.attempt);
    if (!isNothingReserved)
        request.mayHaveRun = true;
}

void AttemptHandler::onFailed(const StreamFailed &event)
{
    Request *request = m_store.findByAttempt(event.attempt);
    if (!request)
        return;
    request->deliveredTokens = std::max(request->deliveredTokens, event.deliveredTokens);
    const UpstreamId upstream = request->upstream;
    std::vector<Fingerprint> suspects;
    if (event.kind == FailureKind::ConnectionLost)
        suspects = recordPresumedCrash(upstream);
    if (event.kind != FailureKind::Refused)
        m_context.service<Router>(service::kRouter).onFailure(upstream, m_context.now);
    endAttempt(*request, event.kind);
    handleFailure(*request, event.kind);
    for (Fingerprint fingerprint : suspects)
        onSuspectChange(fingerprint);
}

std::vector<Fingerprint> AttemptHandler::recordPresumedCrash(UpstreamId upstream)
{
    const auto &router = m_context.service<Router>(service::kRouter);
    const Incarnation incarnation = router.incarnation(upstream);
    m_context.service<UnattributedCrashes>(service::kUnattributedCrashes)
        .onCrash(upstream, incarnation, m_context.now);
    m_presumedCrashes[upstream] = {incarnation, m_context.now};
    const std::vector<VmId> lost =
        m_context.service<Membership>(service::kMembership).unreachable();
    const std::vector<Fingerprint> inFlight =
        m_context.service<ReservationRegistry>(service::kReservations)
            .fingerprintsOn(upstream, lost);
    auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    const auto notices = quarantine.onUpstreamCrash(upstream, incarnation, inFlight, m_context.now);
    for (const SuspectNotice &notice : notices) {
        m_context.broadcast(notice);
        m_suspects.markChanged(notice.fingerprint);
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
    auto it = m_presumedCrashes.find(upstream);
    // A report from before the presumed crash can't disprove it.
    if (it == m_presumedCrashes.end() || asOf <= it->second.at)
        return;
    const bool isSameIncarnation = it->second.incarnation == incarnation && incarnation.isValid();
    m_presumedCrashes.erase(it);
    if (!isSameIncarnation)
        return;
    m_context.service<UnattributedCrashes>(service::kUnattributedCrashes)
        .retract(upstream, incarnation);
    auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    for (const SuspectNotice &notice : quarantine.retract(upstream, incarnation)) {
        m_context.broadcast(notice);
        m_suspects.markChanged(notice.fingerprint);
    }
}

void AttemptHandler::onSuspectChange(Fingerprint fingerprint)
{
    const auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    const bool isQuarantined =
        quarantine.quarantineState(fingerprint) == Quarantine::QuarantineState::Quarantined;
    for (RequestId id : m_store.withFingerprint(fingerprint)) {
        Request *request = m_store.find(id);
        const bool isInIsolatedRetry = request->isolatedUntil.has_value();
        if (request->isAtMostOnce() || (isInIsolatedRetry && !isQuarantined))
            continue;
        switch (request->phase) {
        case Phase::Running:
            endAttempt(*request, FailureKind::Broken);
            handleFailure(*request, FailureKind::Broken);
            break;
        case Phase::Queued:
        case Phase::Reserving:
            m_dispatcher.removeFromQueue(*request);
            m_parallelGroups.releaseMembers(*request);
            rejectOrRetry(*request);
            break;
        case Phase::AheadOfQueue:
            // The request already waits for a retry; unless quarantined, it waits for new probes.
            if (!isQuarantined) {
                probeAllVms(*request);
                break;
            }
            m_dispatcher.removeFromQueue(*request);
            rejectOrRetry(*request);
            break;
        case Phase::Recording:
            break;
        }
    }
}

void AttemptHandler::onUpstreamCrashed(UpstreamId upstream)
{
    const std::vector<RequestId> lost = m_store.onUpstream(upstream);
    const std::vector<Fingerprint> suspects = recordPresumedCrash(upstream);
    m_context.service<ReservationRegistry>(service::kReservations).onUpstreamCrashed(upstream);
    m_context.service<Router>(service::kRouter).onCrash(upstream, m_context.now);
    for (RequestId id : lost) {
        Request *request = m_store.find(id);
        if (!request || request->phase != Phase::Running)
            continue;
        endAttempt(*request, FailureKind::ConnectionLost);
        handleFailure(*request, FailureKind::ConnectionLost);
    }
    for (Fingerprint fingerprint : suspects)
        onSuspectChange(fingerprint);
}

void AttemptHandler::onUpstreamUnresponsive(UpstreamId upstream)
{
    for (RequestId id : m_store.onUpstream(upstream)) {
        Request *request = m_store.find(id);
        // An at-most-once call must not be sent again, so its attempt stays open.
        if (!request || request->phase != Phase::Running || request->isAtMostOnce())
            continue;
        // The upstream may go on, which is better than no attempt.
        if (!canRetryElsewhere(*request))
            continue;
        endAttempt(*request, FailureKind::Broken);
        handleFailure(*request, FailureKind::Broken);
    }
}

void AttemptHandler::handleFailure(Request &request, FailureKind kind)
{
    m_store.setAttempt(request, {});
    request.phase = Phase::AheadOfQueue;
    if (request.isAtMostOnce()) {
        handleAtMostOnceFailure(request, kind);
        return;
    }
    m_parallelGroups.releaseMembers(request);
    rejectOrRetry(request);
}

void AttemptHandler::probeAllVms(Request &request)
{
    request.suspectSince = m_context.now;
    m_context.service<Membership>(service::kMembership).probeAll(m_context.now);
}

void AttemptHandler::rejectOrRetry(Request &request)
{
    const auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    const Verdict verdict = request.mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
    switch (quarantine.quarantineState(request.spec.fingerprint)) {
    case Quarantine::QuarantineState::Quarantined:
        m_completion.reject(request, verdict, Reason::Quarantined);
        return;
    case Quarantine::QuarantineState::Suspect:
        // The delay lets peers report upstreams that crashed with the same fingerprint.
        request.notBefore = m_context.now + kSuspectRetryDelay;
        probeAllVms(request);
        break;
    case Quarantine::QuarantineState::Clean:
        request.notBefore = m_context.now;
        break;
    }
    retry(request);
}

void AttemptHandler::handleAtMostOnceFailure(Request &request, FailureKind kind)
{
    auto &idempotencyStore = m_context.service<IdempotencyStore>(service::kIdempotencyStore);
    // The idempotency record names this attempt; setAttempt only made late responses find nothing.
    const AttemptId attempt = request.atMostOnceAttempt;
    const bool isNotRun = kind == FailureKind::NotSent || kind == FailureKind::Refused;
    if (isNotRun) {
        idempotencyStore.onNotRun(attempt);
        m_completion.reject(request, Verdict::NotRun, Reason::UpstreamRefused, kRefusedRetryAfter);
        return;
    }
    idempotencyStore.onUnknown(attempt);
    m_completion.reject(request, Verdict::MayHaveRun, Reason::UpstreamLost);
}

bool AttemptHandler::canRetryElsewhere(const Request &request)
{
    const auto &router = m_context.service<Router>(service::kRouter);
    const std::vector<UpstreamId> upstreams =
        router.upstreamsFor(request.spec.kind, request.spec.target);
    const bool hasOther = std::any_of(upstreams.begin(), upstreams.end(), [&](UpstreamId upstream) {
        return upstream != request.upstream && router.isUsable(upstream, m_context.now);
    });
    return hasOther && request.attempts < kMaxAttempts
        && budget(request.spec.className).balance() >= 1.0;
}

void AttemptHandler::retry(Request &request)
{
    const Verdict verdict = request.mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
    const bool isAllowed =
        request.attempts < kMaxAttempts && budget(request.spec.className).trySpend();
    if (!isAllowed) {
        m_completion.reject(request, verdict, Reason::UpstreamLost, kRefusedRetryAfter);
        return;
    }
    if (request.upstream.isValid())
        request.avoidedUpstreams.push_back(request.upstream);
    m_dispatcher.putAheadOfQueue(request);
}

} // namespace arbutuspier
