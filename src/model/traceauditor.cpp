// Collects the events by request, VM and upstream in one pass and then checks each guarantee. Some
// violations are found during the pass already.
#include "model/traceauditor.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace arbutuspier::model {

namespace {

struct RequestFacts
{
    VmId vm;
    TimePoint arrivedAt;
    Duration limit{};
    bool hasArrived = false;
    std::optional<TimePoint> answeredAt;
    std::optional<ResponseSent> answer;
    int answers = 0;
    std::optional<TimePoint> callerLeftAt;
    std::vector<ChunkDelivered> pieces;
    std::size_t runs = 0;
};

struct VmFacts
{
    std::optional<TimePoint> lostAt;
    std::optional<TimePoint> drainAt;
    std::optional<TimePoint> exitedAt;
    std::vector<std::pair<TimePoint, TimePoint>> frozen;
    /// Intervals (from, until) in which the VM could reach the platform, directly or through a
    /// peer.
    std::vector<std::pair<TimePoint, TimePoint>> reach;
    std::vector<std::pair<TimePoint, std::uint64_t>> versions;
    std::optional<TimePoint> startedAt;
};

class Audit
{
public:
    Audit(const Trace &trace, const AuditBounds &bounds)
        : m_bounds(bounds)
    {
        for (const TraceEntry &entry : trace) {
            m_now = entry.at;
            std::visit([this](const auto &fact) { collect(fact); }, entry.fact);
        }
    }

    std::vector<Violation> check()
    {
        for (const auto &[id, facts] : m_requests) {
            checkInTime(id, facts);
            checkAnswer(id, facts);
            checkShutdown(id, facts);
        }
        checkOnce();
        checkEdits();
        checkBodies();
        return std::move(m_violations);
    }

private:
    void collect(const RequestArrived &f)
    {
        RequestFacts &facts = m_requests[f.request];
        facts.vm = f.vm;
        facts.arrivedAt = m_now;
        facts.limit = f.limit;
        facts.hasArrived = true;
    }
    void collect(const ResponseSent &f)
    {
        RequestFacts &facts = m_requests[f.request];
        ++facts.answers;
        facts.answeredAt = m_now;
        facts.answer = f;
    }
    void collect(const ChunkDelivered &f) { m_requests[f.request].pieces.push_back(f); }
    void collect(const AttemptRan &f)
    {
        ++m_requests[f.request].runs;
        if (!f.atMostOnceKey.empty())
            ++m_runsOfKey[f.atMostOnceKey];
        auto left = m_left.find({f.upstream, f.incarnation});
        if (left != m_left.end() && m_now > left->second + m_bounds.leaving)
            add(Guarantee::LeavingGetsNothing,
                "upstream " + std::to_string(f.upstream.value) + " got request "
                    + std::to_string(f.request.value) + " too long after it began to drain");
    }
    void collect(const CallerLeft &f) { m_requests[f.request].callerLeftAt = m_now; }
    void collect(const VmLost &f) { m_vms[f.vm].lostAt = m_now; }
    void collect(const VmFrozen &f) { m_vms[f.vm].frozen.emplace_back(m_now, m_now + f.duration); }
    void collect(const DrainBegan &f) { m_vms[f.vm].drainAt = m_now; }
    void collect(const VmExited &f)
    {
        m_vms[f.vm].exitedAt = m_now;
        for (const auto &[id, facts] : m_requests) {
            const bool isOpen =
                facts.hasArrived && facts.vm == f.vm && !facts.answeredAt && !facts.callerLeftAt;
            if (isOpen)
                add(Guarantee::GracefulShutdown,
                    "VM " + std::to_string(f.vm.value) + " exited with request "
                        + std::to_string(id.value) + " in flight");
        }
    }
    void collect(const UpstreamLeft &f) { m_left.try_emplace({f.upstream, f.incarnation}, m_now); }
    void collect(const UpstreamDied &f)
    {
        if (f.killer.isValid())
            ++m_deathsOfBody[f.killer];
    }
    void collect(const MemoryAtEnd &f)
    {
        if (f.reservedTokens != 0)
            add(Guarantee::NoMemoryLost,
                "upstream " + std::to_string(f.upstream.value) + " still has "
                    + std::to_string(f.reservedTokens)
                    + " tokens of memory in use at the end of the session");
    }
    void collect(const EditConfirmed &f) { m_edits.emplace_back(m_now, f.version); }
    void collect(const VersionInForce &f)
    {
        VmFacts &vm = m_vms[f.vm];
        auto &highest = m_highest[{f.vm, f.incarnation}];
        if (f.version < highest)
            add(Guarantee::EditsHold,
                "VM " + std::to_string(f.vm.value) + " reverted to version "
                    + std::to_string(f.version));
        highest = std::max(highest, f.version);
        vm.versions.emplace_back(m_now, f.version);
    }
    void collect(const ReachChanged &f)
    {
        VmFacts &vm = m_vms[f.vm];
        const bool isOpen = !vm.reach.empty() && vm.reach.back().second == TimePoint::max();
        if (f.canReach && !isOpen)
            vm.reach.emplace_back(m_now, TimePoint::max());
        if (!f.canReach && isOpen)
            vm.reach.back().second = m_now;
    }
    void collect(const OrderTaken &f)
    {
        std::uint64_t &highest = m_fences[f.upstream];
        if (f.fence < highest)
            add(Guarantee::AtMostOnce,
                "upstream " + std::to_string(f.upstream.value)
                    + " executed an order with a stale fencing token");
        highest = std::max(highest, f.fence);
    }
    void collect(const SessionEnded &) { m_endedAt = m_now; }

