// Collects the events by request, VM and upstream in one pass and then checks each guarantee. Some
// violations are found during the pass already.
#include "model/traceauditor.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace arbutuspier::model {

namespace {

struct RequestHistory
{
    VmId vm;
    TimePoint arrivedAt;
    Duration timeLimit{};
    bool hasArrived = false;
    std::optional<TimePoint> respondedAt;
    std::optional<ResponseSent> response;
    int responseCount = 0;
    std::optional<TimePoint> callerDisconnectedAt;
    std::vector<ChunkDelivered> chunks;
    std::size_t startCount = 0;
};

struct VmHistory
{
    std::optional<TimePoint> crashedAt;
    std::optional<TimePoint> drainBeganAt;
    std::optional<TimePoint> exitedAt;
    std::vector<std::pair<TimePoint, TimePoint>> freezes;
    /// Intervals (from, until) in which the VM could reach the platform, directly or through a
    /// peer.
    std::vector<std::pair<TimePoint, TimePoint>> reachableIntervals;
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
            std::visit([this](const auto &event) { collect(event); }, entry.event);
        }
    }

    std::vector<Violation> check()
    {
        for (const auto &[id, history] : m_requests) {
            checkInTime(id, history);
            checkResponse(id, history);
            checkShutdown(id, history);
        }
        checkAtMostOnce();
        checkEdits();
        checkCrashes();
        return std::move(m_violations);
    }

