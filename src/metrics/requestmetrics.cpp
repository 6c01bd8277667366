// Writes the Prometheus text format directly, as it is too small to need a client library.
#include "metrics/requestmetrics.h"

#include <algorithm>
#include <cstdio>

namespace arbutuspier {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};
constexpr std::string_view kOverflowTeam = "other";

std::string escapeLabelValue(std::string_view value)
{
    std::string out;
    for (char c : value) {
        if (c == '\\' || c == '"')
            out += '\\';
        out += c == '\n' ? ' ' : c;
    }
    return out;
}

std::string formatNumber(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.9g", value);
    return text.data();
}

void appendHistogram(std::string &out, std::string_view name, const std::string &labels,
                     const Histogram &histogram)
{
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < Histogram::kBounds.size(); ++i) {
        cumulative += histogram.buckets()[i];
        out += std::string(name) + "_bucket{" + labels + ",le=\""
            + formatNumber(Histogram::kBounds[i]) + "\"} " + std::to_string(cumulative) + '\n';
    }
    out += std::string(name) + "_bucket{" + labels + ",le=\"+Inf\"} "
        + std::to_string(histogram.count()) + '\n';
    out += std::string(name) + "_sum{" + labels + "} " + formatNumber(histogram.sum()) + '\n';
    out += std::string(name) + "_count{" + labels + "} " + std::to_string(histogram.count()) + '\n';
    for (std::size_t i = 0; i < kQuantiles.size() && histogram.count() > 0; ++i) {
        out += std::string(name) + "_quantile{" + labels + ",q=\"" + formatNumber(kQuantiles[i])
            + "\"} " + formatNumber(histogram.quantile(i)) + '\n';
    }
}

} // namespace

Histogram::Histogram()
    : m_accumulator(acc::extended_p_square_probabilities = kQuantiles)
{
}

void Histogram::add(double value)
{
    m_accumulator(value);
    const auto bound = std::lower_bound(kBounds.begin(), kBounds.end(), value);
    ++m_buckets[static_cast<std::size_t>(bound - kBounds.begin())];
}

std::uint64_t Histogram::count() const
{
    return acc::count(m_accumulator);
}

double Histogram::sum() const
{
    return acc::sum(m_accumulator);
}

double Histogram::max() const
{
    return acc::max(m_accumulator);
}

double Histogram::quantile(std::size_t quantileIndex) const
{
    return acc::quantile(m_accumulator, acc::quantile_probability = kQuantiles[quantileIndex]);
}

std::string_view lengthBucket(std::uint64_t promptTokens)
{
    if (promptTokens == 0)
        return "call";
    if (promptTokens < 4'096)
        return "under-4k";
    if (promptTokens < 32'768)
        return "4k-32k";
    if (promptTokens < 131'072)
        return "32k-128k";
    if (promptTokens < 524'288)
        return "128k-512k";
    return "over-512k";
}

RequestMetrics::Series &RequestMetrics::series(const RequestEnded &ended)
{
    const std::string_view length = lengthBucket(ended.promptTokens);
    const SeriesKey key{ended.className, ended.team, length};
    auto it = m_series.find(key);
    if (it != m_series.end())
        return it->second;
    if (m_series.size() < m_maxSeries)
        return m_series[key];
    return m_series[{ended.className, std::string(kOverflowTeam), length}];
}

void RequestMetrics::record(const RequestEnded &ended)
{
    ++m_outcomes[{ended.className, verdictName(ended.verdict), reasonName(ended.reason)}];
    if (ended.verdict != Verdict::Ran)
        return;
    Series &target = series(ended);
    target.tokens += ended.tokens;
    target.queueTime.add(toSeconds(ended.queueTime));
    if (ended.timeToFirstToken <= Duration::zero())
        return;
    const double firstTokenSeconds = toSeconds(ended.timeToFirstToken);
    target.timeToFirstToken.add(firstTokenSeconds);
    const double unqueuedSeconds = std::max(1e-6, firstTokenSeconds - toSeconds(ended.queueTime));
    target.slowdown.add(firstTokenSeconds / unqueuedSeconds);
    if (ended.tokens > 1)
        target.timePerOutputToken.add(toSeconds(ended.total - ended.timeToFirstToken)
                                      / static_cast<double>(ended.tokens - 1));
}

std::string RequestMetrics::prometheus() const
{
    std::string out;
    out += "# TYPE arbutuspier_requests_total counter\n";
    for (const auto &[key, count] : m_outcomes)
        out += "arbutuspier_requests_total{class=\"" + escapeLabelValue(key.className)
            + "\",verdict=\"" + std::string(key.verdict) + "\",reason=\"" + std::string(key.reason)
            + "\"} " + std::to_string(count) + '\n';
    out += "# TYPE arbutuspier_first_token_seconds histogram\n";
    for (const auto &[key, series] : m_series) {
        const std::string labels = "class=\"" + escapeLabelValue(key.className) + "\",team=\""
            + escapeLabelValue(key.team) + "\",length=\"" + std::string(key.length) + '"';
        appendHistogram(out, "arbutuspier_first_token_seconds", labels, series.timeToFirstToken);
        appendHistogram(out, "arbutuspier_queue_seconds", labels, series.queueTime);
        appendHistogram(out, "arbutuspier_between_tokens_seconds", labels,
                        series.timePerOutputToken);
        appendHistogram(out, "arbutuspier_slowdown_ratio", labels, series.slowdown);
        out += "arbutuspier_tokens_total{" + labels + "} " + std::to_string(series.tokens) + '\n';
    }
    return out;
}

} // namespace arbutuspier
