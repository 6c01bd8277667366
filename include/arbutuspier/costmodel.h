// What one engine's prefill and decode cost, learned from finished requests.
#pragma once

#include "arbutuspier/clock.h"

#include <cstdint>

namespace arbutuspier {

/// Costs in seconds. Prefill of n uncached tokens that end a context of c tokens costs
/// n * perToken + n * (c - n / 2) * perTokenPair.
struct CostParameters
{
    double perToken = 4e-5;
    double perTokenPair = 1e-10;
    double decodeStep = 0.02;
};

/// An online estimate of `CostParameters`. Every parameter stays within a fixed factor of the
/// prior, so no contradictory report can drive it to zero or to infinity.
class CostModel
{
public:
    explicit CostModel(CostParameters prior = {});

    /// Time to prefill `uncached` tokens that end a context of `context` tokens on an idle engine.
    Duration prefill(std::uint64_t uncached, std::uint64_t context) const;
    /// Time to generate `tokens` tokens.
    Duration decode(std::uint64_t tokens) const;

    /// A prefill of known size took `measured`. Samples far off the estimate move it only a little.
    void learnPrefill(std::uint64_t uncached, std::uint64_t context, Duration measured);
    /// `tokens` tokens took `measured` after the first.
    void learnDecode(std::uint64_t tokens, Duration measured);

    const CostParameters &parameters() const { return m_now; }

private:
    CostParameters m_prior;
    /// Invariant: each member is within kMaxDrift of its prior.
    CostParameters m_now;
};

} // namespace arbutuspier
