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
    Duration initialEjection = std::chrono::milliseconds{400};
    Duration maxEjection = std::chrono::seconds{4};
    /// Weight of one more answer in the failure rate and the pace.
    double step = 0.15;
    /// Failure rate from which one failure alone leaves the replica out.
    double ejectionFailureRate = 0.25;
    /// Bounds of a learned pace.
    double minSlowdown = 0.7;
    double maxSlowdown = 10;
};

class ReplicaHealth
{
public:
    explicit ReplicaHealth(HealthOptions options)
        : m_options(options)
    {
    }

    /// An answer came. `ratio` is its time over the forecast, zero if there was no forecast.
    void onSuccess(const ReplicaIncarnation &incarnation, double ratio);
    /// The replica refused, failed, fell silent or broke off.
    void onFailure(const ReplicaIncarnation &incarnation, TimePoint now);
    /// No connection came about: it is down or cut off.
    void onUnreachable(const ReplicaIncarnation &incarnation, TimePoint now);

    bool isEjected(const ReplicaIncarnation &incarnation, TimePoint now) const;
    double pace(const ReplicaIncarnation &incarnation) const;

private:
    struct Record
    {
        std::uint32_t failuresInRow = 0;
        double failureRate = 0;
        double pace = 1;
        TimePoint ejectedUntil{};
    };

    void eject(Record &record, TimePoint now);

    HealthOptions m_options;
    std::map<ReplicaIncarnation, Record> m_records;
};

} // namespace arbutuspier
