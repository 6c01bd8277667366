// Demotes a zone when several of its replicas are unresponsive.
//
// When a zone is behind a network partition, each of its replicas fails separately, and a request
// could try one after the other until its deadline. Two unresponsive replicas without a response
// from the zone in between demote the whole zone: its replicas are tried last, until one of them
// responds or the demotion ends.
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
    Duration failureMemory = std::chrono::seconds{2};
    /// Length of the first demotion; doubled with each further one.
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
    void onResponse(std::string_view zone);
    bool isDemoted(std::string_view zone, TimePoint now) const;

private:
    struct Record
    {
        std::set<std::string, std::less<>> unresponsiveReplicas;
        TimePoint lastFailure{};
        TimePoint demotedUntil{};
        Duration nextDemotion{};
    };

    ZoneHealthOptions m_options;
    std::map<std::string, Record, std::less<>> m_zones;
};

} // namespace arbutuspier
