// Runs several EntryNodes in virtual time against simulated engines, a simulated service and a
// simulated platform, and injects faults. Tests and the policy benchmark share it.
#pragma once

#include "arbutuspier/entrynode.h"
#include "arbutuspier/random.h"
#include "arbutuspier/streamassembler.h"
#include "model/enginemodel.h"
#include "model/tablemodel.h"
#include "model/trace.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace arbutuspier::model {

struct SimulationOptions
{
    std::vector<VmInfo> vms;
    std::vector<UpstreamInfo> upstreams;
    EngineOptions engine;
    TableModelOptions table;
    /// Settings common to all nodes; the simulation sets self, incarnation, peers, upstreams and
    /// seed for each node.
    NodeSettings node;
    std::uint64_t seed = 1;
    /// One-way network delays: within a zone, between zones, and to the platform.
    Duration inZoneDelay = std::chrono::microseconds{300};
    Duration otherZoneDelay = std::chrono::microseconds{1500};
    Duration platformDelay = std::chrono::milliseconds{2};
    Duration reportInterval = std::chrono::milliseconds{100};
    /// Age of a load report when a VM receives it.
    Duration reportLag = std::chrono::milliseconds{50};
    /// Delay of cache events and fraction of their batches that are lost. Without effect, because
    /// the simulation delivers no cache events.
    Duration cacheEventLag = std::chrono::milliseconds{300};
    double cacheEventLoss = 0.05;
    Duration tableTimeout = std::chrono::seconds{1};
    Duration listInterval = std::chrono::seconds{1};
    /// Time until a change of the platform's VM list is visible to readers.
    Duration vmListDelay = std::chrono::seconds{2};
    /// Time between the crash of an upstream and its next incarnation.
    Duration upstreamRestart = std::chrono::seconds{4};
    /// Time that the simulated service takes for a call.
    Duration serviceTime = std::chrono::milliseconds{20};
    bool keepsTrace = true;
};

/// Faults of the platform's table service.
struct TableFaults
{
    bool isDown = false;
    Duration extraDelay{};
    /// Number of further writes that take effect but whose reply is lost.
    int lostReplies = 0;
};

/// Faults of one upstream.
struct UpstreamFaults
{
    /// The upstream accepts connections and doesn't respond.
    bool isHanging = false;
    bool isRefusing = false;
    bool duplicatesResponse = false;
    bool losesResponses = false;
    /// The event of the first token arrives 2 s late and thus after later events.
    bool delaysFirstToken = false;
    Duration responseDelay{};
    /// Reservations take effect, but their replies are lost.
    bool losesReserveReplies = false;
};

class Simulation
{
public:
    explicit Simulation(SimulationOptions options);
    ~Simulation();

    TimePoint now() const { return m_now; }
    TimePoint startedAt() const { return m_start; }
    /// The request id that the next call of submit() returns.
    std::uint64_t nextRequestId() const { return m_nextRequest; }
    /// Schedules an action; `time` counts from the start of the session.
    void at(Duration time, std::function<void()> action);
    /// Runs the session until `time`, counted from its start.
    void runUntil(Duration time);
    /// Ends the session: records the memory still in use on each engine and closes the trace.
    void finish();

    /// Sends a caller's request to a VM. A VM that doesn't run never responds to it.
    RequestId submit(VmId vm, RequestSpec spec);
    void disconnectCaller(RequestId request);

    void crashVm(VmId vm);
    /// Starts a new incarnation of a VM, which knows nothing of the earlier one.
    void startVm(VmId vm);
    /// Stops the process for a time; the events of that time are delivered when it runs again.
    void freezeVm(VmId vm, Duration duration);
    void drainVm(VmId vm);
    /// Ends the upstream's process; it restarts after SimulationOptions::upstreamRestart.
    void crashUpstream(UpstreamId upstream, Fingerprint cause = {});
    /// Starts draining an upstream.
    void drainUpstream(UpstreamId upstream);
    /// Starts or ends a network partition between two zones, or between a zone and the platform.
    void setZonePartition(const std::string &zoneA, const std::string &zoneB, bool isActive);
    void setPlatformPartition(const std::string &zone, bool isActive);
    /// From now on, requests with this fingerprint crash the upstream that runs them.
    void addCrashingFingerprint(Fingerprint fingerprint)
    {
        m_crashingFingerprints.insert(fingerprint);
    }
    /// Delivers an operator's event, such as an edit of the limits, to a VM.
    void sendOperatorEvent(VmId vm, Event event);

    TableFaults tableFaults;
    std::map<UpstreamId, UpstreamFaults> upstreamFaults;

    EntryNode *node(VmId vm);
    EngineModel *engine(UpstreamId upstream);
    const TableModel &table() const { return m_table; }
    const Trace &trace() const { return m_trace; }
    const std::vector<RequestEnded> &endedRequests() const { return m_ended; }
    const std::vector<EditResult> &editResults() const { return m_editResults; }
    const std::vector<std::string> &logs() const { return m_logs; }
    std::optional<ResponseSent> response(RequestId request) const;
    /// How often a service ran the at-most-once call with this key ("team/idempotency key").
    std::size_t runCountOfKey(const std::string &key) const;
    std::uint64_t peerMessages() const { return m_peerMessages; }
    std::vector<VmId> runningVms() const;
    Random &random() { return m_random; }
    /// Called for each peer message sent; benchmarks measure the traffic with it.
    std::function<void(const PeerMessage &)> onPeerSent;
    /// Called before a node's command is executed and before a node handles an event. The fault
    /// matrix injects its faults in these callbacks.
    std::function<void(VmId, const Command &)> onCommand;
    std::function<void(VmId, const Event &)> onEvent;

private:
    /// Timeout for connections that aren't established and for unresponsive upstreams.
    static constexpr Duration kConnectTimeout = std::chrono::seconds{1};

