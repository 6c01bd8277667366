// Holds work until an upstream should have it, and sends it there.
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

    void setFlows(ParallelGroupHandler *parallelGroups, SuspectStore *suspects)
    {
        m_parallelGroups = parallelGroups;
        m_suspects = suspects;
    }

    /// Sends nothing until then: what is known of upstreams is out of date.
    void holdUntil(TimePoint time) { m_heldUntil = std::max(m_heldUntil, time); }
    bool isHeld() const { return m_context.now < m_heldUntil; }

    /// Puts a request into the fair queue of its target.
    void enqueue(Request &request);
    /// Puts a request ahead of the queue: a retry or a suspect.
    void putFirstInLine(Request &request);
    /// Takes a request out of whichever line it stands in.
    void withdraw(const Request &request);
    /// Sends what can go now.
    void pump();

    /// Queued requests that no upstream can answer in time any more, since the last call.
    std::vector<RequestId> takeDoomed() { return std::exchange(m_doomed, {}); }
    /// Time a new request would wait here before it is sent.
    Duration expectedWait(const Request &request) const;
    std::size_t queuedCount() const;
    /// True if the request waits for its team's limit, not for an upstream.
    bool isHeldByLimit(const Request &request) const;
    /// Opens an attempt. The request must be in no line.
    void open(Request &request, const Route &route, AttemptId attempt);
    /// Charges queued teams with service that other VMs gave them.
    void debit(const ServiceDebits &debits);
    /// Tokens sent on since the last call, by class and team.
    ServiceDebits takeDebits();
    /// Lets limited teams try again; called when a limit may have room.
    void resumeLimited();
    /// Tells the gate how many requests wait at each limit.
    void reportWaiting();

private:
    /// How fast a lane drains while it has a backlog.
    struct DrainRate
    {
        TimePoint at;
        TimePoint backlogSince;
        bool isBacklogged = false;
        double perSecond = 0;
    };
    struct Target
    {
        FairQueue queue;
        std::deque<RequestId> first;
        std::array<DrainRate, kLengthClassCount> drain;
    };
    using TeamKey = std::pair<std::string, std::string>;

    std::pair<std::string, std::string> queueKey(const Request &request) const;
    void pumpFirst(Target &target);
    void pumpLane(Target &target, LengthClass lengthClass);
    /// The upstream where an unproven copy of this body runs.
    std::optional<Route> routeOfCopy(const Request &request) const;
    /// What became of a request at the head of its lane.
    enum class Sent { Yes, NoRoom, TooLate };
    bool tryOpen(Request &request);
    Sent trySend(Request &request);
    bool tryOpenTrial(Request &request);
    /// True if another suspect body is on its trial there.
    bool isOnTrialBesides(UpstreamId upstream, const Request &suspect) const;
    bool isLimited(const Request &request);
    void noteDrained(Target &target, LengthClass lengthClass, std::uint64_t cost);
    void noteBacklog(Target &target, LengthClass lengthClass);

    NodeContext &m_context;
    RequestStore &m_store;
    ParallelGroupHandler *m_parallelGroups = nullptr;
    SuspectStore *m_suspects = nullptr;
    TimePoint m_heldUntil;
    std::vector<RequestId> m_doomed;
    std::map<std::string, Target, std::less<>> m_targets;
    std::map<TeamKey, LimitRow> m_limitedTeams;
    std::map<TeamKey, std::uint64_t> m_served;
};

} // namespace arbutuspier
