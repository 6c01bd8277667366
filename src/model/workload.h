// Request mixes of the two firms, drawn from a seed.
#pragma once

#include "arbutuspier/random.h"
#include "arbutuspier/request.h"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutuspier::model {

struct WorkloadMix
{
    /// Parts of all requests; the rest is short.
    double mediumPart = 0.10;
    double longPart = 0.02;
    /// Tokens of a short prompt.
    std::uint64_t shortMin = 1'000;
    std::uint64_t shortMax = 4'000;
    std::uint64_t mediumMax = 30'000;
    std::uint64_t longMin = 100'000;
    std::uint64_t longMax = 350'000;
    /// Part of the long prompts that are larger than one engine.
    double parallelGroupPart = 0.1;
    std::uint64_t parallelGroupMin = 450'000;
    std::uint64_t parallelGroupMax = 1'000'000;
    std::uint64_t shortAnswer = 80;
    std::uint64_t longAnswer = 200;
    /// Part of the short prompts that begin with one of a few shared prefixes.
    double sharedPrefixPart = 0.5;
    std::uint64_t sharedPrefixes = 20;
    std::uint64_t prefixBlocks = 1;
    std::uint64_t teams = 10;
};

/// Draws requests one after the other.
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
    RequestSpec make(std::uint64_t tokens, std::uint64_t answer, const char *className);
    std::uint64_t between(std::uint64_t low, std::uint64_t high);

    WorkloadMix m_mix;
    std::string m_target;
    Random m_random;
    std::uint64_t m_count = 0;
};

} // namespace arbutuspier::model
