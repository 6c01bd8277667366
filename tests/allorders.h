// Exhaustively searches every order of the steps that two VMs and their environment can take.
#pragma once

#include <cstddef>
#include <cstdio>
#include <set>
#include <string>
#include <vector>

namespace arbutuspier {

struct SearchResult
{
    /// Number of different states that were reached.
    std::size_t states = 0;
    /// Number of states at the greatest depth, whose further steps were not explored.
    std::size_t unexplored = 0;
    /// Description of the first fault that was found; empty if there is none.
    std::string fault;
};

/// Explores all sequences of at most `depth` moves, and continues only one of several sequences
/// that lead to the same state. `Replay` is constructed from a list of moves and must provide
/// `possible()`, `state()` and `fault()`. Two replays with equal `state()` must behave alike from
/// then on.
template <class Replay, class Move>
SearchResult searchAllOrders(std::size_t depth)
{
    SearchResult result;
    std::set<std::string> visited;
    std::vector<std::vector<Move>> frontier = {{}};
    for (std::size_t step = 0; step < depth && !frontier.empty(); ++step) {
        std::vector<std::vector<Move>> next;
        for (const std::vector<Move> &moves : frontier) {
            for (const Move &move : Replay(moves).possibleMoves()) {
                std::vector<Move> extended = moves;
                extended.push_back(move);
                const Replay replay(extended);
                if (result.fault.empty())
                    result.fault = replay.fault();
                if (visited.insert(replay.state()).second)
                    next.push_back(std::move(extended));
            }
        }
        frontier = std::move(next);
    }
    result.states = visited.size();
    result.unexplored = frontier.size();
    return result;
}

/// Prints how many states a search covered.
inline void printSearch(const char *what, const SearchResult &result, std::size_t depth)
{
    std::printf("%s: %zu states of two VMs, %zu left at the depth of %zu\n", what, result.states,
                result.unexplored, depth);
}

} // namespace arbutuspier
