// Each engine step prefills waiting prompts in order of priority, up to a time budget, and
// generates one token for each decoding stream.
#include "model/enginemodel.h"

#include "arbutuspier/request.h"

#include <algorithm>
#include <cmath>

namespace arbutuspier::model {

EngineModel::EngineModel(EngineOptions options, Incarnation incarnation)
    : m_options(options)
    , m_incarnation(incarnation)
{
}

double EngineModel::prefillCost(std::uint64_t tokens, std::uint64_t context,
                                std::uint64_t parallelGroup) const
{
    const auto n = static_cast<double>(tokens);
    const auto c = static_cast<double>(context);
    const double whole = n * m_options.secondsPerToken + n * (c + n / 2) * m_options.perTokenPair;
    return whole / static_cast<double>(parallelGroup);
}

std::uint64_t EngineModel::tokensWithin(double seconds, std::uint64_t context,
                                        std::uint64_t parallelGroup) const
{
    const double each =
        (m_options.secondsPerToken + static_cast<double>(context) * m_options.perTokenPair)
        / static_cast<double>(parallelGroup);
    return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(seconds / each));
}

bool EngineModel::open(EngineRequest request, TimePoint now)
{
    const AttemptId attempt = request.attempt;
    const bool isKnown =
        m_streams.contains(attempt) || m_released.contains(ReservationId{attempt.value});
    if (isKnown)
        return false;
    const std::uint64_t need = request.promptTokens + request.maxTokens;
    const bool isReserved = request.reservation.isValid();
    if (isReserved ? !m_reservations.contains(request.reservation) : need > m_options.memoryTokens)
        return false;
    if (!m_isStepping)
        m_now = std::max(m_now, now);
    Stream stream;
    stream.order = m_nextOrder++;
    stream.generated = request.resumeOffset;
    stream.cached = std::min(cachedPrefix(request.prefixBlocks), request.promptTokens);
    stream.context = stream.cached;
    stream.toPrefill = request.promptTokens - stream.cached + request.resumeOffset;
    stream.toPrefill = std::max<std::uint64_t>(stream.toPrefill, 1);
    stream.held = isReserved ? 0 : need;
    m_prefilling.insert({{request.priority, stream.order}, attempt});
    stream.request = std::move(request);
    m_streams.emplace(attempt, std::move(stream));
    if (!m_isStepping)
        startStep();
    return true;
}

void EngineModel::admitWaiting()
{
    for (const auto &[key, attempt] : m_prefilling) {
        Stream &stream = m_streams.at(attempt);
        if (stream.isAdmitted)
            continue;
        if (m_used + stream.held > m_options.memoryTokens)
            return;
        m_used += stream.held;
        stream.isAdmitted = true;
    }
}

void EngineModel::startStep()
{
    admitWaiting();
    m_stepPrefill.clear();
    m_stepDecode = m_decoding;
    double budget = m_decoding.empty() ? m_options.prefillBudgetAlone : m_options.prefillBudget;
    double prefillSeconds = 0;
    for (const auto &[key, attempt] : m_prefilling) {
        const Stream &stream = m_streams.at(attempt);
        if (!stream.isAdmitted)
            continue;
        const std::uint64_t parallelGroup = stream.request.parallelGroupSize;
        const std::uint64_t fits = tokensWithin(budget, stream.context, parallelGroup);
        const std::uint64_t chunk = std::min(stream.toPrefill, fits);
        const double cost = prefillCost(chunk, stream.context, parallelGroup);
        m_stepPrefill[attempt] = chunk;
        prefillSeconds += cost;
        budget -= cost;
        if (budget <= m_options.secondsPerToken)
            break;
    }
    m_isStepping = !m_stepPrefill.empty() || !m_stepDecode.empty();
    if (!m_isStepping)
        return;
    const double seconds = m_options.stepBaseSeconds + prefillSeconds
        + m_options.stepPerStream * static_cast<double>(m_stepDecode.size());
    m_busySeconds += seconds;
    m_stepEnd = m_now + fromSeconds(seconds);
}

void EngineModel::finishStep(std::vector<EngineOutput> &out)
{
    m_now = m_stepEnd;
    std::vector<AttemptId> ended;
    const auto emitToken = [&](Stream &stream) {
        // A stream resumed after its last token has nothing to send but its end.
        if (stream.generated < stream.request.maxTokens) {
            ++stream.generated;
            out.push_back({stream.request.attempt, EngineOutput::Kind::Token, stream.generated,
                           stream.cached, m_now});
        }
        if (stream.generated < stream.request.maxTokens)
            return;
        out.push_back({stream.request.attempt, EngineOutput::Kind::Done, stream.generated,
                       stream.cached, m_now});
        ended.push_back(stream.request.attempt);
    };
    for (AttemptId attempt : m_stepDecode) {
        auto it = m_streams.find(attempt);
        if (it != m_streams.end())
            emitToken(it->second);
    }
    for (const auto &[attempt, chunk] : m_stepPrefill) {
        auto it = m_streams.find(attempt);
        if (it == m_streams.end())
            continue;
        Stream &stream = it->second;
        stream.toPrefill -= std::min(stream.toPrefill, chunk);
        stream.context += chunk;
        if (stream.toPrefill > 0)
            continue;
        m_prefilling.erase({{stream.request.priority, stream.order}, attempt});
        m_decoding.insert(attempt);
        cacheBlocks(stream.request.prefixBlocks);
        emitToken(stream);
    }
    for (AttemptId attempt : ended)
        endStream(attempt);
}

