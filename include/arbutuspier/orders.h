// Brings upstreams to the state operators want (model, adapter, role) by fenced, declarative
// orders.
//
// The wanted state is a row in the table service. One VM at a time, by lease, sends the order; the
// lease's fence goes with it. Upstreams that do not check fences get their first order under a new
// holder only after any order of the earlier holder has run out of time.
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
    /// An order with no reply by then is taken as of unknown outcome.
    Duration orderTimeout = std::chrono::seconds{4};
    /// Time between reads of the wanted states, jittered.
    Duration pollInterval = std::chrono::seconds{3};
    /// Loads that may draw on the weight store at once, over the whole fleet.
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

    /// An operator wants this state; written to the table until it is there.
    void setDesired(UpstreamId upstream, std::string state);
    /// Fewer VMs contend if only those chosen for an upstream try.
    void setContenders(std::set<UpstreamId> upstreams) { m_contended = std::move(upstreams); }
    /// The upstream says what state it is in.
    void onReported(UpstreamId upstream, Incarnation incarnation, std::string_view state);
    void onOrderReply(const OrderReply &reply, TimePoint now);
    bool onTableReply(TableOpId op, const TableOutcome &outcome, TimePoint now, Random &random);
    void tick(TimePoint now, Random &random);
    /// Gives all leases back; no order is sent any more.
    void stop() { m_isStopped = true; }

    /// The state last reported by the upstream.
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
        std::optional<std::string> toWrite;
        std::optional<TableOpId> writeOp;
        Lease lease;
        std::optional<TimePoint> orderSentAt;
        std::uint64_t orderFence = 0;
        std::optional<std::size_t> slot;
    };

    bool needsOrder(const Target &target) const;
    void tickTarget(Target &target, TimePoint now, Random &random);
    void tickLease(Lease &lease, TimePoint now, Random &random);
    void tryOrder(Target &target, TimePoint now);
    bool holdsSlot(Target &target, TimePoint now);
    void releaseSlot(Target &target);
    void issue(TableOpId op, TableRequest request);
    TableOpId takeOp();
    void onDesiredRows(const TableRows &rows);

    VmId m_self;
    Incarnation m_incarnation;
    OrderOptions m_options;
    TableOpId m_nextOp;
    std::map<UpstreamId, Target> m_targets;
    std::set<UpstreamId> m_contended;
    std::vector<Lease> m_slots;
    /// Upstream that uses each slot, if this VM wants the slot.
    std::vector<std::optional<UpstreamId>> m_slotUsers;
    std::optional<TableOpId> m_pollOp;
    std::optional<TimePoint> m_nextPoll;
    bool m_isStopped = false;
    std::vector<Action> m_actions;
};

} // namespace arbutuspier
