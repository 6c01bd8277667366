// A replica that turns cold again says another number in between, or zero.
#include "gateway/statedcoldtimes.h"

#include <algorithm>

namespace arbutuspier {

Duration StatedColdTimes::coldLeft(const ReplicaIncarnation &incarnation, Duration stated,
                                   TimePoint now)
{
    if (stated <= Duration::zero()) {
        m_statements.erase(incarnation);
        return Duration::zero();
    }
    Statement &statement = m_statements[incarnation];
    if (statement.stated != stated)
        statement = {stated, now, now};
    statement.lastReadAt = now;
    return std::max(Duration::zero(), stated - (now - statement.firstReadAt));
}

void StatedColdTimes::tick(TimePoint now)
{
    constexpr Duration kLifetime = std::chrono::minutes{10};
    std::erase_if(m_statements,
                  [&](const auto &entry) { return entry.second.lastReadAt + kLifetime <= now; });
}

} // namespace arbutuspier
