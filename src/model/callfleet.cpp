// As work and speeds don't change while a call waits, its end is known to the model when it
// arrives.
#include "model/callfleet.h"

#include "arbutuspier/callplacement.h"
#include "arbutuspier/placementplan.h"
#include "arbutuspier/random.h"
#include "arbutuspier/remainingwork.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>
#include <tuple>

namespace arbutuspier::model {

namespace {

constexpr const char *kService = "calls";

/// A call as other VMs know it, or as its own VM does.
struct KnownCall
{
    std::uint64_t id = 0;
    std::size_t vm = 0;
    std::size_t kind = 0;
    /// When the one who knows learned of it.
    TimePoint begunAt{};
    std::optional<CostForecast> cost;
    /// A slot of the replica seemed free, so that the duration shows the work and the speed.
    bool seemedUnqueued = true;
};

struct Replica
{
    std::string id;
    double slowdown = 1;
    /// When each slot will be free.
    std::vector<TimePoint> freeAt;
    /// What VMs have heard of each other's calls.
    std::vector<KnownCall> reported;
};

struct Vm
{
    std::unique_ptr<RemainingWork> work;
    std::unique_ptr<ReplicaTurns> turns;
    /// By replica.
    std::vector<std::vector<KnownCall>> own;
};

struct Event
{
    enum class Kind : std::uint8_t { Ended, ReportedBegin, ReportedEnd };

    TimePoint at{};
    std::uint64_t order = 0;
    Kind kind = Kind::Ended;
    std::size_t replica = 0;
    KnownCall call;
    double durationMs = 0;

    bool operator>(const Event &other) const
    {
        return std::pair(at, order) > std::pair(other.at, other.order);
    }
};

double percentile(std::vector<double> &values, double quantile)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

class CallFleet
{
public:
    explicit CallFleet(const CallFleetOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_choices(options.seed + 1)
        , m_durationsMs(options.kinds.size())
    {
        for (std::size_t i = 0; i < options.replicaCount; ++i) {
            const double slowdown = i < options.slowReplicas ? options.slowFactor : 1;
            m_replicas.push_back(
                {"r" + std::to_string(i), slowdown, std::vector<TimePoint>(options.slots), {}});
        }
        for (std::size_t i = 0; i < options.vmCount; ++i) {
            m_vms.push_back(
                {std::make_unique<RemainingWork>(CostEstimateOptions{}, ReplicaSpeedOptions{}),
                 std::make_unique<ReplicaTurns>("vm" + std::to_string(i)),
                 std::vector<std::vector<KnownCall>>(options.replicaCount)});
        }
    }

    CallFleetResult run()
    {
        const double perSecond = arrivalsPerSecond();
        TimePoint at{};
        while (at < TimePoint{} + m_options.duration) {
            at += fromSeconds(-std::log(1 - uniform(m_random)) / perSecond);
            advanceTo(at);
            arrive();
        }
        return result();
    }

private:
    static double meanWorkMs(const CallKind &kind)
    {
        return kind.meanMs * (1 + kind.tailFraction * (kind.tailFactor - 1));
    }

    double arrivalsPerSecond() const
    {
        double meanMs = 0;
        for (const CallKind &kind : m_options.kinds)
            meanMs += kind.share * meanWorkMs(kind);
        double speed = 0;
        for (const Replica &replica : m_replicas)
            speed += m_options.slots / replica.slowdown;
        constexpr double kMillisecondsPerSecond = 1000;
        return m_options.load * speed / meanMs * kMillisecondsPerSecond;
    }

    std::size_t drawKind()
    {
        double draw = uniform(m_random);
        std::size_t kind = 0;
        while (kind + 1 < m_options.kinds.size() && draw >= m_options.kinds[kind].share)
            draw -= m_options.kinds[kind++].share;
        return kind;
    }

    double drawNormal()
    {
        constexpr double kTwoPi = 6.283185307179586;
        const double radius = std::sqrt(-2 * std::log(1 - uniform(m_random)));
        return radius * std::cos(kTwoPi * uniform(m_random));
    }

    double drawWorkMs(const CallKind &kind)
    {
        const double spread = kind.logSpread;
        const double workMs = kind.meanMs * std::exp(spread * drawNormal() - spread * spread / 2);
        return uniform(m_random) < kind.tailFraction ? workMs * kind.tailFactor : workMs;
    }

    void advanceTo(TimePoint at)
    {
        while (!m_events.empty() && m_events.top().at <= at) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            apply(event);
        }
        m_now = at;
    }

    static void remove(std::vector<KnownCall> &calls, std::uint64_t id)
    {
        std::erase_if(calls, [&](const KnownCall &call) { return call.id == id; });
    }

