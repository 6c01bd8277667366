// Gauges are rendered when the status is set, so that a scrape takes no time of the control thread.
#include "metrics/metricsregistry.h"

namespace arbutuspier {

namespace {

constexpr std::size_t kMaxSeries = 4'000;

void gauge(std::string &out, std::string_view name, std::uint64_t value)
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
    gauge(out, "limits_version", status.limitsVersion);
    gauge(out, "queued_requests", status.queued);
    gauge(out, "running_requests", status.running);
    gauge(out, "holdings", status.holdings);
    gauge(out, "releases_pending", status.pendingReleases);
    gauge(out, "unsettled_keys", status.unsettledKeys);
    gauge(out, "suspects", status.suspects.size());
    gauge(out, "draining", status.isDraining ? 1 : 0);
    gauge(out, "platform_reachable", status.isPlatformReachable ? 1 : 0);
    for (const NodeStatus::Upstream &upstream : status.upstreams) {
        const std::string labels = "{upstream=\"" + upstream.info.name + "\"}";
        gauge(out, "upstream_in_flight" + labels, upstream.inFlight);
        gauge(out, "upstream_usable" + labels, upstream.isUsable ? 1 : 0);
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
