// Dispatches for each target (a model or service) first retries and suspects, then the queue, in
// the order of the length classes: short, medium, long, parallel group.
#include "node/dispatcher.h"

#include "node/parallelgrouphandler.h"
#include "node/suspectstore.h"

#include <algorithm>
#include <cmath>

namespace arbutuspier {

namespace {

/// Time constant of the exponentially decaying dispatch rate.
constexpr double kRateTimeConstantSeconds = 1.0;
/// The measured dispatch rate is used only after a backlog of this length.
constexpr Duration kMinMeasuredBacklog = std::chrono::milliseconds{300};
/// A suspect keeps other suspects off its upstream for this long after its isolated retry began.
constexpr Duration kIsolationTime = std::chrono::seconds{2};

std::size_t lengthClassIndex(LengthClass lengthClass)
{
    return static_cast<std::size_t>(lengthClass);
}

int lengthClassPriority(LengthClass lengthClass)
{
    return static_cast<int>(lengthClass);
}

} // namespace

std::pair<std::string, std::string> Dispatcher::queueKey(const Request &request) const
{
    if (!m_context.settings.admission.usesFairQueue)
        return {};
    return {request.spec.className, request.spec.team};
}

void Dispatcher::enqueue(Request &request)
{
    request.phase = Phase::Queued;
    TargetQueues &target = m_targets[request.spec.target];
    const auto [className, team] = queueKey(request);
    const LimitRow classRow =
        m_context.service<LimitsTable>(service::kLimits).row("*", request.spec.className);
    target.queue.setClassWeight(className, classRow.weight);
    target.queue.push(request.id, className, team, request.lengthClass, request.cost(),
                      request.limits.weight);
    if (m_limitedTeams.contains({className, team}))
        target.queue.pause(className, team);
}

void Dispatcher::putAheadOfQueue(Request &request)
{
    request.phase = Phase::AheadOfQueue;
    m_targets[request.spec.target].aheadOfQueue.push_back(request.id);
}

void Dispatcher::removeFromQueue(const Request &request)
{
    auto it = m_targets.find(request.spec.target);
    if (it == m_targets.end())
        return;
    it->second.queue.remove(request.id);
    std::erase(it->second.aheadOfQueue, request.id);
}

bool Dispatcher::isBlockedByTeamLimit(const Request &request) const
{
    return request.phase == Phase::Queued && m_limitedTeams.contains(queueKey(request));
}

std::size_t Dispatcher::queuedCount() const
{
    std::size_t count = 0;
    for (const auto &[name, target] : m_targets)
        count += target.queue.size() + target.aheadOfQueue.size();
    return count;
}

void Dispatcher::recordDispatched(TargetQueues &target, LengthClass lengthClass, std::uint64_t cost)
{
    DispatchRate &dispatchRate = target.dispatchRate[lengthClassIndex(lengthClass)];
    const double elapsed = toSeconds(m_context.now - dispatchRate.lastDispatchAt);
    dispatchRate.perSecond *= std::exp(-elapsed / kRateTimeConstantSeconds);
    dispatchRate.perSecond += static_cast<double>(cost) / kRateTimeConstantSeconds;
    dispatchRate.lastDispatchAt = m_context.now;
}

void Dispatcher::updateBacklog(TargetQueues &target, LengthClass lengthClass)
{
    DispatchRate &dispatchRate = target.dispatchRate[lengthClassIndex(lengthClass)];
    const bool isBacklogged = target.queue.queuedCount(lengthClass) > 0;
    if (isBacklogged && !dispatchRate.isBacklogged)
        dispatchRate.backlogSince = m_context.now;
    dispatchRate.isBacklogged = isBacklogged;
}

Duration Dispatcher::expectedWait(const Request &request) const
{
    auto it = m_targets.find(request.spec.target);
    if (it == m_targets.end())
        return {};
    const TargetQueues &target = it->second;
    const auto [className, team] = queueKey(request);
    const std::uint64_t ahead =
        target.queue.costAhead(className, team, request.lengthClass, request.limits.weight);
    if (ahead == 0)
        return {};
    const DispatchRate &dispatchRate = target.dispatchRate[lengthClassIndex(request.lengthClass)];
    const bool isFrequent = request.lengthClass == LengthClass::Short;
    // Longer prompts are dispatched too seldom for their rate to be measured within seconds.
    const bool isMeasured = isFrequent && dispatchRate.isBacklogged
        && m_context.now - dispatchRate.backlogSince >= kMinMeasuredBacklog;
    if (isMeasured) {
        const double elapsed = toSeconds(m_context.now - dispatchRate.lastDispatchAt);
        const double rate = dispatchRate.perSecond * std::exp(-elapsed / kRateTimeConstantSeconds);
        if (rate > 0)
            return fromSeconds(static_cast<double>(ahead) / rate);
    }
    const Router &router = m_context.service<Router>(service::kRouter);
    const std::size_t engines =
        router.usableCount(request.spec.kind, request.spec.target, m_context.now);
    const auto vmCount =
        static_cast<double>(m_context.service<Membership>(service::kMembership).aliveCount());
    const double enginesPerVm = std::max(1.0, static_cast<double>(engines)) / vmCount;
    const double prefillSeconds = toSeconds(router.typicalPrefill(request.spec));
    const double secondsPerCost =
        prefillSeconds / static_cast<double>(std::max<std::uint64_t>(request.cost(), 1));
    return fromSeconds(static_cast<double>(ahead) * secondsPerCost / enginesPerVm);
}

void Dispatcher::dispatchWaiting()
{
    if (isSuspended())
        return;
    for (auto &[name, target] : m_targets) {
        dispatchAheadOfQueue(target);
        for (LengthClass lengthClass : {LengthClass::Short, LengthClass::Medium, LengthClass::Long,
                                        LengthClass::ParallelGroup}) {
            dispatchLengthClass(target, lengthClass);
            updateBacklog(target, lengthClass);
        }
    }
}

void Dispatcher::dispatchAheadOfQueue(TargetQueues &target)
{
    const std::deque<RequestId> waiting = target.aheadOfQueue;
    for (RequestId id : waiting) {
        Request *request = m_store.find(id);
        if (!request) {
            std::erase(target.aheadOfQueue, id);
            continue;
        }
        if (m_context.now < request->notBefore)
            continue;
        const Fingerprint fingerprint = request->spec.fingerprint;
        const bool isSuspect =
            m_context.service<Quarantine>(service::kQuarantine).quarantineState(fingerprint)
            == Quarantine::QuarantineState::Suspect;
        // A request that ran before may have crashed upstreams that only the table records.
        const bool needsRowRead = isSuspect || request->mayHaveRun;
        if (needsRowRead && !m_suspects->isRowReadSince(fingerprint, request->notBefore))
            continue;
        if (isSuspect && !m_suspects->areCrashesKnown(fingerprint, request->suspectSince))
            continue;
        bool isOpened = false;
        if (request->lengthClass == LengthClass::ParallelGroup)
            isOpened = m_parallelGroups->tryStart(*request);
        else
            isOpened = isSuspect ? tryOpenIsolated(*request) : tryOpen(*request);
        if (isOpened)
            std::erase(target.aheadOfQueue, id);
    }
}

bool Dispatcher::isAtTeamLimit(const Request &request)
{
    if (request.isCountedByLimiter)
        return false;
    return !m_context.service<TeamLimiter>(service::kTeamLimiter)
                .mayStart(request.limits, m_context.now);
}

void Dispatcher::dispatchLengthClass(TargetQueues &target, LengthClass lengthClass)
{
    while (const auto next = target.queue.front(lengthClass)) {
        Request *request = m_store.find(*next);
        if (!request) {
            target.queue.remove(*next);
            continue;
        }
        const auto [className, team] = queueKey(*request);
        if (isAtTeamLimit(*request)) {
            m_limitedTeams[{className, team}] = request->limits;
            target.queue.pause(className, team);
            continue;
        }
        const std::uint64_t cost = request->cost();
        const DispatchResult result = tryDispatch(*request);
        if (result == DispatchResult::NoCapacity)
            return;
        if (result == DispatchResult::TooLate) {
            target.queue.remove(*next);
            m_tooLate.push_back(*next);
            continue;
        }
        target.queue.pop(lengthClass);
        recordDispatched(target, lengthClass, cost);
    }
}

Dispatcher::DispatchResult Dispatcher::tryDispatch(Request &request)
{
    if (request.lengthClass == LengthClass::ParallelGroup)
        return m_parallelGroups->tryStart(request) ? DispatchResult::Opened
                                                   : DispatchResult::NoCapacity;
    auto &router = m_context.service<Router>(service::kRouter);
    const bool isChecked = request.firstTokenDue && m_context.settings.admission.rejectsEarly;
    if (isChecked) {
        const auto predicted =
            router.predictTimeToFirstToken(request.spec, request.lengthClass, m_context.now);
        if (predicted && m_context.now + *predicted > *request.firstTokenDue)
            return DispatchResult::TooLate;
    }
    return tryOpen(request) ? DispatchResult::Opened : DispatchResult::NoCapacity;
}

std::optional<Route> Dispatcher::routeOfDuplicate(const Request &request) const
{
    const auto &router = m_context.service<Router>(service::kRouter);
    for (RequestId id : m_store.withFingerprint(request.spec.fingerprint)) {
        const Request *duplicate = m_store.find(id);
        const bool isUnproven = duplicate->id != request.id && duplicate->phase == Phase::Running
            && !duplicate->firstTokenAt && !duplicate->isAtMostOnce();
        if (isUnproven && router.isUsable(duplicate->upstream, m_context.now))
            return Route{duplicate->upstream, {}, 0};
    }
    return std::nullopt;
}

bool Dispatcher::tryOpen(Request &request)
{
    auto &router = m_context.service<Router>(service::kRouter);
    // Until a request with this fingerprint has produced a token, all such requests go to one
    // upstream: they can crash only that one, and their prefix is computed once.
    if (const auto route = request.isAtMostOnce() ? std::nullopt : routeOfDuplicate(request)) {
        open(request, *route, m_context.newAttempt());
        return true;
    }
    auto route = router.choose(request.spec, request.lengthClass, request.avoidedUpstreams,
                               m_context.now, m_context.random);
    if (!route && !request.avoidedUpstreams.empty()) {
        // All other upstreams are full or unavailable: retry one where the request failed before.
        route =
            router.choose(request.spec, request.lengthClass, {}, m_context.now, m_context.random);
    }
    if (!route)
        return false;
    const bool isAtMostOnce = request.isAtMostOnce();
    open(request, *route, isAtMostOnce ? request.atMostOnceAttempt : m_context.newAttempt());
    return true;
}

bool Dispatcher::tryOpenIsolated(Request &request)
{
    const auto &router = m_context.service<Router>(service::kRouter);
    std::vector<UpstreamId> present = router.upstreamsFor(request.spec.kind, request.spec.target);
    std::erase_if(present, [&](UpstreamId upstream) { return !router.isPresent(upstream); });
    const UpstreamId chosen = Quarantine::isolationUpstream(request.spec.fingerprint, present);
    if (!chosen.isValid() || hasOtherIsolatedRetry(chosen, request))
        return false;
    request.isolatedUntil = m_context.now + kIsolationTime;
    open(request, Route{chosen, {}, 0}, m_context.newAttempt());
    return true;
}

bool Dispatcher::hasOtherIsolatedRetry(UpstreamId upstream, const Request &suspect) const
{
    const auto &all = m_store.all();
    return std::any_of(all.begin(), all.end(), [&](const auto &entry) {
        const Request &other = entry.second;
        const bool isInIsolatedRetry = other.phase == Phase::Running && other.upstream == upstream
            && other.isolatedUntil && m_context.now < *other.isolatedUntil;
        // Requests with the same fingerprint share the upstream, so that one crash counts for all.
        return isInIsolatedRetry && other.spec.fingerprint != suspect.spec.fingerprint;
    });
}

void Dispatcher::open(Request &request, const Route &route, AttemptId attempt)
{
    auto &router = m_context.service<Router>(service::kRouter);
    m_store.stopWatchingLatestStart(request);
    m_store.setAttempt(request, attempt);
    request.phase = Phase::Running;
    request.upstream = route.upstream;
    ++request.attempts;
    if (!request.firstSentAt)
        request.firstSentAt = m_context.now;
    if (!request.isCountedByLimiter) {
        request.isCountedByLimiter = true;
        m_context.service<TeamLimiter>(service::kTeamLimiter)
            .onStarted(request.limits, request.cost(), m_context.now);
        m_dispatchedTokens[{request.spec.className, request.spec.team}] += request.cost();
    }
    router.onOpened(attempt, route, request.spec, request.lengthClass, m_context.now);
    m_context.service<ReservationRegistry>(service::kReservations)
        .add(ReservationId{attempt.value}, route.upstream, request.deadline,
             request.suspectFingerprint());
    OpenStream command;
    command.attempt = attempt;
    command.request = request.id;
    command.upstream = route.upstream;
    command.resumeOffset = request.deliveredTokens;
    command.priority = lengthClassPriority(request.lengthClass);
    command.timeLimit = request.deadline - m_context.now;
    command.parallelGroup = request.parallelGroup;
    m_context.emit(std::move(command));
}

void Dispatcher::chargeTokensDispatchedElsewhere(const ServiceDebits &debits)
{
    for (const ServiceDebit &debit : debits.debits) {
        for (auto &[name, target] : m_targets)
            target.queue.debit(debit.className, debit.team, debit.tokens);
    }
}

ServiceDebits Dispatcher::takeDispatchedTokens()
{
    ServiceDebits debits;
    for (const auto &[key, tokens] : std::exchange(m_dispatchedTokens, {}))
        debits.debits.push_back({key.first, key.second, tokens});
    return debits;
}

void Dispatcher::resumeLimitedTeams()
{
    auto &limiter = m_context.service<TeamLimiter>(service::kTeamLimiter);
    for (auto it = m_limitedTeams.begin(); it != m_limitedTeams.end();) {
        if (!limiter.mayStart(it->second, m_context.now)) {
            ++it;
            continue;
        }
        for (auto &[name, target] : m_targets)
            target.queue.resume(it->first.first, it->first.second);
        it = m_limitedTeams.erase(it);
    }
}

void Dispatcher::reportWaitingRequests()
{
    auto &limiter = m_context.service<TeamLimiter>(service::kTeamLimiter);
    std::map<TeamKey, std::pair<LimitRow, std::size_t>> waiting;
    for (const LimitRow &row : limiter.rows())
        waiting[{row.className, row.team}] = {row, 0};
    for (const auto &[id, request] : m_store.all()) {
        if (request.phase != Phase::Queued)
            continue;
        auto it = waiting.find({request.spec.className, request.spec.team});
        if (it != waiting.end())
            ++it->second.second;
    }
    for (const auto &[key, entry] : waiting)
        limiter.setWaitingCount(entry.first, entry.second);
}

} // namespace arbutuspier
