// Generates random requests with the mix of prompt lengths that the two firms send.
#pragma once

#include "arbutuspier/random.h"
#include "arbutuspier/request.h"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutuspier::model {

struct WorkloadMix
{
    /// Fractions of all requests; the rest has short prompts.
    double mediumFraction = 0.10;
    double longFraction = 0.02;
    /// Prompt lengths in tokens. Medium prompts have from shortMax to mediumMax tokens.
    std::uint64_t shortMin = 1'000;
    std::uint64_t shortMax = 4'000;
    std::uint64_t mediumMax = 30'000;
    std::uint64_t longMin = 100'000;
    std::uint64_t longMax = 350'000;
    /// Fraction of the long prompts that need a parallel group, because no engine has the memory
    /// for them.
    double parallelGroupFraction = 0.1;
    std::uint64_t parallelGroupMin = 450'000;
    std::uint64_t parallelGroupMax = 1'000'000;
    /// Output tokens of requests with short prompts, and of all others.
    std::uint64_t shortOutputTokens = 80;
    std::uint64_t longOutputTokens = 200;
    /// Fraction of the prompts that begin with a shared prefix, the number of such prefixes, and
    /// the length of each in blocks.
    double sharedPrefixFraction = 0.5;
    std::uint64_t sharedPrefixes = 20;
    std::uint64_t prefixBlocks = 1;
    std::uint64_t teams = 10;
};

/// Draws one request after another; the same seed gives the same requests.
class Workload
{
public:
    Workload(WorkloadMix mix, std::string target, std::uint64_t seed)
        : m_mix(mix)
        , m_target(std::move(target))
        , m_random(seed)
    {
    }

    RequestSpec next();
    RequestSpec nextShort();
    RequestSpec nextLong();

private:
    RequestSpec makeRequest(std::uint64_t promptTokens, std::uint64_t outputTokens,
                            const char *className);
    std::uint64_t drawLength(std::uint64_t low, std::uint64_t high);

    WorkloadMix m_mix;
    std::string m_target;
    Random m_random;
    std::uint64_t m_count = 0;
};

} // namespace arbutuspier::model
