// Counters, gauges and latency histograms of the gateway, in the Prometheus text format.
#pragma once

#include "metrics/requestmetrics.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace arbutuspier {

class GatewayMetrics
{
public:
    /// Adds one to the counter `name` with the label value `labelValue`.
    void incrementCounter(std::string_view name, std::string_view labelValue);
    /// Adds a duration to the histogram `name` with the label value `labelValue`.
    void observe(std::string_view name, std::string_view labelValue, double seconds);
    /// Sets a gauge.
    void setGauge(std::string_view name, double value);

    std::string prometheusText() const;

private:
    /// Maximum number of series (name and label value) of the counters, and likewise of the
    /// histograms. Further label values are counted as "other".
    static constexpr std::size_t kMaxSeries = 64;

    using Key = std::pair<std::string, std::string>;

    std::map<Key, std::uint64_t> m_counters;
    std::map<Key, Histogram> m_histograms;
    std::map<std::string, double, std::less<>> m_gauges;
};

} // namespace arbutuspier
