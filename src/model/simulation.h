// Several EntryNodes in virtual time over model engines, a plain service and the platform, with
// switches for every fault. The one adapter that tests and the policy bench use.
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
    /// Settings common to all nodes; self, peers, upstreams, seed are filled in.
    NodeSettings node;
    std::uint64_t seed = 1;
    Duration inZoneDelay = std::chrono::microseconds{300};
    Duration otherZoneDelay = std::chrono::microseconds{1500};
    Duration platformDelay = std::chrono::milliseconds{2};
    Duration reportInterval = std::chrono::milliseconds{100};
    Duration reportLag = std::chrono::milliseconds{50};
    Duration cacheEventLag = std::chrono::milliseconds{300};
    /// Part of the cache event batches that are lost.
    double cacheEventLoss = 0.05;
    Duration tableTimeout = std::chrono::seconds{1};
    Duration listInterval = std::chrono::seconds{1};
    Duration listLag = std::chrono::seconds{2};
    Duration upstreamRestart = std::chrono::seconds{4};
    Duration serviceTime = std::chrono::milliseconds{20};
    bool keepsTrace = true;
};

/// Faults of the platform's table service.
struct TableFaults
{
    bool isDown = false;
    Duration extraDelay{};
    /// Replies to writes that are lost after their effect, from now on.
    int lostReplies = 0;
};

/// How an upstream misbehaves.
struct UpstreamFaults
{
    bool isHanging = false;
    bool isRefusing = false;
    bool answersTwice = false;
    bool losesAnswers = false;
    /// The first token is reported after what follows it.
    bool isOutOfOrder = false;
    Duration answerDelay{};
    /// Replies to reservations are lost after their effect.
    bool losesReserveReplies = false;
};

class Simulation
{
public:
    explicit Simulation(SimulationOptions options);
    ~Simulation();

    TimePoint now() const { return m_now; }
    TimePoint startedAt() const { return m_start; }
    /// The id that the next `submit` gives.
    std::uint64_t nextRequestId() const { return m_nextRequest; }
    /// Runs an action at a time from the start of the session.
    void at(Duration time, std::function<void()> action);
    /// Runs the session up to a time from its start.
    void runUntil(Duration time);
    /// Ends the session: records what is held and closes the trace.
    void finish();

    RequestId submit(VmId vm, RequestSpec spec);
    void callerLeaves(RequestId request);

    void killVm(VmId vm);
    /// A new life of a VM, with empty memory.
    void startVm(VmId vm);
    void freezeVm(VmId vm, Duration duration);
    void drainVm(VmId vm);
    void killUpstream(UpstreamId upstream, Fingerprint killer = {});
    void leaveUpstream(UpstreamId upstream);
    void cutZones(const std::string &a, const std::string &b, bool isCut);
    void cutPlatform(const std::string &zone, bool isCut);
    void setPoison(Fingerprint fingerprint) { m_poison.insert(fingerprint); }
    /// Feeds an operator's event to a VM.
    void tell(VmId vm, Event event);

    TableFaults tableFaults;
    std::map<UpstreamId, UpstreamFaults> upstreamFaults;

    EntryNode *node(VmId vm);
    EngineModel *engine(UpstreamId upstream);
    const TableModel &table() const { return m_table; }
    const Trace &trace() const { return m_trace; }
    const std::vector<RequestEnded> &ended() const { return m_ended; }
    const std::vector<EditResult> &editAnswers() const { return m_editAnswers; }
    const std::vector<std::string> &logs() const { return m_logs; }
    std::optional<ResponseSent> answer(RequestId request) const;
    std::size_t runsOfKey(const std::string &key) const;
    std::uint64_t peerMessages() const { return m_peerMessages; }
    std::vector<VmId> liveVms() const;
    Random &random() { return m_random; }
    /// Called for each peer message sent; for measuring traffic.
    std::function<void(const PeerMessage &)> onPeerSent;
    /// Called before a node's command is carried out and before a node takes an event; the fault
    /// matrix hooks its faults in here.
    std::function<void(VmId, const Command &)> onCommand;
    std::function<void(VmId, const Event &)> onEvent;

private:
    /// A connection that doesn't come about, or is silent, is given up after this.
    static constexpr Duration kConnectTimeout = std::chrono::seconds{1};

