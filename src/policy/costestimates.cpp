// Moving averages of the logarithm of the cost, so that rare expensive requests move them little.
#include "arbutuspier/costestimates.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <numbers>

namespace arbutuspier {

namespace {

/// Least survival probability that is divided by.
constexpr double kMinProbability = 1e-9;

double normalCdf(double x)
{
    return 0.5 * std::erfc(-x / std::numbers::sqrt2);
}

/// Sizes within a factor of four share a bucket.
std::string sizeBucket(std::uint64_t size)
{
    constexpr int kBitsPerBucket = 2;
    return std::to_string((std::bit_width(size) + kBitsPerBucket - 1) / kBitsPerBucket);
}

} // namespace

CostForecast CostForecast::fromMean(double mean, double logSpread)
{
    return {std::log(mean) - 0.5 * logSpread * logSpread, logSpread, 0};
}

double CostForecast::mean() const
{
    return std::exp(logMean + 0.5 * logSpread * logSpread);
}

double CostForecast::exceedProbability(double cost) const
{
    if (cost <= 0)
        return 1;
    const double deviation = std::log(cost) - logMean;
    if (logSpread <= 0)
        return deviation < 0 ? 1 : 0;
    return normalCdf(-deviation / logSpread);
}

double CostForecast::meanResidual(double spent) const
{
    if (spent <= 0)
        return mean();
    const double exceeds = exceedProbability(spent);
    if (logSpread <= 0)
        return std::max(0.0, mean() - spent);
    // So far beyond the forecast nothing is left of it: a request that ran long runs on.
    if (exceeds < kMinProbability)
        return spent;
    const double deviations = (logMean - std::log(spent)) / logSpread;
    return std::max(0.0, mean() * normalCdf(deviations + logSpread) / exceeds - spent);
}

struct CostEstimates::Keys
{
    std::array<std::string, 4> keys;
    bool hasTeam = false;

    std::size_t count() const { return hasTeam ? keys.size() : keys.size() - 1; }
};

CostEstimates::Keys CostEstimates::keysOf(const CostFeatures &features)
{
    constexpr char kSeparator = '\n';
    const std::string service(features.service);
    const std::string route = service + kSeparator + std::string(features.route);
    const std::string sized = route + kSeparator + sizeBucket(features.size) + kSeparator
        + sizeBucket(features.announced);
    const std::string team = sized + kSeparator + std::string(features.team);
    return {{service, route, sized, team}, !features.team.empty()};
}

const CostEstimates::Estimate *CostEstimates::find(const std::string &key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : &*found->second;
}

double CostEstimates::evidenceOf(const Estimate &estimate, TimePoint now) const
{
    const double halfLives = toSeconds(std::max(Duration::zero(), now - estimate.updatedAt))
        / toSeconds(m_options.halfLife);
    return estimate.evidence * std::exp2(-halfLives);
}

CostForecast CostEstimates::refine(const CostForecast &coarser, const std::string &key,
                                   TimePoint now) const
{
    const Estimate *estimate = find(key);
    if (!estimate)
        return coarser;
    const double evidence = evidenceOf(*estimate, now);
    const double weight = evidence / (evidence + m_options.priorEvidence);
    const double difference = estimate->logMean - coarser.logMean;
    // While either mean may be the right one, their difference adds to the spread.
    const double variance = weight * estimate->logVariance
        + (1 - weight) * coarser.logSpread * coarser.logSpread
        + weight * (1 - weight) * difference * difference;
    return {coarser.logMean + weight * difference,
            std::max(m_options.minLogSpread, std::sqrt(variance)), evidence};
}

CostForecast CostEstimates::forecast(const CostFeatures &features, const CostForecast &published,
                                     TimePoint now) const
{
    const Keys keys = keysOf(features);
    CostForecast result = published;
    for (std::size_t i = 0; i < keys.count(); ++i)
        result = refine(result, keys.keys[i], now);
    return result;
}

CostForecast CostEstimates::serviceForecast(std::string_view service, const CostForecast &published,
                                            TimePoint now) const
{
    return refine(published, std::string(service), now);
}

CostEstimates::Estimate &CostEstimates::touch(const std::string &key)
{
    const auto found = m_byKey.find(key);
    if (found != m_byKey.end()) {
        m_estimates.splice(m_estimates.begin(), m_estimates, found->second);
        return m_estimates.front();
    }
    if (m_estimates.size() >= m_options.maxEstimates) {
        m_byKey.erase(m_estimates.back().key);
        m_estimates.pop_back();
    }
    m_estimates.push_front({key, 0, 0, 0, {}});
    m_byKey.emplace(key, m_estimates.begin());
    return m_estimates.front();
}

void CostEstimates::update(const std::string &key, double logCost, double weight,
                           const CostForecast &coarser, TimePoint now)
{
    const CostForecast soFar = refine(coarser, key, now);
    const double bound =
        m_options.maxDeviations * std::max(soFar.logSpread, m_options.minLogSpread);
    const double sample = std::clamp(logCost, soFar.logMean - bound, soFar.logMean + bound);
    Estimate &estimate = touch(key);
    const double before = evidenceOf(estimate, now);
    estimate.evidence = before + weight;
    estimate.updatedAt = now;
    const double gain = weight / estimate.evidence;
    const double difference = sample - estimate.logMean;
    estimate.logMean += gain * difference;
    // Of a single request only the coarser spread is known.
    const bool isFirst = before <= 0;
    estimate.logVariance = isFirst
        ? coarser.logSpread * coarser.logSpread
        : (1 - gain) * (estimate.logVariance + gain * difference * difference);
}

void CostEstimates::record(const CostFeatures &features, double cost, const CostForecast &published,
                           TimePoint now)
{
    if (!(cost > 0) || !std::isfinite(cost))
        return;
    const Keys keys = keysOf(features);
    const Estimate *ofTeam = keys.hasTeam ? find(keys.keys.back()) : nullptr;
    // All teams count alike in the estimates that they share, however many requests each sends.
    const double sharedWeight = ofTeam ? 1.0 / std::max(1.0, evidenceOf(*ofTeam, now)) : 1.0;
    CostForecast coarser = published;
    for (std::size_t i = 0; i < keys.count(); ++i) {
        const bool isOfTeam = i + 1 == keys.keys.size();
        const CostForecast next = refine(coarser, keys.keys[i], now);
        update(keys.keys[i], std::log(cost), isOfTeam ? 1.0 : sharedWeight, coarser, now);
        coarser = next;
    }
}

} // namespace arbutuspier
