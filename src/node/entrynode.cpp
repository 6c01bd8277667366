// Creates the services and handlers and passes each event to the handler in charge of it.
#include "arbutuspier/entrynode.h"

#include "node/admission.h"
#include "node/atmostoncehandler.h"
#include "node/attempthandler.h"
#include "node/controlplanehandler.h"
#include "node/dispatcher.h"
#include "node/nodecontext.h"
#include "node/parallelgrouphandler.h"
#include "node/requestcompletion.h"
#include "node/requeststore.h"
#include "node/suspectstore.h"

#include <algorithm>
#include <set>

namespace arbutuspier {

namespace {

/// Each user of the table service has its own range of operation ids of this many bits.
constexpr unsigned kOpRangeBits = 28;
/// A longer time between events means that the process was frozen: ticks are far more frequent.
constexpr Duration kFreezeThreshold = std::chrono::milliseconds{700};
/// Time after a freeze within which upstreams have sent new load reports.
constexpr Duration kLoadReportWait = std::chrono::milliseconds{250};

enum class OpRange : std::uint64_t { Limits = 1, Idempotency, Orders, ParallelGroups, Suspects };

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
        const bool isValid = upstream.id.isValid() && !upstream.target.empty();
        if (!isValid || !upstreams.insert(upstream.id).second)
            return false;
    }
    return settings.self.id.isValid() && settings.incarnation.isValid();
}

