// Learns what requests cost from those that were completed, and forecasts the cost of the next one.
//
// The cost is in a unit of the caller's choice, the same for all requests of a service:
// milliseconds of work at a plain service, output tokens at an engine. Estimates are kept for a
// service, a route, a route and size, and a team's requests of that route and size. A forecast
// starts with the published figure and moves to each finer estimate by the evidence for it. Nothing
// is persisted: after a restart forecasts are the published figures until there is evidence again.
#pragma once

#include "arbutuspier/clock.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace arbutuspier {

/// What is known of a request before it is sent.
struct CostFeatures
{
    std::string_view service;
    std::string_view route;
    /// Empty if teams aren't told apart.
    std::string_view team;
    /// Prompt tokens, or bytes of the body.
    std::uint64_t size = 0;
    /// Output tokens that the caller announced; zero if it announced none.
    std::uint64_t announced = 0;
};

/// A log-normal distribution of the cost of one request.
struct CostForecast
{
    /// Mean and standard deviation of the natural logarithm of the cost.
    double logMean = 0;
    double logSpread = 0;
    /// Number of requests that the finest estimate rests on, less those forgotten; zero for a
    /// published figure.
    double evidence = 0;

    /// A forecast with this mean cost.
    static CostForecast fromMean(double mean, double logSpread);

    double mean() const;
    /// Probability that the cost exceeds `cost`.
    double exceedProbability(double cost) const;
    /// Expected cost beyond `spent` if the cost is known to exceed it.
    double meanResidual(double spent) const;
};

struct CostEstimateOptions
{
    /// Time in which the evidence of a completed request halves.
    Duration halfLife = std::chrono::seconds{60};
    /// Evidence at which an estimate counts as much as the coarser one.
    double priorEvidence = 4;
    /// A cost counts as at most this many standard deviations away from the estimate so far.
    double maxDeviations = 2.5;
    /// Least standard deviation of the logarithm.
    double minLogSpread = 0.1;
    /// Estimates that are kept; those that weren't updated for longest go first.
    std::size_t maxEstimates = 4096;
};

class CostEstimates
{
public:
    explicit CostEstimates(CostEstimateOptions options)
        : m_options(options)
    {
    }

    /// Records the cost of a completed request. Costs that aren't positive are ignored.
    /// `published` is the forecast of a request of which nothing is known.
    void record(const CostFeatures &features, double cost, const CostForecast &published,
                TimePoint now);
    CostForecast forecast(const CostFeatures &features, const CostForecast &published,
                          TimePoint now) const;
    /// Forecast of some request of the service.
    CostForecast serviceForecast(std::string_view service, const CostForecast &published,
                                 TimePoint now) const;
    std::size_t size() const { return m_byKey.size(); }

private:
    struct Estimate
    {
        std::string key;
        double logMean = 0;
        double logVariance = 0;
        /// As of `updatedAt`.
        double evidence = 0;
        TimePoint updatedAt{};
    };

    /// The keys of the estimates that a request belongs to, the finest last.
    struct Keys;
    static Keys keysOf(const CostFeatures &features);
    const Estimate *find(const std::string &key) const;
    double evidenceOf(const Estimate &estimate, TimePoint now) const;
    /// Moves a forecast to the estimate by the evidence for it.
    CostForecast refine(const CostForecast &coarser, const std::string &key, TimePoint now) const;
    void update(const std::string &key, double logCost, double weight, const CostForecast &coarser,
                TimePoint now);
    Estimate &touch(const std::string &key);

    CostEstimateOptions m_options;
    /// In the order of the last update, the newest first.
    std::list<Estimate> m_estimates;
    /// Invariant: refers to each element of `m_estimates` by its key.
    std::unordered_map<std::string, std::list<Estimate>::iterator> m_byKey;
};

} // namespace arbutuspier
