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

    void setHandlers(ParallelGroupHandler *parallelGroups, SuspectStore *suspects)
    {
        m_parallelGroups = parallelGroups;
        m_suspects = suspects;
    }

    /// Opens no attempts until `time`, because the known state of the upstreams is stale.
    void suspendUntil(TimePoint time) { m_suspendedUntil = std::max(m_suspendedUntil, time); }
    bool isSuspended() const { return m_context.now < m_suspendedUntil; }

    /// Puts a request into the fair queue of its target.
    void enqueue(Request &request);
    /// Puts a retry, a suspect or a recorded at-most-once call ahead of the queue.
    void putAheadOfQueue(Request &request);
    /// Removes a request from the queue that it is in, if any.
    void removeFromQueue(const Request &request);
    /// Opens attempts for all requests that can be sent now.
    void dispatchWaiting();

    /// Requests found since the last call to be too late for any upstream to serve in time.
    std::vector<RequestId> takeUnservable() { return std::exchange(m_unservable, {}); }
    /// Time that a new request would wait in the queue before it is sent.
    Duration expectedWait(const Request &request) const;
    std::size_t queuedCount() const;
    /// Returns true if the request waits for its team's limit instead of an upstream.
    bool isWaitingForLimit(const Request &request) const;
    /// Opens an attempt. The request must not be in a queue.
    void open(Request &request, const Route &route, AttemptId attempt);
    /// Charges queued teams for service that they received on other VMs.
    void debit(const ServiceDebits &debits);
    /// Tokens of the requests dispatched since the last call, by class and team.
    ServiceDebits takeDebits();
    /// Resumes the queues of teams whose limit has room again.
    void resumeLimited();
    /// Reports to the team limiter how many requests wait for each limit.
    void reportWaitingRequests();

private:
    /// How fast a length class is dispatched while it has a backlog, in cost units per second.
    struct DispatchRate
    {
        TimePoint at;
        TimePoint backlogSince;
        bool isBacklogged = false;
        double perSecond = 0;
    };
    struct Target
    {
        FairQueue queue;
        std::deque<RequestId> aheadOfQueue;
        std::array<DispatchRate, kLengthClassCount> dispatchRate;
    };
    using TeamKey = std::pair<std::string, std::string>;

    std::pair<std::string, std::string> queueKey(const Request &request) const;
    void dispatchAheadOfQueue(Target &target);
    void dispatchLengthClass(Target &target, LengthClass lengthClass);
    /// Route to the upstream that runs a request with the same fingerprint without a token so far.
    std::optional<Route> routeOfDuplicate(const Request &request) const;
    /// Result of an attempt to send the first request of a length class.
    enum class SendResult { Opened, NoCapacity, TooLate };
    bool tryOpen(Request &request);
    SendResult trySend(Request &request);
    bool tryOpenIsolated(Request &request);
    /// Returns true if another suspect fingerprint is in its isolated retry on the upstream.
    bool hasOtherIsolatedRetry(UpstreamId upstream, const Request &suspect) const;
    bool isLimited(const Request &request);
    void recordDispatched(Target &target, LengthClass lengthClass, std::uint64_t cost);
    void updateBacklog(Target &target, LengthClass lengthClass);

    NodeContext &m_context;
    RequestStore &m_store;
    ParallelGroupHandler *m_parallelGroups = nullptr;
    SuspectStore *m_suspects = nullptr;
    TimePoint m_suspendedUntil;
    std::vector<RequestId> m_unservable;
    std::map<std::string, Target, std::less<>> m_targets;
    std::map<TeamKey, LimitRow> m_limitedTeams;
    std::map<TeamKey, std::uint64_t> m_servedTokens;
};

} // namespace arbutuspier
