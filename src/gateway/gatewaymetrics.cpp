// Each series has one label, "kind". The number of series is bounded, as label values
// contain names from the configuration.
#include "gateway/gatewaymetrics.h"

#include <sstream>

namespace arbutuspier {

namespace {

constexpr std::string_view kPrefix = "arbutuspier_gate_";

template <class T>
std::pair<std::string, std::string> boundedKey(
    const std::map<std::pair<std::string, std::string>, T> &series, std::string_view name,
    std::string_view labelValue, std::size_t maxSeries)
{
    std::pair<std::string, std::string> key{std::string(name), std::string(labelValue)};
    const bool isFull = series.size() >= maxSeries && series.count(key) == 0;
    if (isFull)
        key.second = "other";
    return key;
}

} // namespace

void GatewayMetrics::incrementCounter(std::string_view name, std::string_view labelValue)
{
    ++m_counters[boundedKey(m_counters, name, labelValue, kMaxSeries)];
}

void GatewayMetrics::observe(std::string_view name, std::string_view labelValue, double seconds)
{
    m_histograms[boundedKey(m_histograms, name, labelValue, kMaxSeries)].add(seconds);
}

void GatewayMetrics::setGauge(std::string_view name, double value)
{
    m_gauges[std::string(name)] = value;
}

std::string GatewayMetrics::prometheusText() const
{
    std::ostringstream out;
    for (const auto &[key, value] : m_counters)
        out << kPrefix << key.first << "_total{kind=\"" << key.second << "\"} " << value << '\n';
    for (const auto &[name, value] : m_gauges)
        out << kPrefix << name << ' ' << value << '\n';
    for (const auto &[key, histogram] : m_histograms) {
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < Histogram::kBounds.size(); ++i) {
            sum += histogram.buckets()[i];
            out << kPrefix << key.first << "_seconds_bucket{kind=\"" << key.second << "\",le=\""
                << Histogram::kBounds[i] << "\"} " << sum << '\n';
        }
        out << kPrefix << key.first << "_seconds_bucket{kind=\"" << key.second << "\",le=\"+Inf\"} "
            << histogram.count() << '\n'
            << kPrefix << key.first << "_seconds_count{kind=\"" << key.second << "\"} "
            << histogram.count() << '\n'
            << kPrefix << key.first << "_seconds_sum{kind=\"" << key.second << "\"} "
            << histogram.sum() << '\n';
    }
    return out.str();
}

} // namespace arbutuspier
