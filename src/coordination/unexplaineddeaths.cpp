// Remembers lives that ended and when a VM was last lost; compares the two.
#include "arbutuspier/unexplaineddeaths.h"

#include <algorithm>

namespace arbutuspier {

void UnexplainedDeaths::onDeath(UpstreamId upstream, Incarnation incarnation, TimePoint now)
{
    // A dead upstream is reported again and again, also past the window.
    const auto [last, isFirst] = m_lastLife.try_emplace(upstream, incarnation);
    const bool isKnown = !isFirst && last->second == incarnation;
    if (isKnown)
        return;
    last->second = incarnation;
    m_deaths.push_back({upstream, incarnation, now});
}

void UnexplainedDeaths::retract(UpstreamId upstream, Incarnation incarnation)
{
    m_lastLife.erase(upstream);
    std::erase_if(m_deaths, [&](const UpstreamDeath &death) {
        return death.upstream == upstream && death.incarnation == incarnation;
    });
}

const std::vector<UpstreamDeath> &UnexplainedDeaths::recent(TimePoint now)
{
    std::erase_if(m_deaths,
                  [&](const UpstreamDeath &death) { return now >= death.at + m_options.window; });
    return m_deaths;
}

UnexplainedDeaths::Account UnexplainedDeaths::account(const UpstreamDeath &death, bool isVmSilent,
                                                      TimePoint now) const
{
    const bool wasVmLost = m_lastVmLost && *m_lastVmLost >= death.at - m_options.detection;
    if (isVmSilent || wasVmLost)
        return Account::Missing;
    return now < death.at + m_options.detection ? Account::Pending : Account::Complete;
}

} // namespace arbutuspier
