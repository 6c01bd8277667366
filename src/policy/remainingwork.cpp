// The slowdown is a Kalman filter of its logarithm: a call moves it by how uncertain it was, and by
// how exact the forecast of the call was.
#include "arbutuspier/remainingwork.h"

#include <algorithm>
#include <cmath>

namespace arbutuspier {

namespace {

constexpr double kMinSlowdown = 1e-3;

} // namespace

ReplicaSpeeds::Record ReplicaSpeeds::current(const ReplicaIncarnation &incarnation,
                                             TimePoint now) const
{
    const double unknown = m_options.logSpread * m_options.logSpread;
    const auto found = m_records.find(incarnation);
    if (found == m_records.end())
        return {0, unknown, now};
    Record record = found->second;
    const Duration age = std::max(Duration::zero(), now - record.updatedAt);
    const double kept = std::exp2(-toSeconds(age) / toSeconds(m_options.halfLife));
    record.mean *= kept;
    record.variance = unknown + (record.variance - unknown) * kept;
    record.updatedAt = now;
    return record;
}

void ReplicaSpeeds::update(Record &record, double durationMs, const CostForecast &forecast) const
{
    const double noise = forecast.logSpread * forecast.logSpread;
    const double bound = m_options.maxDeviations * std::sqrt(record.variance + noise);
    const double difference =
        std::clamp(std::log(durationMs) - forecast.logMean - record.mean, -bound, bound);
    const double gain = record.variance / (record.variance + noise);
    const double mean = record.mean + gain * difference;
    record.mean =
        std::clamp(mean, std::log(m_options.minSlowdown), std::log(m_options.maxSlowdown));
    record.variance *= 1 - gain;
}

void ReplicaSpeeds::onCompleted(const ReplicaIncarnation &incarnation, double durationMs,
                                const CostForecast &forecast, TimePoint now)
{
    if (!(durationMs > 0) || forecast.logSpread <= 0)
        return;
    Record record = current(incarnation, now);
    update(record, durationMs, forecast);
    m_records[incarnation] = record;
}

Slowdown ReplicaSpeeds::toSlowdown(const Record &record) const
{
    const double spread = std::sqrt(record.variance);
    const double certain =
        std::max(0.0, std::abs(record.mean) - m_options.chanceDeviations * spread);
    return {std::exp(std::copysign(certain, record.mean)), spread};
}

double ReplicaSpeeds::meanFactor(const ReplicaIncarnation &incarnation, TimePoint now) const
{
    return std::exp(current(incarnation, now).mean);
}

Slowdown ReplicaSpeeds::slowdown(const ReplicaIncarnation &incarnation, TimePoint now) const
{
    return toSlowdown(current(incarnation, now));
}

Slowdown ReplicaSpeeds::slowdownWhile(const ReplicaIncarnation &incarnation,
                                      std::span<const RunningCall> running, TimePoint now) const
{
    Record record = current(incarnation, now);
    for (const RunningCall &call : running) {
        const double ageMs = toMilliseconds(now - call.begunAt);
        const bool isLate = call.cost && call.cost->logSpread > 0 && ageMs > 0
            && std::log(ageMs) > call.cost->logMean + record.mean;
        if (isLate)
            update(record, ageMs, *call.cost);
    }
    return toSlowdown(record);
}

void ReplicaSpeeds::tick(TimePoint now)
{
    // After so many half-lives a factor of 20 has become one of 1.003.
    constexpr int kForgottenHalfLives = 10;
    std::erase_if(m_records, [&](const auto &entry) {
        return now - entry.second.updatedAt > kForgottenHalfLives * m_options.halfLife;
    });
}

double workLeftMs(const RunningCall &call, const CostForecast &ofOthers, double slowdown,
                  TimePoint now)
{
    const double spentMs =
        std::max(0.0, toMilliseconds(now - call.begunAt)) / std::max(slowdown, kMinSlowdown);
    if (call.cost)
        return call.cost->meanResidual(spentMs);
    // The end of another VM's call is known late, if at all: an old call has probably ended.
    return ofOthers.exceedProbability(spentMs) * ofOthers.meanResidual(spentMs);
}

CostForecast RemainingWork::unknownCall()
{
    constexpr double kMeanMs = 100;
    constexpr double kLogSpread = 1;
    return CostForecast::fromMean(kMeanMs, kLogSpread);
}

void RemainingWork::onCompleted(const CostFeatures &features, const ReplicaIncarnation &incarnation,
                                double durationMs, TimePoint now)
{
    const CostForecast expected = forecast(features, now);
    const double slowdown = m_speeds.meanFactor(incarnation, now);
    m_costs.record(features, durationMs / slowdown, unknownCall(), now);
    // Until there is evidence, a long call may be an expensive one as well as a slow replica.
    if (expected.evidence > 0)
        m_speeds.onCompleted(incarnation, durationMs, expected, now);
}

WorkLeft workLeftAt(std::span<const RunningCall> running, const CostForecast &ofOthers,
                    double slowdown, TimePoint now)
{
    WorkLeft result;
    for (const RunningCall &call : running) {
        const double leftMs = workLeftMs(call, ofOthers, slowdown, now);
        ++(call.cost ? result.ownCalls : result.othersCalls);
        (call.cost ? result.ownMs : result.othersMs) += leftMs;
    }
    return result;
}

} // namespace arbutuspier
