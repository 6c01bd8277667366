// The sums are kept up to date part by part, so that a look at a replica costs nothing.
#include "arbutuspier/fleetload.h"

#include <algorithm>
#include <set>

namespace arbutuspier {

namespace {

/// Part of a gap objective up to which a forecast pause is safe.
constexpr double kSafePause = 0.65;

template <class T>
void subtract(T &from, T amount)
{
    from -= std::min(from, amount);
}

void removeAnswer(ReplicaLoad &load, const ActiveRequest &work)
{
    const auto answer =
        std::find_if(load.answers.begin(), load.answers.end(), [&](const PlannedDecode &other) {
            return other.eventGapObjective == work.eventGapObjective && other.weight == work.weight;
        });
    if (answer != load.answers.end())
        load.answers.erase(answer);
}

} // namespace

double ReplicaLoad::weightDelayedBy(Duration pause) const
{
    double harmed = 0;
    for (const PlannedDecode &writer : answers) {
        if (writer.eventGapObjective <= Duration::zero())
            continue;
        const double ratio = toSeconds(pause) / toSeconds(writer.eventGapObjective);
        harmed += writer.weight * std::clamp((ratio - kSafePause) / (1.0 - kSafePause), 0.0, 1.0);
    }
    return harmed;
}

void FleetLoad::addPart(const ActiveRequest &work, const ActiveRequestPart &part, TimePoint now)
{
    ReplicaLoad &load = m_loads[part.replica];
    load.memoryTokens += part.memoryTokens;
    if (part.isPrimary) {
        ++load.running;
        load.answers.push_back({work.eventGapObjective, work.weight});
    } else {
        ++load.helperPrefills;
    }
    if (!work.isDecoding) {
        load.reads.push_back({now, part.prefillMs});
        return;
    }
    if (!part.isPrimary)
        return;
    ++load.decodingRequests;
    load.contextTokens += part.contextTokens;
}

void FleetLoad::removePart(const ActiveRequest &work, const ActiveRequestPart &part)
{
    const auto found = m_loads.find(part.replica);
    if (found == m_loads.end())
        return;
    ReplicaLoad &load = found->second;
    subtract(load.memoryTokens, part.memoryTokens);
    subtract(part.isPrimary ? load.running : load.helperPrefills, 1U);
    if (part.isPrimary)
        removeAnswer(load, work);
    if (!work.isDecoding) {
        const auto read =
            std::find_if(load.reads.begin(), load.reads.end(), [&](const PendingPrefill &other) {
                return other.prefillMs == part.prefillMs;
            });
        if (read != load.reads.end())
            load.reads.erase(read);
    }
    if (work.isDecoding && part.isPrimary) {
        subtract(load.decodingRequests, 1U);
        subtract(load.contextTokens, part.contextTokens);
    }
    const bool isIdle = load.running == 0 && load.helperPrefills == 0;
    if (isIdle)
        m_loads.erase(found);
}

void FleetLoad::begin(std::string_view vm, ActiveRequest work, TimePoint now)
{
    ActiveRequests &works = m_works[std::string(vm)];
    if (works.count(work.id) != 0)
        return;
    for (const ActiveRequestPart &part : work.parts)
        addPart(work, part, now);
    works.emplace(work.id, std::move(work));
}

void FleetLoad::startWriting(ActiveRequest &work, TimePoint now)
{
    if (work.isDecoding)
        return;
    for (const ActiveRequestPart &part : work.parts)
        removePart(work, part);
    work.isDecoding = true;
    // Helpers without a part of the memory are done once the prompt is read.
    std::erase_if(work.parts, [](const ActiveRequestPart &part) {
        return !part.isPrimary && part.memoryTokens == 0;
    });
    for (const ActiveRequestPart &part : work.parts)
        addPart(work, part, now);
}

void FleetLoad::beginDecode(std::string_view vm, std::uint64_t work, TimePoint now)
{
    const auto works = m_works.find(vm);
    if (works == m_works.end())
        return;
    const auto found = works->second.find(work);
    if (found != works->second.end())
        startWriting(found->second, now);
}

void FleetLoad::finish(const ActiveRequest &work)
{
    for (const ActiveRequestPart &part : work.parts)
        removePart(work, part);
}

void FleetLoad::end(std::string_view vm, std::uint64_t work)
{
    const auto works = m_works.find(vm);
    if (works == m_works.end())
        return;
    const auto found = works->second.find(work);
    if (found == works->second.end())
        return;
    finish(found->second);
    works->second.erase(found);
}

void FleetLoad::replace(std::string_view vm, std::vector<ActiveRequest> works, TimePoint now)
{
    ActiveRequests &present = m_works[std::string(vm)];
    std::set<std::uint64_t> ids;
    for (const ActiveRequest &work : works)
        ids.insert(work.id);
    for (auto it = present.begin(); it != present.end();) {
        if (ids.count(it->first) != 0) {
            ++it;
            continue;
        }
        finish(it->second);
        it = present.erase(it);
    }
    for (ActiveRequest &work : works) {
        const bool isDecoding = work.isDecoding;
        const std::uint64_t id = work.id;
        begin(vm, std::move(work), now);
        if (isDecoding)
            beginDecode(vm, id, now);
    }
}

void FleetLoad::dropVm(std::string_view vm, TimePoint now)
{
    replace(vm, {}, now);
    const auto found = m_works.find(vm);
    if (found != m_works.end())
        m_works.erase(found);
}

const ReplicaLoad &FleetLoad::of(std::string_view replica) const
{
    static const ReplicaLoad kIdle;
    const auto found = m_loads.find(replica);
    return found == m_loads.end() ? kIdle : found->second;
}

std::vector<ActiveRequest> FleetLoad::activeRequestsOf(std::string_view vm) const
{
    std::vector<ActiveRequest> result;
    const auto found = m_works.find(vm);
    if (found == m_works.end())
        return result;
    for (const auto &[id, work] : found->second)
        result.push_back(work);
    return result;
}

} // namespace arbutuspier
