// Limits retries to a fraction of the requests, so that failures do not multiply the load.
#pragma once

#include <algorithm>

namespace arbutuspier {

/// Each request adds a fraction of a retry to the balance; each retry takes one from it.
class RetryBudget
{
public:
    RetryBudget(double retriesPerRequest, double maxBalance)
        : m_retriesPerRequest(retriesPerRequest)
        , m_maxBalance(maxBalance)
        , m_balance(maxBalance)
    {
    }

    void onRequest() { m_balance = std::min(m_maxBalance, m_balance + m_retriesPerRequest); }

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
    double m_retriesPerRequest;
    double m_maxBalance;
    /// Invariant: in [0, m_maxBalance].
    double m_balance;
};

} // namespace arbutuspier
