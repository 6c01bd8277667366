// Updates with normalized least mean squares on the relative error, clamped around the prior.
#include "arbutuspier/costmodel.h"

#include <algorithm>

namespace arbutuspier {

namespace {

/// Largest factor between an estimate and its prior.
constexpr double kMaxDriftFactor = 20.0;
constexpr double kLearningRate = 0.1;
constexpr double kMaxRelativeError = 1.0;

double clampAround(double value, double prior)
{
    return std::clamp(value, prior / kMaxDriftFactor, prior * kMaxDriftFactor);
}

/// Pairs of an uncached token and a token before it.
double tokenPairs(std::uint64_t uncached, std::uint64_t context)
{
    const auto n = static_cast<double>(uncached);
    const auto c = static_cast<double>(std::max(context, uncached));
    return n * (c - n / 2);
}

} // namespace

CostModel::CostModel(CostParameters prior)
    : m_prior(prior)
    , m_current(prior)
{
}

Duration CostModel::prefill(std::uint64_t uncached, std::uint64_t context) const
{
    const double linear = static_cast<double>(uncached) * m_current.secondsPerToken;
    const double quadratic = tokenPairs(uncached, context) * m_current.secondsPerTokenPair;
    return fromSeconds(linear + quadratic);
}

Duration CostModel::decode(std::uint64_t tokens) const
{
    return fromSeconds(static_cast<double>(tokens) * m_current.secondsPerDecodedToken);
}

void CostModel::learnPrefill(std::uint64_t uncached, std::uint64_t context, Duration measured)
{
    const double predicted = toSeconds(prefill(uncached, context));
    if (predicted <= 0 || measured <= Duration::zero())
        return;
    const double error = std::clamp((toSeconds(measured) - predicted) / predicted,
                                    -kMaxRelativeError, kMaxRelativeError);
    const double linearFraction =
        static_cast<double>(uncached) * m_current.secondsPerToken / predicted;
    const double step = kLearningRate * error;
    m_current.secondsPerToken = clampAround(m_current.secondsPerToken * (1 + step * linearFraction),
                                            m_prior.secondsPerToken);
    m_current.secondsPerTokenPair =
        clampAround(m_current.secondsPerTokenPair * (1 + step * (1 - linearFraction)),
                    m_prior.secondsPerTokenPair);
}

void CostModel::learnDecode(std::uint64_t tokens, Duration measured)
{
    if (tokens == 0 || measured <= Duration::zero())
        return;
    const double sample = toSeconds(measured) / static_cast<double>(tokens);
    const double blended = m_current.secondsPerDecodedToken
        + kLearningRate * (sample - m_current.secondsPerDecodedToken);
    m_current.secondsPerDecodedToken = clampAround(blended, m_prior.secondsPerDecodedToken);
}

} // namespace arbutuspier
