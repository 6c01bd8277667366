// Executes the nodes' commands: streams, reservations, orders, table calls and peer messages.
#include "model/simulation.h"

#include <algorithm>

namespace arbutuspier::model {

namespace {

/// Time after which a faulty upstream sends its response a second time.
constexpr Duration kRepeatDelay = std::chrono::milliseconds{50};
/// Time for which an engine runs a request that crashes it.
constexpr Duration kPoisonDelay = std::chrono::milliseconds{100};

} // namespace

void Simulation::carryOut(Vm &vm, Command &command)
{
    struct Visitor
    {
        Simulation &simulation;
        Vm &vm;

        void operator()(OpenStream &c) const { simulation.openAt(vm, c); }
        void operator()(Reserve &c) const { simulation.reserveAt(vm, c); }
        void operator()(Release &c) const { simulation.releaseAt(vm, c); }
        void operator()(SendOrder &c) const { simulation.orderAt(vm, c); }
        void operator()(TableCall &c) const { simulation.callTable(vm, c); }
        void operator()(SendPeer &c) const { simulation.sendPeer(vm, c); }
        void operator()(RejectRequest &c) const { answer(c.request, c.verdict, c.reason, 0); }
        void operator()(FinishRequest &c) const
        {
            const Caller &caller = simulation.m_callers.at(c.request);
            const std::uint64_t units =
                caller.spec.kind == RequestKind::Prompt ? caller.spec.maxTokens : 0;
            answer(c.request, Verdict::Ran, Reason::None, units);
        }
        void operator()(ReplayResponse &c) const
        {
            answer(c.request, Verdict::Ran, Reason::None, 0);
        }
        void operator()(EditResult &c) const
        {
            if (c.outcome == EditOutcome::Accepted)
                simulation.record(EditConfirmed{c.current.version});
            simulation.m_editAnswers.push_back(std::move(c));
        }
        void operator()(RequestEnded &c) const { simulation.m_ended.push_back(std::move(c)); }
        void operator()(ExitReady &) const
        {
            vm.isExited = true;
            simulation.record(VmExited{vm.info.id});
            simulation.changeList();
        }
        void operator()(LogRecord &c) const { simulation.m_logs.push_back(std::move(c.line)); }

        void answer(RequestId request, Verdict verdict, Reason reason, std::uint64_t units) const
        {
            Caller &caller = simulation.m_callers.at(request);
            const ResponseSent given{request, verdict, reason, units};
            simulation.record(given);
            caller.answer = given;
        }
    };
    std::visit(Visitor{*this, vm}, command);
}

void Simulation::openAt(Vm &vm, const OpenStream &open)
{
    Upstream &upstream = m_upstreams.at(open.upstream);
    Caller &caller = m_callers.at(open.request);
    caller.assembler.setAttempt(open.attempt);
    Transit transit{vm.info.id,    vm.incarnation,    open.request,      open.attempt,
                    open.upstream, open.resumeOffset, open.resumeOffset, false};
    m_transits[open.attempt] = transit;
    const Duration way = delay(vm.info.zone, upstream.info.zone);
    if (isCut(vm.info.zone, upstream.info.zone)) {
        schedule(kConnectTimeout, [this, transit] { fail(transit, FailureKind::NotSent); });
        return;
    }
    schedule(way, [this, transit, open] {
        Upstream &target = m_upstreams.at(transit.upstream);
        const UpstreamFaults &faults = upstreamFaults[transit.upstream];
        if (target.isDown) {
            fail(transit, FailureKind::NotSent);
            return;
        }
        if (faults.isRefusing) {
            fail(transit, FailureKind::Refused);
            return;
        }
        const RequestSpec &spec = m_callers.at(transit.request).spec;
        if (target.engine)
            openEngine(target, transit, open);
        else if (!faults.isHanging)
            openService(target, transit, spec);
    });
}

void Simulation::openEngine(Upstream &upstream, const Transit &transit, const OpenStream &open)
{
    const RequestSpec &spec = m_callers.at(transit.request).spec;
    EngineRequest request;
    request.attempt = transit.attempt;
    request.promptTokens = spec.promptTokens;
    request.maxTokens = spec.maxTokens;
    request.resumeOffset = open.resumeOffset;
    request.priority = open.priority;
    request.prefixBlocks = spec.prefixBlocks;
    request.parallelGroupSize = std::max<std::size_t>(open.parallelGroup.size(), 1);
    if (!open.parallelGroup.empty())
        request.reservation = open.parallelGroup.front().holding;
    request.deadline = m_now + open.limit;
    if (!upstream.engine->open(request, m_now)) {
        fail(transit, FailureKind::Refused);
        return;
    }
    record(AttemptRan{
        transit.upstream, upstream.engine->incarnation(), transit.attempt, transit.request, {}});
    scheduleWake(upstream);
    for (std::size_t i = 1; i < open.parallelGroup.size(); ++i) {
        Upstream &member = m_upstreams.at(open.parallelGroup[i].upstream);
        if (member.isDown)
            continue;
        // A helper replica prefills its part under the id of its reservation, so that releasing
        // the reservation also ends this stream.
        EngineRequest part = request;
        part.attempt = AttemptId{open.parallelGroup[i].holding.value};
        part.reservation = open.parallelGroup[i].holding;
        part.maxTokens = 1;
        part.resumeOffset = 0;
        if (member.engine->open(part, m_now))
            scheduleWake(member);
    }
    if (m_poison.contains(spec.fingerprint)) {
        const Fingerprint killer = spec.fingerprint;
        const UpstreamId victim = transit.upstream;
        const std::uint64_t incarnation = upstream.incarnations;
        schedule(kPoisonDelay, [this, killer, victim, incarnation, attempt = transit.attempt] {
            const Upstream &target = m_upstreams.at(victim);
            const bool isThere = !target.isDown && target.incarnations == incarnation;
            if (isThere && target.engine->hasStream(attempt))
                crashUpstream(victim, killer);
        });
    }
}

void Simulation::openService(Upstream &upstream, const Transit &transit, const RequestSpec &spec)
{
    const std::string key = atMostOnceKey(spec);
    record(AttemptRan{transit.upstream, Incarnation{upstream.incarnations}, transit.attempt,
                      transit.request, key});
    if (!key.empty())
        ++m_runs[key];
    const std::uint64_t incarnation = upstream.incarnations;
    if (m_poison.contains(spec.fingerprint))
        crashUpstream(transit.upstream, spec.fingerprint);
    schedule(m_options.serviceTime, [this, transit, incarnation] {
        const Upstream &target = m_upstreams.at(transit.upstream);
        if (target.isDown || target.incarnations != incarnation)
            return;
        finishStream(transit, 0, 0, "run of " + std::to_string(transit.request.value));
    });
}

void Simulation::scheduleWake(Upstream &upstream)
{
    const auto next = upstream.engine->nextStepAt();
    if (!next || (upstream.wakeAt && *upstream.wakeAt <= *next))
        return;
    upstream.wakeAt = next;
    const UpstreamId id = upstream.info.id;
    const std::uint64_t incarnation = upstream.incarnations;
    m_queue.push(
        {std::max(*next, m_now), m_order++, [this, id, incarnation] { wake(id, incarnation); }});
}

void Simulation::wake(UpstreamId id, std::uint64_t incarnation)
{
    Upstream &upstream = m_upstreams.at(id);
    if (upstream.isDown || upstream.incarnations != incarnation)
        return;
    upstream.wakeAt.reset();
    if (upstreamFaults[id].isHanging) {
        upstream.wakeAt = m_now + m_options.reportInterval;
        schedule(m_options.reportInterval, [this, id, incarnation] { wake(id, incarnation); });
        return;
    }
    for (const EngineOutput &output : upstream.engine->advance(m_now))
        onOutput(output, id);
    scheduleWake(upstream);
}

void Simulation::onOutput(const EngineOutput &output, UpstreamId id)
{
    auto it = m_transits.find(output.attempt);
    if (it == m_transits.end())
        return;
    Transit &transit = it->second;
    transit.generated = output.tokens;
    const UpstreamFaults &faults = upstreamFaults[id];
    const Vm &vm = m_vms.at(transit.vm);
    const std::string &zone = m_upstreams.at(id).info.zone;
    if (isCut(vm.info.zone, zone))
        return;
    const Duration way = delay(vm.info.zone, zone) + faults.answerDelay;
    if (!transit.hasFirst) {
        transit.hasFirst = true;
        const Duration late = faults.isOutOfOrder ? way + std::chrono::seconds{2} : way;
        schedule(
            late,
            [this, vmId = transit.vm, incarnation = transit.vmIncarnation,
             attempt = transit.attempt] { deliver(vmId, incarnation, StreamFirstToken{attempt}); });
    }
    if (output.kind != EngineOutput::Kind::Done || faults.losesAnswers)
        return;
    finishStream(transit, output.tokens, output.cachedTokens, {});
}

void Simulation::finishStream(const Transit &transit, std::uint64_t tokens, std::uint64_t cached,
                              std::string result)
{
    const UpstreamFaults &faults = upstreamFaults[transit.upstream];
    const std::string &vmZone = m_vms.at(transit.vm).info.zone;
    const std::string &zone = m_upstreams.at(transit.upstream).info.zone;
    if (faults.losesAnswers || isCut(vmZone, zone))
        return;
    StreamDone done{transit.attempt, tokens, cached, 200, std::move(result)};
    const auto arrive = [this, transit, done] { deliver(transit.vm, transit.vmIncarnation, done); };
    const Duration way = delay(vmZone, zone) + faults.answerDelay;
    schedule(way, arrive);
    if (faults.answersTwice)
        schedule(way + kRepeatDelay, arrive);
}

void Simulation::passOn(const Transit &transit, std::uint64_t upTo)
{
    Caller &caller = m_callers.at(transit.request);
    if (caller.isGone || upTo <= transit.from)
        return;
    const auto decision =
        caller.assembler.offer(transit.attempt, transit.from, upTo - transit.from);
    if (decision.take != StreamAssembler::ChunkAction::Pass)
        return;
    const std::uint64_t offset = transit.from + decision.skip;
    record(ChunkDelivered{transit.request, transit.request, offset, upTo - offset});
}

void Simulation::fail(const Transit &transit, FailureKind kind)
{
    const StreamFailed failed{transit.attempt, kind, transit.generated};
    schedule(m_options.inZoneDelay,
             [this, transit, failed] { deliver(transit.vm, transit.vmIncarnation, failed); });
}

void Simulation::reserveAt(Vm &vm, const Reserve &reserve)
{
    const VmId id = vm.info.id;
    const Incarnation incarnation = vm.incarnation;
    const std::string zone = vm.info.zone;
    const Duration way = delay(zone, m_upstreams.at(reserve.upstream).info.zone);
    const auto reply = [this, id, incarnation](Duration after, ReserveReply answer) {
        schedule(after, [this, id, incarnation, answer] { deliver(id, incarnation, answer); });
    };
    const bool isSilent = upstreamFaults[reserve.upstream].isHanging
        || isCut(zone, m_upstreams.at(reserve.upstream).info.zone);
    if (isSilent) {
        reply(kConnectTimeout, {reserve.holding, reserve.upstream, false, true});
        return;
    }
    schedule(way, [this, reserve, way, reply] {
        Upstream &upstream = m_upstreams.at(reserve.upstream);
        if (upstream.isDown) {
            reply(way, {reserve.holding, reserve.upstream, false, false});
            return;
        }
        const bool isGranted =
            upstream.engine->reserve(reserve.holding, reserve.tokens, m_now + reserve.limit, m_now);
        if (upstreamFaults[reserve.upstream].losesReserveReplies)
            reply(kConnectTimeout, {reserve.holding, reserve.upstream, false, true});
        else
            reply(way, {reserve.holding, reserve.upstream, isGranted, false});
    });
}

void Simulation::releaseAt(Vm &vm, const Release &release)
{
    const VmId id = vm.info.id;
    const Incarnation incarnation = vm.incarnation;
    const Duration way = delay(vm.info.zone, m_upstreams.at(release.upstream).info.zone);
    const bool isSilent = upstreamFaults[release.upstream].isHanging
        || isCut(vm.info.zone, m_upstreams.at(release.upstream).info.zone);
    if (isSilent)
        return;
    schedule(way, [this, id, incarnation, release, way] {
        Upstream &upstream = m_upstreams.at(release.upstream);
        if (upstream.isDown)
            return;
        if (upstream.engine) {
            upstream.engine->release(release.holding);
            scheduleWake(upstream);
        }
        schedule(way, [this, id, incarnation, release] {
            deliver(id, incarnation, ReleaseReply{release.holding, true});
        });
    });
}

void Simulation::orderAt(Vm &vm, const SendOrder &order)
{
    const VmId id = vm.info.id;
    const Incarnation incarnation = vm.incarnation;
    const Duration way = delay(vm.info.zone, m_upstreams.at(order.upstream).info.zone);
    schedule(way, [this, id, incarnation, order, way] {
        Upstream &upstream = m_upstreams.at(order.upstream);
        const bool isSilent = upstream.isDown || upstreamFaults[order.upstream].isHanging;
        if (isSilent)
            return;
        const OrderOutcome outcome = upstream.engine->order(order.fence, order.state);
        if (outcome == OrderOutcome::Done)
            record(OrderTaken{order.upstream, order.fence});
        OrderReply reply{order.upstream, order.fence, outcome, upstream.engine->state()};
        schedule(way + m_options.engine.orderTime,
                 [this, id, incarnation, reply] { deliver(id, incarnation, reply); });
    });
}

void Simulation::callTable(Vm &vm, const TableCall &call)
{
    const VmId id = vm.info.id;
    const Incarnation incarnation = vm.incarnation;
    const auto reply = [this, id, incarnation, op = call.op](Duration after, TableOutcome outcome) {
        schedule(after, [this, id, incarnation, op, outcome = std::move(outcome)] {
            deliver(id, incarnation, TableReply{op, outcome});
        });
    };
    if (m_platformCuts.contains(vm.info.zone)) {
        reply(m_options.tableTimeout, TableUnknown{});
        return;
    }
    if (tableFaults.isDown) {
        reply(m_options.platformDelay, TableUnavailable{});
        return;
    }
    const bool isWrite = std::holds_alternative<TableTransaction>(call.request);
    const bool isReplyLost = isWrite && tableFaults.lostReplies > 0;
    if (isReplyLost)
        --tableFaults.lostReplies;
    const Duration there = m_options.platformDelay + tableFaults.extraDelay;
    const bool isLate = there + m_options.platformDelay >= m_options.tableTimeout;
    if (isLate || isReplyLost)
        reply(m_options.tableTimeout, TableUnknown{});
    schedule(there, [this, request = call.request, reply, isLate, isReplyLost] {
        TableOutcome outcome = m_table.apply(request, m_now);
        if (!isLate && !isReplyLost)
            reply(m_options.platformDelay, std::move(outcome));
    });
}

void Simulation::sendPeer(Vm &vm, const SendPeer &send)
{
    ++m_peerMessages;
    if (onPeerSent)
        onPeerSent(send.message);
    const Vm &to = m_vms.at(send.to);
    if (isCut(vm.info.zone, to.info.zone))
        return;
    const Duration way = delay(vm.info.zone, to.info.zone);
    schedule(way, [this, id = send.to, message = send.message] {
        deliver(id, m_vms.at(id).incarnation, PeerReceived{message});
    });
}

} // namespace arbutuspier::model