    struct Vm
    {
        VmInfo info;
        std::unique_ptr<EntryNode> node;
        Incarnation incarnation;
        TimePoint frozenUntil;
        std::uint64_t version = 0;
        std::vector<Event> held;
        bool isExited = false;
    };
    struct Upstream
    {
        UpstreamInfo info;
        std::unique_ptr<EngineModel> engine;
        std::uint64_t incarnations = 1;
        bool isLeaving = false;
        bool isDown = false;
        std::optional<TimePoint> wakeAt;
    };
    struct Transit
    {
        VmId vm;
        Incarnation vmIncarnation;
        RequestId request;
        AttemptId attempt;
        UpstreamId upstream;
        std::uint64_t from = 0;
        std::uint64_t generated = 0;
        bool hasFirst = false;
    };
    struct Caller
    {
        VmId vm;
        RequestSpec spec;
        StreamAssembler assembler;
        std::optional<ResponseSent> answer;
        bool isGone = false;
    };
    struct Scheduled
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator>(const Scheduled &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    void schedule(Duration after, std::function<void()> action);
    void deliver(VmId vm, Incarnation incarnation, Event event);
    void handle(Vm &vm, const Event &event);
    void carryOut(Vm &vm, Command &command);
    /// Reads what an event brings over a stream; returns the event as the node is to see it.
    Event readStream(const Event &event);
    void record(TraceEvent fact);
    Duration delay(const std::string &a, const std::string &b) const;
    bool isCut(const std::string &a, const std::string &b) const;
    void tickVm(VmId vm, Incarnation incarnation);
    void pollReports(VmId vm, Incarnation incarnation);
    void pollList(VmId vm, Incarnation incarnation);
    void wake(UpstreamId upstream, std::uint64_t incarnation);
    void scheduleWake(Upstream &upstream);
    void onOutput(const EngineOutput &output, UpstreamId upstream);
    void openAt(Vm &vm, const OpenStream &open);
    void openEngine(Upstream &upstream, const Transit &transit, const OpenStream &open);
    void openService(Upstream &upstream, const Transit &transit, const RequestSpec &spec);
    void fail(const Transit &transit, FailureKind kind);
    void finishStream(const Transit &transit, std::uint64_t tokens, std::uint64_t cached,
                      std::string result);
    void passOn(const Transit &transit, std::uint64_t upTo);
    void callTable(Vm &vm, const TableCall &call);
    void reserveAt(Vm &vm, const Reserve &reserve);
    void releaseAt(Vm &vm, const Release &release);
    void orderAt(Vm &vm, const SendOrder &order);
    void sendPeer(Vm &vm, const SendPeer &send);
    void noteVersion(Vm &vm);
    void updateReach();
    void changeList();
    std::string atMostOnceKey(const RequestSpec &spec) const;
    LoadReport reportOf(const Upstream &upstream) const;

    SimulationOptions m_options;
    Random m_random;
    TimePoint m_now{std::chrono::seconds{1'000}};
    TimePoint m_start = m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> m_queue;
    std::map<VmId, Vm> m_vms;
    std::map<UpstreamId, Upstream> m_upstreams;
    TableModel m_table;
    std::map<AttemptId, Transit> m_transits;
    std::map<RequestId, Caller> m_callers;
    std::map<std::string, std::size_t> m_runs;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::set<std::string> m_platformCuts;
    std::set<Fingerprint> m_poison;
    std::uint64_t m_listRevision = 1;
    std::vector<std::pair<TimePoint, VmListRead>> m_lists;
    std::map<VmId, bool> m_reach;
    Trace m_trace;
    std::vector<RequestEnded> m_ended;
    std::vector<EditResult> m_editAnswers;
    std::vector<std::string> m_logs;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_peerMessages = 0;
};

} // namespace arbutuspier::model
