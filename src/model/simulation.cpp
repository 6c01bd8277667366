// The event queue, the VMs and their callers. The simulation only delivers events; all decisions
// about requests are made by the nodes.
#include "model/simulation.h"

#include <algorithm>
#include <cassert>

namespace arbutuspier::model {

namespace {

/// Time after its deadline at which a reservation is reported to the VMs as expired.
constexpr Duration kExpiredReservationsPoll = std::chrono::seconds{2};

} // namespace

Simulation::Simulation(SimulationOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_table(m_options.table)
{
    for (const UpstreamInfo &info : m_options.upstreams) {
        Upstream &upstream = m_upstreams[info.id];
        upstream.info = info;
        if (info.kind != RequestKind::Prompt)
            continue;
        EngineOptions engine = m_options.engine;
        engine.memoryTokens = info.memoryTokens;
        engine.checksFence = info.checksFence;
        upstream.engine = std::make_unique<EngineModel>(engine, Incarnation{m_nextIncarnation++});
    }
    for (const VmInfo &info : m_options.vms)
        m_vms[info.id].info = info;
    for (const VmInfo &info : m_options.vms)
        startVm(info.id);
}

Simulation::~Simulation() = default;

void Simulation::schedule(Duration after, std::function<void()> action)
{
    m_queue.push({m_now + after, m_nextSequence++, std::move(action)});
}

void Simulation::at(Duration time, std::function<void()> action)
{
    m_queue.push({std::max(m_now, m_start + time), m_nextSequence++, std::move(action)});
}

void Simulation::runUntil(Duration time)
{
    const TimePoint end = m_start + time;
    while (!m_queue.empty() && m_queue.top().at <= end) {
        const ScheduledAction next = m_queue.top();
        m_queue.pop();
        m_now = next.at;
        next.action();
    }
    m_now = end;
}

void Simulation::finish()
{
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.engine)
            record(MemoryAtEnd{id, upstream.engine->usedTokens()});
    }
    record(SessionEnded{});
}

void Simulation::record(TraceEvent event)
{
    if (m_options.keepsTrace)
        m_trace.push_back({m_now, std::move(event)});
}

Duration Simulation::delayBetween(const std::string &zoneA, const std::string &zoneB) const
{
    return zoneA == zoneB ? m_options.inZoneDelay : m_options.otherZoneDelay;
}

bool Simulation::isPartitioned(const std::string &zoneA, const std::string &zoneB) const
{
    return m_zonePartitions.contains({zoneA, zoneB}) || m_zonePartitions.contains({zoneB, zoneA});
}

EntryNode *Simulation::node(VmId vm)
{
    return m_vms.at(vm).node.get();
}

EngineModel *Simulation::engine(UpstreamId upstream)
{
    return m_upstreams.at(upstream).engine.get();
}

std::vector<VmId> Simulation::runningVms() const
{
    std::vector<VmId> running;
    for (const auto &[id, vm] : m_vms) {
        if (vm.node && !vm.isExited)
            running.push_back(id);
    }
    return running;
}

std::optional<ResponseSent> Simulation::response(RequestId request) const
{
    auto it = m_callers.find(request);
    return it == m_callers.end() ? std::nullopt : it->second.response;
}

std::size_t Simulation::runCountOfKey(const std::string &key) const
{
    auto it = m_runsByKey.find(key);
    return it == m_runsByKey.end() ? 0 : it->second;
}

std::string Simulation::atMostOnceKey(const RequestSpec &spec) const
{
    const bool isAtMostOnce = spec.kind == RequestKind::ServiceCall && !spec.isRetryable;
    return isAtMostOnce ? spec.team + '/' + spec.idempotencyKey : std::string();
}

// --- VMs ---

void Simulation::startVm(VmId id)
{
    Vm &vm = m_vms.at(id);
    NodeSettings settings = m_options.node;
    settings.self = vm.info;
    settings.incarnation = Incarnation{m_nextIncarnation++};
    settings.seed = m_options.seed * 1'000 + settings.incarnation.value;
    settings.upstreams = m_options.upstreams;
    settings.peers.clear();
    for (const VmInfo &peer : m_options.vms) {
        if (peer.id != id)
            settings.peers.push_back(peer);
    }
    vm.incarnation = settings.incarnation;
    vm.limitsVersion = 0;
    vm.deferredEvents.clear();
    vm.frozenUntil = {};
    vm.isExited = false;
    vm.node = EntryNode::make(std::move(settings));
    assert(vm.node);
    publishVmList();
    updateReachability();
    tickVm(id, vm.incarnation);
    pollLoadReports(id, vm.incarnation);
    pollVmList(id, vm.incarnation);
}

void Simulation::crashVm(VmId id)
{
    Vm &vm = m_vms.at(id);
    if (!vm.node)
        return;
    vm.node.reset();
    record(VmCrashed{id});
    publishVmList();
    updateReachability();
}

