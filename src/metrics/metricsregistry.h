// Metrics of the entry daemon. The control thread updates them; any thread may read them.
#pragma once

#include "arbutuspier/entrynode.h"
#include "metrics/requestmetrics.h"

#include <mutex>
#include <string>

namespace arbutuspier {

class MetricsRegistry
{
public:
    MetricsRegistry();

    /// Counts a request that ended.
    void record(const RequestEnded &ended);
    /// Replaces the values of all gauges.
    void setStatus(const NodeStatus &status);
    /// All metrics in the Prometheus text format.
    std::string prometheus() const;

private:
    mutable std::mutex m_mutex;
    RequestMetrics m_requests;
    std::string m_gauges;
};

} // namespace arbutuspier
