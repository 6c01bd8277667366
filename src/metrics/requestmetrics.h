// Request metrics by class, team and prompt length, in bounded memory.
#pragma once

#include "arbutuspier/command.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace arbutuspier {

/// Distribution of one quantity: estimated quantiles, and counts in fixed buckets.
class Histogram
{
public:
    /// Inclusive upper bounds of all buckets but the last, which is unbounded.
    static constexpr std::array<double, 12> kBounds = {0.01, 0.027, 0.05, 0.1, 0.25, 0.5,
                                                       0.94, 2,     5,    15,  60,   300};

    Histogram();
    void add(double value);

    std::uint64_t count() const;
    double sum() const;
    double max() const;
    /// Estimates a quantile; `quantileIndex` is 0 for p50, 1 for p95 and 2 for p99.
    double quantile(std::size_t quantileIndex) const;
    const std::array<std::uint64_t, kBounds.size() + 1> &buckets() const { return m_buckets; }

private:
    using Accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::max,
                                   boost::accumulators::tag::extended_p_square_quantile>>;

    Accumulator m_accumulator;
    /// Invariant: the sum of the buckets is the count.
    std::array<std::uint64_t, kBounds.size() + 1> m_buckets{};
};

/// The metric label for a prompt length; zero stands for a service call.
std::string_view lengthBucket(std::uint64_t promptTokens);

class RequestMetrics
{
public:
    /// Once there are `maxSeries` combinations of class, team and length, requests of a new one are
    /// counted under team "other".
    explicit RequestMetrics(std::size_t maxSeries)
        : m_maxSeries(maxSeries)
    {
    }

    void record(const RequestEnded &ended);
    /// All metrics in the Prometheus text format.
    std::string prometheus() const;
    std::size_t seriesCount() const { return m_series.size(); }

private:
    struct SeriesKey
    {
        std::string className;
        std::string team;
        std::string_view length;
        friend auto operator<=>(const SeriesKey &, const SeriesKey &) = default;
    };
    struct Series
    {
        Histogram timeToFirstToken;
        Histogram queueTime;
        Histogram timePerOutputToken;
        /// Time to first token divided by the time to first token without the time in the queue.
        Histogram slowdown;
        std::uint64_t tokens = 0;
    };
    struct OutcomeKey
    {
        std::string className;
        std::string_view verdict;
        std::string_view reason;
        friend auto operator<=>(const OutcomeKey &, const OutcomeKey &) = default;
    };

    Series &series(const RequestEnded &ended);

    std::size_t m_maxSeries;
    std::map<SeriesKey, Series> m_series;
    std::map<OutcomeKey, std::uint64_t> m_outcomes;
};

} // namespace arbutuspier
