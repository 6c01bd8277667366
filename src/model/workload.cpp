// Prompt lengths are distributed evenly over their logarithm, so that every order of magnitude
// between the bounds occurs equally often.
#include "model/workload.h"

#include <cmath>

namespace arbutuspier::model {

namespace {

constexpr Duration kShortLimit = std::chrono::seconds{20};
constexpr Duration kLongLimit = std::chrono::seconds{240};
constexpr std::uint64_t kPrefixTokens = 1'024;

} // namespace

std::uint64_t Workload::between(std::uint64_t low, std::uint64_t high)
{
    const double from = std::log(static_cast<double>(low));
    const double to = std::log(static_cast<double>(high));
    return static_cast<std::uint64_t>(std::exp(from + (to - from) * uniform(m_random)));
}

RequestSpec Workload::make(std::uint64_t tokens, std::uint64_t answer, const char *className)
{
    RequestSpec spec;
    spec.kind = RequestKind::Prompt;
    spec.team = "team-" + std::to_string(m_random() % m_mix.teams);
    spec.className = className;
    spec.target = m_target;
    spec.promptTokens = tokens;
    spec.maxTokens = answer;
    spec.fingerprint = Fingerprint{m_random() | 1};
    const std::uint64_t own = m_random();
    const bool isShared = uniform(m_random) < m_mix.sharedPrefixFraction;
    const std::uint64_t shared = m_random() % m_mix.sharedPrefixes + 1;
    for (std::uint64_t block = 0; block < tokens / kPrefixTokens; ++block)
        spec.prefixBlocks.push_back(block < m_mix.prefixBlocks && isShared
                                        ? shared * m_mix.prefixBlocks + block
                                        : own + block);
    ++m_count;
    return spec;
}

RequestSpec Workload::nextShort()
{
    RequestSpec spec = make(between(m_mix.shortMin, m_mix.shortMax), m_mix.shortAnswer, "ask");
    spec.timeLimit = kShortLimit;
    return spec;
}

RequestSpec Workload::nextLong()
{
    const bool isParallelGroup = uniform(m_random) < m_mix.parallelGroupPart;
    const std::uint64_t tokens = isParallelGroup
        ? between(m_mix.parallelGroupMin, m_mix.parallelGroupMax)
        : between(m_mix.longMin, m_mix.longMax);
    RequestSpec spec = make(tokens, m_mix.longAnswer, "files");
    spec.timeLimit = kLongLimit;
    return spec;
}

RequestSpec Workload::next()
{
    const double draw = uniform(m_random);
    if (draw < m_mix.longFraction)
        return nextLong();
    if (draw >= m_mix.longFraction + m_mix.mediumFraction)
        return nextShort();
    RequestSpec spec = make(between(m_mix.shortMax, m_mix.mediumMax), m_mix.longAnswer, "review");
    spec.timeLimit = kLongLimit / 4;
    return spec;
}

} // namespace arbutuspier::model
