// Estimates the prefill and decode time of one engine from the requests that it has finished.
#pragma once

#include "arbutuspier/clock.h"

#include <cstdint>

namespace arbutuspier {

/// Times in seconds. If the first c - n of c context tokens are in the prefix cache, prefill of the
/// other n takes n * secondsPerToken + n * (c - n / 2) * secondsPerTokenPair. The second term is
/// attention: each new token is paired with those before it.
struct CostParameters
{
    double secondsPerToken = 4e-5;
    double secondsPerTokenPair = 1e-10;
    double secondsPerDecodedToken = 0.02;
};

/// An online estimate of `CostParameters`. Every parameter stays within a fixed factor
/// (`kMaxDriftFactor` in the source file) of its prior, so that contradictory measurements can't
/// drive it to zero or to infinity.
class CostModel
{
public:
    explicit CostModel(CostParameters prior = {});

    /// Time that an idle engine needs to prefill the last `uncached` of `context` tokens.
    Duration prefill(std::uint64_t uncached, std::uint64_t context) const;
    /// Time to generate `tokens` tokens when the prefill is done.
    Duration decode(std::uint64_t tokens) const;

    /// Updates the estimate with a prefill that took `measured`. A single outlier changes the
    /// estimate only a little, as the relative error is clamped.
    void learnPrefill(std::uint64_t uncached, std::uint64_t context, Duration measured);
    /// Updates the estimate with `tokens` tokens that were generated in `measured`, not counting
    /// the first token of the response, which ends the prefill.
    void learnDecode(std::uint64_t tokens, Duration measured);

    const CostParameters &parameters() const { return m_current; }

private:
    CostParameters m_prior;
    /// Invariant: each member is within kMaxDriftFactor of its prior.
    CostParameters m_current;
};

} // namespace arbutuspier
