// A queue that shares capacity by weight: first among classes, then among the teams of a class.
//
// Start-time fair queueing over token cost. Only teams with queued work, or with service still
// ahead of their class's virtual time, take memory.
#pragma once

#include "arbutuspier/ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace arbutuspier {

/// Requests that may go to the same set of upstreams, by length.
enum class LengthClass : std::uint8_t { Short, Medium, Long, ParallelGroup };
inline constexpr std::size_t kLengthClassCount = 4;

std::string_view lengthClassName(LengthClass lengthClass);

/// Work-conserving weighted queue. An operation costs O(log active teams).
class FairQueue
{
public:
    /// Sets the weight of a class among classes. Unknown classes have weight 1.
    void setClassWeight(std::string_view className, std::uint32_t weight);

    /// Adds a request of `cost` tokens for a team of weight `weight`.
    /// A request id must not be queued already.
    void push(RequestId request, std::string_view className, std::string_view team,
              LengthClass lengthClass, std::uint64_t cost, std::uint32_t weight);

    /// The request that `pop` would take from this lane, if any.
    std::optional<RequestId> front(LengthClass lengthClass) const;
    /// Takes the next request of a lane and charges its team.
    std::optional<RequestId> pop(LengthClass lengthClass);
    /// Takes a request out without a charge. False if it is not queued.
    bool remove(RequestId request);

    /// Leaves the team's requests out of `front` and `pop` until resumed.
    void pause(std::string_view className, std::string_view team);
    void resume(std::string_view className, std::string_view team);

    /// Charges a backlogged team for service it had from another VM.
    void debit(std::string_view className, std::string_view team, std::uint64_t tokens);

    /// Tokens of a lane likely to be served before a new request of this team.
    std::uint64_t costAhead(std::string_view className, std::string_view team,
                            LengthClass lengthClass, std::uint32_t weight) const;

    std::size_t size() const { return m_where.size(); }
    /// Tokens queued in a lane.
    std::uint64_t queuedCost(LengthClass lengthClass) const
    {
        return m_queuedCost[index(lengthClass)];
    }
    /// Requests queued in a lane.
    std::size_t queuedCount(LengthClass lengthClass) const
    {
        return m_queuedCount[index(lengthClass)];
    }
    /// Teams that take memory at present.
    std::size_t activeTeams() const;

    /// Checks the invariants; for debug builds and tests.
    bool validate() const;

private:
    struct Entry
    {
        RequestId request;
        std::uint64_t cost = 0;
    };
    struct Team
    {
        std::string name;
        double tag = 0;
        std::uint32_t weight = 1;
        bool isPaused = false;
        /// Lists, as an empty one takes next to no memory.
        std::array<std::list<Entry>, kLengthClassCount> lengthClasses;
        /// Tokens queued in each lane.
        std::array<std::uint64_t, kLengthClassCount> cost{};

        bool isEmpty() const;
    };
    using TeamOrder = std::set<std::pair<double, Team *>>;
    struct Class
    {
        std::string name;
        double tag = 0;
        double virtualTime = 0;
        std::uint32_t weight = 1;
        /// Requests queued, of paused teams too.
        std::size_t queued = 0;
        std::map<std::string, Team, std::less<>> teams;
        /// Invariant: holds the unpaused teams with work in the lane, under their present tag.
        std::array<TeamOrder, kLengthClassCount> order;
        /// Sum of the weights in each set of `order`.
        std::array<std::uint64_t, kLengthClassCount> activeWeight{};
        /// Invariant: holds the teams without work, under their present tag.
        TeamOrder idle;
    };
    struct Place
    {
        Class *owner = nullptr;
        Team *team = nullptr;
        LengthClass lengthClass = LengthClass::Short;
    };

    static constexpr std::size_t index(LengthClass lengthClass)
    {
        return static_cast<std::size_t>(lengthClass);
    }

    Class &classNamed(std::string_view name);
    Class *bestClass(LengthClass lengthClass);
    void link(Class &owner, Team &team);
    void unlink(Class &owner, Team &team);
    void charge(Class &owner, Team &team, std::uint64_t tokens);
    void forgetCaughtUp(Class &owner);

    std::map<std::string, Class, std::less<>> m_classes;
    /// Invariant: one place for each queued request.
    std::unordered_map<RequestId, Place> m_where;
    std::array<std::uint64_t, kLengthClassCount> m_queuedCost{};
    std::array<std::size_t, kLengthClassCount> m_queuedCount{};
    double m_virtualTime = 0;
};

} // namespace arbutuspier
