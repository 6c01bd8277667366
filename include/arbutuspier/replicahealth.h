// How replicas answered of late: who failed is left out for a while, who is slow is known as slow.
//
// Judged by answers to work only, as a health check can be right while work fails.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/upstreamdirectory.h"

#include <cstdint>
#include <map>

namespace arbutuspier {

struct HealthOptions
{
    /// First time out after a failure; doubled with each failure in a row.
    Duration firstShun = std::chrono::milliseconds{400};
    Duration maxShun = std::chrono::seconds{4};
    /// Weight of one more answer in the failure rate and the pace.
    double step = 0.15;
    /// Failure rate from which one failure alone leaves the replica out.
    double greyRate = 0.25;
    /// Bounds of a learned pace.
    double minPace = 0.7;
    double maxPace = 10;
};

class ReplicaHealth
{
public:
    explicit ReplicaHealth(HealthOptions options)
        : m_options(options)
    {
    }

    /// An answer came. `ratio` is its time over the forecast, zero if there was no forecast.
    void onSuccess(const ReplicaLife &life, double ratio);
    /// The replica refused, failed, fell silent or broke off.
    void onFailure(const ReplicaLife &life, TimePoint now);
    /// No connection came about: it is down or cut off.
    void onUnreachable(const ReplicaLife &life, TimePoint now);

    bool isShunned(const ReplicaLife &life, TimePoint now) const;
    double pace(const ReplicaLife &life) const;

private:
    struct Record
    {
        std::uint32_t failuresInRow = 0;
        double failureRate = 0;
        double pace = 1;
        TimePoint shunnedUntil{};
    };

    void shun(Record &record, TimePoint now);

    HealthOptions m_options;
    std::map<ReplicaLife, Record> m_records;
};

} // namespace arbutuspier