private:
    void collect(const RequestArrived &event)
    {
        RequestHistory &history = m_requests[event.request];
        history.vm = event.vm;
        history.arrivedAt = m_now;
        history.timeLimit = event.timeLimit;
        history.hasArrived = true;
    }
    void collect(const ResponseSent &event)
    {
        RequestHistory &history = m_requests[event.request];
        ++history.responseCount;
        history.respondedAt = m_now;
        history.response = event;
    }
    void collect(const ChunkDelivered &event) { m_requests[event.request].chunks.push_back(event); }
    void collect(const AttemptStarted &event)
    {
        ++m_requests[event.request].startCount;
        if (!event.atMostOnceKey.empty())
            ++m_startsByKey[event.atMostOnceKey];
        auto drainBegan = m_drainBeganAt.find({event.upstream, event.incarnation});
        if (drainBegan != m_drainBeganAt.end() && m_now > drainBegan->second + m_bounds.drainGrace)
            addViolation(Guarantee::DrainingUpstreamGetsNoRequests,
                         "upstream " + std::to_string(event.upstream.value) + " got request "
                             + std::to_string(event.request.value)
                             + " too long after it began to drain");
    }
    void collect(const CallerLeft &event)
    {
        m_requests[event.request].callerDisconnectedAt = m_now;
    }
    void collect(const VmCrashed &event) { m_vms[event.vm].crashedAt = m_now; }
    void collect(const VmFrozen &event)
    {
        m_vms[event.vm].freezes.emplace_back(m_now, m_now + event.duration);
    }
    void collect(const DrainBegan &event) { m_vms[event.vm].drainBeganAt = m_now; }
    void collect(const VmExited &event)
    {
        m_vms[event.vm].exitedAt = m_now;
        for (const auto &[id, history] : m_requests) {
            const bool isOpen = history.hasArrived && history.vm == event.vm && !history.respondedAt
                && !history.callerDisconnectedAt;
            if (isOpen)
                addViolation(Guarantee::GracefulShutdown,
                             "VM " + std::to_string(event.vm.value) + " exited with request "
                                 + std::to_string(id.value) + " in flight");
        }
    }
    void collect(const UpstreamDrainBegan &event)
    {
        m_drainBeganAt.try_emplace({event.upstream, event.incarnation}, m_now);
    }
    void collect(const UpstreamCrashed &event)
    {
        if (event.cause.isValid())
            ++m_crashesByFingerprint[event.cause];
    }
    void collect(const MemoryAtEnd &event)
    {
        if (event.usedTokens != 0)
            addViolation(Guarantee::NoMemoryLost,
                         "upstream " + std::to_string(event.upstream.value) + " still has "
                             + std::to_string(event.usedTokens)
                             + " tokens of memory in use at the end of the session");
    }
    void collect(const EditConfirmed &event) { m_edits.emplace_back(m_now, event.version); }
    void collect(const VersionActivated &event)
    {
        VmHistory &vm = m_vms[event.vm];
        auto &highest = m_highestVersion[{event.vm, event.incarnation}];
        if (event.version < highest)
            addViolation(Guarantee::ConfirmedEditsApply,
                         "VM " + std::to_string(event.vm.value) + " reverted to version "
                             + std::to_string(event.version));
        highest = std::max(highest, event.version);
        vm.versions.emplace_back(m_now, event.version);
    }
    void collect(const ReachabilityChanged &event)
    {
        VmHistory &vm = m_vms[event.vm];
        const bool isOpen = !vm.reachableIntervals.empty()
            && vm.reachableIntervals.back().second == TimePoint::max();
        if (event.canReachPlatform && !isOpen)
            vm.reachableIntervals.emplace_back(m_now, TimePoint::max());
        if (!event.canReachPlatform && isOpen)
            vm.reachableIntervals.back().second = m_now;
    }
    void collect(const OrderExecuted &event)
    {
        std::uint64_t &highest = m_highestFence[event.upstream];
        if (event.fence < highest)
            addViolation(Guarantee::AtMostOnce,
                         "upstream " + std::to_string(event.upstream.value)
                             + " executed an order with a stale fencing token");
        highest = std::max(highest, event.fence);
    }
    void collect(const SessionEnded &) { m_endedAt = m_now; }

    void addViolation(Guarantee guarantee, std::string description)
    {
        m_violations.push_back({guarantee, std::move(description)});
    }

    /// Whether a late or missing response is excused, because the VM crashed after the request had
    /// arrived.
    bool isExcused(const RequestHistory &history, TimePoint deadline) const
    {
        auto it = m_vms.find(history.vm);
        if (it == m_vms.end())
            return false;
        const VmHistory &vm = it->second;
        const bool isLost = vm.crashedAt && *vm.crashedAt >= history.arrivedAt;
        return isLost && (!history.respondedAt || *history.respondedAt > deadline);
    }

    /// Postpones a deadline that falls into a freeze of the VM to the end of that freeze, because
    /// a frozen VM can't respond before.
    TimePoint postponedByFreeze(const RequestHistory &history, TimePoint deadline) const
    {
        auto it = m_vms.find(history.vm);
        if (it == m_vms.end())
            return deadline;
        for (const auto &[from, until] : it->second.freezes) {
            if (deadline >= from && deadline < until)
                deadline = until;
        }
        return deadline;
    }

    void checkInTime(RequestId id, const RequestHistory &history)
    {
        if (!history.hasArrived || history.callerDisconnectedAt)
            return;
        const TimePoint deadline = postponedByFreeze(history, history.arrivedAt + history.timeLimit)
            + m_bounds.responseSlack;
        if (isExcused(history, deadline))
            return;
        const std::string name = "request " + std::to_string(id.value);
        if (!history.respondedAt && m_endedAt && *m_endedAt > deadline)
            addViolation(Guarantee::InTime, name + " got no response");
        if (history.respondedAt && *history.respondedAt > deadline)
            addViolation(Guarantee::InTime, name + " got its response after its deadline");
        if (history.responseCount > 1)
            addViolation(Guarantee::InTime, name + " got more than one response");
    }

    void checkResponse(RequestId id, const RequestHistory &history)
    {
        const std::string name = "request " + std::to_string(id.value);
        std::uint64_t nextOffset = 0;
        for (const ChunkDelivered &chunk : history.chunks) {
            if (chunk.generatedFor != id)
                addViolation(Guarantee::CompleteOwnResponse,
                             name + " got a chunk of another request's response");
            if (chunk.offset != nextOffset)
                addViolation(Guarantee::CompleteOwnResponse,
                             name + " got a chunk at the wrong offset");
            nextOffset = chunk.offset + chunk.count;
        }
        if (!history.response)
            return;
        const bool isComplete =
            history.response->verdict == Verdict::Ran && history.response->expectedTokens != 0;
        if (isComplete && nextOffset != history.response->expectedTokens)
            addViolation(Guarantee::CompleteOwnResponse,
                         name + " got " + std::to_string(nextOffset) + " of "
                             + std::to_string(history.response->expectedTokens) + " output tokens");
        if (history.response->verdict == Verdict::NotRun && history.startCount > 0)
            addViolation(Guarantee::NotRunIsTrue,
                         name + " got the verdict not-run, but an upstream ran it");
    }

    void checkShutdown(RequestId id, const RequestHistory &history)
    {
        auto it = m_vms.find(history.vm);
        if (it == m_vms.end() || !it->second.drainBeganAt || !history.response
            || !history.hasArrived)
            return;
        const bool wasInFlight = history.arrivedAt < *it->second.drainBeganAt;
        if (wasInFlight && history.response->reason == Reason::Draining)
            addViolation(Guarantee::GracefulShutdown,
                         "request " + std::to_string(id.value)
                             + " was in flight when its VM began to drain, and was rejected");
    }

    void checkAtMostOnce()
    {
        for (const auto &[key, startCount] : m_startsByKey) {
            if (startCount > 1)
                addViolation(Guarantee::AtMostOnce,
                             "key " + key + " ran " + std::to_string(startCount) + " times");
        }
    }

    void checkEdits()
    {
        for (const auto &[at, version] : m_edits) {
            for (const auto &[id, vm] : m_vms)
                checkEdit(id, vm, at, version);
        }
    }

    void checkEdit(VmId id, const VmHistory &vm, TimePoint at, std::uint64_t version)
    {
        for (const auto &[from, until] : vm.reachableIntervals) {
            // The VM must have the version once it could reach the platform for the whole bound.
            const TimePoint deadline = std::max(from, at) + m_bounds.editPropagation;
            const bool wasReachable = deadline <= until && m_endedAt && deadline <= *m_endedAt
                && !(vm.crashedAt && *vm.crashedAt <= deadline)
                && !(vm.exitedAt && *vm.exitedAt <= deadline);
            if (!wasReachable)
                continue;
            const bool isActivated =
                std::any_of(vm.versions.begin(), vm.versions.end(),
                            [&, deadline = deadline, version = version](const auto &entry) {
                                return entry.first <= deadline && entry.second >= version;
                            });
            if (!isActivated)
                addViolation(Guarantee::ConfirmedEditsApply,
                             "VM " + std::to_string(id.value) + " did not activate version "
                                 + std::to_string(version) + " in time");
        }
    }

    void checkCrashes()
    {
        for (const auto &[fingerprint, crashCount] : m_crashesByFingerprint) {
            if (crashCount > m_bounds.maxCrashesPerFingerprint)
                addViolation(Guarantee::FewUpstreamsLost,
                             "requests with fingerprint " + std::to_string(fingerprint.value)
                                 + " crashed " + std::to_string(crashCount) + " upstreams");
        }
    }

    AuditBounds m_bounds;
    TimePoint m_now;
    std::optional<TimePoint> m_endedAt;
    std::map<RequestId, RequestHistory> m_requests;
    std::map<VmId, VmHistory> m_vms;
    std::map<std::string, std::size_t> m_startsByKey;
    std::map<std::pair<UpstreamId, Incarnation>, TimePoint> m_drainBeganAt;
    std::map<Fingerprint, std::size_t> m_crashesByFingerprint;
    std::map<std::pair<VmId, Incarnation>, std::uint64_t> m_highestVersion;
    std::map<UpstreamId, std::uint64_t> m_highestFence;
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
    case Guarantee::CompleteOwnResponse:
        return "whole-own-answer";
    case Guarantee::NotRunIsTrue:
        return "not-run-is-true";
    case Guarantee::AtMostOnce:
        return "at-most-once";
    case Guarantee::DrainingUpstreamGetsNoRequests:
        return "leaving-gets-nothing";
    case Guarantee::GracefulShutdown:
        return "graceful-shutdown";
    case Guarantee::ConfirmedEditsApply:
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
