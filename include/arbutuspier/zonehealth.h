// Whether a zone can be reached at all, judged by several of its replicas.
//
// When a zone is cut off, every replica there fails on its own, and a request could try one after
// the other until its time is over. Two silent replicas without an answer from the zone put the
// whole zone last, until one of its replicas answers or the doubt has run out.
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
    /// Replicas that must fail to answer for a doubt.
    std::size_t minSilentReplicas = 2;
    /// Failures older than this say nothing.
    Duration memory = std::chrono::seconds{2};
    /// First length of a doubt; doubled each time that it is confirmed.
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

    /// A replica of the zone could not be reached, or was silent for its whole patience.
    void onSilence(std::string_view zone, std::string_view replica, TimePoint now);
    void onResponse(std::string_view zone);
    bool isDemoted(std::string_view zone, TimePoint now) const;

private:
    struct Record
    {
        std::set<std::string, std::less<>> silent;
        TimePoint lastSilence{};
        TimePoint doubtedUntil{};
        Duration nextDoubt{};
    };

    ZoneHealthOptions m_options;
    std::map<std::string, Record, std::less<>> m_zones;
};

} // namespace arbutuspier
