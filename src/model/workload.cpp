// Prompt lengths are distributed evenly over their logarithm, so that every order of magnitude
// between the bounds occurs equally often.
#include "model/workload.h"

#include <cmath>

namespace arbutuspier::model {

namespace {

constexpr Duration kShortTimeLimit = std::chrono::seconds{20};
constexpr Duration kLongTimeLimit = std::chrono::seconds{240};
constexpr std::uint64_t kTokensPerBlock = 1'024;

} // namespace

std::uint64_t Workload::drawLength(std::uint64_t low, std::uint64_t high)
{
    const double from = std::log(static_cast<double>(low));
    const double to = std::log(static_cast<double>(high));
    return static_cast<std::uint64_t>(std::exp(from + (to - from) * uniform(m_random)));
}

RequestSpec Workload::makeRequest(std::uint64_t promptTokens, std::uint64_t outputTokens,
                                  const char *className)
{
    RequestSpec spec;
    spec.kind = RequestKind::Prompt;
    spec.team = "team-" + std::to_string(m_random() % m_mix.teams);
    spec.className = className;
    spec.target = m_target;
    spec.promptTokens = promptTokens;
    spec.maxTokens = outputTokens;
    spec.fingerprint = Fingerprint{m_random() | 1};
    const std::uint64_t uniquePrefix = m_random();
    const bool hasSharedPrefix = uniform(m_random) < m_mix.sharedPrefixFraction;
    const std::uint64_t sharedPrefix = m_random() % m_mix.sharedPrefixes + 1;
    for (std::uint64_t block = 0; block < promptTokens / kTokensPerBlock; ++block)
        spec.prefixBlocks.push_back(block < m_mix.prefixBlocks && hasSharedPrefix
                                        ? sharedPrefix * m_mix.prefixBlocks + block
                                        : uniquePrefix + block);
    ++m_count;
    return spec;
}

RequestSpec Workload::nextShort()
{
    RequestSpec spec =
        makeRequest(drawLength(m_mix.shortMin, m_mix.shortMax), m_mix.shortOutputTokens, "ask");
    spec.timeLimit = kShortTimeLimit;
    return spec;
}

RequestSpec Workload::nextLong()
{
    const bool isParallelGroup = uniform(m_random) < m_mix.parallelGroupFraction;
    const std::uint64_t promptTokens = isParallelGroup
        ? drawLength(m_mix.parallelGroupMin, m_mix.parallelGroupMax)
        : drawLength(m_mix.longMin, m_mix.longMax);
    RequestSpec spec = makeRequest(promptTokens, m_mix.longOutputTokens, "files");
    spec.timeLimit = kLongTimeLimit;
    return spec;
}

RequestSpec Workload::next()
{
    const double draw = uniform(m_random);
    if (draw < m_mix.longFraction)
        return nextLong();
    if (draw >= m_mix.longFraction + m_mix.mediumFraction)
        return nextShort();
    RequestSpec spec =
        makeRequest(drawLength(m_mix.shortMax, m_mix.mediumMax), m_mix.longOutputTokens, "review");
    spec.timeLimit = kLongTimeLimit / 4;
    return spec;
}

} // namespace arbutuspier::model