    CostFeatures features(std::size_t kind) const
    {
        return {kService, m_options.kinds[kind].name, {}, 0, 0};
    }

    static ReplicaIncarnation incarnation(const Replica &replica) { return {replica.id, 1}; }

    void apply(const Event &event)
    {
        Replica &replica = m_replicas[event.replica];
        switch (event.kind) {
        case Event::Kind::Ended:
            remove(m_vms[event.call.vm].own[event.replica], event.call.id);
            if (event.call.seemedUnqueued)
                m_vms[event.call.vm].work->onCompleted(
                    features(event.call.kind), incarnation(replica), event.durationMs, m_now);
            return;
        case Event::Kind::ReportedBegin:
            replica.reported.push_back(event.call);
            replica.reported.back().begunAt = m_now;
            return;
        case Event::Kind::ReportedEnd:
            remove(replica.reported, event.call.id);
            return;
        }
    }

    void push(TimePoint at, Event::Kind kind, std::size_t replica, const KnownCall &call,
              double durationMs)
    {
        m_events.push({at, m_nextOrder++, kind, replica, call, durationMs});
    }

    void arrive()
    {
        KnownCall call;
        call.id = m_nextId++;
        call.vm = uniformIndex(m_random, m_vms.size());
        call.kind = drawKind();
        call.begunAt = m_now;
        const double workMs = drawWorkMs(m_options.kinds[call.kind]);
        if (m_options.rule == CallRule::LearnedCost)
            call.cost = m_vms[call.vm].work->forecast(features(call.kind), m_now);
        const std::size_t chosen = choose(call, workMs);
        call.seemedUnqueued = running(call, chosen) < m_options.slots;
        Replica &replica = m_replicas[chosen];
        const auto slot = std::min_element(replica.freeAt.begin(), replica.freeAt.end());
        *slot = endAt(replica, workMs);
        const double durationMs = toMilliseconds(*slot - m_now);
        m_vms[call.vm].own[chosen].push_back(call);
        push(*slot, Event::Kind::Ended, chosen, call, durationMs);
        if (m_options.hasReports) {
            push(m_now + m_options.reportAge, Event::Kind::ReportedBegin, chosen, call, 0);
            push(*slot + m_options.reportAge, Event::Kind::ReportedEnd, chosen, call, 0);
        }
        if (m_now >= TimePoint{} + m_options.warmUp)
            m_durationsMs[call.kind].push_back(durationMs);
    }

    TimePoint endAt(const Replica &replica, double workMs) const
    {
        const TimePoint free = *std::min_element(replica.freeAt.begin(), replica.freeAt.end());
        return std::max(m_now, free) + fromSeconds(replica.slowdown * workMs / 1000);
    }

    std::size_t choose(const KnownCall &call, double workMs)
    {
        switch (m_options.rule) {
        case CallRule::FewestRunning:
            return fewestRunning(call);
        case CallRule::TwoRandomChoices:
            return twoRandomChoices(call);
        case CallRule::LeastOutstanding:
            return least([&](std::size_t i) { return static_cast<double>(running(call, i)); });
        case CallRule::ShortestExpectedWork:
            return least([&](std::size_t i) { return expectedWorkMs(call, i); });
        case CallRule::LearnedCost:
            return learnedCost(call);
        case CallRule::Oracle:
            break;
        }
        return least(
            [&](std::size_t i) { return toMilliseconds(endAt(m_replicas[i], workMs) - m_now); });
    }

    /// Calls at a replica that the VM of `call` knows of.
    template <class Visit>
    void visitKnown(const KnownCall &call, std::size_t replica, Visit visit) const
    {
        for (const KnownCall &own : m_vms[call.vm].own[replica])
            visit(own);
        for (const KnownCall &reported : m_replicas[replica].reported) {
            if (reported.vm != call.vm)
                visit(reported);
        }
    }

    std::uint32_t running(const KnownCall &call, std::size_t replica) const
    {
        std::uint32_t count = 0;
        visitKnown(call, replica, [&](const KnownCall &) { ++count; });
        return count;
    }

    double expectedWorkMs(const KnownCall &call, std::size_t replica) const
    {
        double sum = 0;
        visitKnown(call, replica,
                   [&](const KnownCall &known) { sum += meanWorkMs(m_options.kinds[known.kind]); });
        return sum;
    }

    /// The replica with the least value, ties broken at random.
    template <class Value>
    std::size_t least(Value value)
    {
        std::size_t best = 0;
        std::pair<double, double> bestKey;
        for (std::size_t i = 0; i < m_replicas.size(); ++i) {
            const std::pair key(value(i), uniform(m_choices));
            if (i > 0 && key >= bestKey)
                continue;
            best = i;
            bestKey = key;
        }
        return best;
    }

