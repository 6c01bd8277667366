// This VM's part of the fleet-wide retry budget of one service.
//
// In a time window the fleet may send `ratio` retries per request, and `slack` retries on top. A VM
// counts only its own requests and uses an equal part of the slack, so that the parts never add up
// to more than the budget, however many VMs retry at the same time.
#pragma once

#include "arbutuspier/clock.h"

#include <cstdint>
#include <deque>

namespace arbutuspier {

struct FleetRetryBudgetOptions
{
    double ratio = 0.2;
    Duration window = std::chrono::seconds{10};
    double slack = 100;
    /// Fraction of the budget that is used; the rest covers requests and retries in transit.
    double usedFraction = 0.7;
};

class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(FleetRetryBudgetOptions options)
        : m_options(options)
    {
    }

    /// Retries spent under the previous options stay counted.
    void setOptions(FleetRetryBudgetOptions options) { m_options = options; }
    void onRequest(TimePoint now);
    /// Whether this VM's part of a budget shared by `vmCount` VMs allows one retry now.
    bool allows(TimePoint now, std::size_t vmCount);
    /// Spends one retry if this VM's part of a budget shared by `vmCount` VMs allows it.
    bool trySpend(TimePoint now, std::size_t vmCount);

private:
    void expire(TimePoint now);

    FleetRetryBudgetOptions m_options;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

} // namespace arbutuspier