    struct Vm
    {
        VmInfo info;
        std::unique_ptr<EntryNode> node;
        Incarnation incarnation;
        TimePoint frozenUntil;
        /// Active version of the limits.
        std::uint64_t limitsVersion = 0;
        /// Events that arrived while the VM was frozen.
        std::vector<Event> deferredEvents;
        bool isExited = false;
    };
    struct Upstream
    {
        UpstreamInfo info;
        std::unique_ptr<EngineModel> engine;
        std::uint64_t incarnations = 1;
        bool isDraining = false;
        bool isDown = false;
        std::optional<TimePoint> nextAdvanceAt;
    };
    /// An attempt between its dispatch and the end of its stream.
    struct InFlightAttempt
    {
        VmId vm;
        Incarnation vmIncarnation;
        RequestId request;
        AttemptId attempt;
        UpstreamId upstream;
        std::uint64_t startOffset = 0;
        std::uint64_t generatedTokens = 0;
        bool hasFirstToken = false;
    };
    struct Caller
    {
        VmId vm;
        RequestSpec spec;
        StreamAssembler assembler;
        std::optional<ResponseSent> response;
        bool isDisconnected = false;
    };
    struct ScheduledAction
    {
        TimePoint at;
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator>(const ScheduledAction &other) const
        {
            return std::pair(at, sequence) > std::pair(other.at, other.sequence);
        }
    };

    void schedule(Duration after, std::function<void()> action);
    void deliver(VmId vm, Incarnation incarnation, Event event);
    void handle(Vm &vm, const Event &event);
    void execute(Vm &vm, Command &command);
    /// Delivers to the caller the chunks that come with the end of a stream. Returns the event
    /// that the node is to handle.
    Event readStreamEnd(const Event &event);
    void record(TraceEvent event);
    Duration delayBetween(const std::string &zoneA, const std::string &zoneB) const;
    bool isPartitioned(const std::string &zoneA, const std::string &zoneB) const;
    void tickVm(VmId vm, Incarnation incarnation);
    void pollLoadReports(VmId vm, Incarnation incarnation);
    void pollVmList(VmId vm, Incarnation incarnation);
    void advanceEngine(UpstreamId upstream, std::uint64_t incarnation);
    void scheduleEngineStep(Upstream &upstream);
    void onEngineOutput(const EngineOutput &output, UpstreamId upstream);
    void openStream(Vm &vm, const OpenStream &open);
    void openEngine(Upstream &upstream, const InFlightAttempt &inFlight, const OpenStream &open);
    void openService(Upstream &upstream, const InFlightAttempt &inFlight, const RequestSpec &spec);
    void failAttempt(const InFlightAttempt &inFlight, FailureKind kind);
    void finishStream(const InFlightAttempt &inFlight, std::uint64_t tokens,
                      std::uint64_t cachedTokens, std::string result);
    void deliverChunks(const InFlightAttempt &inFlight, std::uint64_t endOffset);
    void callTable(Vm &vm, const TableCall &call);
    void reserveMemory(Vm &vm, const Reserve &reserve);
    void releaseMemory(Vm &vm, const Release &release);
    void sendOrder(Vm &vm, const SendOrder &order);
    void sendPeer(Vm &vm, const SendPeer &send);
    void recordActiveVersion(Vm &vm);
    void updateReachability();
    void publishVmList();
    std::string atMostOnceKey(const RequestSpec &spec) const;
    LoadReport reportOf(const Upstream &upstream) const;

    SimulationOptions m_options;
    Random m_random;
    TimePoint m_now{std::chrono::seconds{1'000}};
    TimePoint m_start = m_now;
    std::uint64_t m_nextSequence = 0;
    std::priority_queue<ScheduledAction, std::vector<ScheduledAction>, std::greater<>> m_queue;
    std::map<VmId, Vm> m_vms;
    std::map<UpstreamId, Upstream> m_upstreams;
    TableModel m_table;
    std::map<AttemptId, InFlightAttempt> m_inFlightAttempts;
    std::map<RequestId, Caller> m_callers;
    std::map<std::string, std::size_t> m_runsByKey;
    std::set<std::pair<std::string, std::string>> m_zonePartitions;
    std::set<std::string> m_platformPartitions;
    std::set<Fingerprint> m_crashingFingerprints;
    std::uint64_t m_listRevision = 1;
    std::vector<std::pair<TimePoint, VmListUpdate>> m_publishedVmLists;
    std::map<VmId, bool> m_reachability;
    Trace m_trace;
    std::vector<RequestEnded> m_ended;
    std::vector<EditResult> m_editResults;
    std::vector<std::string> m_logs;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_peerMessages = 0;
};

} // namespace arbutuspier::model
