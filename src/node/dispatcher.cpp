// Pumps each target: first retries and suspects, then the lanes from short to gang.
#include "node/dispatcher.h"

#include "node/parallelgrouphandler.h"
#include "node/suspectstore.h"

#include <algorithm>
#include <cmath>

namespace arbutuspier {

namespace {

constexpr double kDrainWindowSeconds = 1.0;
constexpr Duration kDrainTrustAfter = std::chrono::milliseconds{300};
/// A suspect that has run this long on its trial no longer keeps other suspects away.
constexpr Duration kTrialTime = std::chrono::seconds{2};

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
    if (!m_context.settings.admission.isFair)
        return {};
    return {request.spec.className, request.spec.team};
}

void Dispatcher::enqueue(Request &request)
{
    request.phase = Phase::Queued;
    Target &target = m_targets[request.spec.target];
    const auto [className, team] = queueKey(request);
    const LimitRow classRow =
        m_context.service<LimitsTable>(service::kLimits).row("*", request.spec.className);
    target.queue.setClassWeight(className, classRow.weight);
    target.queue.push(request.id, className, team, request.lengthClass, request.cost(),
                      request.limits.weight);
    if (m_limitedTeams.contains({className, team}))
        target.queue.pause(className, team);
}

void Dispatcher::putFirstInLine(Request &request)
{
    request.phase = Phase::FirstInLine;
    m_targets[request.spec.target].first.push_back(request.id);
}

void Dispatcher::withdraw(const Request &request)
{
    auto it = m_targets.find(request.spec.target);
    if (it == m_targets.end())
        return;
    it->second.queue.remove(request.id);
    std::erase(it->second.first, request.id);
}

bool Dispatcher::isHeldByLimit(const Request &request) const
{
    return request.phase == Phase::Queued && m_limitedTeams.contains(queueKey(request));
}

std::size_t Dispatcher::queuedCount() const
{
    std::size_t count = 0;
    for (const auto &[name, target] : m_targets)
        count += target.queue.size() + target.first.size();
    return count;
}

void Dispatcher::noteDrained(Target &target, LengthClass lengthClass, std::uint64_t cost)
{
    DrainRate &drain = target.drain[lengthClassIndex(lengthClass)];
    const double elapsed = toSeconds(m_context.now - drain.at);
    drain.perSecond *= std::exp(-elapsed / kDrainWindowSeconds);
    drain.perSecond += static_cast<double>(cost) / kDrainWindowSeconds;
    drain.at = m_context.now;
}

void Dispatcher::noteBacklog(Target &target, LengthClass lengthClass)
{
    DrainRate &drain = target.drain[lengthClassIndex(lengthClass)];
    const bool isBacklogged = target.queue.queuedCount(lengthClass) > 0;
    if (isBacklogged && !drain.isBacklogged)
        drain.backlogSince = m_context.now;
    drain.isBacklogged = isBacklogged;
}

Duration Dispatcher::expectedWait(const Request &request) const
{
    auto it = m_targets.find(request.spec.target);
    if (it == m_targets.end())
        return {};
    const Target &target = it->second;
    const auto [className, team] = queueKey(request);
    const std::uint64_t ahead =
        target.queue.costAhead(className, team, request.lengthClass, request.limits.weight);
    if (ahead == 0)
        return {};
    const DrainRate &drain = target.drain[lengthClassIndex(request.lengthClass)];
    const bool isFrequent = request.lengthClass == LengthClass::Short;
    // Longer work leaves too seldom for its rate to be measured within seconds.
    const bool isMeasured =
        isFrequent && drain.isBacklogged && m_context.now - drain.backlogSince >= kDrainTrustAfter;
    if (isMeasured) {
        const double elapsed = toSeconds(m_context.now - drain.at);
        const double rate = drain.perSecond * std::exp(-elapsed / kDrainWindowSeconds);
        if (rate > 0)
            return fromSeconds(static_cast<double>(ahead) / rate);
    }
    const Router &router = m_context.service<Router>(service::kRouter);
    const std::size_t engines =
        router.usableCount(request.spec.kind, request.spec.target, m_context.now);
    const auto sharing =
        static_cast<double>(m_context.service<Membership>(service::kMembership).aliveCount());
    const double share = std::max(1.0, static_cast<double>(engines)) / sharing;
    const double each = toSeconds(router.typicalPrefill(request.spec));
    const double perCost = each / static_cast<double>(std::max<std::uint64_t>(request.cost(), 1));
    return fromSeconds(static_cast<double>(ahead) * perCost / share);
}

void Dispatcher::pump()
{
    if (isHeld())
        return;
    for (auto &[name, target] : m_targets) {
        pumpFirst(target);
        for (LengthClass lengthClass : {LengthClass::Short, LengthClass::Medium, LengthClass::Long,
                                        LengthClass::ParallelGroup}) {
            pumpLane(target, lengthClass);
            noteBacklog(target, lengthClass);
        }
    }
}

void Dispatcher::pumpFirst(Target &target)
{
    const std::deque<RequestId> waiting = target.first;
    for (RequestId id : waiting) {
        Request *request = m_store.find(id);
        if (!request) {
            std::erase(target.first, id);
            continue;
        }
        if (m_context.now < request->notBefore)
            continue;
        const Fingerprint body = request->spec.fingerprint;
        const bool isSuspect =
            m_context.service<Quarantine>(service::kQuarantine).quarantineState(body)
            == Quarantine::QuarantineState::Suspect;
        // What ran before may have done harm that only the table knows of.
        const bool needsWord = isSuspect || request->mayHaveRun;
        if (needsWord && !m_suspects->isCleared(body, request->notBefore))
            continue;
        if (isSuspect && !m_suspects->isAccountedFor(body, request->suspectSince))
            continue;
        bool isOpened = false;
        if (request->lengthClass == LengthClass::ParallelGroup)
            isOpened = m_parallelGroups->tryStart(*request);
        else
            isOpened = isSuspect ? tryOpenTrial(*request) : tryOpen(*request);
        if (isOpened)
            std::erase(target.first, id);
    }
}

bool Dispatcher::isLimited(const Request &request)
{
    if (request.isCounted)
        return false;
    return !m_context.service<TeamLimiter>(service::kTeamLimiter)
                .mayStart(request.limits, m_context.now);
}

void Dispatcher::pumpLane(Target &target, LengthClass lengthClass)
{
    while (const auto next = target.queue.front(lengthClass)) {
        Request *request = m_store.find(*next);
        if (!request) {
            target.queue.remove(*next);
            continue;
        }
        const auto [className, team] = queueKey(*request);
        if (isLimited(*request)) {
            m_limitedTeams[{className, team}] = request->limits;
            target.queue.pause(className, team);
            continue;
        }
        const std::uint64_t cost = request->cost();
        const Sent sent = trySend(*request);
        if (sent == Sent::NoRoom)
            return;
        if (sent == Sent::TooLate) {
            target.queue.remove(*next);
            m_doomed.push_back(*next);
            continue;
        }
        target.queue.pop(lengthClass);
        noteDrained(target, lengthClass, cost);
    }
}

Dispatcher::Sent Dispatcher::trySend(Request &request)
{
    if (request.lengthClass == LengthClass::ParallelGroup)
        return m_parallelGroups->tryStart(request) ? Sent::Yes : Sent::NoRoom;
    auto &router = m_context.service<Router>(service::kRouter);
    const bool isChecked = request.firstTokenDue && m_context.settings.admission.refusesEarly;
    if (isChecked) {
        const auto predicted = router.predict(request.spec, request.lengthClass, m_context.now);
        if (predicted && m_context.now + *predicted > *request.firstTokenDue)
            return Sent::TooLate;
    }
    return tryOpen(request) ? Sent::Yes : Sent::NoRoom;
}

std::optional<Route> Dispatcher::routeOfCopy(const Request &request) const
{
    const auto &router = m_context.service<Router>(service::kRouter);
    for (RequestId id : m_store.withFingerprint(request.spec.fingerprint)) {
        const Request *copy = m_store.find(id);
        const bool isUnproven = copy->id != request.id && copy->phase == Phase::Running
            && !copy->firstTokenAt && !copy->isAtMostOnce();
        if (isUnproven && router.isUsable(copy->upstream, m_context.now))
            return Route{copy->upstream, {}, 0};
    }
    return std::nullopt;
}

bool Dispatcher::tryOpen(Request &request)
{
    auto &router = m_context.service<Router>(service::kRouter);
    // Until a body has shown that it does no harm, its copies meet on one upstream: it can take
    // down only that one, and its prefix is computed once.
    if (const auto route = request.isAtMostOnce() ? std::nullopt : routeOfCopy(request)) {
        open(request, *route, m_context.newAttempt());
        return true;
    }
    auto route = router.choose(request.spec, request.lengthClass, request.avoid, m_context.now,
                               m_context.random);
    if (!route && !request.avoid.empty()) {
        // Everything else is full or gone: better where it failed before than not at all.
        route =
            router.choose(request.spec, request.lengthClass, {}, m_context.now, m_context.random);
    }
    if (!route)
        return false;
    const bool isAtMostOnce = request.isAtMostOnce();
    open(request, *route, isAtMostOnce ? request.onceAttempt : m_context.newAttempt());
    return true;
}

bool Dispatcher::tryOpenTrial(Request &request)
{
    const auto &router = m_context.service<Router>(service::kRouter);
    std::vector<UpstreamId> present = router.upstreamsFor(request.spec.kind, request.spec.target);
    std::erase_if(present, [&](UpstreamId upstream) { return !router.isPresent(upstream); });
    const UpstreamId chosen = Quarantine::isolationUpstream(request.spec.fingerprint, present);
    if (!chosen.isValid() || isOnTrialBesides(chosen, request))
        return false;
    request.trialUntil = m_context.now + kTrialTime;
    open(request, Route{chosen, {}, 0}, m_context.newAttempt());
    return true;
}

bool Dispatcher::isOnTrialBesides(UpstreamId upstream, const Request &suspect) const
{
    const auto &all = m_store.all();
    return std::any_of(all.begin(), all.end(), [&](const auto &entry) {
        const Request &other = entry.second;
        const bool isOnTrial = other.phase == Phase::Running && other.upstream == upstream
            && other.trialUntil && m_context.now < *other.trialUntil;
        // A copy of the same body belongs on the same upstream: one death then counts for both.
        return isOnTrial && other.spec.fingerprint != suspect.spec.fingerprint;
    });
}

void Dispatcher::open(Request &request, const Route &route, AttemptId attempt)
{
    auto &router = m_context.service<Router>(service::kRouter);
    m_store.noteStarted(request);
    m_store.setAttempt(request, attempt);
    request.phase = Phase::Running;
    request.upstream = route.upstream;
    ++request.attempts;
    if (!request.firstSentAt)
        request.firstSentAt = m_context.now;
    if (!request.isCounted) {
        request.isCounted = true;
        m_context.service<TeamLimiter>(service::kTeamLimiter)
            .onStarted(request.limits, request.cost(), m_context.now);
        m_served[{request.spec.className, request.spec.team}] += request.cost();
    }
    router.onOpened(attempt, route, request.spec, request.lengthClass, m_context.now);
    m_context.service<ReservationRegistry>(service::kReservations)
        .add(ReservationId{attempt.value}, route.upstream, request.deadline,
             request.suspectFingerprint());
    OpenStream command;
    command.attempt = attempt;
    command.request = request.id;
    command.upstream = route.upstream;
    command.resumeOffset = request.delivered;
    command.priority = lengthClassPriority(request.lengthClass);
    command.limit = request.deadline - m_context.now;
    command.parallelGroup = request.parallelGroup;
    m_context.emit(std::move(command));
}

void Dispatcher::debit(const ServiceDebits &debits)
{
    for (const ServiceDebit &debit : debits.debits) {
        for (auto &[name, target] : m_targets)
            target.queue.debit(debit.className, debit.team, debit.tokens);
    }
}

ServiceDebits Dispatcher::takeDebits()
{
    ServiceDebits debits;
    for (const auto &[key, tokens] : std::exchange(m_served, {}))
        debits.debits.push_back({key.first, key.second, tokens});
    return debits;
}

void Dispatcher::resumeLimited()
{
    auto &gate = m_context.service<TeamLimiter>(service::kTeamLimiter);
    for (auto it = m_limitedTeams.begin(); it != m_limitedTeams.end();) {
        if (!gate.mayStart(it->second, m_context.now)) {
            ++it;
            continue;
        }
        for (auto &[name, target] : m_targets)
            target.queue.resume(it->first.first, it->first.second);
        it = m_limitedTeams.erase(it);
    }
}

void Dispatcher::reportWaiting()
{
    auto &gate = m_context.service<TeamLimiter>(service::kTeamLimiter);
    std::map<TeamKey, std::pair<LimitRow, std::size_t>> waiting;
    for (const LimitRow &row : gate.rows())
        waiting[{row.className, row.team}] = {row, 0};
    for (const auto &[id, request] : m_store.all()) {
        if (request.phase != Phase::Queued)
            continue;
        auto it = waiting.find({request.spec.className, request.spec.team});
        if (it != waiting.end())
            ++it->second.second;
    }
    for (const auto &[key, entry] : waiting)
        gate.setWaitingCount(entry.first, entry.second);
}

} // namespace arbutuspier
