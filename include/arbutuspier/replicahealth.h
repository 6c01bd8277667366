// Ejects replicas that failed recently and learns the slowdown factor of each replica.
//
// Only responses to requests count, as a health check may succeed while requests fail.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/upstreamdirectory.h"

#include <cstdint>
#include <map>

namespace arbutuspier {

struct ReplicaHealthOptions
{
    /// Length of the first ejection; doubled with each consecutive failure.
    Duration initialEjection = std::chrono::milliseconds{400};
    Duration maxEjection = std::chrono::seconds{4};
    /// Weight of the newest response in the moving averages of failure rate and slowdown.
    double averagingWeight = 0.15;
    /// Failure rate above which a single failure ejects the replica.
    double ejectionFailureRate = 0.25;
    /// Bounds of a learned slowdown factor.
    double minSlowdown = 0.7;
    double maxSlowdown = 10;
};

/// Length of an ejection: `initial` for the first, doubled with each that follows, at most `max`.
Duration ejectionLength(std::uint32_t ejectionsInARow, Duration initial, Duration max);

class ReplicaHealth
{
public:
    explicit ReplicaHealth(ReplicaHealthOptions options)
        : m_options(options)
    {
    }

    /// A response arrived. `ratio` is its duration divided by the forecast, or zero if there was no
    /// forecast.
    void onSuccess(const ReplicaIncarnation &incarnation, double durationRatio);
    /// The replica refused the request, failed, became unresponsive or broke off its response.
    void onFailure(const ReplicaIncarnation &incarnation, TimePoint now);
    /// No connection could be opened: the replica is down or behind a network partition.
    void onUnreachable(const ReplicaIncarnation &incarnation, TimePoint now);

    /// The failures so far weren't those of the replica.
    void endEjection(const ReplicaIncarnation &incarnation);

    bool isEjected(const ReplicaIncarnation &incarnation, TimePoint now) const;
    /// Slowdown factor against the published figures; 1 for an unknown replica.
    double slowdown(const ReplicaIncarnation &incarnation) const;

private:
    struct Record
    {
        std::uint32_t consecutiveFailures = 0;
        double failureRate = 0;
        double slowdown = 1;
        TimePoint ejectedUntil{};
    };

    void eject(Record &record, TimePoint now);

    ReplicaHealthOptions m_options;
    std::map<ReplicaIncarnation, Record> m_records;
};

} // namespace arbutuspier
