// Queues requests until an upstream can take them, and opens their attempts.
#pragma once

#include "arbutuspier/fairqueue.h"
#include "node/nodecontext.h"
#include "node/requeststore.h"

#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace arbutuspier {

class ParallelGroupHandler;
class SuspectStore;

class Dispatcher
{
public:
    Dispatcher(NodeContext &context, RequestStore &store)
        : m_context(context)
        , m_store(store)
    {
    }

    void setDependencies(ParallelGroupHandler *parallelGroups, SuspectStore *suspects)
    {
        m_parallelGroups = parallelGroups;
        m_suspects = suspects;
    }

    /// Opens no attempts until `time`, because the known state of the upstreams is stale.
    void suspendUntil(TimePoint time) { m_suspendedUntil = std::max(m_suspendedUntil, time); }
    bool isSuspended() const { return m_context.now < m_suspendedUntil; }

    /// Puts a request into the fair queue of its target, the model or service that it asks for.
    void enqueue(Request &request);
    /// Puts a retry, a suspect, or an at-most-once call whose idempotency record is written, ahead
    /// of the queue.
    void putAheadOfQueue(Request &request);
    /// Removes a request from the queue that it is in, if any.
    void removeFromQueue(const Request &request);
    /// Opens attempts for all requests that can be sent now.
    void dispatchWaiting();

    /// Requests found since the last call to be too late for any upstream to serve in time.
    std::vector<RequestId> takeTooLate() { return std::exchange(m_tooLate, {}); }
    /// Time that a new request would wait in the queue before it is sent.
    Duration expectedWait(const Request &request) const;
    std::size_t queuedCount() const;
    /// Returns true if the request waits for its team's limit instead of an upstream.
    bool isBlockedByTeamLimit(const Request &request) const;
    /// Opens an attempt. The request must not be in a queue.
    void open(Request &request, const Route &route, AttemptId attempt);
    /// Charges teams in this VM's queues for tokens of their requests that other VMs dispatched.
    void chargeTokensDispatchedElsewhere(const ServiceDebits &debits);
    /// Tokens of the requests dispatched since the last call, by class and team, to be
    /// reported to other VMs.
    ServiceDebits takeDispatchedTokens();
    /// Resumes the queues of teams whose limit has room again.
    void resumeLimitedTeams();
    /// Reports to the team limiter how many requests wait for each limit.
    void reportWaitingRequests();

private:
    /// How fast a length class is dispatched while it has a backlog, in tokens per second
    /// (`Request::cost`).
    struct DispatchRate
    {
        TimePoint lastDispatchAt;
        TimePoint backlogSince;
        bool isBacklogged = false;
        double perSecond = 0;
    };
    /// The waiting requests of one target (`RequestSpec::target`).
    struct TargetQueues
    {
        FairQueue queue;
        std::deque<RequestId> aheadOfQueue;
        std::array<DispatchRate, kLengthClassCount> dispatchRate;
    };
    using TeamKey = std::pair<std::string, std::string>;

    std::pair<std::string, std::string> queueKey(const Request &request) const;
    void dispatchAheadOfQueue(TargetQueues &target);
    void dispatchLengthClass(TargetQueues &target, LengthClass lengthClass);
    /// Route to the upstream where another request with this fingerprint runs and hasn't produced a
    /// token yet.
    std::optional<Route> routeOfDuplicate(const Request &request) const;
    /// What became of the first request of a length class: an attempt was opened, no upstream has
    /// room, or its first token would come too late.
    enum class DispatchResult { Opened, NoCapacity, TooLate };
    bool tryOpen(Request &request);
    DispatchResult tryDispatch(Request &request);
    bool tryOpenIsolated(Request &request);
    /// Returns true if another suspect fingerprint is in its isolated retry on the upstream.
    bool hasOtherIsolatedRetry(UpstreamId upstream, const Request &suspect) const;
    /// Returns true if the team's limit admits no further request now. A request that already
    /// counts against the limit is not limited again.
    bool isAtTeamLimit(const Request &request);
    void recordDispatched(TargetQueues &target, LengthClass lengthClass, std::uint64_t cost);
    void updateBacklog(TargetQueues &target, LengthClass lengthClass);

    NodeContext &m_context;
    RequestStore &m_store;
    ParallelGroupHandler *m_parallelGroups = nullptr;
    SuspectStore *m_suspects = nullptr;
    TimePoint m_suspendedUntil;
    std::vector<RequestId> m_tooLate;
    std::map<std::string, TargetQueues, std::less<>> m_targets;
    std::map<TeamKey, LimitRow> m_limitedTeams;
    std::map<TeamKey, std::uint64_t> m_dispatchedTokens;
};

} // namespace arbutuspier
