// Counters and latency histograms of the gate, as Prometheus text.
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
    /// Adds one to a counter, such as requests by outcome.
    void count(std::string_view name, std::string_view label);
    /// Adds a time to a histogram of a service.
    void observe(std::string_view name, std::string_view label, double seconds);
    void gauge(std::string_view name, double value);

    std::string prometheus() const;

private:
    /// Label values beyond this many are counted as "other".
    static constexpr std::size_t kMaxLabels = 64;

    using Key = std::pair<std::string, std::string>;

    std::map<Key, std::uint64_t> m_counters;
    std::map<Key, Histogram> m_histograms;
    std::map<std::string, double, std::less<>> m_gauges;
};

} // namespace arbutuspier
