// Updates with normalized least mean squares on the relative error, clamped around the prior.
#include "arbutuspier/costmodel.h"

#include <algorithm>

namespace arbutuspier {

namespace {

/// Largest factor between an estimate and its prior.
constexpr double kMaxDrift = 20.0;
constexpr double kLearningRate = 0.1;
constexpr double kMaxRelativeError = 1.0;

double clampAround(double value, double prior)
{
    return std::clamp(value, prior / kMaxDrift, prior * kMaxDrift);
}

/// Pairs of an uncached token and a token before it.
double pairs(std::uint64_t uncached, std::uint64_t context)
{
    const auto n = static_cast<double>(uncached);
    const auto c = static_cast<double>(std::max(context, uncached));
    return n * (c - n / 2);
}

} // namespace

CostModel::CostModel(CostParameters prior)
    : m_prior(prior)
    , m_now(prior)
{
}

Duration CostModel::prefill(std::uint64_t uncached, std::uint64_t context) const
{
    const double linear = static_cast<double>(uncached) * m_now.perToken;
    const double quadratic = pairs(uncached, context) * m_now.perTokenPair;
    return fromSeconds(linear + quadratic);
}

Duration CostModel::decode(std::uint64_t tokens) const
{
    return fromSeconds(static_cast<double>(tokens) * m_now.decodeStep);
}

void CostModel::learnPrefill(std::uint64_t uncached, std::uint64_t context, Duration measured)
{
    const double predicted = toSeconds(prefill(uncached, context));
    if (predicted <= 0 || measured <= Duration::zero())
        return;
    const double error = std::clamp((toSeconds(measured) - predicted) / predicted,
                                    -kMaxRelativeError, kMaxRelativeError);
    const double linearPart = static_cast<double>(uncached) * m_now.perToken / predicted;
    const double step = kLearningRate * error;
    m_now.perToken = clampAround(m_now.perToken * (1 + step * linearPart), m_prior.perToken);
    m_now.perTokenPair =
        clampAround(m_now.perTokenPair * (1 + step * (1 - linearPart)), m_prior.perTokenPair);
}

void CostModel::learnDecode(std::uint64_t tokens, Duration measured)
{
    if (tokens == 0 || measured <= Duration::zero())
        return;
    const double sample = toSeconds(measured) / static_cast<double>(tokens);
    const double blended = m_now.decodeStep + kLearningRate * (sample - m_now.decodeStep);
    m_now.decodeStep = clampAround(blended, m_prior.decodeStep);
}

} // namespace arbutuspier
