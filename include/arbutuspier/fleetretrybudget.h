// This VM's part of the repeats that all VMs may send to one service.
//
// The fleet may send `ratio` repeats for each request of a window, and `slack` more. A VM counts
// only its own requests and takes an even part of the slack, so that the parts add up to at most
// the whole however many VMs act at once.
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
    /// Part of the allowance that is used; the rest covers requests and repeats on their way.
    double margin = 0.7;
};

class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(FleetRetryBudgetOptions options)
        : m_options(options)
    {
    }

    /// What was spent under other options stays spent.
    void setOptions(FleetRetryBudgetOptions options) { m_options = options; }
    void onRequest(TimePoint now);
    /// Takes one repeat if the allowance of `vmCount` VMs has it.
    bool trySpend(TimePoint now, std::size_t vmCount);

private:
    void expire(TimePoint now);

    FleetRetryBudgetOptions m_options;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_repeats;
};

} // namespace arbutuspier