std::string_view phaseName(Phase phase)
{
    switch (phase) {
    case Phase::Queued:
        return "queued";
    case Phase::AheadOfQueue:
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

void addRequestSummaries(const RequestStore &store, TimePoint now,
                         std::vector<NodeStatus::RequestSummary> &lines)
{
    for (const auto &[id, request] : store.all()) {
        if (lines.size() == kMaxRequestSummaries)
            return;
        NodeStatus::RequestSummary line;
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

    void handleEvent(const Event &event);
    void performOrderActions();
    void emitDueReleases();
    void checkDrain();
    void updateTime(TimePoint now);

    ServiceRegistry services;
    NodeContext context;
    RequestStore store;
    RequestCompletion completion;
    Dispatcher dispatcher;
    ParallelGroupHandler parallelGroups;
    SuspectStore suspects;
    AttemptHandler attempts;
    AtMostOnceHandler atMostOnce;
    Admission admission;
    ControlPlaneHandler controlPlane;
    bool isDraining = false;
    bool isExitReady = false;
};

EntryNode::Impl::Impl(NodeSettings settings)
    : context(std::move(settings), services)
    , completion(context, store)
    , dispatcher(context, store)
    , parallelGroups(context, store, dispatcher, firstOp(context.idBase(), OpRange::ParallelGroups))
    , suspects(context, firstOp(context.idBase(), OpRange::Suspects))
    , attempts(context, store, completion, dispatcher, parallelGroups, suspects)
    , atMostOnce(context, store, completion, dispatcher)
    , admission(context, store, completion, dispatcher, attempts, atMostOnce)
    , controlPlane(context, dispatcher, attempts, parallelGroups, suspects)
{
    const NodeSettings &s = context.settings;
    const std::uint64_t base = context.idBase();
    dispatcher.setDependencies(&parallelGroups, &suspects);
    services.add<Router>(service::kRouter, s.self.zone, s.upstreams, s.router);
    services.add<LimitsTable>(service::kLimits, s.limits, firstOp(base, OpRange::Limits));
    auto &shares = services.add<ShareAllocator>(
        service::kShares, ShareAllocator::Member{s.self.id, s.incarnation}, base + 1);
    services.add<TeamLimiter>(service::kTeamLimiter, shares);
    services.add<IdempotencyStore>(service::kIdempotencyStore, s.idempotency,
                                   firstOp(base, OpRange::Idempotency));
    services.add<Membership>(service::kMembership, s.self, s.incarnation, s.peers, s.membership);
    services.add<ReservationRegistry>(service::kReservations, s.self.id, s.incarnation,
                                      s.reservations);
    services.add<Quarantine>(service::kQuarantine, s.quarantine);
    services.add<UnattributedCrashes>(service::kUnattributedCrashes, s.unattributedCrashes);
    services.add<OrderService>(service::kOrders, s.self.id, s.incarnation, s.upstreams, s.orders,
                               firstOp(base, OpRange::Orders));
}

void EntryNode::Impl::performOrderActions()
{
    for (OrderService::Action &action :
         context.service<OrderService>(service::kOrders).takeActions()) {
        if (auto *call = std::get_if<OrderService::Call>(&action))
            context.emit(TableCall{call->op, std::move(call->request)});
        else if (auto *order = std::get_if<OrderService::Order>(&action))
            context.emit(SendOrder{order->upstream, order->fence, std::move(order->state)});
    }
}

void EntryNode::Impl::emitDueReleases()
{
    auto &reservations = context.service<ReservationRegistry>(service::kReservations);
    for (const ReservationRegistry::DueRelease &release : reservations.dueReleases(context.now))
        context.emit(Release{release.reservation, release.upstream});
}

void EntryNode::Impl::updateTime(TimePoint now)
{
    // While the process was frozen, its view of the upstreams became stale.
    const bool wasFrozen = context.now != TimePoint{} && now - context.now > kFreezeThreshold;
    context.now = now;
    if (!wasFrozen)
        return;
    dispatcher.suspendUntil(now + kLoadReportWait);
    context.log(LogLine("pause_noticed"));
}

void EntryNode::Impl::checkDrain()
{
    if (!isDraining || isExitReady || store.size() != 0)
        return;
    const bool hasNothingPending =
        context.service<IdempotencyStore>(service::kIdempotencyStore).pendingAttemptCount() == 0
        && context.service<ReservationRegistry>(service::kReservations).releasingCount() == 0;
    if (!hasNothingPending)
        return;
    isExitReady = true;
    context.service<OrderService>(service::kOrders).stop();
    context.emit(ExitReady{});
}

void EntryNode::Impl::handleEvent(const Event &event)
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
        void operator()(const LoadReport &e) const { node.controlPlane.onReport(e); }
        void operator()(const LoadReportMissing &e) const { node.controlPlane.onReportMissing(e); }
        void operator()(const CacheEvents &e) const
        {
            node.context.service<Router>(service::kRouter).onCacheEvents(e);
        }
        void operator()(const ReserveReply &e) const { node.parallelGroups.onReserveReply(e); }
        void operator()(const ReleaseReply &e) const
        {
            if (e.isAcknowledged)
                node.context.service<ReservationRegistry>(service::kReservations)
                    .onReleased(e.reservation);
        }
        void operator()(const ExpiredReservations &e) const
        {
            auto &reservations = node.context.service<ReservationRegistry>(service::kReservations);
            for (ReservationId reservation : e.reservations)
                reservations.releaseUnknown(reservation, e.upstream, node.context.now);
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
                node.controlPlane.onTableReply(e);
        }
        void operator()(const VmListUpdate &e) const { node.controlPlane.onVmList(e); }
        void operator()(const PeerReceived &e) const { node.controlPlane.onPeerMessage(e.message); }
        void operator()(const LimitsEdit &e) const
        {
            node.context.service<LimitsTable>(service::kLimits).startEdit(e.edit, node.context.now);
        }
        void operator()(const DesiredStateEdit &e) const
        {
            node.context.service<OrderService>(service::kOrders).setDesired(e.upstream, e.state);
        }
        void operator()(const DrainRequest &) const
        {
            node.isDraining = true;
            node.admission.beginDrain();
            node.context.service<Membership>(service::kMembership).announceDraining();
            node.context.log(
                LogLine("drain_started").add("in_flight", std::uint64_t{node.store.size()}));
        }
        void operator()(const UpstreamDrainRequest &e) const
        {
            node.controlPlane.onUpstreamDrain(e.upstream);
        }
        void operator()(const QuarantineClear &e) const
        {
            node.controlPlane.onQuarantineClear(e.fingerprint);
        }
        void operator()(const Tick &) const
        {
            node.admission.tick();
            node.controlPlane.tick();
            node.dispatcher.resumeLimitedTeams();
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
    m_impl->updateTime(now);
    m_impl->context.wallNow = wallNow;
    m_impl->handleEvent(event);
    m_impl->atMostOnce.performActions();
    m_impl->dispatcher.dispatchWaiting();
    m_impl->admission.rejectTooLate();
    m_impl->atMostOnce.performActions();
    m_impl->performOrderActions();
    m_impl->controlPlane.performLimitsActions();
    m_impl->emitDueReleases();
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
    const auto &reservations = context.service<ReservationRegistry>(service::kReservations);
    const auto &orders = context.service<OrderService>(service::kOrders);
    NodeStatus status;
    status.isDraining = m_impl->isDraining;
    status.isPlatformReachable =
        !context.service<LimitsTable>(service::kLimits).isTableServiceUnreachable();
    status.limitsVersion = limits().version;
    status.queued = m_impl->dispatcher.queuedCount();
    status.running = m_impl->store.size() - std::min(m_impl->store.size(), status.queued);
    status.reservations = reservations.ownCount();
    status.pendingReleases = reservations.releasingCount();
    status.pendingKeys =
        context.service<IdempotencyStore>(service::kIdempotencyStore).pendingAttemptCount();
    for (const UpstreamInfo &info : context.settings.upstreams) {
        NodeStatus::Upstream upstream;
        upstream.info = info;
        upstream.isUsable = router.isUsable(info.id, now);
        upstream.isDraining = router.isDraining(info.id);
        upstream.inFlight = router.inFlight(info.id);
        upstream.state = orders.reported(info.id).value_or("");
        status.upstreams.push_back(std::move(upstream));
    }
    status.members.push_back(
        {context.settings.self, membership.state(context.settings.self.id), status.limitsVersion});
    for (const VmInfo &peer : context.settings.peers) {
        status.members.push_back(
            {peer, membership.state(peer.id), m_impl->controlPlane.confirmedVersion(peer.id)});
    }
    addRequestSummaries(m_impl->store, now, status.requests);
    status.suspects = context.service<Quarantine>(service::kQuarantine).records();
    return status;
}

} // namespace arbutuspier
