// Updates the sum of each replica with every change, so that reading a load is a map lookup.
#include "arbutuspier/fleetload.h"

#include <algorithm>
#include <set>

namespace arbutuspier {

namespace {

/// Fraction of its objective up to which a forecast inter-event gap counts as certainly on time.
constexpr double kSafeGapFraction = 0.65;

template <class T>
void subtract(T &from, T amount)
{
    from -= std::min(from, amount);
}

void removePlannedDecode(ReplicaLoad &load, const ActiveRequest &request)
{
    const auto decode = std::find_if(load.plannedDecodes.begin(), load.plannedDecodes.end(),
                                     [&](const PlannedDecode &other) {
                                         return other.eventGapObjective == request.eventGapObjective
                                             && other.weight == request.weight;
                                     });
    if (decode != load.plannedDecodes.end())
        load.plannedDecodes.erase(decode);
}

bool isCall(const ActiveRequest &request)
{
    return request.parts.size() == 1 && request.parts.front().prefillMs <= 0;
}

} // namespace

double ReplicaLoad::weightDelayedBy(Duration gap) const
{
    double delayedWeight = 0;
    for (const PlannedDecode &decode : plannedDecodes) {
        if (decode.eventGapObjective <= Duration::zero())
            continue;
        const double ratio = toSeconds(gap) / toSeconds(decode.eventGapObjective);
        delayedWeight += decode.weight
            * std::clamp((ratio - kSafeGapFraction) / (1.0 - kSafeGapFraction), 0.0, 1.0);
    }
    return delayedWeight;
}

void FleetLoad::addPart(const ActiveRequest &request, const ActiveRequestPart &part, TimePoint now)
{
    ReplicaLoad &load = m_loads[part.replica];
    load.memoryTokens += part.memoryTokens;
    if (part.isPrimary) {
        ++load.running;
        load.plannedDecodes.push_back({request.eventGapObjective, request.weight});
    } else {
        ++load.helperPrefills;
    }
    if (!request.isDecoding) {
        load.pendingPrefills.push_back({now, part.prefillMs});
        return;
    }
    if (!part.isPrimary)
        return;
    ++load.decodingRequests;
    load.contextTokens += part.contextTokens;
}

void FleetLoad::removePart(const ActiveRequest &request, const ActiveRequestPart &part)
{
    const auto found = m_loads.find(part.replica);
    if (found == m_loads.end())
        return;
    ReplicaLoad &load = found->second;
    subtract(load.memoryTokens, part.memoryTokens);
    subtract(part.isPrimary ? load.running : load.helperPrefills, 1U);
    if (part.isPrimary)
        removePlannedDecode(load, request);
    if (!request.isDecoding) {
        const auto prefill = std::find_if(
            load.pendingPrefills.begin(), load.pendingPrefills.end(),
            [&](const PendingPrefill &other) { return other.prefillMs == part.prefillMs; });
        if (prefill != load.pendingPrefills.end())
            load.pendingPrefills.erase(prefill);
    }
    if (request.isDecoding && part.isPrimary) {
        subtract(load.decodingRequests, 1U);
        subtract(load.contextTokens, part.contextTokens);
    }
    const bool isIdle = load.running == 0 && load.helperPrefills == 0;
    if (isIdle)
        m_loads.erase(found);
}

void FleetLoad::addCall(const ActiveRequest &request)
{
    if (isCall(request))
        m_calls[request.parts.front().replica].push_back(
            {request.id, request.begunAt, request.cost});
}

void FleetLoad::removeCall(const ActiveRequest &request)
{
    if (!isCall(request))
        return;
    const auto found = m_calls.find(request.parts.front().replica);
    if (found == m_calls.end())
        return;
    std::vector<RunningCall> &calls = found->second;
    const auto call = std::find_if(calls.begin(), calls.end(), [&](const RunningCall &other) {
        return other.requestId == request.id && other.begunAt == request.begunAt
            && other.cost.has_value() == request.cost.has_value();
    });
    if (call != calls.end())
        calls.erase(call);
    if (calls.empty())
        m_calls.erase(found);
}

void FleetLoad::begin(std::string_view vm, ActiveRequest request, TimePoint now)
{
    ActiveRequests &requests = m_activeRequests[std::string(vm)];
    if (requests.count(request.id) != 0)
        return;
    request.begunAt = now;
    for (const ActiveRequestPart &part : request.parts)
        addPart(request, part, now);
    addCall(request);
    requests.emplace(request.id, std::move(request));
}

void FleetLoad::startDecoding(ActiveRequest &request, TimePoint now)
{
    if (request.isDecoding)
        return;
    for (const ActiveRequestPart &part : request.parts)
        removePart(request, part);
    request.isDecoding = true;
    // Helpers that hold no memory for the request are done when the prefill is.
    std::erase_if(request.parts, [](const ActiveRequestPart &part) {
        return !part.isPrimary && part.memoryTokens == 0;
    });
    for (const ActiveRequestPart &part : request.parts)
        addPart(request, part, now);
}

void FleetLoad::beginDecode(std::string_view vm, std::uint64_t requestId, TimePoint now)
{
    const auto requests = m_activeRequests.find(vm);
    if (requests == m_activeRequests.end())
        return;
    const auto found = requests->second.find(requestId);
    if (found != requests->second.end())
        startDecoding(found->second, now);
}

void FleetLoad::removeAllParts(const ActiveRequest &request)
{
    for (const ActiveRequestPart &part : request.parts)
        removePart(request, part);
    removeCall(request);
}

void FleetLoad::end(std::string_view vm, std::uint64_t requestId)
{
    const auto requests = m_activeRequests.find(vm);
    if (requests == m_activeRequests.end())
        return;
    const auto found = requests->second.find(requestId);
    if (found == requests->second.end())
        return;
    removeAllParts(found->second);
    requests->second.erase(found);
}

void FleetLoad::replace(std::string_view vm, std::vector<ActiveRequest> requests, TimePoint now)
{
    ActiveRequests &known = m_activeRequests[std::string(vm)];
    std::set<std::uint64_t> ids;
    for (const ActiveRequest &request : requests)
        ids.insert(request.id);
    for (auto it = known.begin(); it != known.end();) {
        if (ids.count(it->first) != 0) {
            ++it;
            continue;
        }
        removeAllParts(it->second);
        it = known.erase(it);
    }
    for (ActiveRequest &request : requests) {
        const bool isDecoding = request.isDecoding;
        const std::uint64_t id = request.id;
        begin(vm, std::move(request), now);
        if (isDecoding)
            beginDecode(vm, id, now);
    }
}

void FleetLoad::dropVm(std::string_view vm, TimePoint now)
{
    replace(vm, {}, now);
    const auto found = m_activeRequests.find(vm);
    if (found != m_activeRequests.end())
        m_activeRequests.erase(found);
}

const ReplicaLoad &FleetLoad::of(std::string_view replica) const
{
    static const ReplicaLoad kIdle;
    const auto found = m_loads.find(replica);
    return found == m_loads.end() ? kIdle : found->second;
}

std::span<const RunningCall> FleetLoad::callsOf(std::string_view replica) const
{
    const auto found = m_calls.find(replica);
    return found == m_calls.end() ? std::span<const RunningCall>{} : found->second;
}

const ActiveRequest *FleetLoad::find(std::string_view vm, std::uint64_t requestId) const
{
    const auto requests = m_activeRequests.find(vm);
    if (requests == m_activeRequests.end())
        return nullptr;
    const auto found = requests->second.find(requestId);
    return found == requests->second.end() ? nullptr : &found->second;
}

std::vector<ActiveRequest> FleetLoad::activeRequestsOf(std::string_view vm) const
{
    std::vector<ActiveRequest> result;
    const auto found = m_activeRequests.find(vm);
    if (found == m_activeRequests.end())
        return result;
    for (const auto &[id, request] : found->second)
        result.push_back(request);
    return result;
}

} // namespace arbutuspier