    std::size_t twoRandomChoices(const KnownCall &call)
    {
        const std::size_t first = uniformIndex(m_choices, m_replicas.size());
        const std::size_t offset = 1 + uniformIndex(m_choices, m_replicas.size() - 1);
        const std::size_t second = (first + offset) % m_replicas.size();
        return running(call, second) < running(call, first) ? second : first;
    }

    std::size_t fewestRunning(const KnownCall &call) const
    {
        std::vector<PlacementCandidate> candidates(m_replicas.size());
        for (std::size_t i = 0; i < m_replicas.size(); ++i) {
            candidates[i].replica = m_replicas[i].id;
            candidates[i].load.running = running(call, i);
            candidates[i].slots = candidates[i].load.running + 1;
            candidates[i].packingOrder = i;
        }
        return indexOf(*placeCall(candidates));
    }

    std::size_t learnedCost(const KnownCall &call)
    {
        Vm &vm = m_vms[call.vm];
        const CostForecast usual = vm.work->serviceForecast(kService, m_now);
        std::vector<CallCandidate> candidates;
        for (std::size_t i = 0; i < m_replicas.size(); ++i) {
            const Replica &replica = m_replicas[i];
            std::vector<RunningCall> calls;
            visitKnown(call, i, [&](const KnownCall &known) {
                const bool isOwn = known.vm == call.vm;
                calls.push_back(
                    {known.id, known.begunAt, isOwn ? known.cost : std::optional<CostForecast>()});
            });
            CallCandidate candidate;
            candidate.replica = replica.id;
            candidate.slots = m_options.slots;
            candidate.running = 0;
            candidate.slowdown = vm.work->slowdownWhile(incarnation(replica), calls, m_now);
            candidate.work = workLeftAt(calls, usual, candidate.slowdown.factor, m_now);
            candidate.turn = vm.turns->turn(replica.id);
            candidates.push_back(std::move(candidate));
        }
        const CallDemand demand{*call.cost, m_options.objective, m_options.reportAge, usual.mean()};
        const std::size_t chosen = indexOf(*chooseReplica(candidates, demand, {}).replica);
        vm.turns->onUse(m_replicas[chosen].id);
        return chosen;
    }

    std::size_t indexOf(const std::string &replica) const
    {
        const auto found = std::find_if(m_replicas.begin(), m_replicas.end(),
                                        [&](const Replica &other) { return other.id == replica; });
        return static_cast<std::size_t>(found - m_replicas.begin());
    }

    CallKindResult summary(const std::string &kind, std::vector<double> durationsMs) const
    {
        const double objectiveMs = toMilliseconds(m_options.objective);
        const auto late = std::count_if(durationsMs.begin(), durationsMs.end(),
                                        [&](double ms) { return ms > objectiveMs; });
        CallKindResult result;
        result.kind = kind;
        result.calls = durationsMs.size();
        result.lateFraction =
            static_cast<double>(late) / static_cast<double>(std::max<std::size_t>(1, result.calls));
        result.p50Ms = percentile(durationsMs, 0.5);
        result.p99Ms = percentile(durationsMs, 0.99);
        return result;
    }

    CallFleetResult result() const
    {
        CallFleetResult result;
        std::vector<double> all;
        for (std::size_t i = 0; i < m_durationsMs.size(); ++i) {
            result.kinds.push_back(summary(m_options.kinds[i].name, m_durationsMs[i]));
            all.insert(all.end(), m_durationsMs[i].begin(), m_durationsMs[i].end());
        }
        result.all = summary("all", std::move(all));
        return result;
    }

    const CallFleetOptions &m_options;
    /// Draws the arrivals, which are the same under each rule.
    Random m_random;
    /// Draws the random choices of a rule.
    Random m_choices;
    TimePoint m_now{};
    std::vector<Replica> m_replicas;
    std::vector<Vm> m_vms;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_nextOrder = 1;
    /// By kind.
    std::vector<std::vector<double>> m_durationsMs;
};

} // namespace

std::string toText(CallRule rule)
{
    switch (rule) {
    case CallRule::FewestRunning:
        return "fewest running";
    case CallRule::TwoRandomChoices:
        return "two random choices";
    case CallRule::LeastOutstanding:
        return "least outstanding";
    case CallRule::ShortestExpectedWork:
        return "shortest expected work";
    case CallRule::LearnedCost:
        return "learned cost";
    case CallRule::Oracle:
        break;
    }
    return "oracle";
}

CallFleetResult runCallFleet(const CallFleetOptions &options)
{
    return CallFleet(options).run();
}

} // namespace arbutuspier::model
