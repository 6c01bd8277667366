// Limits retries to a fraction of the requests, so that failures do not multiply the load.
#pragma once

#include <algorithm>

namespace arbutuspier {

/// Each request adds a fraction of a retry to the balance; each retry takes one from it.
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

    /// Spends one retry if the balance allows it.
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
