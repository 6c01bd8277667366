// The part of RequestHandler that learns what requests cost, and forecasts it.
#include "gateway/requesthandler.h"

#include "kernel/httpstatus.h"

#include <algorithm>

namespace arbutuspier {

namespace {

/// Completed responses after which their length counts instead of the published mean.
constexpr double kMinEvidence = 8;
/// A learned length counts as at least and at most this multiple of the published mean.
constexpr double kMinLengthFactor = 0.5;
constexpr double kMaxLengthFactor = 2;
/// Spread of the logarithm of a response's length of which only the published mean is known.
constexpr double kLengthLogSpread = 0.7;

CostForecast publishedLength(const EngineFigures &figures)
{
    return CostForecast::fromMean(std::max(1.0, figures.meanOutputTokens), kLengthLogSpread);
}

std::string_view forecastVerdict(double cost, double expected)
{
    constexpr double kNearFactor = 2;
    if (cost > kNearFactor * expected)
        return "low";
    return cost * kNearFactor < expected ? "high" : "near";
}

} // namespace

const EngineFigures *RequestHandler::engine() const
{
    const ServiceSpec *service = m_table->service(m_service);
    return service && service->engine ? &*service->engine : nullptr;
}

CostFeatures RequestHandler::costFeatures() const
{
    const std::uint64_t size = engine() ? m_head.promptTokens : m_request.body().size();
    return {m_service, m_route->name, m_team, size, m_head.expectedOutputTokens};
}

double RequestHandler::likelyOutputTokens(const EngineFigures &figures) const
{
    const double mean = figures.meanOutputTokens;
    if (!m_state.settings.learnedCost || mean <= 0)
        return mean;
    const CostForecast learned = m_state.outputLengths.forecast(
        costFeatures(), publishedLength(figures), m_state.clock.now());
    if (learned.evidence < kMinEvidence)
        return mean;
    return std::clamp(learned.mean(), kMinLengthFactor * mean, kMaxLengthFactor * mean);
}

std::optional<CostForecast> RequestHandler::callCost() const
{
    if (!m_state.settings.learnedCost || engine())
        return std::nullopt;
    return m_state.work.forecast(costFeatures(), m_state.clock.now());
}

void RequestHandler::recordCost(const UpstreamAttempt &attempt)
{
    // An error response doesn't show that the replica executed the request, and a response that a
    // peer relays doesn't show how long the replica took.
    const bool showsCost = m_state.settings.learnedCost && isSuccessStatus(attempt.status())
        && m_state.directory.find(attempt.incarnation().id);
    if (!showsCost)
        return;
    const TimePoint now = m_state.clock.now();
    const CostFeatures features = costFeatures();
    const EngineFigures *figures = engine();
    if (figures) {
        if (!m_joiner || !m_joiner->lastId())
            return;
        // Ids count the events of a stream from zero.
        m_cost = static_cast<double>((*m_joiner->lastId() + 1) * figures->stepsPerPass);
        m_expectedCost = likelyOutputTokens(*figures);
        m_state.outputLengths.record(features, m_cost, publishedLength(*figures), now);
    } else {
        m_cost = toMilliseconds(now - attempt.sentAt());
        m_expectedCost = m_state.work.forecast(features, now).mean();
        m_state.work.onCompleted(features, attempt.incarnation(), m_cost, now);
    }
    m_state.metrics.incrementCounter("cost_forecasts", forecastVerdict(m_cost, m_expectedCost));
}

} // namespace arbutuspier
