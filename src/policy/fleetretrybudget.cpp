// Counts exactly over a sliding window. Storing each time is cheap, as a VM gets few requests per
// second.
#include "arbutuspier/fleetretrybudget.h"

#include <algorithm>

namespace arbutuspier {

void FleetRetryBudget::expire(TimePoint now)
{
    while (!m_requests.empty() && m_requests.front() + m_options.window <= now)
        m_requests.pop_front();
    while (!m_retries.empty() && m_retries.front() + m_options.window <= now)
        m_retries.pop_front();
}

void FleetRetryBudget::onRequest(TimePoint now)
{
    expire(now);
    m_requests.push_back(now);
}

bool FleetRetryBudget::allows(TimePoint now, std::size_t vmCount)
{
    expire(now);
    const double slackShare =
        m_options.slack / static_cast<double>(std::max<std::size_t>(vmCount, 1));
    const double allowed = m_options.usedFraction
        * (m_options.ratio * static_cast<double>(m_requests.size()) + slackShare);
    return static_cast<double>(m_retries.size()) + 1 <= allowed;
}

bool FleetRetryBudget::trySpend(TimePoint now, std::size_t vmCount)
{
    if (!allows(now, vmCount))
        return false;
    m_retries.push_back(now);
    return true;
}

} // namespace arbutuspier
