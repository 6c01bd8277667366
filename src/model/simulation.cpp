// An event queue and the faults; every decision is left to the nodes.
#include "model/simulation.h"

#include <algorithm>
#include <cassert>

namespace arbutuspier::model {

namespace {

constexpr Duration kHoldingsPoll = std::chrono::seconds{2};

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
    m_queue.push({m_now + after, m_order++, std::move(action)});
}

void Simulation::at(Duration time, std::function<void()> action)
{
    m_queue.push({std::max(m_now, m_start + time), m_order++, std::move(action)});
}

void Simulation::runUntil(Duration time)
{
    const TimePoint end = m_start + time;
    while (!m_queue.empty() && m_queue.top().at <= end) {
        const Scheduled next = m_queue.top();
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

void Simulation::record(TraceEvent fact)
{
    if (m_options.keepsTrace)
        m_trace.push_back({m_now, std::move(fact)});
}

Duration Simulation::delay(const std::string &a, const std::string &b) const
{
    return a == b ? m_options.inZoneDelay : m_options.otherZoneDelay;
}

bool Simulation::isCut(const std::string &a, const std::string &b) const
{
    return m_cuts.contains({a, b}) || m_cuts.contains({b, a});
}

EntryNode *Simulation::node(VmId vm)
{
    return m_vms.at(vm).node.get();
}

EngineModel *Simulation::engine(UpstreamId upstream)
{
    return m_upstreams.at(upstream).engine.get();
}

std::vector<VmId> Simulation::liveVms() const
{
    std::vector<VmId> live;
    for (const auto &[id, vm] : m_vms) {
        if (vm.node && !vm.isExited)
            live.push_back(id);
    }
    return live;
}

std::optional<ResponseSent> Simulation::answer(RequestId request) const
{
    auto it = m_callers.find(request);
    return it == m_callers.end() ? std::nullopt : it->second.answer;
}

std::size_t Simulation::runsOfKey(const std::string &key) const
{
    auto it = m_runs.find(key);
    return it == m_runs.end() ? 0 : it->second;
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
    vm.version = 0;
    vm.held.clear();
    vm.frozenUntil = {};
    vm.isExited = false;
    vm.node = EntryNode::make(std::move(settings));
    assert(vm.node);
    changeList();
    updateReach();
    tickVm(id, vm.incarnation);
    pollReports(id, vm.incarnation);
    pollList(id, vm.incarnation);
}

void Simulation::killVm(VmId id)
{
    Vm &vm = m_vms.at(id);
    if (!vm.node)
        return;
    vm.node.reset();
    record(VmLost{id});
    changeList();
    updateReach();
}

void Simulation::freezeVm(VmId id, Duration duration)
{
    Vm &vm = m_vms.at(id);
    if (!vm.node)
        return;
    vm.frozenUntil = m_now + duration;
    record(VmFrozen{id, duration});
    updateReach();
    schedule(duration, [this, id, incarnation = vm.incarnation] {
        Vm &thawed = m_vms.at(id);
        if (!thawed.node || thawed.incarnation != incarnation || m_now < thawed.frozenUntil)
            return;
        thawed.frozenUntil = {};
        updateReach();
        for (const Event &event : std::exchange(thawed.held, {})) {
            if (thawed.node)
                handle(thawed, event);
        }
    });
}

void Simulation::drainVm(VmId id)
{
    record(DrainBegan{id});
    tell(id, DrainRequest{});
}

void Simulation::tell(VmId id, Event event)
{
    deliver(id, m_vms.at(id).incarnation, std::move(event));
}

void Simulation::changeList()
{
    VmListRead list;
    list.revision = m_listRevision++;
    for (const auto &[id, vm] : m_vms) {
        if (vm.node && !vm.isExited)
            list.vms.push_back({id, vm.incarnation, false});
    }
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.isLeaving)
            list.leavingUpstreams.push_back(id);
    }
    m_lists.emplace_back(m_now, std::move(list));
}

void Simulation::updateReach()
{
    const auto reachesPlatform = [&](const Vm &vm) {
        return vm.node && !vm.isExited && m_now >= vm.frozenUntil && !tableFaults.isDown
            && !m_platformCuts.contains(vm.info.zone);
    };
    for (const auto &[id, vm] : m_vms) {
        const bool isRunning = vm.node && !vm.isExited && m_now >= vm.frozenUntil;
        bool canReach = reachesPlatform(vm);
        for (const auto &[otherId, other] : m_vms) {
            const bool isBridge =
                otherId != id && reachesPlatform(other) && !isCut(other.info.zone, vm.info.zone);
            canReach = canReach || (isRunning && isBridge);
        }
        auto known = m_reach.find(id);
        if (known != m_reach.end() && known->second == canReach)
            continue;
        m_reach[id] = canReach;
        record(ReachChanged{id, canReach});
    }
}

void Simulation::deliver(VmId id, Incarnation incarnation, Event event)
{
    Vm &vm = m_vms.at(id);
    if (!vm.node || vm.incarnation != incarnation || vm.isExited)
        return;
    if (m_now < vm.frozenUntil) {
        vm.held.push_back(std::move(event));
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
    const bool isStillThere = vm.node && vm.incarnation == incarnation && m_now >= vm.frozenUntil;
    if (!isStillThere)
        return;
    Commands commands = vm.node->handle(readStream(event), m_now, wall);
    noteVersion(vm);
    for (Command &command : commands) {
        if (onCommand)
            onCommand(vm.info.id, command);
        // A process killed at this very step does not send what it had not sent yet.
        if (!vm.node || vm.incarnation != incarnation)
            return;
        carryOut(vm, command);
    }
}

Event Simulation::readStream(const Event &event)
{
    // What came over the stream is passed on when the process reads it, not when it was sent.
    if (const auto *done = std::get_if<StreamDone>(&event)) {
        auto transit = m_transits.find(done->attempt);
        if (transit != m_transits.end()) {
            passOn(transit->second, done->tokens);
            m_transits.erase(transit);
        }
        return event;
    }
    if (const auto *failed = std::get_if<StreamFailed>(&event)) {
        auto transit = m_transits.find(failed->attempt);
        if (transit == m_transits.end())
            return event;
        const bool hasPieces =
            failed->kind == FailureKind::ConnectionLost || failed->kind == FailureKind::Broken;
        if (hasPieces)
            passOn(transit->second, failed->deliveredTokens);
        StreamFailed read = *failed;
        read.deliveredTokens = m_callers.at(transit->second.request).assembler.delivered();
        m_transits.erase(transit);
        return read;
    }
    if (const auto *request = std::get_if<CallerRequest>(&event)) {
        const Caller &caller = m_callers.at(request->request);
        const RequestSpec &spec = caller.spec;
        record(RequestArrived{caller.vm, request->request, spec.fingerprint, spec.timeLimit,
                              atMostOnceKey(spec)});
    }
    return event;
}

void Simulation::noteVersion(Vm &vm)
{
    const std::uint64_t version = vm.node->limits().version;
    if (version == vm.version)
        return;
    vm.version = version;
    record(VersionInForce{vm.info.id, vm.incarnation, version});
}

void Simulation::tickVm(VmId id, Incarnation incarnation)
{
    schedule(kTickInterval, [this, id, incarnation] {
        Vm &vm = m_vms.at(id);
        if (!vm.node || vm.incarnation != incarnation || vm.isExited)
            return;
        // A frozen process has no clock of its own: it ticks once when it runs again.
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
    report.isLeaving = upstream.isLeaving;
    return report;
}

void Simulation::pollReports(VmId id, Incarnation incarnation)
{
    Vm &vm = m_vms.at(id);
    if (!vm.node || vm.incarnation != incarnation || vm.isExited)
        return;
    for (auto &[upstreamId, upstream] : m_upstreams) {
        const UpstreamFaults &faults = upstreamFaults[upstreamId];
        const bool isSilent = faults.isHanging || isCut(vm.info.zone, upstream.info.zone);
        if (isSilent || upstream.isDown) {
            const LoadReportMissing missing{upstreamId, upstream.isDown && !isSilent};
            schedule(m_options.reportLag,
                     [this, id, incarnation, missing] { deliver(id, incarnation, missing); });
            continue;
        }
        LoadReport report = reportOf(upstream);
        report.age = m_options.reportLag;
        schedule(m_options.reportLag,
                 [this, id, incarnation, report] { deliver(id, incarnation, report); });
    }
    schedule(m_options.reportInterval, [this, id, incarnation] { pollReports(id, incarnation); });
}

void Simulation::pollList(VmId id, Incarnation incarnation)
{
    Vm &vm = m_vms.at(id);
    if (!vm.node || vm.incarnation != incarnation || vm.isExited)
        return;
    updateReach();
    if (!m_platformCuts.contains(vm.info.zone)) {
        const VmListRead *seen = nullptr;
        for (const auto &[at, list] : m_lists) {
            if (at + m_options.listLag <= m_now || at == m_start)
                seen = &list;
        }
        if (seen)
            schedule(m_options.platformDelay,
                     [this, id, incarnation, list = *seen] { deliver(id, incarnation, list); });
    }
    for (auto &[upstreamId, upstream] : m_upstreams) {
        const bool isReachable = upstream.engine && !isCut(vm.info.zone, upstream.info.zone);
        if (!isReachable)
            continue;
        const auto expired = upstream.engine->expiredReservations(m_now - kHoldingsPoll);
        if (!expired.empty())
            schedule(m_options.reportLag,
                     [this, id, incarnation, upstreamId = upstreamId, expired] {
                         deliver(id, incarnation, ExpiredReservations{upstreamId, expired});
                     });
    }
    schedule(m_options.listInterval, [this, id, incarnation] { pollList(id, incarnation); });
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

void Simulation::callerLeaves(RequestId request)
{
    auto it = m_callers.find(request);
    if (it == m_callers.end() || it->second.isGone || it->second.answer)
        return;
    it->second.isGone = true;
    record(CallerLeft{request});
    deliver(it->second.vm, m_vms.at(it->second.vm).incarnation, CallerDisconnected{request});
}

} // namespace arbutuspier::model
