// Bounds retries to a part of the work, so that a failure does not multiply the load.
#pragma once

#include <algorithm>

namespace arbutuspier {

/// Earns a part of a retry for each first try; a retry spends a whole one.
class RetryBudget
{
public:
    RetryBudget(double earnedPerRequest, double maximum)
        : m_earned(earnedPerRequest)
        , m_maximum(maximum)
        , m_balance(maximum)
    {
    }

    void onRequest() { m_balance = std::min(m_maximum, m_balance + m_earned); }

    /// Takes one retry if the budget has it.
    bool trySpend()
    {
        if (m_balance < 1.0)
            return false;
        m_balance -= 1.0;
        return true;
    }

    double balance() const { return m_balance; }

private:
    double m_earned;
    double m_maximum;
    /// Invariant: in [0, m_maximum].
    double m_balance;
};

} // namespace arbutuspier
