// Pauses between calls to a service that fails: they double with each failure up to a bound, so
// that a caller notices soon that a long outage has ended.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/random.h"

#include <algorithm>
#include <cstdint>

namespace arbutuspier {

struct BackoffOptions
{
    Duration first = std::chrono::milliseconds{100};
    /// Bound of the mean pause.
    Duration max = std::chrono::milliseconds{800};
};

/// Pause before the next call after `failures` failed ones in a row: a random time, from half of
/// its mean to half as much again.
inline Duration backoff(const BackoffOptions &options, std::uint32_t failures, Random &random)
{
    constexpr std::uint32_t kMaxDoublings = 16;
    const Duration mean = options.first * (1U << std::min(failures, kMaxDoublings));
    return jittered(random, std::min(mean, options.max));
}

} // namespace arbutuspier
