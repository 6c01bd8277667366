// Sends orders to upstreams whose reported state differs from the desired one. Requires the
// upstream's lease and one of the fleet's slots for loading weights.
#include "arbutuspier/orders.h"

#include <charconv>
#include <utility>

namespace arbutuspier {

namespace {

constexpr std::string_view kDesiredPrefix = "desired/";
constexpr std::string_view kLeasePrefix = "lease/";
constexpr std::string_view kSlotPrefix = "weights/";

std::string rowKey(std::string_view prefix, std::uint64_t number)
{
    return std::string(prefix) + std::to_string(number);
}

} // namespace

OrderService::OrderService(VmId self, Incarnation incarnation,
                           std::span<const UpstreamInfo> upstreams, OrderOptions options,
                           TableOpId firstOp)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_options(options)
    , m_nextOp(firstOp)
{
    for (const UpstreamInfo &upstream : upstreams) {
        if (upstream.kind != RequestKind::Prompt)
            continue;
        Lease lease(rowKey(kLeasePrefix, upstream.id.value), self, incarnation, options.lease);
        Target target{.info = upstream, .lease = std::move(lease)};
        m_targets.emplace(upstream.id, std::move(target));
        m_contendedUpstreams.insert(upstream.id);
    }
    for (std::size_t i = 0; i < options.weightSlots; ++i)
        m_slotLeases.emplace_back(rowKey(kSlotPrefix, i), self, incarnation, options.lease);
    m_slotUsers.resize(options.weightSlots);
}

TableOpId OrderService::allocateOp()
{
    const TableOpId op = m_nextOp;
    ++m_nextOp.value;
    return op;
}

void OrderService::issueCall(TableOpId op, TableRequest request)
{
    m_actions.push_back(Call{op, std::move(request)});
}

void OrderService::setDesired(UpstreamId upstream, std::string state)
{
    auto it = m_targets.find(upstream);
    if (it != m_targets.end())
        it->second.unwrittenDesired = std::move(state);
}

bool OrderService::needsOrder(const Target &target) const
{
    return !m_isStopped && target.desiredVersion != 0 && target.desired != target.reported
        && m_contendedUpstreams.contains(target.info.id);
}

void OrderService::tick(TimePoint now, Random &random)
{
    if (!m_nextPoll)
        m_nextPoll = now;
    if (!m_pollOp && now >= *m_nextPoll) {
        m_nextPoll = now + jittered(random, m_options.pollInterval);
        m_pollOp = allocateOp();
        issueCall(*m_pollOp, TableRead{std::string(kDesiredPrefix), true});
    }
    for (auto &[id, target] : m_targets)
        tickTarget(target, now, random);
    for (std::size_t i = 0; i < m_slotLeases.size(); ++i) {
        m_slotLeases[i].setWanted(m_slotUsers[i].has_value() && !m_isStopped);
        if (m_slotLeases[i].isIdle())
            continue;
        tickLease(m_slotLeases[i], now, random);
    }
}

void OrderService::tickLease(Lease &lease, TimePoint now, Random &random)
{
    if (auto call = lease.tick(now, m_nextOp, random)) {
        ++m_nextOp.value;
        issueCall(call->op, std::move(call->request));
    }
}

void OrderService::tickTarget(Target &target, TimePoint now, Random &random)
{
    if (target.unwrittenDesired && !target.writeOp) {
        target.writeOp = allocateOp();
        const std::string key = rowKey(kDesiredPrefix, target.info.id.value);
        issueCall(
            *target.writeOp,
            TableTransaction{{{key, target.desiredVersion, *target.unwrittenDesired, false}}});
    }
    const bool isOrderTimedOut =
        target.orderSentAt && now >= *target.orderSentAt + m_options.orderTimeout;
    if (isOrderTimedOut)
        target.orderSentAt.reset();
    // Keep the lease while an order is in flight, so that no other VM sends a conflicting order.
    target.lease.setWanted(needsOrder(target) || target.orderSentAt.has_value());
    if (!target.lease.isIdle()) {
        tickLease(target.lease, now, random);
    }
    if (needsOrder(target) && !target.orderSentAt)
        trySendOrder(target, now);
    // A VM keeps a slot only while it holds the upstream's lease. Otherwise two VMs could deadlock,
    // one with the slot and the other with the lease.
    const bool hasLease = target.lease.isHeld(now, Duration::zero());
    if ((!needsOrder(target) || !hasLease) && !target.orderSentAt)
        releaseSlot(target);
}

void OrderService::trySendOrder(Target &target, TimePoint now)
{
    if (!target.lease.isHeld(now, m_options.orderTimeout))
        return;
    const bool mustWaitForEarlierOrder = target.lease.wasTakenOver() && !target.info.checksFence
        && now < target.lease.heldSince() + m_options.orderTimeout;
    if (mustWaitForEarlierOrder || !acquireSlot(target, now))
        return;
    target.orderSentAt = now;
    target.orderFence = target.lease.fence();
    m_actions.push_back(Order{target.info.id, target.orderFence, target.desired});
}

bool OrderService::acquireSlot(Target &target, TimePoint now)
{
    if (!target.slot) {
        for (std::size_t i = 0; i < m_slotLeases.size() && !target.slot; ++i) {
            // Start at a slot that depends on the upstream, so that the upstreams don't all wait
            // for the same slot.
            const std::size_t slot = (i + target.info.id.value) % m_slotLeases.size();
            if (m_slotUsers[slot])
                continue;
            m_slotUsers[slot] = target.info.id;
            target.slot = slot;
        }
    }
    return target.slot && m_slotLeases[*target.slot].isHeld(now, m_options.orderTimeout);
}

void OrderService::releaseSlot(Target &target)
{
    if (!target.slot)
        return;
    m_slotUsers[*target.slot].reset();
    target.slot.reset();
}

void OrderService::onReported(UpstreamId upstream, Incarnation incarnation, std::string_view state)
{
    auto it = m_targets.find(upstream);
    if (it == m_targets.end())
        return;
    // A new process starts in its initial state, so the earlier report is obsolete even if the new
    // process reports no state.
    const bool isNewIncarnation = it->second.incarnation != incarnation;
    it->second.incarnation = incarnation;
    if (isNewIncarnation || !state.empty())
        it->second.reported = state;
}

void OrderService::onOrderReply(const OrderReply &reply, TimePoint)
{
    auto it = m_targets.find(reply.upstream);
    if (it == m_targets.end())
        return;
    Target &target = it->second;
    if (!target.orderSentAt || reply.fence != target.orderFence)
        return;
    if (reply.outcome == OrderOutcome::Unknown)
        return;
    target.orderSentAt.reset();
    if (reply.outcome == OrderOutcome::Done)
        target.reported = reply.state;
}

bool OrderService::onTableReply(TableOpId op, const TableOutcome &outcome, TimePoint now, Random &)
{
    if (m_pollOp && *m_pollOp == op) {
        m_pollOp.reset();
        if (const auto *rows = std::get_if<TableRows>(&outcome))
            onDesiredRows(*rows);
        return true;
    }
    for (auto &[id, target] : m_targets) {
        if (target.writeOp && *target.writeOp == op) {
            target.writeOp.reset();
            if (std::holds_alternative<TableCommitted>(outcome)) {
                target.desired = *target.unwrittenDesired;
                ++target.desiredVersion;
                target.unwrittenDesired.reset();
            }
            if (const auto *conflict = std::get_if<TableConflict>(&outcome))
                onDesiredRows({conflict->rows});
            return true;
        }
        if (target.lease.onTableReply(op, outcome, now))
            return true;
    }
    for (Lease &slot : m_slotLeases) {
        if (slot.onTableReply(op, outcome, now))
            return true;
    }
    return false;
}

void OrderService::onDesiredRows(const TableRows &rows)
{
    for (const TableRow &row : rows.rows) {
        if (row.key.rfind(kDesiredPrefix, 0) != 0)
            continue;
        UpstreamId id;
        const char *first = row.key.data() + kDesiredPrefix.size();
        std::from_chars(first, row.key.data() + row.key.size(), id.value);
        auto it = m_targets.find(id);
        if (it == m_targets.end() || row.version <= it->second.desiredVersion)
            continue;
        it->second.desiredVersion = row.version;
        it->second.desired = row.value;
        // The row has the value that this VM was writing: the write took effect and its reply was
        // lost.
        if (it->second.unwrittenDesired && *it->second.unwrittenDesired == row.value)
            it->second.unwrittenDesired.reset();
    }
}

std::optional<std::string> OrderService::reported(UpstreamId upstream) const
{
    auto it = m_targets.find(upstream);
    if (it == m_targets.end() || it->second.reported.empty())
        return std::nullopt;
    return it->second.reported;
}

std::optional<std::string> OrderService::desired(UpstreamId upstream) const
{
    auto it = m_targets.find(upstream);
    if (it == m_targets.end() || it->second.desiredVersion == 0)
        return std::nullopt;
    return it->second.desired;
}

std::vector<OrderService::Action> OrderService::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace arbutuspier
