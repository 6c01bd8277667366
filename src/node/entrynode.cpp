// Wires the services and hands each event to the flow it concerns.
#include "arbutuspier/entrynode.h"

#include "node/admission.h"
#include "node/answers.h"
#include "node/atmostoncehandler.h"
#include "node/attempthandler.h"
#include "node/controlplanehandler.h"
#include "node/dispatcher.h"
#include "node/nodecontext.h"
#include "node/parallelgrouphandler.h"
#include "node/requeststore.h"
#include "node/suspectstore.h"

#include <algorithm>
#include <set>

namespace arbutuspier {

namespace {

/// Each user of the table numbers its calls from its own start.
constexpr unsigned kOpRangeBits = 28;
/// Ticks come much more often than this.
constexpr Duration kPauseSuspected = std::chrono::milliseconds{700};
/// Time in which reports of upstreams come in again.
constexpr Duration kAfterPause = std::chrono::milliseconds{250};

enum class OpRange : std::uint64_t { Limits = 1, Once, Orders, ParallelGroups, Suspects };

TableOpId firstOp(std::uint64_t base, OpRange range)
{
    return TableOpId{base | (static_cast<std::uint64_t>(range) << kOpRangeBits)};
}

bool areConsistent(const NodeSettings &settings)
{
    std::set<VmId> vms{settings.self.id};
    for (const VmInfo &peer : settings.peers) {
        if (!peer.id.isValid() || !vms.insert(peer.id).second)
            return false;
    }
    std::set<UpstreamId> upstreams;
    for (const UpstreamInfo &upstream : settings.upstreams) {
        const bool isWhole = upstream.id.isValid() && !upstream.target.empty();
        if (!isWhole || !upstreams.insert(upstream.id).second)
            return false;
    }
    return settings.self.id.isValid() && settings.incarnation.isValid();
}

std::string_view phaseName(Phase phase)
{
    switch (phase) {
    case Phase::Queued:
        return "queued";
    case Phase::FirstInLine:
        return "first-in-line";
    case Phase::Recording:
        return "recording";
    case Phase::Reserving:
        return "reserving";
    case Phase::Running:
        return "running";
    }
    return "queued";
}

void addRequestLines(const RequestStore &store, TimePoint now,
                     std::vector<NodeStatus::RequestLine> &lines)
{
    for (const auto &[id, request] : store.all()) {
        if (lines.size() == kMaxRequestLines)
            return;
        NodeStatus::RequestLine line;
        line.id = id;
        line.team = request.spec.team;
        line.className = request.spec.className;
        line.phase = phaseName(request.phase);
        line.promptTokens = request.spec.promptTokens;
        line.age = now - request.arrival;
        line.upstream = request.upstream;
        line.attempts = request.attempts;
        lines.push_back(std::move(line));
    }
}

} // namespace

struct EntryNode::Impl
{
    explicit Impl(NodeSettings settings);

    void dispatch(const Event &event);
    void carryOutOrders();
    void carryOutReleases();
    void checkDrain();
    void noteTime(TimePoint now);

