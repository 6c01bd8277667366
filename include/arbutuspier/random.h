// Random numbers from a generator that its owner seeds, so that every run can be reproduced.
#pragma once

#include "arbutuspier/clock.h"

#include <cstdint>
#include <random>

namespace arbutuspier {

using Random = std::mt19937_64;

/// A uniform number in [0, 1).
inline double uniform(Random &random)
{
    constexpr double kScale = 1.0 / 9007199254740992.0;
    constexpr int kDropBits = 11;
    return static_cast<double>(random() >> kDropBits) * kScale;
}

/// A uniform index below `size`; zero if `size` is zero.
inline std::size_t uniformIndex(Random &random, std::size_t size)
{
    return size == 0 ? 0 : static_cast<std::size_t>(random() % size);
}

/// A duration drawn from [d/2, 3d/2), so that VMs do not act at the same time.
inline Duration jittered(Random &random, Duration d)
{
    return fromSeconds(toSeconds(d) * (0.5 + uniform(random)));
}

} // namespace arbutuspier
