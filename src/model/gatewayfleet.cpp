// Events are ordered by time and, at the same time, by the order in which they were scheduled.
#include "model/gatewayfleet.h"

#include "arbutuspier/forecast.h"
#include "gateway/updateoutbox.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <list>
#include <optional>
#include <queue>
#include <utility>

namespace arbutuspier::model {

namespace {

constexpr TimePoint kStart = TimePoint{std::chrono::seconds{100}};
constexpr double kLateValueFraction = 0.25;
constexpr std::size_t kThirds = 3;

/// A request of the simulation.
struct SimulatedRequest
{
    std::size_t classIndex = 0;
    std::size_t vm = 0;
    TimePoint arrivedAt{};
    std::uint64_t id = 0;
    std::vector<ActiveRequestPart> parts;
    /// Parts whose prefill is not finished.
    std::size_t prefillsLeft = 0;
    double tokensLeft = 0;
};

using RequestPtr = std::shared_ptr<SimulatedRequest>;

/// The replica's own state: what really runs there.
struct Replica
{
    struct Waiting
    {
        RequestPtr request;
        ActiveRequestPart part;
    };
    std::list<Waiting> arrived;
    std::vector<Waiting> inPass;
    std::vector<RequestPtr> decoding;
    std::uint64_t memoryTokens = 0;
    bool isInPass = false;
};

struct Vm
{
    FleetLoad view;
    UpdateOutbox outbox;
    std::optional<TimePoint> flushAt;
    std::list<RequestPtr> waiting;
    std::vector<std::size_t> peers;
    std::vector<std::string> replicas;