    ServiceRegistry kernel;
    NodeContext context;
    RequestStore store;
    Answers answers;
    Dispatcher dispatcher;
    ParallelGroupHandler parallelGroups;
    SuspectStore suspects;
    AttemptHandler attempts;
    AtMostOnceHandler once;
    Admission admission;
    ControlPlaneHandler control;
    bool isDraining = false;
    bool isExitReady = false;
};

EntryNode::Impl::Impl(NodeSettings settings)
    : context(std::move(settings), kernel)
    , answers(context, store)
    , dispatcher(context, store)
    , parallelGroups(context, store, dispatcher, firstOp(context.idBase(), OpRange::ParallelGroups))
    , suspects(context, firstOp(context.idBase(), OpRange::Suspects))
    , attempts(context, store, answers, dispatcher, parallelGroups, suspects)
    , once(context, store, answers, dispatcher)
    , admission(context, store, answers, dispatcher, attempts, once)
    , control(context, dispatcher, attempts, parallelGroups, suspects)
{
    const NodeSettings &s = context.settings;
    const std::uint64_t base = context.idBase();
    dispatcher.setFlows(&parallelGroups, &suspects);
    kernel.add<Router>(service::kRouter, s.self.zone, s.upstreams, s.router);
    kernel.add<LimitsTable>(service::kLimits, s.limits, firstOp(base, OpRange::Limits));
    auto &shares = kernel.add<ShareAllocator>(
        service::kShares, ShareAllocator::Member{s.self.id, s.incarnation}, base + 1);
    kernel.add<TeamLimiter>(service::kTeamLimiter, shares);
    kernel.add<IdempotencyStore>(service::kIdempotencyStore, s.once, firstOp(base, OpRange::Once));
    kernel.add<Membership>(service::kMembership, s.self, s.incarnation, s.peers, s.membership);
    kernel.add<ReservationRegistry>(service::kReservations, s.self.id, s.incarnation, s.holdings);
    kernel.add<Quarantine>(service::kQuarantine, s.quarantine);
    kernel.add<UnattributedCrashes>(service::kUnattributedCrashes, s.unattributedCrashes);
    kernel.add<OrderService>(service::kOrders, s.self.id, s.incarnation, s.upstreams, s.orders,
                             firstOp(base, OpRange::Orders));
}

void EntryNode::Impl::carryOutOrders()
{
    for (OrderService::Action &action :
         context.service<OrderService>(service::kOrders).takeActions()) {
        if (auto *call = std::get_if<OrderService::Call>(&action))
            context.emit(TableCall{call->op, std::move(call->request)});
        else if (auto *order = std::get_if<OrderService::Order>(&action))
            context.emit(SendOrder{order->upstream, order->fence, std::move(order->state)});
    }
}

void EntryNode::Impl::carryOutReleases()
{
    auto &holdings = context.service<ReservationRegistry>(service::kReservations);
    for (const ReservationRegistry::ReleaseNow &release : holdings.dueReleases(context.now))
        context.emit(Release{release.holding, release.upstream});
}

void EntryNode::Impl::noteTime(TimePoint now)
{
    // The process was not running: what it knows of upstreams is older than it looks.
    const bool wasPaused = context.now != TimePoint{} && now - context.now > kPauseSuspected;
    context.now = now;
    if (!wasPaused)
        return;
    dispatcher.holdUntil(now + kAfterPause);
    context.log(LogLine("pause_noticed"));
}

void EntryNode::Impl::checkDrain()
{
    if (!isDraining || isExitReady || store.size() != 0)
        return;
    const bool isSettled =
        context.service<IdempotencyStore>(service::kIdempotencyStore).unsettled() == 0
        && context.service<ReservationRegistry>(service::kReservations).releasingCount() == 0;
    if (!isSettled)
        return;
    isExitReady = true;
    context.service<OrderService>(service::kOrders).stop();
    context.emit(ExitReady{});
}

void EntryNode::Impl::dispatch(const Event &event)
{
    struct Visitor
    {
        Impl &node;

        void operator()(const CallerRequest &e) const { node.admission.onArrival(e); }
        void operator()(const CallerDisconnected &e) const
        {
            node.admission.onCallerDisconnected(e);
        }
        void operator()(const StreamOpened &) const { }
        void operator()(const StreamFirstToken &e) const { node.attempts.onFirstToken(e); }
        void operator()(const StreamDone &e) const { node.attempts.onDone(e); }
        void operator()(const StreamFailed &e) const { node.attempts.onFailed(e); }
        void operator()(const LoadReport &e) const { node.control.onReport(e); }
        void operator()(const LoadReportMissing &e) const { node.control.onReportMissing(e); }
        void operator()(const CacheEvents &e) const
        {
            node.context.service<Router>(service::kRouter).onCacheEvents(e);
        }
        void operator()(const ReserveReply &e) const { node.parallelGroups.onReserveReply(e); }
        void operator()(const ReleaseReply &e) const
        {
            if (e.isAcknowledged)
                node.context.service<ReservationRegistry>(service::kReservations)
                    .onReleased(e.holding);
        }
        void operator()(const ExpiredReservations &e) const
        {
            auto &holdings = node.context.service<ReservationRegistry>(service::kReservations);
            for (ReservationId holding : e.holdings)
                holdings.releaseUnknown(holding, e.upstream, node.context.now);
        }
        void operator()(const OrderReply &e) const
        {
            node.context.service<OrderService>(service::kOrders).onOrderReply(e, node.context.now);
        }
        void operator()(const TableReply &e) const
        {
            const bool isAtMostOnce =
                node.context.service<IdempotencyStore>(service::kIdempotencyStore)
                    .onTableReply(e.op, e.outcome, node.context.now, node.context.random);
            if (!isAtMostOnce)
                node.control.onTableReply(e);
        }
        void operator()(const VmListRead &e) const { node.control.onVmList(e); }
        void operator()(const PeerReceived &e) const { node.control.onPeer(e.message); }
        void operator()(const LimitsEdit &e) const
        {
            node.context.service<LimitsTable>(service::kLimits).edit(e.edit, node.context.now);
        }
        void operator()(const DesiredStateEdit &e) const
        {
            node.context.service<OrderService>(service::kOrders).setDesired(e.upstream, e.state);
        }
        void operator()(const DrainRequest &) const
        {
            node.isDraining = true;
            node.admission.stop();
            node.context.service<Membership>(service::kMembership).announceLeaving();
            node.context.log(
                LogLine("drain_started").add("in_flight", std::uint64_t{node.store.size()}));
        }
        void operator()(const UpstreamDrainRequest &e) const
        {
            node.control.onUpstreamDrain(e.upstream);
        }
        void operator()(const QuarantineClear &e) const
        {
            node.control.onQuarantineClear(e.fingerprint);
        }
        void operator()(const Tick &) const
        {
            node.admission.tick();
            node.control.tick();
            node.dispatcher.resumeLimited();
            node.context.service<IdempotencyStore>(service::kIdempotencyStore)
                .tick(node.context.now);
        }
    };
    std::visit(Visitor{*this}, event);
}

std::unique_ptr<EntryNode> EntryNode::make(NodeSettings settings)
{
    if (!areConsistent(settings))
        return nullptr;
    return std::unique_ptr<EntryNode>(new EntryNode(std::make_unique<Impl>(std::move(settings))));
}

EntryNode::EntryNode(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

EntryNode::~EntryNode() = default;

Commands EntryNode::handle(const Event &event, TimePoint now, WallTime wallNow)
{
    assert(now >= m_impl->context.now);
    m_impl->noteTime(now);
    m_impl->context.wallNow = wallNow;
    m_impl->dispatch(event);
    m_impl->once.carryOut();
    m_impl->dispatcher.pump();
    m_impl->admission.endDoomed();
    m_impl->once.carryOut();
    m_impl->carryOutOrders();
    m_impl->control.carryOutLimits();
    m_impl->carryOutReleases();
    m_impl->checkDrain();
    return m_impl->context.takeCommands();
}

const LimitsSnapshot &EntryNode::limits() const
{
    return m_impl->context.service<LimitsTable>(service::kLimits).snapshot();
}

std::vector<LimitsDelta> EntryNode::limitsHistory() const
{
    return m_impl->context.service<LimitsTable>(service::kLimits).history();
}

NodeStatus EntryNode::status(TimePoint now) const
{
    const NodeContext &context = m_impl->context;
    const auto &router = context.service<Router>(service::kRouter);
    const auto &membership = context.service<Membership>(service::kMembership);
    const auto &holdings = context.service<ReservationRegistry>(service::kReservations);
    const auto &orders = context.service<OrderService>(service::kOrders);
    NodeStatus status;
    status.isDraining = m_impl->isDraining;
    status.isPlatformReachable = !context.service<LimitsTable>(service::kLimits).isCutOff();
    status.limitsVersion = limits().version;
    status.queued = m_impl->dispatcher.queuedCount();
    status.running = m_impl->store.size() - std::min(m_impl->store.size(), status.queued);
    status.holdings = holdings.ownCount();
    status.pendingReleases = holdings.releasingCount();
    status.unsettledKeys =
        context.service<IdempotencyStore>(service::kIdempotencyStore).unsettled();
    for (const UpstreamInfo &info : context.settings.upstreams) {
        NodeStatus::Upstream upstream;
        upstream.info = info;
        upstream.isUsable = router.isUsable(info.id, now);
        upstream.isLeaving = router.isLeaving(info.id);
        upstream.inFlight = router.inFlight(info.id);
        upstream.state = orders.reported(info.id).value_or("");
        status.upstreams.push_back(std::move(upstream));
    }
    status.members.push_back(
        {context.settings.self, membership.state(context.settings.self.id), status.limitsVersion});
    for (const VmInfo &peer : context.settings.peers) {
        status.members.push_back(
            {peer, membership.state(peer.id), m_impl->control.confirmedVersion(peer.id)});
    }
    addRequestLines(m_impl->store, now, status.requests);
    status.suspects = context.service<Quarantine>(service::kQuarantine).records();
    return status;
}

} // namespace arbutuspier
