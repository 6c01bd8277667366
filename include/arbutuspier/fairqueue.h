// A queue that shares capacity by weight: first among classes, then among the teams of a class.
//
// It implements start-time fair queueing (SFQ) with a request's tokens as its cost. A team takes
// memory only while it has queued requests or its start tag is past the virtual time of its class.
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

/// Class of a request by the length of its prompt. The requests of a class may go to the same
/// upstreams. One engine lacks the memory for a `ParallelGroup` request; several share it.
enum class LengthClass : std::uint8_t { Short, Medium, Long, ParallelGroup };
inline constexpr std::size_t kLengthClassCount = 4;

std::string_view lengthClassName(LengthClass lengthClass);

/// Work-conserving weighted queue. An operation takes O(log n) time for n active teams.
class FairQueue
{
public:
    /// Sets the weight of a class among classes. Unknown classes have weight 1.
    void setClassWeight(std::string_view className, std::uint32_t weight);

    /// Adds a request of `cost` tokens for a team of weight `weight`.
    /// A request id must not be queued already.
    void push(RequestId request, std::string_view className, std::string_view team,
              LengthClass lengthClass, std::uint64_t cost, std::uint32_t weight);

    /// The request that `pop` would return for this length class, if there is one.
    std::optional<RequestId> front(LengthClass lengthClass) const;
    /// Removes the next request of a length class and charges its cost to its team.
    std::optional<RequestId> pop(LengthClass lengthClass);
    /// Removes a request without charging its team. Returns false if it is not queued.
    bool remove(RequestId request);

    /// Excludes the team's requests from `front` and `pop` until `resume` is called.
    void pause(std::string_view className, std::string_view team);
    void resume(std::string_view className, std::string_view team);

    /// Charges a team for service from another VM. Has no effect if the team has nothing queued.
    void debit(std::string_view className, std::string_view team, std::uint64_t tokens);

    /// Estimates the tokens of a length class that are served before a new request of this team.
    std::uint64_t costAhead(std::string_view className, std::string_view team,
                            LengthClass lengthClass, std::uint32_t weight) const;

    std::size_t size() const { return m_locations.size(); }
    /// Tokens queued in a length class.
    std::uint64_t queuedCost(LengthClass lengthClass) const
    {
        return m_queuedCost[index(lengthClass)];
    }
    /// Requests queued in a length class.
    std::size_t queuedCount(LengthClass lengthClass) const
    {
        return m_queuedCount[index(lengthClass)];
    }
    /// Teams for which the queue holds state.
    std::size_t activeTeams() const;

    /// Returns whether the invariants hold; for debug builds and tests.
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
        double startTag = 0;
        std::uint32_t weight = 1;
        bool isPaused = false;
        /// Requests by length class, in order of arrival. Lists, as an empty list takes hardly any
        /// memory.
        std::array<std::list<Entry>, kLengthClassCount> queues;
        /// Tokens queued in each length class.
        std::array<std::uint64_t, kLengthClassCount> cost{};

        bool isEmpty() const;
    };
    using TeamsByStartTag = std::set<std::pair<double, Team *>>;
    struct Class
    {
        std::string name;
        double startTag = 0;
        double virtualTime = 0;
        std::uint32_t weight = 1;
        /// Queued requests, including those of paused teams.
        std::size_t queued = 0;
        std::map<std::string, Team, std::less<>> teams;
        /// Invariant: for each length class, the unpaused teams with queued requests, keyed by
        /// their current start tag.
        std::array<TeamsByStartTag, kLengthClassCount> schedulableTeams;
        /// Sum of the team weights in each set of `order`.
        std::array<std::uint64_t, kLengthClassCount> activeWeight{};
        /// Invariant: the teams without queued requests, keyed by their current start tag.
        TeamsByStartTag idleTeams;
    };
    struct Location
    {
        Class *owner = nullptr;
        Team *team = nullptr;
        LengthClass lengthClass = LengthClass::Short;
    };

    static constexpr std::size_t index(LengthClass lengthClass)
    {
        return static_cast<std::size_t>(lengthClass);
    }

    Class &findOrAddClass(std::string_view name);
    Class *nextClass(LengthClass lengthClass);
    void addToTeamSets(Class &owner, Team &team);
    void removeFromTeamSets(Class &owner, Team &team);
    void charge(Class &owner, Team &team, std::uint64_t tokens);
    void eraseCaughtUpTeams(Class &owner);

    std::map<std::string, Class, std::less<>> m_classes;
    /// Invariant: has one entry for each queued request.
    std::unordered_map<RequestId, Location> m_locations;
    std::array<std::uint64_t, kLengthClassCount> m_queuedCost{};
    std::array<std::size_t, kLengthClassCount> m_queuedCount{};
    double m_virtualTime = 0;
};

} // namespace arbutuspier
