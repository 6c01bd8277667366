// The figures of a running daemon, written by the control thread and read by any.
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

    void record(const RequestEnded &ended);
    void setStatus(const NodeStatus &status);
    std::string prometheus() const;

private:
    mutable std::mutex m_mutex;
    RequestMetrics m_requests;
    std::string m_gauges;
};

} // namespace arbutuspier
