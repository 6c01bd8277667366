// Each limited row has a counter of running requests and a token bucket, sized by this VM's shares.
#include "arbutuspier/teamlimiter.h"

#include <algorithm>
#include <cmath>

namespace arbutuspier {

namespace {

constexpr double kBurstSeconds = 1.0;
constexpr double kRateWindowSeconds = 2.0;
constexpr double kDemandHeadroom = 1.25;

std::string concurrencyKey(const std::string &key)
{
    return "c:" + key;
}

std::string rateKey(const std::string &key)
{
    return "r:" + key;
}

} // namespace

std::string TeamLimiter::key(const LimitRow &row)
{
    return row.className + '/' + row.team;
}

TeamLimiter::RowState *TeamLimiter::find(const LimitRow &row)
{
    auto it = m_states.find(key(row));
    return it == m_states.end() ? nullptr : &it->second;
}

void TeamLimiter::setRow(const LimitRow &row)
{
    const std::string name = key(row);
    m_shares.setLimit(concurrencyKey(name), row.concurrency);
    m_shares.setLimit(rateKey(name), row.tokenRate);
    auto it = m_states.find(name);
    const bool isLimited = row.concurrency != 0 || row.tokenRate != 0;
    if (it == m_states.end() && !isLimited)
        return;
    m_states[name].row = row;
}

void TeamLimiter::refill(RowState &state, TimePoint now)
{
    const double elapsed = std::max(0.0, toSeconds(now - state.refilledAt));
    const auto rate = static_cast<double>(m_shares.share(rateKey(key(state.row))).value_or(0));
    state.availableTokens = std::min(rate * kBurstSeconds, state.availableTokens + rate * elapsed);
    state.recentTokensPerSecond *= std::exp(-elapsed / kRateWindowSeconds);
    state.refilledAt = now;
}

bool TeamLimiter::mayStart(const LimitRow &row, TimePoint now)
{
    if (row.concurrency == 0 && row.tokenRate == 0)
        return true;
    RowState *state = find(row);
    if (!state) {
        setRow(row);
        state = find(row);
        state->refilledAt = now;
    }
    refill(*state, now);
    const std::string name = key(row);
    const auto slots = m_shares.share(concurrencyKey(name));
    if (slots && state->running >= *slots)
        return false;
    const bool isOverRate =
        m_shares.share(rateKey(name)).has_value() && state->availableTokens <= 0;
    return !isOverRate;
}

void TeamLimiter::onStarted(const LimitRow &row, std::uint64_t cost, TimePoint now)
{
    RowState *state = find(row);
    if (!state)
        return;
    refill(*state, now);
    ++state->running;
    if (row.tokenRate == 0)
        return;
    state->availableTokens -= static_cast<double>(cost);
    state->recentTokensPerSecond += static_cast<double>(cost) / kRateWindowSeconds;
}

void TeamLimiter::onEnded(const LimitRow &row)
{
    RowState *state = find(row);
    if (state && state->running > 0)
        --state->running;
}

void TeamLimiter::setWaitingCount(const LimitRow &row, std::size_t waitingCount)
{
    if (RowState *state = find(row))
        state->waitingCount = waitingCount;
}

void TeamLimiter::tick(TimePoint now)
{
    for (auto &[name, state] : m_states) {
        refill(state, now);
        m_shares.reportDemand(concurrencyKey(name), state.running,
                              state.running + state.waitingCount);
        const auto used = static_cast<std::uint64_t>(state.recentTokensPerSecond);
        const bool isRateLimited = state.waitingCount > 0 && state.availableTokens <= 0;
        const auto wanted = static_cast<std::uint64_t>(
            isRateLimited ? static_cast<double>(state.row.tokenRate)
                          : state.recentTokensPerSecond * kDemandHeadroom);
        m_shares.reportDemand(rateKey(name), used, wanted);
    }
}

std::vector<LimitRow> TeamLimiter::rows() const
{
    std::vector<LimitRow> limitedRows;
    for (const auto &[name, state] : m_states)
        limitedRows.push_back(state.row);
    return limitedRows;
}

std::optional<std::pair<std::string, std::string>> TeamLimiter::parseShareKey(
    std::string_view shareKey)
{
    constexpr std::size_t kPrefixSize = 2;
    const auto slash = shareKey.find('/');
    if (shareKey.size() <= kPrefixSize || slash == std::string_view::npos || slash < kPrefixSize)
        return std::nullopt;
    const std::string_view className = shareKey.substr(kPrefixSize, slash - kPrefixSize);
    return std::pair(std::string(className), std::string(shareKey.substr(slash + 1)));
}

std::uint32_t TeamLimiter::running(const LimitRow &row) const
{
    auto it = m_states.find(key(row));
    return it == m_states.end() ? 0 : it->second.running;
}

} // namespace arbutuspier