    void add(Guarantee guarantee, std::string description)
    {
        m_violations.push_back({guarantee, std::move(description)});
    }

    /// Whether a late or missing response is excused, because the VM crashed after the request had
    /// arrived.
    bool isExcused(const RequestFacts &facts, TimePoint due) const
    {
        auto it = m_vms.find(facts.vm);
        if (it == m_vms.end())
            return false;
        const VmFacts &vm = it->second;
        const bool isLost = vm.lostAt && *vm.lostAt >= facts.arrivedAt;
        return isLost && (!facts.answeredAt || *facts.answeredAt > due);
    }

    /// Postpones a deadline that falls into a freeze of the VM to the end of that freeze, because
    /// a frozen VM can't respond before.
    TimePoint afterFreeze(const RequestFacts &facts, TimePoint due) const
    {
        auto it = m_vms.find(facts.vm);
        if (it == m_vms.end())
            return due;
        for (const auto &[from, until] : it->second.frozen) {
            if (due >= from && due < until)
                due = until;
        }
        return due;
    }

    void checkInTime(RequestId id, const RequestFacts &facts)
    {
        if (!facts.hasArrived || facts.callerLeftAt)
            return;
        const TimePoint due =
            afterFreeze(facts, facts.arrivedAt + facts.limit) + m_bounds.answerSlack;
        if (isExcused(facts, due))
            return;
        const std::string name = "request " + std::to_string(id.value);
        if (!facts.answeredAt && m_endedAt && *m_endedAt > due)
            add(Guarantee::InTime, name + " got no response");
        if (facts.answeredAt && *facts.answeredAt > due)
            add(Guarantee::InTime, name + " got its response after its deadline");
        if (facts.answers > 1)
            add(Guarantee::InTime, name + " got more than one response");
    }

    void checkAnswer(RequestId id, const RequestFacts &facts)
    {
        const std::string name = "request " + std::to_string(id.value);
        std::uint64_t next = 0;
        for (const ChunkDelivered &piece : facts.pieces) {
            if (piece.generatedFor != id)
                add(Guarantee::WholeOwnAnswer, name + " got a chunk of another request's response");
            if (piece.offset != next)
                add(Guarantee::WholeOwnAnswer, name + " got a chunk at the wrong offset");
            next = piece.offset + piece.count;
        }
        if (!facts.answer)
            return;
        const bool isWhole = facts.answer->verdict == Verdict::Ran && facts.answer->wholeUnits != 0;
        if (isWhole && next != facts.answer->wholeUnits)
            add(Guarantee::WholeOwnAnswer,
                name + " got " + std::to_string(next) + " of "
                    + std::to_string(facts.answer->wholeUnits) + " output tokens");
        if (facts.answer->verdict == Verdict::NotRun && facts.runs > 0)
            add(Guarantee::NotRunIsTrue, name + " got the verdict not-run, but an upstream ran it");
    }