void Simulation::freezeVm(VmId id, Duration duration)
{
    Vm &vm = m_vms.at(id);
    if (!vm.node)
        return;
    vm.frozenUntil = m_now + duration;
    record(VmFrozen{id, duration});
    updateReachability();
    schedule(duration, [this, id, incarnation = vm.incarnation] {
        Vm &resumedVm = m_vms.at(id);
        if (!resumedVm.node || resumedVm.incarnation != incarnation
            || m_now < resumedVm.frozenUntil)
            return;
        resumedVm.frozenUntil = {};
        updateReachability();
        for (const Event &event : std::exchange(resumedVm.deferredEvents, {})) {
            if (resumedVm.node)
                handle(resumedVm, event);
        }
    });
}

void Simulation::drainVm(VmId id)
{
    record(DrainBegan{id});
    sendOperatorEvent(id, DrainRequest{});
}

void Simulation::sendOperatorEvent(VmId id, Event event)
{
    deliver(id, m_vms.at(id).incarnation, std::move(event));
}

void Simulation::publishVmList()
{
    VmListUpdate list;
    list.revision = m_listRevision++;
    for (const auto &[id, vm] : m_vms) {
        if (vm.node && !vm.isExited)
            list.vms.push_back({id, vm.incarnation, false});
    }
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.isDraining)
            list.drainingUpstreams.push_back(id);
    }
    m_publishedVmLists.emplace_back(m_now, std::move(list));
}

void Simulation::updateReachability()
{
    const auto reachesPlatform = [&](const Vm &vm) {
        return vm.node && !vm.isExited && m_now >= vm.frozenUntil && !tableFaults.isDown
            && !m_platformPartitions.contains(vm.info.zone);
    };
    for (const auto &[id, vm] : m_vms) {
        const bool isRunning = vm.node && !vm.isExited && m_now >= vm.frozenUntil;
        bool canReachPlatform = reachesPlatform(vm);
        for (const auto &[otherId, other] : m_vms) {
            const bool isBridge = otherId != id && reachesPlatform(other)
                && !isPartitioned(other.info.zone, vm.info.zone);
            canReachPlatform = canReachPlatform || (isRunning && isBridge);
        }
        auto previous = m_reachability.find(id);
        if (previous != m_reachability.end() && previous->second == canReachPlatform)
            continue;
        m_reachability[id] = canReachPlatform;
        record(ReachabilityChanged{id, canReachPlatform});
    }
}

void Simulation::deliver(VmId id, Incarnation incarnation, Event event)
{
    Vm &vm = m_vms.at(id);
    if (!vm.node || vm.incarnation != incarnation || vm.isExited)
        return;
    if (m_now < vm.frozenUntil) {
        vm.deferredEvents.push_back(std::move(event));
        return;
    }
    handle(vm, event);
}

void Simulation::handle(Vm &vm, const Event &event)
{
    const WallTime wall =
        WallTime{} + std::chrono::duration_cast<WallTime::duration>(m_now.time_since_epoch());
    const Incarnation incarnation = vm.incarnation;
    if (onEvent)
        onEvent(vm.info.id, event);
    const bool isStillRunning = vm.node && vm.incarnation == incarnation && m_now >= vm.frozenUntil;
    if (!isStillRunning)
        return;
    Commands commands = vm.node->handle(readStreamEnd(event), m_now, wall);
    recordActiveVersion(vm);
    for (Command &command : commands) {
        if (onCommand)
            onCommand(vm.info.id, command);
        // A process that crashed during the callback sends none of its remaining commands.
        if (!vm.node || vm.incarnation != incarnation)
            return;
        execute(vm, command);
    }
}

Event Simulation::readStreamEnd(const Event &event)
{
    // Chunks reach the caller when the process reads them from the stream, not when the upstream
    // sends them: a frozen or crashed VM delivers nothing.
    if (const auto *done = std::get_if<StreamDone>(&event)) {
        auto inFlight = m_inFlightAttempts.find(done->attempt);
        if (inFlight != m_inFlightAttempts.end()) {
            deliverChunks(inFlight->second, done->tokens);
            m_inFlightAttempts.erase(inFlight);
        }
        return event;
    }
    if (const auto *failed = std::get_if<StreamFailed>(&event)) {
        auto inFlight = m_inFlightAttempts.find(failed->attempt);
        if (inFlight == m_inFlightAttempts.end())
            return event;
        const bool hasChunks =
            failed->kind == FailureKind::ConnectionLost || failed->kind == FailureKind::Broken;
        if (hasChunks)
            deliverChunks(inFlight->second, failed->deliveredTokens);
        StreamFailed adjusted = *failed;
        adjusted.deliveredTokens = m_callers.at(inFlight->second.request).assembler.delivered();
        m_inFlightAttempts.erase(inFlight);
        return adjusted;
    }
    if (const auto *request = std::get_if<CallerRequest>(&event)) {
        const Caller &caller = m_callers.at(request->request);
        const RequestSpec &spec = caller.spec;
        record(RequestArrived{caller.vm, request->request, spec.fingerprint, spec.timeLimit,
                              atMostOnceKey(spec)});
    }
    return event;
}

