// Two levels of start-time fair queueing. Each class has one ordered set of teams per length class.
#include "arbutuspier/fairqueue.h"

#include <algorithm>
#include <cassert>

namespace arbutuspier {

std::string_view lengthClassName(LengthClass lengthClass)
{
    switch (lengthClass) {
    case LengthClass::Short:
        return "short";
    case LengthClass::Medium:
        return "medium";
    case LengthClass::Long:
        return "long";
    case LengthClass::ParallelGroup:
        return "gang";
    }
    return "short";
}

bool FairQueue::Team::isEmpty() const
{
    return std::all_of(queues.begin(), queues.end(),
                       [](const auto &queue) { return queue.empty(); });
}

void FairQueue::setClassWeight(std::string_view className, std::uint32_t weight)
{
    findOrAddClass(className).weight = std::max<std::uint32_t>(weight, 1);
}

FairQueue::Class &FairQueue::findOrAddClass(std::string_view name)
{
    auto it = m_classes.find(name);
    if (it != m_classes.end())
        return it->second;
    Class &added = m_classes[std::string(name)];
    added.name = name;
    added.startTag = m_virtualTime;
    return added;
}

void FairQueue::addToTeamSets(Class &owner, Team &team)
{
    if (team.isEmpty())
        owner.idleTeams.emplace(team.startTag, &team);
    if (team.isPaused)
        return;
    for (std::size_t lengthClass = 0; lengthClass < kLengthClassCount; ++lengthClass) {
        if (team.queues[lengthClass].empty())
            continue;
        owner.schedulableTeams[lengthClass].emplace(team.startTag, &team);
        owner.activeWeight[lengthClass] += team.weight;
    }
}

void FairQueue::removeFromTeamSets(Class &owner, Team &team)
{
    for (std::size_t lengthClass = 0; lengthClass < kLengthClassCount; ++lengthClass) {
        if (owner.schedulableTeams[lengthClass].erase({team.startTag, &team}) != 0)
            owner.activeWeight[lengthClass] -= team.weight;
    }
    owner.idleTeams.erase({team.startTag, &team});
}

void FairQueue::push(RequestId request, std::string_view className, std::string_view teamName,
                     LengthClass lengthClass, std::uint64_t cost, std::uint32_t weight)
{
    assert(!m_locations.contains(request));
    Class &owner = findOrAddClass(className);
    const bool isClassIdle =
        std::all_of(owner.schedulableTeams.begin(), owner.schedulableTeams.end(),
                    [](const auto &teams) { return teams.empty(); });
    if (isClassIdle)
        owner.startTag = std::max(owner.startTag, m_virtualTime);
    auto [it, isNew] = owner.teams.try_emplace(std::string(teamName));
    Team &team = it->second;
    if (isNew)
        team.name = teamName;
    removeFromTeamSets(owner, team);
    if (team.isEmpty())
        team.startTag = std::max(team.startTag, owner.virtualTime);
    team.weight = std::max<std::uint32_t>(weight, 1);
    team.queues[index(lengthClass)].push_back({request, cost});
    team.cost[index(lengthClass)] += cost;
    ++owner.queued;
    addToTeamSets(owner, team);
    m_locations[request] = {&owner, &team, lengthClass};
    m_queuedCost[index(lengthClass)] += cost;
    ++m_queuedCount[index(lengthClass)];
}

FairQueue::Class *FairQueue::nextClass(LengthClass lengthClass)
{
    Class *best = nullptr;
    for (auto &[name, candidate] : m_classes) {
        if (candidate.schedulableTeams[index(lengthClass)].empty())
            continue;
        if (!best || candidate.startTag < best->startTag)
            best = &candidate;
    }
    return best;
}

std::optional<RequestId> FairQueue::front(LengthClass lengthClass) const
{
    const Class *best = const_cast<FairQueue *>(this)->nextClass(lengthClass);
    if (!best)
        return std::nullopt;
    const Team *team = best->schedulableTeams[index(lengthClass)].begin()->second;
    return team->queues[index(lengthClass)].front().request;
}

std::optional<RequestId> FairQueue::pop(LengthClass lengthClass)
{
    Class *owner = nextClass(lengthClass);
    if (!owner)
        return std::nullopt;
    Team &team = *owner->schedulableTeams[index(lengthClass)].begin()->second;
    const Entry entry = team.queues[index(lengthClass)].front();
    m_virtualTime = std::max(m_virtualTime, owner->startTag);
    owner->virtualTime = std::max(owner->virtualTime, team.startTag);
    removeFromTeamSets(*owner, team);
    team.queues[index(lengthClass)].pop_front();
    team.cost[index(lengthClass)] -= entry.cost;
    --owner->queued;
    charge(*owner, team, entry.cost);
    addToTeamSets(*owner, team);
    m_locations.erase(entry.request);
    m_queuedCost[index(lengthClass)] -= entry.cost;
    --m_queuedCount[index(lengthClass)];
    eraseCaughtUpTeams(*owner);
    return entry.request;
}

void FairQueue::charge(Class &owner, Team &team, std::uint64_t tokens)
{
    const auto cost = static_cast<double>(tokens);
    team.startTag += cost / team.weight;
    owner.startTag += cost / owner.weight;
}

bool FairQueue::remove(RequestId request)
{
    auto it = m_locations.find(request);
    if (it == m_locations.end())
        return false;
    const Location location = it->second;
    auto &queue = location.team->queues[index(location.lengthClass)];
    auto entry = std::find_if(queue.begin(), queue.end(),
                              [&](const Entry &candidate) { return candidate.request == request; });
    assert(entry != queue.end());
    removeFromTeamSets(*location.owner, *location.team);
    location.team->cost[index(location.lengthClass)] -= entry->cost;
    --location.owner->queued;
    m_queuedCost[index(location.lengthClass)] -= entry->cost;
    --m_queuedCount[index(location.lengthClass)];
    queue.erase(entry);
    addToTeamSets(*location.owner, *location.team);
    m_locations.erase(it);
    return true;
}

void FairQueue::pause(std::string_view className, std::string_view teamName)
{
    Class &owner = findOrAddClass(className);
    auto it = owner.teams.find(teamName);
    if (it == owner.teams.end())
        return;
    removeFromTeamSets(owner, it->second);
    it->second.isPaused = true;
}

void FairQueue::resume(std::string_view className, std::string_view teamName)
{
    Class &owner = findOrAddClass(className);
    auto it = owner.teams.find(teamName);
    if (it == owner.teams.end() || !it->second.isPaused)
        return;
    it->second.isPaused = false;
    addToTeamSets(owner, it->second);
}

void FairQueue::debit(std::string_view className, std::string_view teamName, std::uint64_t tokens)
{
    auto owner = m_classes.find(className);
    if (owner == m_classes.end())
        return;
    auto it = owner->second.teams.find(teamName);
    if (it == owner->second.teams.end())
        return;
    Team &team = it->second;
    if (team.isEmpty())
        return;
    removeFromTeamSets(owner->second, team);
    charge(owner->second, team, tokens);
    addToTeamSets(owner->second, team);
}

void FairQueue::eraseCaughtUpTeams(Class &owner)
{
    // The busy period of the class ends. Service that a team got ahead of the others during it no
    // longer counts.
    if (owner.queued == 0 && !owner.idleTeams.empty())
        owner.virtualTime = std::max(owner.virtualTime, owner.idleTeams.rbegin()->first);
    while (!owner.idleTeams.empty() && owner.idleTeams.begin()->first <= owner.virtualTime) {
        const Team *team = owner.idleTeams.begin()->second;
        owner.idleTeams.erase(owner.idleTeams.begin());
        owner.teams.erase(owner.teams.find(team->name));
    }
}

std::uint64_t FairQueue::costAhead(std::string_view className, std::string_view teamName,
                                   LengthClass lengthClass, std::uint32_t weight) const
{
    const std::uint64_t total = m_queuedCost[index(lengthClass)];
    auto owner = m_classes.find(className);
    if (owner == m_classes.end() || total == 0)
        return 0;
    std::uint64_t classWeights = 0;
    for (const auto &[name, other] : m_classes) {
        if (!other.schedulableTeams[index(lengthClass)].empty() || &other == &owner->second)
            classWeights += other.weight;
    }
    auto team = owner->second.teams.find(teamName);
    const bool isActive =
        team != owner->second.teams.end() && !team->second.queues[index(lengthClass)].empty();
    const std::uint64_t own = isActive ? team->second.cost[index(lengthClass)] : 0;
    const std::uint64_t weights =
        owner->second.activeWeight[index(lengthClass)] + (isActive ? 0 : weight);
    const double inClass = static_cast<double>(weights) / std::max<std::uint32_t>(weight, 1);
    const double amongClasses =
        static_cast<double>(classWeights) / static_cast<double>(owner->second.weight);
    const double ahead = static_cast<double>(own) * inClass * amongClasses;
    return std::min(total, static_cast<std::uint64_t>(ahead));
}

std::size_t FairQueue::activeTeams() const
{
    std::size_t count = 0;
    for (const auto &[name, owner] : m_classes)
        count += owner.teams.size();
    return count;
}

bool FairQueue::validate() const
{
    std::size_t queued = 0;
    for (const auto &[name, owner] : m_classes) {
        for (const auto &[teamName, team] : owner.teams) {
            for (std::size_t lengthClass = 0; lengthClass < kLengthClassCount; ++lengthClass) {
                queued += team.queues[lengthClass].size();
                const bool isListed = owner.schedulableTeams[lengthClass].contains(
                    {team.startTag, const_cast<Team *>(&team)});
                const bool shouldBeListed = !team.isPaused && !team.queues[lengthClass].empty();
                if (isListed != shouldBeListed)
                    return false;
            }
        }
    }
    return queued == m_locations.size();
}

} // namespace arbutuspier
