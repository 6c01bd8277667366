// Tracks the presumable content of one engine's prefix cache from late and incomplete events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <unordered_set>

namespace arbutuspier {

/// A bounded set of prefix blocks that evicts the oldest first. Its estimates are scaled by how
/// accurate earlier ones proved to be.
class PrefixIndex
{
public:
    explicit PrefixIndex(std::size_t maxBlocks)
        : m_maxBlocks(maxBlocks)
    {
    }

    /// Applies cache events. After a gap in `sequence` the blocks stay but the hit ratio falls.
    void apply(std::uint64_t sequence, std::span<const std::uint64_t> added,
               std::span<const std::uint64_t> removed);
    /// Adds blocks that the engine will cache for a request that was just dispatched.
    void addExpected(std::span<const std::uint64_t> blocks);
    /// Resets the index after a restart of the engine.
    void clear();

    /// Tokens of this prompt that are expected to be cached: those of its known leading blocks,
    /// scaled by the hit ratio.
    std::uint64_t cachedTokens(std::span<const std::uint64_t> blocks) const;
    /// Updates the hit ratio with a prompt that had `actual` cached tokens of `expected` ones.
    void learn(std::uint64_t expected, std::uint64_t actual);

    std::size_t size() const { return m_blocks.size(); }

private:
    void insert(std::uint64_t block);

    std::size_t m_maxBlocks;
    std::unordered_set<std::uint64_t> m_blocks;
    /// Invariant: holds every member of m_blocks at least once.
    std::deque<std::uint64_t> m_order;
    std::uint64_t m_lastSequence = 0;
    /// Fraction of the expected tokens that recently proved to be cached. Invariant: in [0, 1].
    double m_hitRatio = 1.0;
};

} // namespace arbutuspier
