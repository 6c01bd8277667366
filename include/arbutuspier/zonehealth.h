// Demotes a zone when several of its replicas are unresponsive.
//
// When a zone is behind a network partition, each of its replicas fails separately, and a request
// could try them one by one until its deadline. When `minUnresponsiveReplicas` different replicas
// become unresponsive and none of the zone's replicas responds in the meantime, the whole zone is
// demoted: its replicas are tried last, until one of them responds or the demotion ends.
#pragma once

#include "arbutuspier/clock.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace arbutuspier {

struct ZoneHealthOptions
{
    /// Unresponsive replicas that demote the zone.
    std::size_t minUnresponsiveReplicas = 2;
    /// Failures that are further apart than this do not add up.
    Duration failureWindow = std::chrono::seconds{2};
    /// Length of the first demotion. Each further one takes twice as long, up to `maxDemotion`. A
    /// response, or a `failureWindow` without failures, resets it.
    Duration initialDemotion = std::chrono::milliseconds{800};
    Duration maxDemotion = std::chrono::seconds{3};
};

class ZoneHealth
{
public:
    explicit ZoneHealth(ZoneHealthOptions options)
        : m_options(options)
    {
    }

    /// A replica of the zone could not be reached, or did not respond within its timeout.
    void onUnresponsive(std::string_view zone, std::string_view replica, TimePoint now);
    /// A replica of the zone responded: ends the demotion and forgets earlier failures.
    void onResponse(std::string_view zone);
    bool isDemoted(std::string_view zone, TimePoint now) const;

private:
    struct ZoneState
    {
        std::set<std::string, std::less<>> unresponsiveReplicas;
        TimePoint lastFailure{};
        TimePoint demotedUntil{};
        Duration nextDemotion{};
    };

    ZoneHealthOptions m_options;
    std::map<std::string, ZoneState, std::less<>> m_zones;
};

} // namespace arbutuspier
