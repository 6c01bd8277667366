// Connects the coordination services with each other, with the peers and with the platform.
#include "node/controlplanehandler.h"

#include <xxhash.h>

#include <algorithm>

namespace arbutuspier {

namespace {

constexpr Duration kSlowTickInterval = std::chrono::milliseconds{250};
/// Number of VMs that compete for the lease of one upstream.
constexpr std::size_t kContendersPerUpstream = 2;
/// Number of peers that keep a backup copy of this VM's reservations.
constexpr std::size_t kBackupPeerCount = 2;
/// Maximum number of peers that receive this VM's service debits, independent of the fleet size.
constexpr std::size_t kDebitFanOut = 3;
/// An upstream without a readable load report for this long counts as unresponsive.
constexpr Duration kUnresponsiveTimeout = std::chrono::seconds{3};
} // namespace

ControlPlaneHandler::ControlPlaneHandler(NodeContext &context, Dispatcher &dispatcher,
                                         AttemptHandler &attempts,
                                         ParallelGroupHandler &parallelGroups,
                                         SuspectStore &suspects)
    : m_context(context)
    , m_dispatcher(dispatcher)
    , m_attempts(attempts)
    , m_parallelGroups(parallelGroups)
    , m_suspects(suspects)
{
}

void ControlPlaneHandler::onPeerMessage(const PeerMessage &message)
{
    auto &membership = m_context.service<Membership>(service::kMembership);
    membership.onMessageFrom(message.from, message.incarnation, m_context.now);
    membership.onUpdates(message.updates, m_context.now);
    const bool isCurrentIncarnation = membership.incarnation(message.from) == message.incarnation;
    if (!isCurrentIncarnation)
        return;
    std::uint64_t &confirmed = m_confirmedVersions[message.from];
    confirmed = std::max(confirmed, message.limitsVersion);
    auto &limits = m_context.service<LimitsTable>(service::kLimits);
    if (message.limitsVersion > limits.version()) {
        limits.onPeerVersion(message.limitsVersion, m_context.now);
        const bool isLimitsPush = std::holds_alternative<LimitsPush>(message.body);
        if (limits.isTableServiceUnreachable() && !isLimitsPush)
            m_context.sendPeer(message.from, LimitsPull{});
    }
    m_context.service<ShareAllocator>(service::kShares)
        .onConfirmed({message.from, message.incarnation}, message.shareEpoch);
    handleBody(message.from, message);
    onMembershipChanges();
    sendOutgoing();
}

void ControlPlaneHandler::handleBody(VmId from, const PeerMessage &message)
{
    auto &membership = m_context.service<Membership>(service::kMembership);
    auto &shares = m_context.service<ShareAllocator>(service::kShares);
    auto &limits = m_context.service<LimitsTable>(service::kLimits);
    auto &reservations = m_context.service<ReservationRegistry>(service::kReservations);
    struct Visitor
    {
        ControlPlaneHandler &handler;
        VmId from;
        Membership &membership;
        ShareAllocator &shares;
        LimitsTable &limits;
        ReservationRegistry &reservations;

        void operator()(const Ping &body) const { membership.onPing(from, body); }
        void operator()(const PingAck &body) const
        {
            membership.onPingAck(from, body, handler.m_context.now);
        }
        void operator()(const PingRequest &body) const
        {
            membership.onPingRequest(from, body, handler.m_context.now);
        }
        void operator()(const LimitsPush &body) const
        {
            limits.activateIfNewer(body.snapshot);
            handler.performLimitsActions();
        }
        void operator()(const LimitsPull &) const
        {
            handler.m_context.sendPeer(from, LimitsPush{limits.snapshot()});
        }
        void operator()(const ReservationNotices &body) const
        {
            reservations.onNotices(body, handler.m_context.now);
        }
        void operator()(const SuspectNotice &body) const { handler.onSuspectNotice(body); }
        void operator()(const ShareTransfer &body) const { shares.onTransfer(from, body); }
        void operator()(const ShareTransferAck &body) const { shares.onTransferAck(from, body); }
        void operator()(const ShareRequest &body) const
        {
            // A VM that has had no request for this row still owns a share of its limit.
            if (const auto names = TeamLimiter::parseShareKey(body.rowKey))
                handler.m_context.service<TeamLimiter>(service::kTeamLimiter)
                    .setRow(limits.row(names->second, names->first));
            shares.onRequest(from, body);
        }
        void operator()(const DrainingNotice &body) const
        {
            const Incarnation known =
                handler.m_context.service<Router>(service::kRouter).incarnation(body.upstream);
            if (!known.isValid() || known == body.incarnation)
                handler.markDraining(body.upstream, "peer");
        }
        void operator()(const ServiceDebits &body) const
        {
            handler.m_dispatcher.chargeTokensDispatchedElsewhere(body);
        }
    };
    std::visit(Visitor{*this, from, membership, shares, limits, reservations}, message.body);
}

void ControlPlaneHandler::onTableReply(const TableReply &reply)
{
    auto &limits = m_context.service<LimitsTable>(service::kLimits);
    auto &orders = m_context.service<OrderService>(service::kOrders);
    const auto &[op, outcome] = reply;
    if (limits.onTableReply(op, outcome, m_context.now, m_context.random)) {
        performLimitsActions();
        return;
    }
    if (orders.onTableReply(op, outcome, m_context.now, m_context.random))
        return;
    if (m_parallelGroups.onTableReply(op, outcome))
        return;
    m_suspects.onTableReply(op, outcome);
    handleSuspectChanges();
}

void ControlPlaneHandler::handleSuspectChanges()
{
    for (Fingerprint fingerprint : m_suspects.takeChanged())
        m_attempts.onSuspectChange(fingerprint);
}

void ControlPlaneHandler::performLimitsActions()
{
    auto &limits = m_context.service<LimitsTable>(service::kLimits);
    for (LimitsTable::Action &action : limits.takeActions()) {
        if (auto *call = std::get_if<LimitsTable::Call>(&action))
            m_context.emit(TableCall{call->op, std::move(call->request)});
        else if (const auto *activated = std::get_if<LimitsTable::Activated>(&action))
            onLimitsActivated(activated->version);
        else if (auto *editResult = std::get_if<EditResult>(&action))
            m_context.emit(std::move(*editResult));
    }
}

void ControlPlaneHandler::onLimitsActivated(std::uint64_t version)
{
    const auto &limits = m_context.service<LimitsTable>(service::kLimits);
    m_context.log(LogLine("limits_adopted")
                      .add("version", version)
                      .add("edit", limits.snapshot().editId)
                      .add("by", limits.snapshot().editor)
                      .add("rows", std::uint64_t{limits.snapshot().rows.size()}));
    // The epoch begins first: no share may grow to a new limit before all VMs have reduced theirs.
    beginEpoch();
    auto &limiter = m_context.service<TeamLimiter>(service::kTeamLimiter);
    for (const LimitRow &row : limiter.rows())
        limiter.setRow(limits.row(row.team, row.className));
    // Every message carries the version; these pings announce it without delay.
    for (VmId peer : m_context.service<Membership>(service::kMembership).reachable())
        m_context.sendPeer(peer, Ping{0, m_context.settings.self.id});
}

void ControlPlaneHandler::beginEpoch()
{
    std::vector<ShareAllocator::Member> members;
    for (const ListedVm &vm : m_list.vms)
        members.push_back({vm.vm, vm.incarnation});
    const ShareEpoch epoch{m_context.service<LimitsTable>(service::kLimits).version(),
                           m_list.revision};
    m_context.service<ShareAllocator>(service::kShares).beginEpoch(epoch, members);
}

void ControlPlaneHandler::onVmList(const VmListUpdate &list)
{
    for (UpstreamId upstream : list.drainingUpstreams)
        markDraining(upstream, "list");
    if (list.revision <= m_list.revision)
        return;
    m_list = list;
    m_context.service<Membership>(service::kMembership).onVmList(list, m_context.now);
    beginEpoch();
    onMembershipChanges();
    sendOutgoing();
}

void ControlPlaneHandler::onMembershipChanges()
{
    auto &membership = m_context.service<Membership>(service::kMembership);
    auto &reservations = m_context.service<ReservationRegistry>(service::kReservations);
    const auto changes = membership.takeChanges();
    for (const Membership::Change &change : changes) {
        constexpr std::string_view kNames[] = {"alive", "suspect", "unreachable", "leaving",
                                               "gone"};
        m_context.log(LogLine("vm_state")
                          .add("vm", change.vm.value)
                          .add("incarnation", change.incarnation.value)
                          .add("state", kNames[static_cast<std::size_t>(change.state)]));
        if (change.state == MemberState::Removed)
            reservations.onOwnerIncarnationEnded(change.vm, change.incarnation, m_context.now);
        if (change.state != MemberState::Alive) {
            m_context.service<UnattributedCrashes>(service::kUnattributedCrashes)
                .onVmLost(m_context.now);
            continue;
        }
        // A VM that returned or is new may keep backups for this VM and has missed suspect notices.
        m_context.sendPeer(change.vm, reservations.allNotices(m_context.now));
        for (const SuspectNotice &notice :
             m_context.service<Quarantine>(service::kQuarantine).records())
            m_context.sendPeer(change.vm, notice);
    }
    if (changes.empty())
        return;
    m_context.service<Router>(service::kRouter).setFleetSize(membership.aliveCount());
    chooseContendedUpstreams();
}

void ControlPlaneHandler::chooseContendedUpstreams()
{
    const auto &membership = m_context.service<Membership>(service::kMembership);
    std::vector<VmId> vms = membership.reachable();
    vms.push_back(m_context.settings.self.id);
    std::set<UpstreamId> contended;
    for (const UpstreamInfo &upstream : m_context.settings.upstreams) {
        const auto rank = [&](VmId vm) {
            return XXH64(&vm.value, sizeof(vm.value), upstream.id.value);
        };
        const std::uint64_t ownRank = rank(m_context.settings.self.id);
        const auto betterRanked = static_cast<std::size_t>(
            std::count_if(vms.begin(), vms.end(), [&](VmId vm) { return rank(vm) < ownRank; }));
        if (betterRanked < kContendersPerUpstream)
            contended.insert(upstream.id);
    }
    m_context.service<OrderService>(service::kOrders).setContendedUpstreams(std::move(contended));
}

void ControlPlaneHandler::onReport(const LoadReport &report)
{
    auto &router = m_context.service<Router>(service::kRouter);
    const Incarnation known = router.incarnation(report.upstream);
    const bool isNewIncarnation = known.isValid() && known != report.incarnation;
    if (isNewIncarnation)
        m_attempts.onUpstreamCrashed(report.upstream);
    m_attempts.onUpstreamAlive(report.upstream, report.incarnation, m_context.now - report.age);
    const bool wasDraining = router.isDraining(report.upstream);
    router.onReport(report, m_context.now);
    if (report.isDraining && !wasDraining)
        markDraining(report.upstream, "upstream");
    m_context.service<OrderService>(service::kOrders)
        .onReported(report.upstream, report.incarnation, report.state);
}

void ControlPlaneHandler::onReportMissing(const LoadReportMissing &missing)
{
    if (missing.refusesConnections) {
        m_attempts.onUpstreamCrashed(missing.upstream);
        return;
    }
    auto &router = m_context.service<Router>(service::kRouter);
    router.onUnresponsive(missing.upstream, m_context.now);
    if (m_context.now - *router.unresponsiveSince(missing.upstream) >= kUnresponsiveTimeout)
        m_attempts.onUpstreamUnresponsive(missing.upstream);
}

void ControlPlaneHandler::markDraining(UpstreamId upstream, std::string_view source)
{
    auto &router = m_context.service<Router>(service::kRouter);
    const bool isChange = !router.isDraining(upstream) || source == "upstream";
    if (!isChange)
        return;
    router.markDraining(upstream);
    m_context.log(LogLine("upstream_leaving")
                      .add("upstream", m_context.upstreamName(upstream))
                      .add("source", source));
    m_context.broadcast(DrainingNotice{upstream, router.incarnation(upstream)});
}

void ControlPlaneHandler::onUpstreamDrain(UpstreamId upstream)
{
    markDraining(upstream, "operator");
}

void ControlPlaneHandler::onSuspectNotice(const SuspectNotice &notice)
{
    auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    const bool isChanged = quarantine.merge(notice, m_context.now);
    if (isChanged && !notice.isCleared())
        m_attempts.onSuspectChange(notice.fingerprint);
}

void ControlPlaneHandler::onQuarantineClear(Fingerprint fingerprint)
{
    auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    for (const SuspectNotice &notice : quarantine.clear(fingerprint)) {
        m_context.broadcast(notice);
        m_suspects.markChanged(notice.fingerprint);
    }
}

void ControlPlaneHandler::sendDebits()
{
    ServiceDebits debits = m_dispatcher.takeDispatchedTokens();
    if (debits.debits.empty())
        return;
    std::vector<VmId> peers = m_context.service<Membership>(service::kMembership).reachable();
    if (peers.size() > kDebitFanOut) {
        // The factor makes up for the peers left out: on average each peer gets the right total.
        const std::uint64_t factor = peers.size() / kDebitFanOut;
        std::shuffle(peers.begin(), peers.end(), m_context.random);
        peers.resize(kDebitFanOut);
        for (ServiceDebit &debit : debits.debits)
            debit.tokens *= factor;
    }
    for (VmId peer : peers)
        m_context.sendPeer(peer, debits);
}

void ControlPlaneHandler::sendOutgoing()
{
    for (auto &[to, body] : m_context.service<Membership>(service::kMembership).takeOutgoing())
        m_context.sendPeer(to, std::move(body));
    for (auto &[to, body] : m_context.service<ShareAllocator>(service::kShares).takeOutgoing())
        m_context.sendPeer(to, std::move(body));
}

void ControlPlaneHandler::tick()
{
    auto &limits = m_context.service<LimitsTable>(service::kLimits);
    limits.tick(m_context.now, m_context.random);
    performLimitsActions();
    auto &membership = m_context.service<Membership>(service::kMembership);
    membership.tick(m_context.now, m_context.random);
    onMembershipChanges();
    auto &reservations = m_context.service<ReservationRegistry>(service::kReservations);
    reservations.tick(m_context.now);
    if (const auto notices = reservations.takeNotices(m_context.now)) {
        for (VmId peer : membership.backupPeers(kBackupPeerCount))
            m_context.sendPeer(peer, *notices);
    }
    m_parallelGroups.tick();
    handleSuspectChanges();
    sendOutgoing();
    if (m_nextSlowTick && m_context.now < *m_nextSlowTick)
        return;
    m_nextSlowTick = m_context.now + kSlowTickInterval;
    auto &orders = m_context.service<OrderService>(service::kOrders);
    orders.tick(m_context.now, m_context.random);
    m_dispatcher.reportWaitingRequests();
    m_context.service<TeamLimiter>(service::kTeamLimiter).tick(m_context.now);
    m_context.service<ShareAllocator>(service::kShares).tick();
    m_context.service<Quarantine>(service::kQuarantine).tick(m_context.now);
    m_suspects.tick();
    sendDebits();
    sendOutgoing();
}

std::uint64_t ControlPlaneHandler::confirmedVersion(VmId vm) const
{
    auto it = m_confirmedVersions.find(vm);
    return it == m_confirmedVersions.end() ? 0 : it->second;
}

} // namespace arbutuspier
