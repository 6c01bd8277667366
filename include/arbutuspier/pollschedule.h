// When something that is read at a pace is read next, as news may ask for it earlier.
//
// Changes often come several at a time. News do not cause a read at once, but one a little later,
// which then shows all of them.
#pragma once

#include "arbutuspier/clock.h"

#include <algorithm>

namespace arbutuspier {

class PollSchedule
{
public:
    /// News of `joined` are read together.
    explicit PollSchedule(Duration coalesceDelay)
        : m_joined(coalesceDelay)
    {
    }

    void setCoalesceDelay(Duration coalesceDelay) { m_joined = coalesceDelay; }
    /// A read ended; without news the next one is due then.
    void scheduleAt(TimePoint due) { m_due = due; }
    /// There is something to read.
    void onNews(TimePoint now) { m_due = std::min(m_due, now + m_joined); }
    /// What is known can't be trusted any more.
    void scheduleNow(TimePoint now) { m_due = now; }

    TimePoint due() const { return m_due; }
    bool isDue(TimePoint now) const { return now >= m_due; }

private:
    Duration m_joined;
    TimePoint m_due{};
};

} // namespace arbutuspier
