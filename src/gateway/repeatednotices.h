// Notices that are repeated in each heartbeat for some time, as datagrams may be lost.
#pragma once

#include "arbutuspier/clock.h"

#include <utility>
#include <vector>

namespace arbutuspier {

template <class Notice>
class RepeatedNotices
{
public:
    explicit RepeatedNotices(Duration repeatTime)
        : m_repeatTime(repeatTime)
    {
    }

    void add(Notice notice, TimePoint now) { m_notices.emplace_back(now, std::move(notice)); }

    /// Notices that were added within the repeat time, oldest first.
    std::vector<Notice> current(TimePoint now)
    {
        std::erase_if(m_notices,
                      [&](const auto &entry) { return entry.first + m_repeatTime < now; });
        std::vector<Notice> result;
        for (const auto &[addedAt, notice] : m_notices)
            result.push_back(notice);
        return result;
    }

private:
    Duration m_repeatTime;
    std::vector<std::pair<TimePoint, Notice>> m_notices;
};

} // namespace arbutuspier