    void checkShutdown(RequestId id, const RequestFacts &facts)
    {
        auto it = m_vms.find(facts.vm);
        if (it == m_vms.end() || !it->second.drainAt || !facts.answer || !facts.hasArrived)
            return;
        const bool wasInFlight = facts.arrivedAt < *it->second.drainAt;
        if (wasInFlight && facts.answer->reason == Reason::Draining)
            add(Guarantee::GracefulShutdown,
                "request " + std::to_string(id.value)
                    + " was in flight when its VM began to drain, and was rejected");
    }

    void checkOnce()
    {
        for (const auto &[key, runs] : m_runsOfKey) {
            if (runs > 1)
                add(Guarantee::AtMostOnce,
                    "key " + key + " ran " + std::to_string(runs) + " times");
        }
    }

    void checkEdits()
    {
        for (const auto &[at, version] : m_edits) {
            for (const auto &[id, vm] : m_vms)
                checkEdit(id, vm, at, version);
        }
    }

    void checkEdit(VmId id, const VmFacts &vm, TimePoint at, std::uint64_t version)
    {
        for (const auto &[from, until] : vm.reach) {
            // The VM must have the version once it could reach the platform for the whole bound.
            const TimePoint due = std::max(from, at) + m_bounds.edit;
            const bool wasThere = due <= until && m_endedAt && due <= *m_endedAt
                && !(vm.lostAt && *vm.lostAt <= due) && !(vm.exitedAt && *vm.exitedAt <= due);
            if (!wasThere)
                continue;
            const bool hasIt = std::any_of(vm.versions.begin(), vm.versions.end(),
                                           [&, due = due, version = version](const auto &entry) {
                                               return entry.first <= due && entry.second >= version;
                                           });
            if (!hasIt)
                add(Guarantee::EditsHold,
                    "VM " + std::to_string(id.value) + " did not activate version "
                        + std::to_string(version) + " in time");
        }
    }

    void checkBodies()
    {
        for (const auto &[body, deaths] : m_deathsOfBody) {
            if (deaths > m_bounds.upstreamsPerBody)
                add(Guarantee::FewUpstreamsLost,
                    "requests with fingerprint " + std::to_string(body.value) + " crashed "
                        + std::to_string(deaths) + " upstreams");
        }
    }

    AuditBounds m_bounds;
    TimePoint m_now;
    std::optional<TimePoint> m_endedAt;
    std::map<RequestId, RequestFacts> m_requests;
    std::map<VmId, VmFacts> m_vms;
    std::map<std::string, std::size_t> m_runsOfKey;
    std::map<std::pair<UpstreamId, Incarnation>, TimePoint> m_left;
    std::map<Fingerprint, std::size_t> m_deathsOfBody;
    std::map<std::pair<VmId, Incarnation>, std::uint64_t> m_highest;
    std::map<UpstreamId, std::uint64_t> m_fences;
    std::vector<std::pair<TimePoint, std::uint64_t>> m_edits;
    std::vector<Violation> m_violations;
};

} // namespace

std::string_view guaranteeName(Guarantee guarantee)
{
    switch (guarantee) {
    case Guarantee::InTime:
        return "in-time";
    case Guarantee::NoMemoryLost:
        return "no-memory-lost";
    case Guarantee::WholeOwnAnswer:
        return "whole-own-answer";
    case Guarantee::NotRunIsTrue:
        return "not-run-is-true";
    case Guarantee::AtMostOnce:
        return "at-most-once";
    case Guarantee::LeavingGetsNothing:
        return "leaving-gets-nothing";
    case Guarantee::GracefulShutdown:
        return "graceful-shutdown";
    case Guarantee::EditsHold:
        return "edits-hold";
    case Guarantee::FewUpstreamsLost:
        return "few-upstreams-lost";
    }
    return "unknown";
}

std::vector<Violation> TraceAuditor::audit(const Trace &trace) const
{
    return Audit(trace, m_bounds).check();
}

} // namespace arbutuspier::model
