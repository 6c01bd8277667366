// placementplan.h chooses the replica; this file keeps the queue of waiting requests.
#include "gateway/dispatchqueue.h"

#include <xxhash.h>

#include <algorithm>

namespace arbutuspier {

namespace {

/// A request waits no longer than this for the turn of a replica that it wasn't sent to yet, if one
/// that it was sent to can take it.
constexpr Duration kMaxWaitForUntried = std::chrono::milliseconds{100};

std::uint64_t packingOrder(const std::string &replica)
{
    return XXH64(replica.data(), replica.size(), 0);
}

} // namespace

DispatchQueue::DispatchQueue(asio::any_io_executor executor, const Clock &clock, std::string vm,
                             std::string zone, const UpstreamDirectory &directory,
                             const FleetGroups &groups, FleetLoad &load,
                             const ReplicaHealth &health, const SharedReplicaHealth &sharedHealth,
                             const ZoneHealth &zones, ReplicaRequestLimits &limits,
                             ColdReplicas &cold, const ReplicaRests &rests,
                             const RemainingWork &work)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_vm(std::move(vm))
    , m_zone(std::move(zone))
    , m_directory(directory)
    , m_groups(groups)
    , m_load(load)
    , m_health(health)
    , m_sharedHealth(sharedHealth)
    , m_zones(zones)
    , m_limits(limits)
    , m_cold(cold)
    , m_rests(rests)
    , m_work(work)
    , m_turns(m_vm)
    , m_startTimer(m_executor)
{
}

std::shared_ptr<DispatchQueue::Ticket> DispatchQueue::makeTicket(DispatchRequirements requirements)
{
    auto ticket = std::make_shared<Ticket>();
    ticket->requirements = std::move(requirements);
    ticket->order = m_nextOrder++;
    ticket->wakeTimer = std::make_shared<asio::steady_timer>(m_executor);
    return ticket;
}

Task<DispatchResult> DispatchQueue::acquire(std::shared_ptr<Ticket> ticket)
{
    if (tryDispatch(*ticket))
        co_return ticket->result;
    ticket->requirements.waitDeadline =
        std::min(ticket->requirements.waitDeadline, m_clock.now() + maxWait(ticket->requirements));
    const auto isLater = [&](const std::shared_ptr<Ticket> &other) {
        return std::pair(other->requirements.priority, other->order)
            > std::pair(ticket->requirements.priority, ticket->order);
    };
    m_waiting.insert(std::find_if(m_waiting.begin(), m_waiting.end(), isLater), ticket);
    ticket->wakeTimer->expires_at(ticket->requirements.waitDeadline);
    co_await ticket->wakeTimer->async_wait(kAwait);
    if (!ticket->isDone) {
        m_waiting.remove(ticket);
        reject(*ticket, DispatchRejection::NoCapacity);
    }
    co_return ticket->result;
}

void DispatchQueue::cancel(Ticket &ticket)
{
    if (ticket.isDone)
        return;
    reject(ticket, DispatchRejection::Cancelled);
    std::erase_if(m_waiting, [&](const auto &other) { return other.get() == &ticket; });
}

void DispatchQueue::complete(Ticket &ticket)
{
    ticket.isDone = true;
    ticket.wakeTimer->cancel();
}

void DispatchQueue::reject(Ticket &ticket, DispatchRejection rejection)
{
    ticket.result.rejection = rejection;
    complete(ticket);
}

const DispatchQueue::UsableReplicas &DispatchQueue::usableReplicas(const std::string &service) const
{
    UsableReplicas &cached = m_usable[service];
    const bool isCurrent = cached.directoryRevision == m_directory.revision()
        && cached.groupsRevision == m_groups.revision() && !cached.entries.empty();
    if (isCurrent)
        return cached;
    std::vector<std::string> ids;
    for (const ReplicaEntry *entry : m_directory.usable(service))
        ids.push_back(entry->id);
    cached = {m_directory.revision(), m_groups.revision(), {}, {}};
    const std::vector<std::string> own = m_groups.ownReplicas(ids);
    for (const std::string &id : own)
        cached.entries.push_back(m_directory.find(id));
    const std::vector<std::string> preferred = m_groups.preferredReplicas(own);
    cached.preferred = {preferred.begin(), preferred.end()};
    return cached;
}

bool DispatchQueue::isLimited(const ReplicaEntry &entry, Candidates &result) const
{
    const TimePoint now = m_clock.now();
    const ReplicaIncarnation incarnation = entry.incarnation();
    const TimePoint namedLimit = m_limits.nextStart(incarnation, now);
    const TimePoint nextStart = std::max(namedLimit, m_cold.nextStart(incarnation, now));
    if (nextStart <= now)
        return false;
    result.nextStart = std::min(result.nextStart.value_or(nextStart), nextStart);
    ++result.limitedCount;
    if (namedLimit > now) {
        result.limitedPerSecond += m_limits.share(incarnation);
        return true;
    }
    result.limitedPerSecond += m_cold.share(incarnation);
    const TimePoint coldEnd = m_cold.coldEnd(incarnation, now).value_or(nextStart);
    result.firstColdEnd = std::min(result.firstColdEnd.value_or(coldEnd), coldEnd);
    return true;
}

DispatchQueue::Candidates DispatchQueue::candidates(const DispatchRequirements &requirements) const
{
    const TimePoint now = m_clock.now();
    Candidates result;
    const UsableReplicas &all = usableReplicas(requirements.service);
    for (const ReplicaEntry *entry : all.entries) {
        const bool isUnwanted =
            requirements.excluded.contains(entry->id) || requirements.forbidden.contains(entry->id);
        if (isUnwanted)
            continue;
        const ReplicaIncarnation incarnation = entry->incarnation();
        if (const auto restEnd = m_rests.restEnd(incarnation, now)) {
            result.restEnd = std::min(result.restEnd.value_or(*restEnd), *restEnd);
            continue;
        }
        if (isLimited(*entry, result))
            continue;
        PlacementCandidate candidate;
        candidate.replica = entry->id;
        candidate.slots = entry->slots;
        candidate.load = m_load.of(entry->id);
        candidate.slowdown = m_health.slowdown(incarnation);
        candidate.isLocalZone = entry->zone == m_zone;
        candidate.isPreferred = all.preferred.contains(entry->id);
        candidate.isEjected = isEjected(*entry, now);
        candidate.isRateLimited =
            m_limits.isLimited(incarnation) || m_cold.isCold(incarnation, now);
        candidate.packingOrder = packingOrder(entry->id);
        const bool isProbeDue = !candidate.isEjected && m_limits.isProbeDue(incarnation, now);
        if (isProbeDue && !result.probed)
            result.probed = candidate;
        result.replicas.push_back(std::move(candidate));
    }
    return result;
}

bool DispatchQueue::isEjected(const ReplicaEntry &replica, TimePoint now) const
{
    const ReplicaIncarnation incarnation = replica.incarnation();
    const bool isZoneDemoted = replica.zone != m_zone && m_zones.isDemoted(replica.zone, now);
    return isZoneDemoted || m_health.isEjected(incarnation, now)
        || m_sharedHealth.isEjected(incarnation, now);
}

std::optional<TimePoint> DispatchQueue::allRestUntil(const std::string &service) const
{
    std::optional<TimePoint> first;
    for (const ReplicaEntry *entry : usable(service)) {
        const auto restEnd = m_rests.restEnd(entry->incarnation(), m_clock.now());
        if (!restEnd)
            return std::nullopt;
        first = std::min(first.value_or(*restEnd), *restEnd);
    }
    return first;
}

Duration DispatchQueue::maxWait(const DispatchRequirements &requirements) const
{
    const ServiceSpec *service = requirements.table->service(requirements.service);
    const bool exceedsOneReplica = service && service->engine
        && requirements.prompt.promptTokens + requirements.prompt.outputTokens
            > service->engine->memoryTokens;
    // A prompt larger than one replica's memory can be placed only while the fleet is nearly idle.
    // On a busy fleet it is rejected early, so that its caller learns soon that it has to retry.
    constexpr double kObjectiveFraction = 0.15;
    return exceedsOneReplica
        ? fromSeconds(kObjectiveFraction * toSeconds(requirements.prompt.objective))
        : std::chrono::hours{1};
}

bool DispatchQueue::isTooLarge(const DispatchRequirements &requirements,
                               const EngineFigures &figures, std::size_t replicas) const
{
    const std::size_t maxReplicas = requirements.prompt.maySplit
        ? std::min<std::size_t>(replicas, m_options.maxHelpers + 1)
        : 1;
    const double capacityTokens =
        usableTokens(figures, m_options) * static_cast<double>(maxReplicas);
    return static_cast<double>(requirements.prompt.promptTokens + requirements.prompt.outputTokens)
        > capacityTokens;
}

void DispatchQueue::beginDrain(TimePoint deadline)
{
    m_drainDeadline = deadline;
    dispatchWaiting();
}

bool DispatchQueue::tryDispatch(Ticket &ticket)
{
    if (!endsBeforeStop(ticket.requirements.expectedDuration)) {
        reject(ticket, DispatchRejection::Draining);
        return true;
    }
    const ServiceSpec *service = ticket.requirements.table->service(ticket.requirements.service);
    Candidates found = candidates(ticket.requirements);
    const bool isLimitedForLong =
        found.nextStart && *found.nextStart > m_clock.now() + kMaxWaitForUntried;
    const bool isNoneLeft = found.replicas.empty() && (!found.nextStart || isLimitedForLong);
    if (isNoneLeft && !ticket.requirements.excluded.empty()) {
        // A replica that failed this request before is better than none.
        ticket.requirements.excluded.clear();
        found = candidates(ticket.requirements);
    }
    const std::vector<PlacementCandidate> &all = found.replicas;
    if (all.empty() && found.nextStart)
        return rejectIfLimitedForTooLong(ticket, found);
    if (all.empty() && found.restEnd) {
        ticket.result.retryAfter = *found.restEnd - m_clock.now();
        reject(ticket, DispatchRejection::Resting);
        return true;
    }
    if (all.empty()) {
        const bool areEvacuated = m_directory.areAllEvacuated(ticket.requirements.service);
        reject(ticket, areEvacuated ? DispatchRejection::Evacuated : DispatchRejection::NoReplica);
        return true;
    }
    const bool hasEngine = service && service->engine;
    if (found.probed && tryProbe(ticket, *found.probed, hasEngine ? &*service->engine : nullptr))
        return true;
    if (!hasEngine) {
        const auto replica = chooseForCall(ticket.requirements, all);
        if (replica)
            grantCall(ticket, *replica);
        else if (found.nextStart)
            dispatchAt(*found.nextStart);
        return replica.has_value();
    }
    const EngineFigures &figures = *service->engine;
    const auto placement =
        placePrompt(figures, ticket.requirements.prompt, all, m_options, m_clock.now());
    const double remainingMs = toMilliseconds(ticket.requirements.prompt.timeLeft);
    if (placement && placement->partPrefillMs > remainingMs) {
        reject(ticket, DispatchRejection::CannotMeetDeadline);
        return true;
    }
    if (placement) {
        grantPrompt(ticket, *placement);
        return true;
    }
    // Those that are limited now get it later.
    if (isTooLarge(ticket.requirements, figures, all.size() + found.limitedCount)) {
        reject(ticket, DispatchRejection::TooLarge);
        return true;
    }
    if (found.nextStart)
        dispatchAt(*found.nextStart);
    return false;
}

bool DispatchQueue::tryProbe(Ticket &ticket, const PlacementCandidate &probed,
                             const EngineFigures *figures)
{
    const std::span<const PlacementCandidate> candidates(&probed, 1);
    if (!figures) {
        const auto replica = placeCall(candidates);
        if (replica)
            grantCall(ticket, *replica);
        return replica.has_value();
    }
    PromptShape prompt = ticket.requirements.prompt;
    prompt.maySplit = false;
    const auto placement = placePrompt(*figures, prompt, candidates, m_options, m_clock.now());
    const bool isOnTime =
        placement && placement->timeToFirstTokenMs <= toMilliseconds(prompt.objective);
    if (isOnTime)
        grantPrompt(ticket, *placement);
    return isOnTime;
}

std::size_t DispatchQueue::waitingBefore(const Ticket &ticket) const
{
    const auto isBefore = [&](const std::shared_ptr<Ticket> &other) {
        return other->requirements.service == ticket.requirements.service
            && std::pair(other->requirements.priority, other->order)
            < std::pair(ticket.requirements.priority, ticket.order);
    };
    return static_cast<std::size_t>(std::count_if(m_waiting.begin(), m_waiting.end(), isBefore));
}

bool DispatchQueue::rejectIfLimitedForTooLong(Ticket &ticket, const Candidates &found)
{
    const TimePoint now = m_clock.now();
    const auto before = static_cast<double>(waitingBefore(ticket));
    Duration wait = *found.nextStart - now;
    if (found.limitedPerSecond > 0)
        wait += fromSeconds(before / found.limitedPerSecond);
    else if (before > 0)
        wait = Duration::max();
    if (found.firstColdEnd)
        wait = std::min(wait, *found.firstColdEnd - now);
    const bool isInTime = wait < ticket.requirements.waitDeadline - now;
    if (isInTime) {
        dispatchAt(*found.nextStart);
        m_coldWaits += found.firstColdEnd && !ticket.hasWaitedForCold ? 1 : 0;
        ticket.hasWaitedForCold = ticket.hasWaitedForCold || found.firstColdEnd.has_value();
        return false;
    }
    m_coldRejections += found.firstColdEnd ? 1 : 0;
    if (wait != Duration::max())
        ticket.result.retryAfter = wait;
    reject(ticket, DispatchRejection::RateLimited);
    return true;
}

void DispatchQueue::dispatchAt(TimePoint nextStart)
{
    const bool isPending = m_nextStart && *m_nextStart <= nextStart;
    if (isPending)
        return;
    m_nextStart = nextStart;
    m_startTimer.expires_at(nextStart);
    m_startTimer.async_wait([this](const ErrorCode &error) {
        if (error)
            return;
        m_nextStart.reset();
        dispatchWaiting();
    });
}

void DispatchQueue::recordStart(const ReplicaEntry &replica)
{
    m_limits.onStart(replica.incarnation(), m_clock.now());
    m_cold.onStart(replica.incarnation(), m_clock.now());
}

Duration DispatchQueue::reportAge(const std::string &service) const
{
    // While slots are scarce, reports are sent at once; otherwise they wait for others.
    constexpr Duration kUrgent = std::chrono::milliseconds{5};
    constexpr Duration kWaiting = std::chrono::milliseconds{150};
    return areSlotsScarce(service) ? kUrgent : kWaiting;
}

CallChoice DispatchQueue::rateForCall(const DispatchRequirements &requirements,
                                      std::span<const PlacementCandidate> candidates) const
{
    const TimePoint now = m_clock.now();
    const CostForecast usual = m_work.serviceForecast(requirements.service, now);
    std::vector<CallCandidate> calls;
    for (const PlacementCandidate &candidate : candidates) {
        const std::span<const RunningCall> running = m_load.callsOf(candidate.replica);
        const ReplicaEntry *entry = m_directory.find(candidate.replica);
        CallCandidate call;
        call.replica = candidate.replica;
        call.slots = candidate.slots;
        call.running = candidate.load.running;
        call.slowdown = m_work.slowdownWhile(entry->incarnation(), running, now);
        call.work = workLeftAt(running, usual, call.slowdown.factor, now);
        call.isEjected = candidate.isEjected;
        call.isLocalZone = candidate.isLocalZone;
        call.turn = m_turns.turn(candidate.replica);
        calls.push_back(std::move(call));
    }
    const CallDemand demand{requirements.cost.value_or(usual), requirements.prompt.objective,
                            reportAge(requirements.service), usual.mean()};
    return chooseReplica(calls, demand, {});
}

CallChoice DispatchQueue::explainCall(const DispatchRequirements &requirements) const
{
    return rateForCall(requirements, candidates(requirements).replicas);
}

std::optional<std::string> DispatchQueue::chooseForCall(
    const DispatchRequirements &requirements, std::span<const PlacementCandidate> candidates) const
{
    if (!requirements.cost)
        return placeCall(candidates);
    return rateForCall(requirements, candidates).replica;
}

void DispatchQueue::grantPrompt(Ticket &ticket, const Placement &placement)
{
    const PromptShape &prompt = ticket.requirements.prompt;
    DispatchGrant grant;
    grant.replica = *m_directory.find(placement.replica);
    std::uint64_t reservedTokens = 0;
    for (const HelperPlacement &helper : placement.helpers) {
        grant.helpers.push_back({*m_directory.find(helper.replica), helper.reservedTokens});
        reservedTokens += helper.reservedTokens;
    }
    grant.activeRequestId = m_nextActiveRequestId++;
    grant.forecast = fromMilliseconds(placement.timeToFirstTokenMs);
    const ReplicaLoad &load = m_load.of(placement.replica);
    grant.wasIdle = load.pendingPrefills.empty() && placement.helpers.empty();
    ActiveRequest activeRequest;
    activeRequest.id = grant.activeRequestId;
    activeRequest.eventGapObjective = prompt.eventGapObjective;
    activeRequest.weight = promptWeight(prompt.promptTokens, m_options);
    const std::uint64_t parts = placement.helpers.size() + 1;
    activeRequest.parts.push_back(
        {placement.replica, placement.partPrefillMs, prompt.promptTokens / parts,
         prompt.promptTokens + prompt.outputTokens - reservedTokens, true});
    for (const HelperPlacement &helper : placement.helpers)
        activeRequest.parts.push_back(
            {helper.replica, placement.partPrefillMs, 0, helper.reservedTokens, false});
    recordStart(grant.replica);
    ticket.result.grant = std::move(grant);
    begin(std::move(activeRequest));
    complete(ticket);
}

void DispatchQueue::grantCall(Ticket &ticket, const std::string &replica)
{
    DispatchGrant grant;
    grant.replica = *m_directory.find(replica);
    grant.activeRequestId = m_nextActiveRequestId++;
    grant.wasIdle = m_load.of(replica).running == 0;
    ActiveRequest activeRequest;
    activeRequest.id = grant.activeRequestId;
    activeRequest.parts.push_back({replica, 0, 0, 0, true});
    activeRequest.cost = ticket.requirements.cost;
    m_turns.onUse(replica);
    recordStart(grant.replica);
    ticket.result.grant = std::move(grant);
    begin(std::move(activeRequest));
    complete(ticket);
}

bool DispatchQueue::areSlotsScarce(const std::string &service) const
{
    constexpr double kScarceFraction = 0.5;
    std::uint64_t running = 0;
    std::uint64_t slots = 0;
    for (const ReplicaEntry *replica : usable(service)) {
        running += m_load.of(replica->id).running;
        slots += replica->slots;
    }
    return static_cast<double>(running) >= kScarceFraction * static_cast<double>(slots);
}

bool DispatchQueue::isUrgent(const ActiveRequest &activeRequest) const
{
    const ActiveRequestPart &primary = activeRequest.parts.front();
    const ReplicaEntry *replica = m_directory.find(primary.replica);
    const bool isSplit = activeRequest.parts.size() > 1;
    return !replica || isSplit || primary.prefillMs > m_options.longPrefillMs
        || m_limits.isLimited(replica->incarnation())
        || m_cold.isCold(replica->incarnation(), m_clock.now()) || areSlotsScarce(replica->service);
}

void DispatchQueue::notify(ActiveRequestUpdate update)
{
    if (onActiveRequestUpdate)
        onActiveRequestUpdate(update);
}

void DispatchQueue::begin(ActiveRequest activeRequest)
{
    const bool hasPrefill = activeRequest.parts.front().prefillMs > 0;
    m_load.begin(m_vm, activeRequest, m_clock.now());
    const bool isNews = hasPrefill || isUrgent(activeRequest);
    const std::uint64_t id = activeRequest.id;
    notify({ActiveRequestUpdate::Kind::Began, id, std::move(activeRequest), isNews});
}

void DispatchQueue::beginDecode(std::uint64_t activeRequestId)
{
    const ActiveRequest *activeRequest = m_load.find(m_vm, activeRequestId);
    const bool isNews = activeRequest && isUrgent(*activeRequest);
    m_load.beginDecode(m_vm, activeRequestId, m_clock.now());
    notify({ActiveRequestUpdate::Kind::Decoding, activeRequestId, std::nullopt, isNews});
    dispatchWaiting();
}

void DispatchQueue::end(std::uint64_t activeRequestId)
{
    const ActiveRequest *activeRequest = m_load.find(m_vm, activeRequestId);
    const bool isNews = activeRequest && isUrgent(*activeRequest);
    m_load.end(m_vm, activeRequestId);
    notify({ActiveRequestUpdate::Kind::Ended, activeRequestId, std::nullopt, isNews});
    dispatchWaiting();
}

void DispatchQueue::dispatchWaiting()
{
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const std::shared_ptr<Ticket> ticket = *it;
        if (tryDispatch(*ticket))
            it = m_waiting.erase(it);
        else
            ++it;
    }
}

} // namespace arbutuspier
