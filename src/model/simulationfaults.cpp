// Injects crashes and draining of upstreams, and network partitions.
#include "model/simulation.h"

namespace arbutuspier::model {

void Simulation::crashUpstream(UpstreamId id, Fingerprint cause)
{
    Upstream &upstream = m_upstreams.at(id);
    if (upstream.isDown)
        return;
    record(UpstreamCrashed{id, cause});
    if (upstream.engine) {
        for (const EngineOutput &output : upstream.engine->advance(m_now))
            onEngineOutput(output, id);
    }
    upstream.isDown = true;
    ++upstream.incarnations;
    upstream.nextAdvanceAt.reset();
    std::vector<InFlightAttempt> lostAttempts;
    for (const auto &[attempt, inFlight] : m_inFlightAttempts) {
        if (inFlight.upstream == id)
            lostAttempts.push_back(inFlight);
    }
    for (const InFlightAttempt &inFlight : lostAttempts) {
        const std::string &vmZone = m_vms.at(inFlight.vm).info.zone;
        if (!isPartitioned(vmZone, upstream.info.zone))
            failAttempt(inFlight, FailureKind::ConnectionLost);
    }
    schedule(m_options.upstreamRestart, [this, id] {
        Upstream &restarted = m_upstreams.at(id);
        restarted.isDown = false;
        restarted.isDraining = false;
        if (!restarted.engine)
            return;
        EngineOptions engine = m_options.engine;
        engine.memoryTokens = restarted.info.memoryTokens;
        engine.checksFence = restarted.info.checksFence;
        restarted.engine = std::make_unique<EngineModel>(engine, Incarnation{m_nextIncarnation++});
    });
}

void Simulation::drainUpstream(UpstreamId id)
{
    Upstream &upstream = m_upstreams.at(id);
    if (upstream.isDown)
        return;
    upstream.isDraining = true;
    const Incarnation incarnation =
        upstream.engine ? upstream.engine->incarnation() : Incarnation{upstream.incarnations};
    if (upstream.engine)
        upstream.engine->setDraining();
    record(UpstreamDrainBegan{id, incarnation});
    publishVmList();
}

void Simulation::setZonePartition(const std::string &zoneA, const std::string &zoneB, bool isActive)
{
    if (!isActive) {
        m_zonePartitions.erase({zoneA, zoneB});
        m_zonePartitions.erase({zoneB, zoneA});
        updateReachability();
        return;
    }
    m_zonePartitions.insert({zoneA, zoneB});
    updateReachability();
    std::vector<InFlightAttempt> brokenAttempts;
    for (const auto &[attempt, inFlight] : m_inFlightAttempts) {
        const std::string &vmZone = m_vms.at(inFlight.vm).info.zone;
        const std::string &zone = m_upstreams.at(inFlight.upstream).info.zone;
        if (isPartitioned(vmZone, zone))
            brokenAttempts.push_back(inFlight);
    }
    for (const InFlightAttempt &inFlight : brokenAttempts)
        schedule(kConnectTimeout, [this, inFlight] { failAttempt(inFlight, FailureKind::Broken); });
}

void Simulation::setPlatformPartition(const std::string &zone, bool isActive)
{
    if (isActive)
        m_platformPartitions.insert(zone);
    else
        m_platformPartitions.erase(zone);
    updateReachability();
}

} // namespace arbutuspier::model
