// A set of blocks in order of insertion, with the learned hit ratio of its predictions.
#include "arbutuspier/prefixindex.h"

#include "arbutuspier/request.h"

#include <algorithm>

namespace arbutuspier {

namespace {

constexpr double kHitRatioFactorAfterGap = 0.8;
constexpr double kHitRatioLearningRate = 0.2;

} // namespace

void PrefixIndex::insert(std::uint64_t block)
{
    if (!m_blocks.insert(block).second)
        return;
    m_order.push_back(block);
    while (m_order.size() > m_maxBlocks) {
        m_blocks.erase(m_order.front());
        m_order.pop_front();
    }
}

void PrefixIndex::apply(std::uint64_t sequence, std::span<const std::uint64_t> added,
                        std::span<const std::uint64_t> removed)
{
    const bool isGap = m_lastSequence != 0 && sequence > m_lastSequence + 1;
    if (isGap)
        m_hitRatio *= kHitRatioFactorAfterGap;
    m_lastSequence = std::max(m_lastSequence, sequence);
    for (std::uint64_t block : removed) {
        if (m_blocks.erase(block) != 0)
            std::erase(m_order, block);
    }
    addExpected(added);
}

void PrefixIndex::addExpected(std::span<const std::uint64_t> blocks)
{
    for (std::uint64_t block : blocks)
        insert(block);
}

void PrefixIndex::clear()
{
    m_blocks.clear();
    m_order.clear();
    m_lastSequence = 0;
    m_hitRatio = 1.0;
}

std::uint64_t PrefixIndex::cachedTokens(std::span<const std::uint64_t> blocks) const
{
    std::uint64_t found = 0;
    for (std::uint64_t block : blocks) {
        if (!m_blocks.contains(block))
            break;
        ++found;
    }
    return static_cast<std::uint64_t>(static_cast<double>(found * kPrefixBlockTokens) * m_hitRatio);
}

void PrefixIndex::learn(std::uint64_t expected, std::uint64_t actual)
{
    if (expected == 0)
        return;
    const double ratio = std::min(1.0, static_cast<double>(actual) / static_cast<double>(expected));
    m_hitRatio = std::clamp(m_hitRatio + kHitRatioLearningRate * (ratio - m_hitRatio), 0.0, 1.0);
}

} // namespace arbutuspier
