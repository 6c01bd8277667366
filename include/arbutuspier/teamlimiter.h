// Enforces this VM's shares of the fleet-wide concurrency and token rate limits of each team.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/limits.h"
#include "arbutuspier/shareallocator.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutuspier {

/// Admits requests within this VM's limit shares. A row without limits takes no memory here.
class TeamLimiter
{
public:
    explicit TeamLimiter(ShareAllocator &shares)
        : m_shares(shares)
    {
    }

    /// Sets a row's limits. For a team without a row of its own the caller passes the default row.
    void setRow(const LimitRow &row);
    /// Returns whether a request of this row may start now.
    bool mayStart(const LimitRow &row, TimePoint now);
    /// Records that a request of `cost` tokens starts. Its cost may exceed the tokens available; no
    /// further request of the row starts until the rate has made up for the debt.
    void onStarted(const LimitRow &row, std::uint64_t cost, TimePoint now);
    void onEnded(const LimitRow &row);
    /// Sets how many requests of this row wait on this VM. It raises the demand that other VMs see.
    void setWaitingCount(const LimitRow &row, std::size_t waitingCount);
    /// Reports the demand of each row to the share allocator.
    void tick(TimePoint now);

    /// Rows that have limits. The caller sets each of them again when the table of limits changes.
    std::vector<LimitRow> rows() const;
    std::uint32_t running(const LimitRow &row) const;
    /// The class and team in the key of a limit share; empty if the key is malformed.
    static std::optional<std::pair<std::string, std::string>> parseShareKey(
        std::string_view shareKey);

private:
    struct RowState
    {
        LimitRow row;
        std::uint32_t running = 0;
        std::size_t waitingCount = 0;
        /// Level of the token bucket; negative while the row is in debt.
        double availableTokens = 0;
        /// Tokens per second of the requests started here, as an exponential moving average.
        double recentTokensPerSecond = 0;
        TimePoint refilledAt;
    };

    static std::string key(const LimitRow &row);
    RowState *find(const LimitRow &row);
    void refill(RowState &state, TimePoint now);

    ShareAllocator &m_shares;
    std::map<std::string, RowState, std::less<>> m_states;
};

} // namespace arbutuspier
