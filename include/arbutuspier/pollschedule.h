// Time of the next periodic poll, which a reported change may bring forward.
//
// Changes often come several at a time. A reported change therefore causes a poll after a short
// delay, which then covers all of them.
#pragma once

#include "arbutuspier/clock.h"

#include <algorithm>

namespace arbutuspier {

class PollSchedule
{
public:
    /// Changes reported within `coalesceDelay` are covered by one poll.
    explicit PollSchedule(Duration coalesceDelay)
        : m_coalesceDelay(coalesceDelay)
    {
    }

    /// A poll ended; the next one is due at `due` unless a change is reported earlier.
    void scheduleAt(TimePoint due) { m_due = due; }
    /// A change was reported: a poll is due after the coalesce delay, or earlier if it was already.
    void onChange(TimePoint now) { m_due = std::min(m_due, now + m_coalesceDelay); }
    /// Makes a poll due at once, as the known data may be stale.
    void scheduleNow(TimePoint now) { m_due = now; }

    TimePoint due() const { return m_due; }
    bool isDue(TimePoint now) const { return now >= m_due; }

private:
    Duration m_coalesceDelay;
    TimePoint m_due{};
};

} // namespace arbutuspier
