// Holds back a team's requests at its fleet-wide limits of concurrency and token rate.
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

/// Applies this VM's shares of the limits. A row without limits takes no memory here.
class TeamLimiter
{
public:
    explicit TeamLimiter(ShareAllocator &shares)
        : m_shares(shares)
    {
    }

    /// Sets a row's limits; a request of a team without a row of its own brings the default row.
    void setRow(const LimitRow &row);
    /// True if a request of this row may start now.
    bool mayStart(const LimitRow &row, TimePoint now);
    /// A request of `cost` tokens starts. The rate may go into debt once; it is paid back first.
    void onStarted(const LimitRow &row, std::uint64_t cost, TimePoint now);
    void onEnded(const LimitRow &row);
    /// Requests of this row waiting here; feeds the demand told to other VMs.
    void noteWaiting(const LimitRow &row, std::size_t waiting);
    /// Tells the demand of each row to the share allocator.
    void tick(TimePoint now);

    /// Rows that have limits, to be set anew when the table changes.
    std::vector<LimitRow> rows() const;
    std::uint32_t running(const LimitRow &row) const;
    /// Class and team that a share's key names; nothing if it is no such key.
    static std::optional<std::pair<std::string, std::string>> namesOf(std::string_view shareKey);

private:
    struct State
    {
        LimitRow row;
        std::uint32_t running = 0;
        std::size_t waiting = 0;
        /// Tokens that may still be spent; negative while in debt.
        double tokens = 0;
        /// Tokens a second lately started here.
        double recentRate = 0;
        TimePoint at;
    };

    static std::string key(const LimitRow &row);
    State *find(const LimitRow &row);
    void refill(State &state, TimePoint now);

    ShareAllocator &m_shares;
    std::map<std::string, State, std::less<>> m_states;
};

} // namespace arbutuspier
