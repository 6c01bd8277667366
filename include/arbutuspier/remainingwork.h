// What each replica of a plain service still has to do, and how fast it works.
//
// The work left is the sum of what each call that is known to run there is still likely to take.
// The speed is learned from how long this VM's own calls took compared with their forecasts.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/costestimates.h"
#include "arbutuspier/fleetload.h"
#include "arbutuspier/upstreamdirectory.h"

#include <cstdint>
#include <map>
#include <span>

namespace arbutuspier {

struct ReplicaSpeedOptions
{
    /// Standard deviation of the logarithm of a slowdown factor of which nothing is known.
    double logSpread = 0.7;
    /// Time in which what was learned halves if no further calls end.
    Duration halfLife = std::chrono::seconds{6};
    /// A duration counts as at most this many standard deviations away from its forecast.
    double maxDeviations = 2.5;
    /// So many standard deviations of a slowdown may be chance, and don't count.
    double chanceDeviations = 0.5;
    /// Bounds of a slowdown factor.
    double minSlowdown = 0.5;
    double maxSlowdown = 20;
};

/// How slow a replica is; factors above 1 are slower than the service's usual replica.
struct Slowdown
{
    double factor = 1;
    /// Standard deviation of the logarithm of the factor.
    double logSpread = 0;
};

/// Learns the slowdown factors of the replicas, each as a log-normal distribution.
class ReplicaSpeeds
{
public:
    explicit ReplicaSpeeds(ReplicaSpeedOptions options)
        : m_options(options)
    {
    }

    /// A call ended after `durationMs`; `forecast` is its cost at a usual replica, in milliseconds.
    void onCompleted(const ReplicaIncarnation &incarnation, double durationMs,
                     const CostForecast &forecast, TimePoint now);
    /// The slowdown less what may be chance.
    Slowdown slowdown(const ReplicaIncarnation &incarnation, TimePoint now) const;
    /// The slowdown factor that is the likeliest.
    double meanFactor(const ReplicaIncarnation &incarnation, TimePoint now) const;
    /// The slowdown as it is if this VM's calls that run there, of which `running` may hold those
    /// of others too, have taken longer than expected.
    Slowdown slowdownWhile(const ReplicaIncarnation &incarnation,
                           std::span<const RunningCall> running, TimePoint now) const;
    /// Forgets the replicas of which nothing is known any more.
    void tick(TimePoint now);
    std::size_t size() const { return m_records.size(); }

private:
    /// Of the logarithm of the slowdown factor.
    struct Record
    {
        double mean = 0;
        double variance = 0;
        TimePoint updatedAt{};
    };

    /// The record as it is now: the older, the closer to what is known of any replica.
    Record current(const ReplicaIncarnation &incarnation, TimePoint now) const;
    void update(Record &record, double durationMs, const CostForecast &forecast) const;
    Slowdown toSlowdown(const Record &record) const;

    ReplicaSpeedOptions m_options;
    std::map<ReplicaIncarnation, Record> m_records;
};

/// Work left of one call, in milliseconds at a usual replica.
double workLeftMs(const RunningCall &call, const CostForecast &ofOthers, double slowdown,
                  TimePoint now);

/// Work left at a replica, by whose calls it is.
struct WorkLeft
{
    std::uint32_t ownCalls = 0;
    double ownMs = 0;
    std::uint32_t othersCalls = 0;
    double othersMs = 0;
};

/// Sums up the calls that run at a replica. `ofOthers` is the forecast of a call of another VM.
WorkLeft workLeftAt(std::span<const RunningCall> running, const CostForecast &ofOthers,
                    double slowdown, TimePoint now);

/// What one VM has learned of the calls to plain services: what they cost and how fast the replicas
/// are.
class RemainingWork
{
public:
    RemainingWork(CostEstimateOptions costOptions, ReplicaSpeedOptions speedOptions)
        : m_costs(costOptions)
        , m_speeds(speedOptions)
    {
    }

    /// Forecast of the work of a call, in milliseconds at a usual replica.
    CostForecast forecast(const CostFeatures &features, TimePoint now) const
    {
        return m_costs.forecast(features, unknownCall(), now);
    }
    /// Forecast of some call of the service.
    CostForecast serviceForecast(std::string_view service, TimePoint now) const
    {
        return m_costs.serviceForecast(service, unknownCall(), now);
    }
    /// A call ended `durationMs` after it was sent to a replica that had a free slot.
    void onCompleted(const CostFeatures &features, const ReplicaIncarnation &incarnation,
                     double durationMs, TimePoint now);
    /// See `ReplicaSpeeds::slowdownWhile`.
    Slowdown slowdownWhile(const ReplicaIncarnation &incarnation,
                           std::span<const RunningCall> running, TimePoint now) const
    {
        return m_speeds.slowdownWhile(incarnation, running, now);
    }
    void tick(TimePoint now) { m_speeds.tick(now); }
    std::size_t estimateCount() const { return m_costs.size(); }

private:
    /// A plain service publishes no figures: any call may take from milliseconds to seconds.
    static CostForecast unknownCall();

    CostEstimates m_costs;
    ReplicaSpeeds m_speeds;
};

} // namespace arbutuspier
