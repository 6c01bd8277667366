// What is believed to be in one engine's prefix cache: a hint from late, gappy events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <unordered_set>

namespace arbutuspier {

/// A bounded set of prefix blocks, oldest forgotten first.
class PrefixIndex
{
public:
    explicit PrefixIndex(std::size_t maxBlocks)
        : m_maxBlocks(maxBlocks)
    {
    }

    /// Applies cache events. After a gap in `sequence` the belief stays but counts for less.
    void apply(std::uint64_t sequence, std::span<const std::uint64_t> added,
               std::span<const std::uint64_t> removed);
    /// The engine is about to have these blocks.
    void expect(std::span<const std::uint64_t> blocks);
    /// The engine started anew.
    void clear();

    /// Tokens of this prompt believed cached, weighed by how far past beliefs held.
    std::uint64_t cachedTokens(std::span<const std::uint64_t> blocks) const;
    /// A prompt believed to have `believed` tokens cached had `actual`.
    void learn(std::uint64_t believed, std::uint64_t actual);

    std::size_t size() const { return m_blocks.size(); }

private:
    void insert(std::uint64_t block);

    std::size_t m_maxBlocks;
    std::unordered_set<std::uint64_t> m_blocks;
    /// Invariant: holds every member of m_blocks at least once.
    std::deque<std::uint64_t> m_order;
    std::uint64_t m_lastSequence = 0;
    /// Invariant: in [0, 1].
    double m_trust = 1.0;
};

} // namespace arbutuspier