    explicit Vm(const UpdateOutboxOptions &options)
        : outbox(options)
    {
    }
};

std::string replicaName(std::size_t index)
{
    return "i-" + std::to_string(index);
}

std::size_t indexOf(const std::string &replica)
{
    return static_cast<std::size_t>(std::stoul(replica.substr(2)));
}

class FleetSimulation
{
public:
    explicit FleetSimulation(const GatewayFleetOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_replicas(options.replicaCount)
    {
        m_result.classes.resize(options.classes.size());
        addVms();
        for (std::size_t i = 0; i < options.classes.size(); ++i)
            scheduleArrival(i);
    }

    GatewayFleetResult run()
    {
        while (!m_events.empty()) {
            Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        finish();
        return std::move(m_result);
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> run;

        friend bool operator<(const Event &a, const Event &b)
        {
            return std::pair(a.at, a.order) > std::pair(b.at, b.order);
        }
    };

    void schedule(TimePoint at, std::function<void()> run)
    {
        m_events.push({at, m_nextOrder++, std::move(run)});
    }

    std::size_t groupOf(std::size_t index) const
    {
        return index / m_options.zoneCount % m_options.reports.groupCount;
    }

    void addVms()
    {
        UpdateOutboxOptions outbox;
        outbox.maxDelay = std::max(outbox.urgentDelay, m_options.reports.maxDelay);
        for (std::size_t i = 0; i < m_options.vmCount; ++i) {
            Vm &vm = m_vms.emplace_back(outbox);
            for (std::size_t other = 0; other < m_options.vmCount; ++other) {
                if (other != i && groupOf(other) == groupOf(i))
                    vm.peers.push_back(other);
            }
            for (std::size_t replica = 0; replica < m_options.replicaCount; ++replica) {
                if (groupOf(replica) == groupOf(i))
                    vm.replicas.push_back(replicaName(replica));
            }
        }
    }

    /// The third of the run that the present time is in: 0, 1 or 2.
    int third() const
    {
        const double progress = toSeconds(m_now - kStart) / toSeconds(m_options.duration);
        return static_cast<int>(progress * kThirds);
    }

    void scheduleArrival(std::size_t classIndex)
    {
        double perSecond = m_options.classes[classIndex].perSecond;
        if (classIndex == m_options.crestClass && third() == 1)
            perSecond *= m_options.crestFactor;
        const TimePoint at = m_now + fromSeconds(-std::log1p(-uniform(m_random)) / perSecond);
        if (at >= kStart + m_options.duration)
            return;
        schedule(at, [this, classIndex] {
            arrive(classIndex);
            scheduleArrival(classIndex);
        });
    }

    std::size_t chooseVm()
    {
        const auto any =
            static_cast<std::size_t>(uniform(m_random) * static_cast<double>(m_options.vmCount));
        const bool isShifted = third() == 2 && uniform(m_random) < m_options.shiftedFraction;
        return isShifted ? any / kThirds : any;
    }

    void arrive(std::size_t classIndex)
    {
        auto request = std::make_shared<SimulatedRequest>();
        request->classIndex = classIndex;
        request->vm = chooseVm();
        request->arrivedAt = m_now;
        request->id = m_nextId++;
        request->tokensLeft = static_cast<double>(m_options.classes[classIndex].outputTokens);
        ++m_result.classes[classIndex].arrived;
        if (!tryPlace(request))
            m_vms[request->vm].waiting.push_back(request);
    }

    /// What the VM knows of the load.
    FleetLoad &viewOf(std::size_t vm)
    {
        return m_options.reports.isOracle ? m_truth : m_vms[vm].view;
    }

    std::vector<PlacementCandidate> candidatesOf(std::size_t vm)
    {
        std::vector<PlacementCandidate> candidates;
        for (const std::string &replica : m_vms[vm].replicas) {
            PlacementCandidate candidate;
            candidate.replica = replica;
            candidate.slots = m_options.engine.slots;
            candidate.load = viewOf(vm).of(replica);
            const std::size_t index = indexOf(replica);
            candidate.isLocalZone = index % m_options.zoneCount == vm % m_options.zoneCount;
            candidate.packingOrder = XXH64(replica.data(), replica.size(), 0);
            candidates.push_back(std::move(candidate));
        }
        return candidates;
    }

    bool tryPlace(const RequestPtr &request)
    {
        const PromptClass &promptClass = m_options.classes[request->classIndex];
        PromptShape shape;
        shape.promptTokens = promptClass.promptTokens;
        shape.outputTokens = promptClass.outputTokens;
        shape.objective = promptClass.objective - (m_now - request->arrivedAt);
        shape.eventGapObjective = promptClass.eventGapObjective;
        shape.timeLeft = promptClass.timeout - (m_now - request->arrivedAt);
        const auto placement =
            placePrompt(m_options.engine, shape, candidatesOf(request->vm), m_placement, m_now);
        if (!placement)
            return false;
        start(request, shape, *placement);
        return true;
    }

    void start(const RequestPtr &request, const PromptShape &shape, const Placement &placement)
    {
        const std::uint64_t partCount = placement.helpers.size() + 1;
        std::uint64_t reserved = 0;
        for (const HelperPlacement &helper : placement.helpers)
            reserved += helper.reservedTokens;
        request->parts = {{placement.replica, placement.partPrefillMs,
                           shape.promptTokens / partCount,
                           shape.promptTokens + shape.outputTokens - reserved, true}};
        for (const HelperPlacement &helper : placement.helpers)
            request->parts.push_back(
                {helper.replica, placement.partPrefillMs, 0, helper.reservedTokens, false});
        request->prefillsLeft = request->parts.size();
        ActiveRequest active;
        active.id = request->id;
        active.eventGapObjective = shape.eventGapObjective;
        active.weight = promptWeight(shape.promptTokens, m_placement);
        active.parts = request->parts;
        m_vms[request->vm].view.begin(vmName(request->vm), active, m_now);
        m_truth.begin(vmName(request->vm), active, m_now);
        for (const ActiveRequestPart &part : request->parts) {
            const std::size_t replica = indexOf(part.replica);
            m_replicas[replica].arrived.push_back({request, part});
            beginPass(replica);
        }
        tell(request->vm, {ActiveRequestUpdate::Kind::Began, active.id, active, true});
    }

    static std::string vmName(std::size_t vm) { return "edge-" + std::to_string(vm); }

    /// As DispatchQueue decides it.
    bool isUrgent(const SimulatedRequest &request)
    {
        const bool isLong = request.parts.front().prefillMs > m_placement.longPrefillMs;
        return isLong || request.parts.size() > 1 || areSlotsScarce(request.vm);
    }

    bool areSlotsScarce(std::size_t vm)
    {
        std::size_t running = 0;
        for (const std::string &replica : m_vms[vm].replicas)
            running += viewOf(vm).of(replica).running;
        return 2 * running >= m_options.engine.slots * m_vms[vm].replicas.size();
    }

    void tell(std::size_t vm, const ActiveRequestUpdate &update)
    {
        if (m_options.reports.isOracle)
            return;
        UpdateOutbox &outbox = m_vms[vm].outbox;
        outbox.add(update, m_now);
        if (outbox.due())
            scheduleFlush(vm, *outbox.due());
    }

    void scheduleFlush(std::size_t vm, TimePoint at)
    {
        std::optional<TimePoint> &flushAt = m_vms[vm].flushAt;
        if (flushAt && *flushAt <= at)
            return;
        flushAt = at;
        schedule(at, [this, vm, at] {
            if (m_vms[vm].flushAt != at)
                return;
            m_vms[vm].flushAt.reset();
            flush(vm);
        });
    }

    void flush(std::size_t from)
    {
        auto updates =
            std::make_shared<std::vector<ActiveRequestUpdate>>(m_vms[from].outbox.takeAll());
        if (updates->empty())
            return;
        m_result.datagrams += m_vms[from].peers.size();
        schedule(m_now + m_options.reports.networkDelay, [this, from, updates] {
            for (const std::size_t to : m_vms[from].peers)
                receive(to, from, *updates);
        });
    }

    void receive(std::size_t to, std::size_t from, const std::vector<ActiveRequestUpdate> &updates)
    {
        FleetLoad &view = m_vms[to].view;
        for (const ActiveRequestUpdate &update : updates) {
            if (update.kind == ActiveRequestUpdate::Kind::Began)
                view.begin(vmName(from), *update.activeRequest, m_now);
            else if (update.kind == ActiveRequestUpdate::Kind::Decoding)
                view.beginDecode(vmName(from), update.id, m_now);
            else
                view.end(vmName(from), update.id);
        }
        placeWaiting(to);
    }

    void placeWaiting(std::size_t vm)
    {
        std::list<RequestPtr> &waiting = m_vms[vm].waiting;
        for (auto it = waiting.begin(); it != waiting.end();) {
            const Duration timeout = m_options.classes[(*it)->classIndex].timeout;
            const bool isOver = m_now >= (*it)->arrivedAt + timeout;
            it = isOver || tryPlace(*it) ? waiting.erase(it) : std::next(it);
        }
    }

    /// Takes the prompts that have arrived, as far as there is memory for them, into the next pass.
    void takeArrived(Replica &replica)
    {
        while (!replica.arrived.empty()) {
            const Replica::Waiting &first = replica.arrived.front();
            const bool fits =
                replica.memoryTokens + first.part.memoryTokens <= m_options.engine.memoryTokens;
            if (!fits)
                return;
            replica.memoryTokens += first.part.memoryTokens;
            replica.inPass.push_back(first);
            replica.arrived.pop_front();
        }
    }

    void beginPass(std::size_t index)
    {
        Replica &replica = m_replicas[index];
        if (replica.isInPass)
            return;
        takeArrived(replica);
        if (replica.inPass.empty() && replica.decoding.empty())
            return;
        double passMs = 0;
        for (const Replica::Waiting &waiting : replica.inPass)
            passMs += waiting.part.prefillMs;
        if (!replica.decoding.empty()) {
            std::uint64_t context = 0;
            for (const RequestPtr &request : replica.decoding)
                context += request->parts.front().contextTokens;
            passMs += decodeStepsMs(m_options.engine,
                                    static_cast<std::uint32_t>(replica.decoding.size()), context);
        }
        replica.isInPass = true;
        schedule(m_now + fromMilliseconds(passMs), [this, index] { endPass(index); });
    }

    void endPass(std::size_t index)
    {
        Replica &replica = m_replicas[index];
        replica.isInPass = false;
        const std::vector<RequestPtr> decoded = replica.decoding;
        for (const RequestPtr &request : decoded) {
            request->tokensLeft -= m_options.engine.stepsPerPass;
            if (request->tokensLeft <= 0)
                end(request);
        }
        for (const Replica::Waiting &waiting : std::exchange(replica.inPass, {})) {
            if (--waiting.request->prefillsLeft == 0)
                beginDecode(waiting.request);
        }
        beginPass(index);
    }

    void beginDecode(const RequestPtr &request)
    {
        recordFirstToken(*request);
        const bool isNews = isUrgent(*request);
        m_vms[request->vm].view.beginDecode(vmName(request->vm), request->id, m_now);
        m_truth.beginDecode(vmName(request->vm), request->id, m_now);
        const std::size_t primary = indexOf(request->parts.front().replica);
        m_replicas[primary].decoding.push_back(request);
        tell(request->vm, {ActiveRequestUpdate::Kind::Decoding, request->id, std::nullopt, isNews});
        beginPass(primary);
        placeWaiting(request->vm);
    }

    void recordFirstToken(const SimulatedRequest &request)
    {
        const PromptClass &promptClass = m_options.classes[request.classIndex];
        PromptClassResult &result = m_result.classes[request.classIndex];
        const Duration taken = m_now - request.arrivedAt;
        result.firstTokenSeconds.push_back(toSeconds(taken));
        if (taken <= promptClass.objective)
            ++result.inTime;
        else if (taken <= promptClass.timeout)
            ++result.late;
    }

    void end(const RequestPtr &request)
    {
        const bool isNews = isUrgent(*request);
        m_vms[request->vm].view.end(vmName(request->vm), request->id);
        m_truth.end(vmName(request->vm), request->id);
        std::erase(m_replicas[indexOf(request->parts.front().replica)].decoding, request);
        for (const ActiveRequestPart &part : request->parts) {
            const std::size_t index = indexOf(part.replica);
            m_replicas[index].memoryTokens -= part.memoryTokens;
            beginPass(index);
        }
        tell(request->vm, {ActiveRequestUpdate::Kind::Ended, request->id, std::nullopt, isNews});
        placeWaiting(request->vm);
    }

    void finish()
    {
        double best = 0;
        double reached = 0;
        for (std::size_t i = 0; i < m_options.classes.size(); ++i) {
            PromptClassResult &result = m_result.classes[i];
            std::sort(result.firstTokenSeconds.begin(), result.firstTokenSeconds.end());
            const double value = m_options.classes[i].value;
            best += value * static_cast<double>(result.arrived);
            reached += value
                * (static_cast<double>(result.inTime)
                   + kLateValueFraction * static_cast<double>(result.late));
        }
        m_result.worth = best > 0 ? reached / best : 0;
    }

    const GatewayFleetOptions &m_options;
    PlacementOptions m_placement;
    Random m_random;
    std::priority_queue<Event> m_events;
    std::uint64_t m_nextOrder = 0;
    std::uint64_t m_nextId = 1;
    TimePoint m_now = kStart;
    std::vector<Vm> m_vms;
    std::vector<Replica> m_replicas;
    /// The load as it really is.
    FleetLoad m_truth;
    GatewayFleetResult m_result;
};

} // namespace

double PromptClassResult::inTimeFraction() const
{
    return arrived == 0 ? 1 : static_cast<double>(inTime) / static_cast<double>(arrived);
}

double PromptClassResult::quantile(double fraction) const
{
    if (firstTokenSeconds.empty())
        return 0;
    const auto last = static_cast<double>(firstTokenSeconds.size() - 1);
    return firstTokenSeconds[static_cast<std::size_t>(fraction * last)];
}

GatewayFleetOptions crestOfLongPrompts(std::size_t vmCount, std::size_t replicaCount)
{
    using std::chrono::milliseconds;
    GatewayFleetOptions options;
    options.vmCount = vmCount;
    options.replicaCount = replicaCount;
    options.engine.slots = 10;
    options.engine.memoryTokens = 315'000;
    options.engine.stepMs = 0.85;
    options.engine.stepMsPerSequence = 0.00425;
    options.engine.stepMsPerThousandContext = 0.00285;
    options.engine.prefillTokensPerMs = 177;
    options.engine.pairMsPerMillion = 0.184;
    options.engine.chunkTokens = 2048;
    options.engine.stepsPerPass = 80;
    const auto replicas = static_cast<double>(replicaCount);
    options.classes = {
        {5'000, 1'900, 1.2 * replicas, milliseconds{400}, milliseconds{300}, milliseconds{10'000},
         1.3},
        {45'000, 1'100, 0.09 * replicas, milliseconds{1'500}, milliseconds{800},
         milliseconds{10'000}, 3.1},
        {220'000, 960, 0.03 * replicas, milliseconds{4'000}, milliseconds{1'200},
         milliseconds{15'000}, 26},
    };
    options.crestClass = 2;
    options.crestFactor = 2.8;
    return options;
}

GatewayFleetResult simulateGatewayFleet(const GatewayFleetOptions &options)
{
    return FleetSimulation(options).run();
}

} // namespace arbutuspier::model
