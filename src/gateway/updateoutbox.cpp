// The changes are few at a time, so that a list that is searched serves well.
#include "gateway/updateoutbox.h"

#include <algorithm>
#include <utility>

namespace arbutuspier {

using Kind = ActiveRequestUpdate::Kind;

bool UpdateOutbox::dropUnreported(std::uint64_t id)
{
    const bool isBeginWaiting =
        std::any_of(m_updates.begin(), m_updates.end(), [id](const ActiveRequestUpdate &update) {
            return update.id == id && update.kind == Kind::Began;
        });
    if (!isBeginWaiting)
        return false;
    std::erase_if(m_updates, [id](const ActiveRequestUpdate &update) { return update.id == id; });
    if (m_updates.empty())
        m_due.reset();
    return true;
}

void UpdateOutbox::add(const ActiveRequestUpdate &update, TimePoint now)
{
    if (update.kind == Kind::Ended && dropUnreported(update.id))
        return;
    m_updates.push_back(update);
    const TimePoint due = now + (update.isUrgent ? m_options.urgentDelay : m_options.maxDelay);
    m_due = std::min(m_due.value_or(due), due);
}

std::vector<ActiveRequestUpdate> UpdateOutbox::takeAll()
{
    m_due.reset();
    return std::exchange(m_updates, {});
}

} // namespace arbutuspier
