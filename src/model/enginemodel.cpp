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

double EngineModel::secondsToPrefill(std::uint64_t tokens, std::uint64_t contextTokens,
                                     std::uint64_t parallelGroupSize) const
{
    const auto tokenCount = static_cast<double>(tokens);
    const auto contextCount = static_cast<double>(contextTokens);
    const double totalSeconds = tokenCount * m_options.secondsPerToken
        + tokenCount * (contextCount + tokenCount / 2) * m_options.secondsPerTokenPair;
    return totalSeconds / static_cast<double>(parallelGroupSize);
}

std::uint64_t EngineModel::tokensPrefilledWithin(double seconds, std::uint64_t contextTokens,
                                                 std::uint64_t parallelGroupSize) const
{
    const double secondsForOneToken =
        (m_options.secondsPerToken
         + static_cast<double>(contextTokens) * m_options.secondsPerTokenPair)
        / static_cast<double>(parallelGroupSize);
    return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(seconds / secondsForOneToken));
}

bool EngineModel::open(EngineRequest request, TimePoint now)
{
    const AttemptId attempt = request.attempt;
    const bool isKnown =
        m_streams.contains(attempt) || m_releasedIds.contains(ReservationId{attempt.value});
    if (isKnown)
        return false;
    const std::uint64_t neededTokens = request.promptTokens + request.maxTokens;
    const bool isReserved = request.reservation.isValid();
    if (isReserved ? !m_reservations.contains(request.reservation)
                   : neededTokens > m_options.memoryTokens)
        return false;
    if (!m_isStepping)
        m_now = std::max(m_now, now);
    Stream stream;
    stream.order = m_nextOrder++;
    stream.generatedTokens = request.resumeOffset;
    stream.cachedTokens = std::min(cachedPrefix(request.prefixBlocks), request.promptTokens);
    stream.contextTokens = stream.cachedTokens;
    stream.tokensToPrefill = request.promptTokens - stream.cachedTokens + request.resumeOffset;
    stream.tokensToPrefill = std::max<std::uint64_t>(stream.tokensToPrefill, 1);
    stream.memoryTokens = isReserved ? 0 : neededTokens;
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
        if (m_usedTokens + stream.memoryTokens > m_options.memoryTokens)
            return;
        m_usedTokens += stream.memoryTokens;
        stream.isAdmitted = true;
    }
}

void EngineModel::startStep()
{
    admitWaiting();
    m_stepPrefillTokens.clear();
    m_stepDecoding = m_decoding;
    double budget =
        m_decoding.empty() ? m_options.prefillOnlyBudgetSeconds : m_options.prefillBudgetSeconds;
    double prefillSeconds = 0;
    for (const auto &[key, attempt] : m_prefilling) {
        const Stream &stream = m_streams.at(attempt);
        if (!stream.isAdmitted)
            continue;
        const std::uint64_t parallelGroupSize = stream.request.parallelGroupSize;
        const std::uint64_t fittingTokens =
            tokensPrefilledWithin(budget, stream.contextTokens, parallelGroupSize);
        const std::uint64_t chunk = std::min(stream.tokensToPrefill, fittingTokens);
        const double cost = secondsToPrefill(chunk, stream.contextTokens, parallelGroupSize);
        m_stepPrefillTokens[attempt] = chunk;
        prefillSeconds += cost;
        budget -= cost;
        if (budget <= m_options.secondsPerToken)
            break;
    }
    m_isStepping = !m_stepPrefillTokens.empty() || !m_stepDecoding.empty();
    if (!m_isStepping)
        return;
    const double seconds = m_options.stepBaseSeconds + prefillSeconds
        + m_options.stepSecondsPerStream * static_cast<double>(m_stepDecoding.size());
    m_busySeconds += seconds;
    m_stepEnd = m_now + fromSeconds(seconds);
}