std::vector<EngineOutput> EngineModel::advance(TimePoint now)
{
    std::vector<EngineOutput> out;
    while (m_isStepping && m_stepEnd <= now) {
        finishStep(out);
        startStep();
    }
    if (!m_isStepping)
        m_now = std::max(m_now, now);
    return out;
}

std::optional<TimePoint> EngineModel::nextStepAt() const
{
    if (!m_isStepping)
        return std::nullopt;
    return m_stepEnd;
}

void EngineModel::endStream(AttemptId attempt)
{
    auto it = m_streams.find(attempt);
    if (it == m_streams.end())
        return;
    const Stream &stream = it->second;
    if (stream.isAdmitted)
        m_used -= stream.held;
    m_prefilling.erase({{stream.request.priority, stream.order}, attempt});
    m_decoding.erase(attempt);
    m_streams.erase(it);
}

bool EngineModel::reserve(ReservationId holding, std::uint64_t tokens, TimePoint deadline,
                          TimePoint)
{
    if (m_released.contains(holding))
        return false;
    if (m_reservations.contains(holding))
        return true;
    if (m_used + tokens > m_options.memoryTokens)
        return false;
    m_used += tokens;
    m_reservations[holding] = {tokens, deadline};
    return true;
}

void EngineModel::release(ReservationId holding)
{
    m_released.insert(holding);
    endStream(AttemptId{holding.value});
    auto it = m_reservations.find(holding);
    if (it == m_reservations.end())
        return;
    m_used -= it->second.first;
    m_reservations.erase(it);
}

std::vector<ReservationId> EngineModel::expiredReservations(TimePoint now) const
{
    std::vector<ReservationId> expired;
    for (const auto &[holding, entry] : m_reservations) {
        if (now >= entry.second)
            expired.push_back(holding);
    }
    for (const auto &[attempt, stream] : m_streams) {
        if (stream.request.deadline && now >= *stream.request.deadline)
            expired.push_back(ReservationId{attempt.value});
    }
    return expired;
}

OrderOutcome EngineModel::order(std::uint64_t fence, const std::string &state)
{
    if (m_options.checksFence && fence < m_highestFence)
        return OrderOutcome::StaleFence;
    m_highestFence = std::max(m_highestFence, fence);
    m_state = state;
    return OrderOutcome::Done;
}

LoadReport EngineModel::report(UpstreamId self) const
{
    LoadReport report;
    report.upstream = self;
    report.incarnation = m_incarnation;
    for (const auto &[key, attempt] : m_prefilling) {
        const Stream &stream = m_streams.at(attempt);
        const int last = static_cast<int>(kPriorityCount) - 1;
        const int priority = std::clamp(key.first, 0, last);
        report.queuedTokens[static_cast<std::size_t>(priority)] += stream.toPrefill;
    }
    report.running = static_cast<std::uint32_t>(m_streams.size());
    std::uint64_t planned = m_used;
    for (const auto &[key, attempt] : m_prefilling) {
        const Stream &stream = m_streams.at(attempt);
        planned += stream.isAdmitted ? 0 : stream.held;
    }
    report.freeTokens = planned >= m_options.memoryTokens ? 0 : m_options.memoryTokens - planned;
    report.isLeaving = m_isLeaving;
    report.state = m_state;
    return report;
}

std::uint64_t EngineModel::cachedPrefix(const std::vector<std::uint64_t> &blocks)
{
    std::uint64_t found = 0;
    for (std::uint64_t block : blocks) {
        auto it = m_cache.find(block);
        if (it == m_cache.end())
            break;
        m_cacheOrder.splice(m_cacheOrder.begin(), m_cacheOrder, it->second);
        ++found;
    }
    return found * kPrefixBlockTokens;
}

void EngineModel::cacheBlocks(const std::vector<std::uint64_t> &blocks)
{
    const auto capacity =
        static_cast<std::size_t>(static_cast<double>(m_options.memoryTokens)
                                 / static_cast<double>(kPrefixBlockTokens) * m_options.cachePart);
    for (std::uint64_t block : blocks) {
        if (m_cache.contains(block))
            continue;
        m_cacheOrder.push_front(block);
        m_cache[block] = m_cacheOrder.begin();
        m_cacheEvents.added.push_back(block);
        if (m_cache.size() <= capacity)
            continue;
        m_cacheEvents.removed.push_back(m_cacheOrder.back());
        m_cache.erase(m_cacheOrder.back());
        m_cacheOrder.pop_back();
    }
}

CacheEvents EngineModel::takeCacheEvents(UpstreamId self)
{
    CacheEvents events = std::move(m_cacheEvents);
    events.upstream = self;
    m_cacheEvents = {};
    m_cacheEvents.sequence = events.sequence + 1;
    events.sequence += 1;
    return events;
}

} // namespace arbutuspier::model
