// Keeps the maximum of the current window and of the one before it.
#include "arbutuspier/routedurations.h"

#include <algorithm>

namespace arbutuspier {

void RouteDurations::record(std::string_view route, Duration duration, TimePoint now)
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        m_routes.emplace(route, Windows{now, duration, std::nullopt});
        return;
    }
    Windows &windows = found->second;
    if (isCurrent(windows, now)) {
        windows.current = std::max(windows.current, duration);
        return;
    }
    const auto previous = isRecent(windows, now) ? std::optional(windows.current) : std::nullopt;
    windows = {now, duration, previous};
}

std::optional<Duration> RouteDurations::longest(std::string_view route, TimePoint now) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end() || !isRecent(found->second, now))
        return std::nullopt;
    const Windows &windows = found->second;
    const bool countsPrevious = isCurrent(windows, now) && windows.previous;
    return countsPrevious ? std::max(windows.current, *windows.previous) : windows.current;
}

void RouteDurations::tick(TimePoint now)
{
    std::erase_if(m_routes, [&](const auto &entry) { return !isRecent(entry.second, now); });
}

} // namespace arbutuspier
