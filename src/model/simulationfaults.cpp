// Injects crashes and draining of upstreams, and network partitions.
#include "model/simulation.h"

namespace arbutuspier::model {

void Simulation::crashUpstream(UpstreamId id, Fingerprint killer)
{
    Upstream &upstream = m_upstreams.at(id);
    if (upstream.isDown)
        return;
    record(UpstreamDied{id, killer});
    if (upstream.engine) {
        for (const EngineOutput &output : upstream.engine->advance(m_now))
            onOutput(output, id);
    }
    upstream.isDown = true;
    ++upstream.incarnations;
    upstream.wakeAt.reset();
    std::vector<Transit> lost;
    for (const auto &[attempt, transit] : m_transits) {
        if (transit.upstream == id)
            lost.push_back(transit);
    }
    for (const Transit &transit : lost) {
        const std::string &vmZone = m_vms.at(transit.vm).info.zone;
        if (!isCut(vmZone, upstream.info.zone))
            fail(transit, FailureKind::ConnectionLost);
    }
    schedule(m_options.upstreamRestart, [this, id] {
        Upstream &fresh = m_upstreams.at(id);
        fresh.isDown = false;
        fresh.isLeaving = false;
        if (!fresh.engine)
            return;
        EngineOptions engine = m_options.engine;
        engine.memoryTokens = fresh.info.memoryTokens;
        engine.checksFence = fresh.info.checksFence;
        fresh.engine = std::make_unique<EngineModel>(engine, Incarnation{m_nextIncarnation++});
    });
}

void Simulation::drainUpstream(UpstreamId id)
{
    Upstream &upstream = m_upstreams.at(id);
    if (upstream.isDown)
        return;
    upstream.isLeaving = true;
    const Incarnation incarnation =
        upstream.engine ? upstream.engine->incarnation() : Incarnation{upstream.incarnations};
    if (upstream.engine)
        upstream.engine->setLeaving();
    record(UpstreamLeft{id, incarnation});
    changeList();
}

void Simulation::setZonePartition(const std::string &a, const std::string &b, bool isCutNow)
{
    if (!isCutNow) {
        m_cuts.erase({a, b});
        m_cuts.erase({b, a});
        updateReach();
        return;
    }
    m_cuts.insert({a, b});
    updateReach();
    std::vector<Transit> broken;
    for (const auto &[attempt, transit] : m_transits) {
        const std::string &vmZone = m_vms.at(transit.vm).info.zone;
        const std::string &zone = m_upstreams.at(transit.upstream).info.zone;
        if (isCut(vmZone, zone))
            broken.push_back(transit);
    }
    for (const Transit &transit : broken)
        schedule(kConnectTimeout, [this, transit] { fail(transit, FailureKind::Broken); });
}

void Simulation::setPlatformPartition(const std::string &zone, bool isCutNow)
{
    if (isCutNow)
        m_platformCuts.insert(zone);
    else
        m_platformCuts.erase(zone);
    updateReach();
}

} // namespace arbutuspier::model