void EngineModel::finishStep(std::vector<EngineOutput> &out)
{
    m_now = m_stepEnd;
    std::vector<AttemptId> ended;
    const auto emitToken = [&](Stream &stream) {
        // A stream resumed after its last token has nothing to send but its end.
        if (stream.generatedTokens < stream.request.maxTokens) {
            ++stream.generatedTokens;
            out.push_back({stream.request.attempt, EngineOutput::Kind::Token,
                           stream.generatedTokens, stream.cachedTokens, m_now});
        }
        if (stream.generatedTokens < stream.request.maxTokens)
            return;
        out.push_back({stream.request.attempt, EngineOutput::Kind::Done, stream.generatedTokens,
                       stream.cachedTokens, m_now});
        ended.push_back(stream.request.attempt);
    };
    for (AttemptId attempt : m_stepDecoding) {
        auto it = m_streams.find(attempt);
        if (it != m_streams.end())
            emitToken(it->second);
    }
    for (const auto &[attempt, chunk] : m_stepPrefillTokens) {
        auto it = m_streams.find(attempt);
        if (it == m_streams.end())
            continue;
        Stream &stream = it->second;
        stream.tokensToPrefill -= std::min(stream.tokensToPrefill, chunk);
        stream.contextTokens += chunk;
        if (stream.tokensToPrefill > 0)
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
        m_usedTokens -= stream.memoryTokens;
    m_prefilling.erase({{stream.request.priority, stream.order}, attempt});
    m_decoding.erase(attempt);
    m_streams.erase(it);
}

bool EngineModel::reserve(ReservationId reservation, std::uint64_t tokens, TimePoint deadline,
                          TimePoint)
{
    if (m_releasedIds.contains(reservation))
        return false;
    if (m_reservations.contains(reservation))
        return true;
    if (m_usedTokens + tokens > m_options.memoryTokens)
        return false;
    m_usedTokens += tokens;
    m_reservations[reservation] = {tokens, deadline};
    return true;
}

void EngineModel::release(ReservationId reservation)
{
    m_releasedIds.insert(reservation);
    endStream(AttemptId{reservation.value});
    auto it = m_reservations.find(reservation);
    if (it == m_reservations.end())
        return;
    m_usedTokens -= it->second.first;
    m_reservations.erase(it);
}

std::vector<ReservationId> EngineModel::expiredReservations(TimePoint now) const
{
    std::vector<ReservationId> expired;
    for (const auto &[reservation, entry] : m_reservations) {
        if (now >= entry.second)
            expired.push_back(reservation);
    }
    for (const auto &[attempt, stream] : m_streams) {
        if (stream.request.deadline && now >= *stream.request.deadline)
            expired.push_back(ReservationId{attempt.value});
    }
    return expired;
}

OrderOutcome EngineModel::executeOrder(std::uint64_t fence, const std::string &state)
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
        const int lowestPriority = static_cast<int>(kPriorityCount) - 1;
        const int priority = std::clamp(key.first, 0, lowestPriority);
        report.queuedTokens[static_cast<std::size_t>(priority)] += stream.tokensToPrefill;
    }
    report.running = static_cast<std::uint32_t>(m_streams.size());
    std::uint64_t committedTokens = m_usedTokens;
    for (const auto &[key, attempt] : m_prefilling) {
        const Stream &stream = m_streams.at(attempt);
        committedTokens += stream.isAdmitted ? 0 : stream.memoryTokens;
    }
    report.freeTokens =
        committedTokens >= m_options.memoryTokens ? 0 : m_options.memoryTokens - committedTokens;
    report.isDraining = m_isDraining;
    report.state = m_state;
    return report;
}

std::uint64_t EngineModel::cachedPrefix(const std::vector<std::uint64_t> &blocks)
{
    std::uint64_t foundBlocks = 0;
    for (std::uint64_t block : blocks) {
        auto it = m_cache.find(block);
        if (it == m_cache.end())
            break;
        m_cacheOrder.splice(m_cacheOrder.begin(), m_cacheOrder, it->second);
        ++foundBlocks;
    }
    return foundBlocks * kPrefixBlockTokens;
}

void EngineModel::cacheBlocks(const std::vector<std::uint64_t> &blocks)
{
    const auto capacity = static_cast<std::size_t>(static_cast<double>(m_options.memoryTokens)
                                                   / static_cast<double>(kPrefixBlockTokens)
                                                   * m_options.maxCacheFraction);
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

CacheEvents EngineModel::collectCacheEvents(UpstreamId self)
{
    CacheEvents events = std::move(m_cacheEvents);
    events.upstream = self;
    m_cacheEvents = {};
    m_cacheEvents.sequence = events.sequence + 1;
    events.sequence += 1;
    return events;
}

} // namespace arbutuspier::model
