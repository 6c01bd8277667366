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
    /// Adds one to the counter `name` with the label value `label`.
    void count(std::string_view name, std::string_view label);
    /// Adds a duration to the histogram `name` with the label value `label`.
    void observe(std::string_view name, std::string_view label, double seconds);
    /// Sets a gauge.
    void gauge(std::string_view name, double value);

    std::string prometheus() const;

private:
    /// Most pairs of name and label value, for counters and for histograms. Further label values
    /// are counted as "other".
    static constexpr std::size_t kMaxLabels = 64;

    using Key = std::pair<std::string, std::string>;

    std::map<Key, std::uint64_t> m_counters;
    std::map<Key, Histogram> m_histograms;
    std::map<std::string, double, std::less<>> m_gauges;
};

} // namespace arbutuspier