void Simulation::recordActiveVersion(Vm &vm)
{
    const std::uint64_t version = vm.node->limits().version;
    if (version == vm.limitsVersion)
        return;
    vm.limitsVersion = version;
    record(VersionActivated{vm.info.id, vm.incarnation, version});
}

void Simulation::tickVm(VmId id, Incarnation incarnation)
{
    schedule(kTickInterval, [this, id, incarnation] {
        Vm &vm = m_vms.at(id);
        if (!vm.node || vm.incarnation != incarnation || vm.isExited)
            return;
        // A frozen process misses its ticks; it doesn't catch up on them later.
        if (m_now >= vm.frozenUntil)
            handle(vm, Tick{});
        tickVm(id, incarnation);
    });
}

LoadReport Simulation::reportOf(const Upstream &upstream) const
{
    if (upstream.engine)
        return upstream.engine->report(upstream.info.id);
    LoadReport report;
    report.upstream = upstream.info.id;
    report.incarnation = Incarnation{upstream.incarnations};
    report.isDraining = upstream.isDraining;
    return report;
}

void Simulation::pollLoadReports(VmId id, Incarnation incarnation)
{
    Vm &vm = m_vms.at(id);
    if (!vm.node || vm.incarnation != incarnation || vm.isExited)
        return;
    for (auto &[upstreamId, upstream] : m_upstreams) {
        const UpstreamFaults &faults = upstreamFaults[upstreamId];
        const bool isUnresponsive =
            faults.isHanging || isPartitioned(vm.info.zone, upstream.info.zone);
        if (isUnresponsive || upstream.isDown) {
            const LoadReportMissing missing{upstreamId, upstream.isDown && !isUnresponsive};
            schedule(m_options.reportLag,
                     [this, id, incarnation, missing] { deliver(id, incarnation, missing); });
            continue;
        }
        LoadReport report = reportOf(upstream);
        report.age = m_options.reportLag;
        schedule(m_options.reportLag,
                 [this, id, incarnation, report] { deliver(id, incarnation, report); });
    }
    schedule(m_options.reportInterval,
             [this, id, incarnation] { pollLoadReports(id, incarnation); });
}

void Simulation::pollVmList(VmId id, Incarnation incarnation)
{
    Vm &vm = m_vms.at(id);
    if (!vm.node || vm.incarnation != incarnation || vm.isExited)
        return;
    updateReachability();
    if (!m_platformPartitions.contains(vm.info.zone)) {
        const VmListUpdate *visibleList = nullptr;
        for (const auto &[at, list] : m_publishedVmLists) {
            if (at + m_options.vmListDelay <= m_now || at == m_start)
                visibleList = &list;
        }
        if (visibleList)
            schedule(m_options.platformDelay, [this, id, incarnation, list = *visibleList] {
                deliver(id, incarnation, list);
            });
    }
    for (auto &[upstreamId, upstream] : m_upstreams) {
        const bool isReachable =
            upstream.engine && !isPartitioned(vm.info.zone, upstream.info.zone);
        if (!isReachable)
            continue;
        const auto expired = upstream.engine->expiredReservations(m_now - kExpiredReservationsPoll);
        if (!expired.empty())
            schedule(m_options.reportLag,
                     [this, id, incarnation, upstreamId = upstreamId, expired] {
                         deliver(id, incarnation, ExpiredReservations{upstreamId, expired});
                     });
    }
    schedule(m_options.listInterval, [this, id, incarnation] { pollVmList(id, incarnation); });
}

// --- callers ---

RequestId Simulation::submit(VmId id, RequestSpec spec)
{
    const RequestId request{m_nextRequest++};
    Caller &caller = m_callers[request];
    caller.vm = id;
    caller.spec = spec;
    Vm &vm = m_vms.at(id);
    if (!vm.node || vm.isExited)
        return request;
    deliver(id, vm.incarnation, CallerRequest{request, std::move(spec)});
    return request;
}

void Simulation::disconnectCaller(RequestId request)
{
    auto it = m_callers.find(request);
    if (it == m_callers.end() || it->second.isDisconnected || it->second.response)
        return;
    it->second.isDisconnected = true;
    record(CallerLeft{request});
    deliver(it->second.vm, m_vms.at(it->second.vm).incarnation, CallerDisconnected{request});
}

} // namespace arbutuspier::model
