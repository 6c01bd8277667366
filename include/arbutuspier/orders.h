// Brings upstreams to the state that operators desire (model, adapter, role) by sending them
// declarative orders with a fencing token.
//
// The desired state is a row in the table service. Only the VM that holds the upstream's lease
// sends the order, together with the lease's fencing token. If an upstream doesn't check fencing
// tokens, a new lease holder sends its first order only after every order of the earlier holder has
// timed out.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/event.h"
#include "arbutuspier/ids.h"
#include "arbutuspier/lease.h"
#include "arbutuspier/random.h"
#include "arbutuspier/table.h"
#include "arbutuspier/upstream.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace arbutuspier {

struct OrderOptions
{
    LeaseOptions lease;
    /// The outcome of an order without a reply after this time counts as unknown.
    Duration orderTimeout = std::chrono::seconds{4};
    /// Time between polls of the desired states, jittered.
    Duration pollInterval = std::chrono::seconds{3};
    /// Most upstreams in the whole fleet that load weights from the weight store at the same time.
    std::size_t weightSlots = 2;
};

class OrderService
{
public:
    struct Call
    {
        TableOpId op;
        TableRequest request;
    };
    struct Order
    {
        UpstreamId upstream;
        std::uint64_t fence = 0;
        std::string state;
    };
    using Action = std::variant<Call, Order>;

    OrderService(VmId self, Incarnation incarnation, std::span<const UpstreamInfo> upstreams,
                 OrderOptions options, TableOpId firstOp);

    /// Sets the state that an operator desires. The write to the table service is repeated until it
    /// has taken effect.
    void setDesired(UpstreamId upstream, std::string state);
    /// Sets the upstreams whose leases this VM tries to acquire. Fewer VMs contend for a lease if
    /// only those that use the upstream try.
    void setContendedUpstreams(std::set<UpstreamId> upstreams)
    {
        m_contendedUpstreams = std::move(upstreams);
    }
    /// The upstream reported its current state.
    void onReported(UpstreamId upstream, Incarnation incarnation, std::string_view state);
    void onOrderReply(const OrderReply &reply, TimePoint now);
    /// Returns true if `op` is a call of this service.
    bool onTableReply(TableOpId op, const TableOutcome &outcome, TimePoint now, Random &random);
    void tick(TimePoint now, Random &random);
    /// Stops sending orders and releases all leases with the next calls of `tick`.
    void stop() { m_isStopped = true; }

    /// The state that the upstream last reported.
    std::optional<std::string> reported(UpstreamId upstream) const;
    std::optional<std::string> desired(UpstreamId upstream) const;
    std::vector<Action> takeActions();

private:
    struct Target
    {
        UpstreamInfo info;
        RowVersion desiredVersion = 0;
        std::string desired;
        std::string reported;
        Incarnation incarnation;
        std::optional<std::string> unwrittenDesired;
        std::optional<TableOpId> writeOp;
        Lease lease;
        std::optional<TimePoint> orderSentAt;
        std::uint64_t orderFence = 0;
        std::optional<std::size_t> slot;
    };

    bool needsOrder(const Target &target) const;
    void tickTarget(Target &target, TimePoint now, Random &random);
    void tickLease(Lease &lease, TimePoint now, Random &random);
    void trySendOrder(Target &target, TimePoint now);
    bool acquireSlot(Target &target, TimePoint now);
    void releaseSlot(Target &target);
    void issueCall(TableOpId op, TableRequest request);
    TableOpId allocateOp();
    void onDesiredRows(const TableRows &rows);

    VmId m_self;
    Incarnation m_incarnation;
    OrderOptions m_options;
    TableOpId m_nextOp;
    std::map<UpstreamId, Target> m_targets;
    std::set<UpstreamId> m_contendedUpstreams;
    std::vector<Lease> m_slotLeases;
    /// For each slot, the upstream for which this VM holds or tries to acquire it.
    std::vector<std::optional<UpstreamId>> m_slotUsers;
    std::optional<TableOpId> m_pollOp;
    std::optional<TimePoint> m_nextPoll;
    bool m_isStopped = false;
    std::vector<Action> m_actions;
};

} // namespace arbutuspier
