// Gauges are rendered when the status is set, so that a scrape takes no time of the control thread.
#include "metrics/metricsregistry.h"

namespace arbutuspier {

namespace {

constexpr std::size_t kMaxSeries = 4'000;

void appendGauge(std::string &out, std::string_view name, std::uint64_t value)
{
    out += "arbutuspier_" + std::string(name) + ' ' + std::to_string(value) + '\n';
}

} // namespace

MetricsRegistry::MetricsRegistry()
    : m_requests(kMaxSeries)
{
}

void MetricsRegistry::record(const RequestEnded &ended)
{
    const std::scoped_lock lock(m_mutex);
    m_requests.record(ended);
}

void MetricsRegistry::setStatus(const NodeStatus &status)
{
    std::string out = "# TYPE arbutuspier_limits_version gauge\n";
    appendGauge(out, "limits_version", status.limitsVersion);
    appendGauge(out, "queued_requests", status.queued);
    appendGauge(out, "running_requests", status.running);
    appendGauge(out, "holdings", status.reservations);
    appendGauge(out, "releases_pending", status.pendingReleases);
    appendGauge(out, "unsettled_keys", status.pendingKeys);
    appendGauge(out, "suspects", status.suspects.size());
    appendGauge(out, "draining", status.isDraining ? 1 : 0);
    appendGauge(out, "platform_reachable", status.isPlatformReachable ? 1 : 0);
    for (const NodeStatus::Upstream &upstream : status.upstreams) {
        const std::string labels = "{upstream=\"" + upstream.info.name + "\"}";
        appendGauge(out, "upstream_in_flight" + labels, upstream.inFlight);
        appendGauge(out, "upstream_usable" + labels, upstream.isUsable ? 1 : 0);
    }
    const std::scoped_lock lock(m_mutex);
    m_gauges = std::move(out);
}

std::string MetricsRegistry::prometheus() const
{
    const std::scoped_lock lock(m_mutex);
    return m_requests.prometheus() + m_gauges;
}

} // namespace arbutuspier
