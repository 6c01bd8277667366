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
    return std::all_of(lengthClasses.begin(), lengthClasses.end(),
                       [](const auto &queue) { return queue.empty(); });
}

void FairQueue::setClassWeight(std::string_view className, std::uint32_t weight)
{
    classNamed(className).weight = std::max<std::uint32_t>(weight, 1);
}

FairQueue::Class &FairQueue::classNamed(std::string_view name)
{
    auto it = m_classes.find(name);
    if (it != m_classes.end())
        return it->second;
    Class &added = m_classes[std::string(name)];
    added.name = name;
    added.tag = m_virtualTime;
    return added;
}

void FairQueue::link(Class &owner, Team &team)
{
    if (team.isEmpty())
        owner.idle.emplace(team.tag, &team);
    if (team.isPaused)
        return;
    for (std::size_t lengthClass = 0; lengthClass < kLengthClassCount; ++lengthClass) {
        if (team.lengthClasses[lengthClass].empty())
            continue;
        owner.order[lengthClass].emplace(team.tag, &team);
        owner.activeWeight[lengthClass] += team.weight;
    }
}

void FairQueue::unlink(Class &owner, Team &team)
{
    for (std::size_t lengthClass = 0; lengthClass < kLengthClassCount; ++lengthClass) {
        if (owner.order[lengthClass].erase({team.tag, &team}) != 0)
            owner.activeWeight[lengthClass] -= team.weight;
    }
    owner.idle.erase({team.tag, &team});
}

void FairQueue::push(RequestId request, std::string_view className, std::string_view teamName,
                     LengthClass lengthClass, std::uint64_t cost, std::uint32_t weight)
{
    assert(!m_where.contains(request));
    Class &owner = classNamed(className);
    const bool isClassIdle = std::all_of(owner.order.begin(), owner.order.end(),
                                         [](const auto &order) { return order.empty(); });
    if (isClassIdle)
        owner.tag = std::max(owner.tag, m_virtualTime);
    auto [it, isNew] = owner.teams.try_emplace(std::string(teamName));
    Team &team = it->second;
    if (isNew)
        team.name = teamName;
    unlink(owner, team);
    if (team.isEmpty())
        team.tag = std::max(team.tag, owner.virtualTime);
    team.weight = std::max<std::uint32_t>(weight, 1);
    team.lengthClasses[index(lengthClass)].push_back({request, cost});
    team.cost[index(lengthClass)] += cost;
    ++owner.queued;
    link(owner, team);
    m_where[request] = {&owner, &team, lengthClass};
    m_queuedCost[index(lengthClass)] += cost;
    ++m_queuedCount[index(lengthClass)];
}

FairQueue::Class *FairQueue::bestClass(LengthClass lengthClass)
{
    Class *best = nullptr;
    for (auto &[name, candidate] : m_classes) {
        if (candidate.order[index(lengthClass)].empty())
            continue;
        if (!best || candidate.tag < best->tag)
            best = &candidate;
    }
    return best;
}

std::optional<RequestId> FairQueue::front(LengthClass lengthClass) const
{
    const Class *best = const_cast<FairQueue *>(this)->bestClass(lengthClass);
    if (!best)
        return std::nullopt;
    const Team *team = best->order[index(lengthClass)].begin()->second;
    return team->lengthClasses[index(lengthClass)].front().request;
}

std::optional<RequestId> FairQueue::pop(LengthClass lengthClass)
{
    Class *owner = bestClass(lengthClass);
    if (!owner)
        return std::nullopt;
    Team &team = *owner->order[index(lengthClass)].begin()->second;
    const Entry entry = team.lengthClasses[index(lengthClass)].front();
    m_virtualTime = std::max(m_virtualTime, owner->tag);
    owner->virtualTime = std::max(owner->virtualTime, team.tag);
    unlink(*owner, team);
    team.lengthClasses[index(lengthClass)].pop_front();
    team.cost[index(lengthClass)] -= entry.cost;
    --owner->queued;
    charge(*owner, team, entry.cost);
    link(*owner, team);
    m_where.erase(entry.request);
    m_queuedCost[index(lengthClass)] -= entry.cost;
    --m_queuedCount[index(lengthClass)];
    forgetCaughtUp(*owner);
    return entry.request;
}

void FairQueue::charge(Class &owner, Team &team, std::uint64_t tokens)
{
    const auto cost = static_cast<double>(tokens);
    team.tag += cost / team.weight;
    owner.tag += cost / owner.weight;
}

bool FairQueue::remove(RequestId request)
{
    auto it = m_where.find(request);
    if (it == m_where.end())
        return false;
    const Place place = it->second;
    auto &queue = place.team->lengthClasses[index(place.lengthClass)];
    auto entry = std::find_if(queue.begin(), queue.end(),
                              [&](const Entry &candidate) { return candidate.request == request; });
    assert(entry != queue.end());
    unlink(*place.owner, *place.team);
    place.team->cost[index(place.lengthClass)] -= entry->cost;
    --place.owner->queued;
    m_queuedCost[index(place.lengthClass)] -= entry->cost;
    --m_queuedCount[index(place.lengthClass)];
    queue.erase(entry);
    link(*place.owner, *place.team);
    m_where.erase(it);
    return true;
}

void FairQueue::pause(std::string_view className, std::string_view teamName)
{
    Class &owner = classNamed(className);
    auto it = owner.teams.find(teamName);
    if (it == owner.teams.end())
        return;
    unlink(owner, it->second);
    it->second.isPaused = true;
}

void FairQueue::resume(std::string_view className, std::string_view teamName)
{
    Class &owner = classNamed(className);
    auto it = owner.teams.find(teamName);
    if (it == owner.teams.end() || !it->second.isPaused)
        return;
    it->second.isPaused = false;
    link(owner, it->second);
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
    unlink(owner->second, team);
    charge(owner->second, team, tokens);
    link(owner->second, team);
}

void FairQueue::forgetCaughtUp(Class &owner)
{
    // The busy period of the class ends. Service that a team got ahead of the others during it no
    // longer counts.
    if (owner.queued == 0 && !owner.idle.empty())
        owner.virtualTime = std::max(owner.virtualTime, owner.idle.rbegin()->first);
    while (!owner.idle.empty() && owner.idle.begin()->first <= owner.virtualTime) {
        const Team *team = owner.idle.begin()->second;
        owner.idle.erase(owner.idle.begin());
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
        if (!other.order[index(lengthClass)].empty() || &other == &owner->second)
            classWeights += other.weight;
    }
    auto team = owner->second.teams.find(teamName);
    const bool isActive = team != owner->second.teams.end()
        && !team->second.lengthClasses[index(lengthClass)].empty();
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
                queued += team.lengthClasses[lengthClass].size();
                const bool isListed =
                    owner.order[lengthClass].contains({team.tag, const_cast<Team *>(&team)});
                const bool shouldBeListed =
                    !team.isPaused && !team.lengthClasses[lengthClass].empty();
                if (isListed != shouldBeListed)
                    return false;
            }
        }
    }
    return queued == m_where.size();
}

} // namespace arbutuspier
