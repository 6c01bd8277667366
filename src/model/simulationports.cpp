// Executes the nodes' commands: streams, reservations, orders, table calls and peer messages.
#include "model/simulation.h"

#include <algorithm>

namespace arbutuspier::model {

namespace {

/// Time after which a faulty upstream sends its response a second time.
constexpr Duration kDuplicateResponseDelay = std::chrono::milliseconds{50};
/// Time for which an engine runs a request that crashes it.
constexpr Duration kCrashDelay = std::chrono::milliseconds{100};

} // namespace

void Simulation::execute(Vm &vm, Command &command)
{
    struct Visitor
    {
        Simulation &simulation;
        Vm &vm;

        void operator()(OpenStream &c) const { simulation.openStream(vm, c); }
        void operator()(Reserve &c) const { simulation.reserveMemory(vm, c); }
        void operator()(Release &c) const { simulation.releaseMemory(vm, c); }
        void operator()(SendOrder &c) const { simulation.sendOrder(vm, c); }
        void operator()(TableCall &c) const { simulation.callTable(vm, c); }
        void operator()(SendPeer &c) const { simulation.sendPeer(vm, c); }
        void operator()(RejectRequest &c) const { respond(c.request, c.verdict, c.reason, 0); }
        void operator()(FinishRequest &c) const
        {
            const Caller &caller = simulation.m_callers.at(c.request);
            const std::uint64_t outputTokens =
                caller.spec.kind == RequestKind::Prompt ? caller.spec.maxTokens : 0;
            respond(c.request, Verdict::Ran, Reason::None, outputTokens);
        }
        void operator()(ReplayResponse &c) const
        {
            respond(c.request, Verdict::Ran, Reason::None, 0);
        }
        void operator()(EditResult &c) const
        {
            if (c.outcome == EditOutcome::Accepted)
                simulation.record(EditConfirmed{c.current.version});
            simulation.m_editResults.push_back(std::move(c));
        }
        void operator()(RequestEnded &c) const { simulation.m_ended.push_back(std::move(c)); }
        void operator()(ExitReady &) const
        {
            vm.isExited = true;
            simulation.record(VmExited{vm.info.id});
            simulation.publishVmList();
        }
        void operator()(LogRecord &c) const { simulation.m_logs.push_back(std::move(c.line)); }

        void respond(RequestId request, Verdict verdict, Reason reason,
                     std::uint64_t outputTokens) const
        {
            Caller &caller = simulation.m_callers.at(request);
            const ResponseSent response{request, verdict, reason, outputTokens};
            simulation.record(response);
            caller.response = response;
        }
    };
    std::visit(Visitor{*this, vm}, command);
}

void Simulation::openStream(Vm &vm, const OpenStream &open)
{
    Upstream &upstream = m_upstreams.at(open.upstream);
    Caller &caller = m_callers.at(open.request);
    caller.assembler.setAttempt(open.attempt);
    InFlightAttempt inFlight{vm.info.id,    vm.incarnation,    open.request,      open.attempt,
                             open.upstream, open.resumeOffset, open.resumeOffset, false};
    m_inFlightAttempts[open.attempt] = inFlight;
    const Duration networkDelay = delayBetween(vm.info.zone, upstream.info.zone);
    if (isPartitioned(vm.info.zone, upstream.info.zone)) {
        schedule(kConnectTimeout,
                 [this, inFlight] { failAttempt(inFlight, FailureKind::NotSent); });
        return;
    }
    schedule(networkDelay, [this, inFlight, open] {
        Upstream &target = m_upstreams.at(inFlight.upstream);
        const UpstreamFaults &faults = upstreamFaults[inFlight.upstream];
        if (target.isDown) {
            failAttempt(inFlight, FailureKind::NotSent);
            return;
        }
        if (faults.isRefusing) {
            failAttempt(inFlight, FailureKind::Refused);
            return;
        }
        const RequestSpec &spec = m_callers.at(inFlight.request).spec;
        if (target.engine)
            openEngine(target, inFlight, open);
        else if (!faults.isHanging)
            openService(target, inFlight, spec);
    });
}

void Simulation::openEngine(Upstream &upstream, const InFlightAttempt &inFlight,
                            const OpenStream &open)
{
    const RequestSpec &spec = m_callers.at(inFlight.request).spec;
    EngineRequest request;
    request.attempt = inFlight.attempt;
    request.promptTokens = spec.promptTokens;
    request.maxTokens = spec.maxTokens;
    request.resumeOffset = open.resumeOffset;
    request.priority = open.priority;
    request.prefixBlocks = spec.prefixBlocks;
    request.parallelGroupSize = std::max<std::size_t>(open.parallelGroup.size(), 1);
    if (!open.parallelGroup.empty())
        request.reservation = open.parallelGroup.front().reservation;
    request.deadline = m_now + open.timeLimit;
    if (!upstream.engine->open(request, m_now)) {
        failAttempt(inFlight, FailureKind::Refused);
        return;
    }
    record(AttemptStarted{
        inFlight.upstream, upstream.engine->incarnation(), inFlight.attempt, inFlight.request, {}});
    scheduleEngineStep(upstream);
    for (std::size_t i = 1; i < open.parallelGroup.size(); ++i) {
        Upstream &member = m_upstreams.at(open.parallelGroup[i].upstream);
        if (member.isDown)
            continue;
        // A helper replica prefills its part under the id of its reservation, so that releasing
        // the reservation also ends this stream.
        EngineRequest part = request;
        part.attempt = AttemptId{open.parallelGroup[i].reservation.value};
        part.reservation = open.parallelGroup[i].reservation;
        part.maxTokens = 1;
        part.resumeOffset = 0;
        if (member.engine->open(part, m_now))
            scheduleEngineStep(member);
    }
    if (m_crashingFingerprints.contains(spec.fingerprint)) {
        const Fingerprint cause = spec.fingerprint;
        const UpstreamId targetId = inFlight.upstream;
        const std::uint64_t incarnation = upstream.incarnations;
        schedule(kCrashDelay, [this, cause, targetId, incarnation, attempt = inFlight.attempt] {
            const Upstream &target = m_upstreams.at(targetId);
            const bool isSameIncarnation = !target.isDown && target.incarnations == incarnation;
            if (isSameIncarnation && target.engine->hasStream(attempt))
                crashUpstream(targetId, cause);
        });
    }
}

void Simulation::openService(Upstream &upstream, const InFlightAttempt &inFlight,
                             const RequestSpec &spec)
{
    const std::string key = atMostOnceKey(spec);
    record(AttemptStarted{inFlight.upstream, Incarnation{upstream.incarnations}, inFlight.attempt,
                          inFlight.request, key});
    if (!key.empty())
        ++m_runsByKey[key];
    const std::uint64_t incarnation = upstream.incarnations;
    if (m_crashingFingerprints.contains(spec.fingerprint))
        crashUpstream(inFlight.upstream, spec.fingerprint);
    schedule(m_options.serviceTime, [this, inFlight, incarnation] {
        const Upstream &target = m_upstreams.at(inFlight.upstream);
        if (target.isDown || target.incarnations != incarnation)
            return;
        finishStream(inFlight, 0, 0, "run of " + std::to_string(inFlight.request.value));
    });
}

void Simulation::scheduleEngineStep(Upstream &upstream)
{
    const auto next = upstream.engine->nextStepAt();
    if (!next || (upstream.nextAdvanceAt && *upstream.nextAdvanceAt <= *next))
        return;
    upstream.nextAdvanceAt = next;
    const UpstreamId id = upstream.info.id;
    const std::uint64_t incarnation = upstream.incarnations;
    m_queue.push({std::max(*next, m_now), m_nextSequence++,
                  [this, id, incarnation] { advanceEngine(id, incarnation); }});
}

void Simulation::advanceEngine(UpstreamId id, std::uint64_t incarnation)
{
    Upstream &upstream = m_upstreams.at(id);
    if (upstream.isDown || upstream.incarnations != incarnation)
        return;
    upstream.nextAdvanceAt.reset();
    if (upstreamFaults[id].isHanging) {
        upstream.nextAdvanceAt = m_now + m_options.reportInterval;
        schedule(m_options.reportInterval,
                 [this, id, incarnation] { advanceEngine(id, incarnation); });
        return;
    }
    for (const EngineOutput &output : upstream.engine->advance(m_now))
        onEngineOutput(output, id);
    scheduleEngineStep(upstream);
}

void Simulation::onEngineOutput(const EngineOutput &output, UpstreamId id)
{
    auto it = m_inFlightAttempts.find(output.attempt);
    if (it == m_inFlightAttempts.end())
        return;
    InFlightAttempt &inFlight = it->second;
    inFlight.generatedTokens = output.tokens;
    const UpstreamFaults &faults = upstreamFaults[id];
    const Vm &vm = m_vms.at(inFlight.vm);
    const std::string &zone = m_upstreams.at(id).info.zone;
    if (isPartitioned(vm.info.zone, zone))
        return;
    const Duration networkDelay = delayBetween(vm.info.zone, zone) + faults.responseDelay;
    if (!inFlight.hasFirstToken) {
        inFlight.hasFirstToken = true;
        const Duration firstTokenDelay =
            faults.delaysFirstToken ? networkDelay + std::chrono::seconds{2} : networkDelay;
        schedule(firstTokenDelay,
                 [this, vmId = inFlight.vm, incarnation = inFlight.vmIncarnation,
                  attempt = inFlight.attempt] {
                     deliver(vmId, incarnation, StreamFirstToken{attempt});
                 });
    }
    if (output.kind != EngineOutput::Kind::Done || faults.losesResponses)
        return;
    finishStream(inFlight, output.tokens, output.cachedTokens, {});
}

void Simulation::finishStream(const InFlightAttempt &inFlight, std::uint64_t tokens,
                              std::uint64_t cachedTokens, std::string result)
{
    const UpstreamFaults &faults = upstreamFaults[inFlight.upstream];
    const std::string &vmZone = m_vms.at(inFlight.vm).info.zone;
    const std::string &zone = m_upstreams.at(inFlight.upstream).info.zone;
    if (faults.losesResponses || isPartitioned(vmZone, zone))
        return;
    StreamDone done{inFlight.attempt, tokens, cachedTokens, 200, std::move(result)};
    const auto deliverDone = [this, inFlight, done] {
        deliver(inFlight.vm, inFlight.vmIncarnation, done);
    };
    const Duration networkDelay = delayBetween(vmZone, zone) + faults.responseDelay;
    schedule(networkDelay, deliverDone);
    if (faults.duplicatesResponse)
        schedule(networkDelay + kDuplicateResponseDelay, deliverDone);
}

void Simulation::deliverChunks(const InFlightAttempt &inFlight, std::uint64_t endOffset)
{
    Caller &caller = m_callers.at(inFlight.request);
    if (caller.isDisconnected || endOffset <= inFlight.startOffset)
        return;
    const auto decision = caller.assembler.offer(inFlight.attempt, inFlight.startOffset,
                                                 endOffset - inFlight.startOffset);
    if (decision.action != StreamAssembler::ChunkAction::Pass)
        return;
    const std::uint64_t offset = inFlight.startOffset + decision.skip;
    record(ChunkDelivered{inFlight.request, inFlight.request, offset, endOffset - offset});
}

void Simulation::failAttempt(const InFlightAttempt &inFlight, FailureKind kind)
{
    const StreamFailed failed{inFlight.attempt, kind, inFlight.generatedTokens};
    schedule(m_options.inZoneDelay,
             [this, inFlight, failed] { deliver(inFlight.vm, inFlight.vmIncarnation, failed); });
}

void Simulation::reserveMemory(Vm &vm, const Reserve &reserve)
{
    const VmId id = vm.info.id;
    const Incarnation incarnation = vm.incarnation;
    const std::string zone = vm.info.zone;
    const Duration networkDelay = delayBetween(zone, m_upstreams.at(reserve.upstream).info.zone);
    const auto reply = [this, id, incarnation](Duration after, ReserveReply reserveReply) {
        schedule(after,
                 [this, id, incarnation, reserveReply] { deliver(id, incarnation, reserveReply); });
    };
    const bool isUnresponsive = upstreamFaults[reserve.upstream].isHanging
        || isPartitioned(zone, m_upstreams.at(reserve.upstream).info.zone);
    if (isUnresponsive) {
        reply(kConnectTimeout, {reserve.reservation, reserve.upstream, false, true});
        return;
    }
    schedule(networkDelay, [this, reserve, networkDelay, reply] {
        Upstream &upstream = m_upstreams.at(reserve.upstream);
        if (upstream.isDown) {
            reply(networkDelay, {reserve.reservation, reserve.upstream, false, false});
            return;
        }
        const bool isGranted = upstream.engine->reserve(reserve.reservation, reserve.tokens,
                                                        m_now + reserve.timeLimit, m_now);
        if (upstreamFaults[reserve.upstream].losesReserveReplies)
            reply(kConnectTimeout, {reserve.reservation, reserve.upstream, false, true});
        else
            reply(networkDelay, {reserve.reservation, reserve.upstream, isGranted, false});
    });
}

void Simulation::releaseMemory(Vm &vm, const Release &release)
{
    const VmId id = vm.info.id;
    const Incarnation incarnation = vm.incarnation;
    const Duration networkDelay =
        delayBetween(vm.info.zone, m_upstreams.at(release.upstream).info.zone);
    const bool isUnresponsive = upstreamFaults[release.upstream].isHanging
        || isPartitioned(vm.info.zone, m_upstreams.at(release.upstream).info.zone);
    if (isUnresponsive)
        return;
    schedule(networkDelay, [this, id, incarnation, release, networkDelay] {
        Upstream &upstream = m_upstreams.at(release.upstream);
        if (upstream.isDown)
            return;
        if (upstream.engine) {
            upstream.engine->release(release.reservation);
            scheduleEngineStep(upstream);
        }
        schedule(networkDelay, [this, id, incarnation, release] {
            deliver(id, incarnation, ReleaseReply{release.reservation, true});
        });
    });
}

void Simulation::sendOrder(Vm &vm, const SendOrder &order)
{
    const VmId id = vm.info.id;
    const Incarnation incarnation = vm.incarnation;
    const Duration networkDelay =
        delayBetween(vm.info.zone, m_upstreams.at(order.upstream).info.zone);
    schedule(networkDelay, [this, id, incarnation, order, networkDelay] {
        Upstream &upstream = m_upstreams.at(order.upstream);
        const bool isUnresponsive = upstream.isDown || upstreamFaults[order.upstream].isHanging;
        if (isUnresponsive)
            return;
        const OrderOutcome outcome = upstream.engine->executeOrder(order.fence, order.state);
        if (outcome == OrderOutcome::Done)
            record(OrderExecuted{order.upstream, order.fence});
        OrderReply reply{order.upstream, order.fence, outcome, upstream.engine->state()};
        schedule(networkDelay + m_options.engine.orderDuration,
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
    if (m_platformPartitions.contains(vm.info.zone)) {
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
    const Duration requestDelay = m_options.platformDelay + tableFaults.extraDelay;
    const bool isLate = requestDelay + m_options.platformDelay >= m_options.tableTimeout;
    if (isLate || isReplyLost)
        reply(m_options.tableTimeout, TableUnknown{});
    schedule(requestDelay, [this, request = call.request, reply, isLate, isReplyLost] {
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
    if (isPartitioned(vm.info.zone, to.info.zone))
        return;
    const Duration networkDelay = delayBetween(vm.info.zone, to.info.zone);
    schedule(networkDelay, [this, id = send.to, message = send.message] {
        deliver(id, m_vms.at(id).incarnation, PeerReceived{message});
    });
}

} // namespace arbutuspier::model
