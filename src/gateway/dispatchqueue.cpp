// The choice itself is in PlacementPlan; this keeps the line of those who wait.
#include "gateway/dispatchqueue.h"

#include <xxhash.h>

#include <algorithm>

namespace arbutuspier {

namespace {

std::uint64_t packingOrder(const std::string &replica)
{
    return XXH64(replica.data(), replica.size(), 0);
}

} // namespace

DispatchQueue::DispatchQueue(asio::any_io_executor executor, const Clock &clock, std::string vm,
                             std::string zone, const UpstreamDirectory &directory,
                             const FleetGroups &groups, FleetLoad &load,
                             const ReplicaHealth &health, const ZoneHealth &zones)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_vm(std::move(vm))
    , m_zone(std::move(zone))
    , m_directory(directory)
    , m_groups(groups)
    , m_load(load)
    , m_health(health)
    , m_zones(zones)
{
}

std::shared_ptr<DispatchQueue::Ticket> DispatchQueue::makeTicket(DispatchRequirements need)
{
    auto ticket = std::make_shared<Ticket>();
    ticket->need = std::move(need);
    ticket->order = m_nextOrder++;
    ticket->wake = std::make_shared<asio::steady_timer>(m_executor);
    return ticket;
}

Task<DispatchResult> DispatchQueue::acquire(std::shared_ptr<Ticket> ticket)
{
    if (trySettle(*ticket))
        co_return ticket->result;
    ticket->need.until = std::min(ticket->need.until, m_clock.now() + longestWait(ticket->need));
    const auto isLater = [&](const std::shared_ptr<Ticket> &other) {
        return std::pair(other->need.priority, other->order)
            > std::pair(ticket->need.priority, ticket->order);
    };
    m_waiting.insert(std::find_if(m_waiting.begin(), m_waiting.end(), isLater), ticket);
    ticket->wake->expires_at(ticket->need.until);
    co_await ticket->wake->async_wait(kAwait);
    if (!ticket->isSettled) {
        m_waiting.remove(ticket);
        refuse(*ticket, DispatchRefusal::NoRoom);
    }
    co_return ticket->result;
}

void DispatchQueue::cancel(Ticket &ticket)
{
    if (ticket.isSettled)
        return;
    refuse(ticket, DispatchRefusal::Cancelled);
    std::erase_if(m_waiting, [&](const auto &other) { return other.get() == &ticket; });
}

void DispatchQueue::settle(Ticket &ticket)
{
    ticket.isSettled = true;
    ticket.wake->cancel();
}

void DispatchQueue::refuse(Ticket &ticket, DispatchRefusal refusal)
{
    ticket.result.refusal = refusal;
    settle(ticket);
}

const std::vector<const ReplicaEntry *> &DispatchQueue::usable(const std::string &service) const
{
    UsableReplicas &known = m_usable[service];
    const bool isCurrent = known.directoryRevision == m_directory.revision()
        && known.groupsRevision == m_groups.revision() && !known.entries.empty();
    if (isCurrent)
        return known.entries;
    std::vector<std::string> ids;
    for (const ReplicaEntry *entry : m_directory.usable(service))
        ids.push_back(entry->id);
    known = {m_directory.revision(), m_groups.revision(), {}};
    for (const std::string &id : m_groups.ownReplicas(ids))
        known.entries.push_back(m_directory.find(id));
    return known.entries;
}

std::vector<PlacementCandidate> DispatchQueue::candidates(const DispatchRequirements &need) const
{
    const TimePoint now = m_clock.now();
    std::vector<PlacementCandidate> result;
    for (const ReplicaEntry *entry : usable(need.service)) {
        if (need.excluded.count(entry->id) != 0)
            continue;
        const ReplicaIncarnation incarnation = entry->incarnation();
        PlacementCandidate candidate;
        candidate.replica = entry->id;
        candidate.slots = entry->slots;
        candidate.load = m_load.of(entry->id);
        candidate.slowdown = m_health.slowdown(incarnation);
        candidate.isLocalZone = entry->zone == m_zone;
        const bool isCutOff = !candidate.isLocalZone && m_zones.isDemoted(entry->zone, now);
        candidate.isEjected = isCutOff || m_health.isEjected(incarnation, now);
        candidate.order = packingOrder(entry->id);
        result.push_back(std::move(candidate));
    }
    return result;
}

Duration DispatchQueue::longestWait(const DispatchRequirements &need) const
{
    const ServiceSpec *service = need.table->service(need.service);
    const bool isLarger = service && service->engine
        && need.prompt.promptTokens + need.prompt.outputTokens > service->engine->memoryTokens;
    // Only a fleet at rest takes such a prompt; its caller learns soon that this one is not.
    constexpr double kPart = 0.15;
    return isLarger ? fromSeconds(kPart * toSeconds(need.prompt.objective)) : std::chrono::hours{1};
}

bool DispatchQueue::isTooLarge(const DispatchRequirements &need, const EngineFigures &figures,
                               std::size_t replicas) const
{
    const std::size_t together =
        need.prompt.maySplit ? std::min<std::size_t>(replicas, m_options.maxHelpers + 1) : 1;
    const double capacity = usableTokens(figures, m_options) * static_cast<double>(together);
    return static_cast<double>(need.prompt.promptTokens + need.prompt.outputTokens) > capacity;
}

bool DispatchQueue::trySettle(Ticket &ticket)
{
    const ServiceSpec *service = ticket.need.table->service(ticket.need.service);
    std::vector<PlacementCandidate> all = candidates(ticket.need);
    if (all.empty() && !ticket.need.excluded.empty()) {
        // Rather a replica that failed this request before than none.
        ticket.need.excluded.clear();
        all = candidates(ticket.need);
    }
    if (all.empty()) {
        refuse(ticket, DispatchRefusal::NoReplica);
        return true;
    }
    if (!service || !service->engine) {
        const auto replica = placeCall(all);
        if (replica)
            grantCall(ticket, *replica);
        return replica.has_value();
    }
    const EngineFigures &figures = *service->engine;
    const auto placement = placePrompt(figures, ticket.need.prompt, all, m_options, m_clock.now());
    const double leftMs = toMilliseconds(ticket.need.prompt.timeLeft);
    if (placement && placement->partPrefillMs > leftMs) {
        refuse(ticket, DispatchRefusal::NoTime);
        return true;
    }
    if (placement) {
        grantPrompt(ticket, *placement);
        return true;
    }
    if (isTooLarge(ticket.need, figures, all.size())) {
        refuse(ticket, DispatchRefusal::TooLarge);
        return true;
    }
    return false;
}

void DispatchQueue::grantPrompt(Ticket &ticket, const Placement &placement)
{
    const PromptShape &prompt = ticket.need.prompt;
    DispatchGrant grant;
    grant.replica = *m_directory.find(placement.replica);
    std::uint64_t reservedTokens = 0;
    for (const HelperPlacement &helper : placement.helpers) {
        grant.helpers.push_back({*m_directory.find(helper.replica), helper.reservedTokens});
        reservedTokens += helper.reservedTokens;
    }
    grant.work = m_nextWork++;
    grant.forecast = fromMilliseconds(placement.timeToFirstTokenMs);
    const ReplicaLoad &load = m_load.of(placement.replica);
    grant.wasIdle = load.pendingPrefills.empty() && placement.helpers.empty();
    ActiveRequest work;
    work.id = grant.work;
    work.eventGapObjective = prompt.eventGapObjective;
    work.weight = promptWeight(prompt.promptTokens, m_options);
    const std::uint64_t parts = placement.helpers.size() + 1;
    work.parts.push_back({placement.replica, placement.partPrefillMs, prompt.promptTokens / parts,
                          prompt.promptTokens + prompt.outputTokens - reservedTokens, true});
    for (const HelperPlacement &helper : placement.helpers)
        work.parts.push_back(
            {helper.replica, placement.partPrefillMs, 0, helper.reservedTokens, false});
    ticket.result.grant = std::move(grant);
    begin(std::move(work));
    settle(ticket);
}

void DispatchQueue::grantCall(Ticket &ticket, const std::string &replica)
{
    DispatchGrant grant;
    grant.replica = *m_directory.find(replica);
    grant.work = m_nextWork++;
    grant.wasIdle = m_load.of(replica).running == 0;
    ActiveRequest work;
    work.id = grant.work;
    work.parts.push_back({replica, 0, 0, 0, true});
    ticket.result.grant = std::move(grant);
    begin(std::move(work));
    settle(ticket);
}

void DispatchQueue::begin(ActiveRequest work)
{
    if (onNews)
        onNews({ActiveRequestUpdate::Kind::Began, work.id, work});
    m_load.begin(m_vm, std::move(work), m_clock.now());
}

void DispatchQueue::beginDecode(std::uint64_t work)
{
    m_load.beginDecode(m_vm, work, m_clock.now());
    if (onNews)
        onNews({ActiveRequestUpdate::Kind::Writing, work, std::nullopt});
    pump();
}

void DispatchQueue::end(std::uint64_t work)
{
    m_load.end(m_vm, work);
    if (onNews)
        onNews({ActiveRequestUpdate::Kind::Ended, work, std::nullopt});
    pump();
}

void DispatchQueue::pump()
{
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const std::shared_ptr<Ticket> ticket = *it;
        if (trySettle(*ticket))
            it = m_waiting.erase(it);
        else
            ++it;
    }
}

} // namespace arbutuspier
