// How long the recent requests of each route took, for decisions that depend on whether a request
// will end in time.
#pragma once

#include "arbutuspier/clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace arbutuspier {

struct RouteDurationOptions
{
    /// A duration counts for one to two of these windows.
    Duration window = std::chrono::seconds{20};
};

class RouteDurations
{
public:
    explicit RouteDurations(RouteDurationOptions options)
        : m_options(options)
    {
    }

    /// Records that a request of the route ended now, this long after a replica was assigned.
    void record(std::string_view route, Duration duration, TimePoint now);
    /// Returns the longest recent duration of the route; empty if there was none.
    std::optional<Duration> longest(std::string_view route, TimePoint now) const;
    /// Forgets routes without recent requests.
    void tick(TimePoint now);
    std::size_t size() const { return m_routes.size(); }

private:
    struct Windows
    {
        /// When the current window began. The previous one ended then, or earlier.
        TimePoint begunAt{};
        Duration current{};
        std::optional<Duration> previous;
    };

    bool isCurrent(const Windows &windows, TimePoint now) const
    {
        return now < windows.begunAt + m_options.window;
    }
    bool isRecent(const Windows &windows, TimePoint now) const
    {
        return now < windows.begunAt + 2 * m_options.window;
    }

    RouteDurationOptions m_options;
    std::map<std::string, Windows, std::less<>> m_routes;
};

} // namespace arbutuspier
