// Chooses an upstream for a request by predicted time to first token, on stale reports.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/costmodel.h"
#include "arbutuspier/event.h"
#include "arbutuspier/fairqueue.h"
#include "arbutuspier/ids.h"
#include "arbutuspier/prefixindex.h"
#include "arbutuspier/random.h"
#include "arbutuspier/request.h"
#include "arbutuspier/upstream.h"

#include <array>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutuspier {

/// How requests are spread. All but `Predicted` exist as baselines for the bench.
enum class RoutingMode { Predicted, RoundRobin, LeastOutstanding, TwoChoices };

struct RouterOptions
{
    RoutingMode mode = RoutingMode::Predicted;
    /// Added to the score of an upstream in another zone.
    Duration otherZonePenalty = std::chrono::milliseconds{4};
    /// Work an engine may have ahead of a short prompt; more is held back here, in order.
    Duration maxShortBacklog = std::chrono::milliseconds{100};
    /// Work an engine may have ahead of a longer prompt.
    Duration maxLongBacklog = std::chrono::milliseconds{400};
    /// Streams one engine may run.
    std::uint32_t maxStreams = 80;
    /// A new or returned upstream takes its full load only after this.
    Duration slowStart = std::chrono::seconds{5};
    /// How long a failing upstream is left out at first; doubles with each repeat.
    Duration ejection = std::chrono::seconds{1};
    /// The part of the upstreams that may be left out for failures.
    double maxEjectedPart = 0.34;
    bool usesPrefixCache = true;
    /// Chooses by the body's digest among nearly equal scores.
    bool avoidsHerding = true;
    /// Counts own dispatches since a report once for each VM that may have done the same.
    bool assumesOthersDispatch = true;
    /// Corrects predictions by how earlier ones turned out.
    bool learnsSlowdown = true;
};

/// What a route costs, as predicted.
struct Route
{
    UpstreamId upstream;
    Duration firstToken{};
    std::uint64_t cachedTokens = 0;
};

/// Holds what is known of each upstream. Knows nothing of requests' owners or of queues.
class Router
{
public:
    Router(std::string zone, std::span<const UpstreamInfo> upstreams, RouterOptions options);

    const UpstreamInfo *info(UpstreamId upstream) const;
    std::vector<UpstreamId> upstreamsFor(RequestKind kind, std::string_view target) const;

    /// The best upstream that may take the request now, or nothing if all have enough queued.
    /// `avoid` lists upstreams that must not be chosen.
    std::optional<Route> choose(const RequestSpec &spec, LengthClass lengthClass,
                                std::span<const UpstreamId> avoid, TimePoint now, Random &random);
    /// The time to first token if the request were queued behind what engines have now.
    std::optional<Duration> predict(const RequestSpec &spec, LengthClass lengthClass,
                                    TimePoint now) const;
    /// Prefill seconds of this request on an average engine without cache.
    Duration typicalPrefill(const RequestSpec &spec) const;
    /// Engines of one zone for a prompt larger than one engine; empty if too few are usable.
    /// For a suspect every VM chooses alike, whatever its zone and the engines' load.
    std::vector<UpstreamId> chooseParallelGroup(const RequestSpec &spec, bool isSuspect,
                                                TimePoint now) const;
    /// Engines that a prompt of this size needs; zero if all of them are too few.
    std::size_t parallelGroupSize(const RequestSpec &spec) const;

    /// Counts an attempt on an upstream until `onEnded`.
    void onOpened(AttemptId attempt, const Route &route, const RequestSpec &spec,
                  LengthClass lengthClass, TimePoint now);
    void onFirstToken(AttemptId attempt, TimePoint now);
    void onDone(AttemptId attempt, std::uint64_t tokens, std::uint64_t cachedTokens, TimePoint now);
    /// The attempt ended without an answer; says nothing of the upstream.
    void onEnded(AttemptId attempt);
    /// The upstream misbehaved: it is left out for a while if enough others remain.
    void onFailure(UpstreamId upstream, TimePoint now);

    void onReport(const LoadReport &report, TimePoint now);
    /// The process is gone; a new incarnation must report before it is used again.
    void onDead(UpstreamId upstream, TimePoint now);
    /// No report could be read: the upstream hangs or is cut off from here.
    void onSilent(UpstreamId upstream, TimePoint now);
    /// Since when no report could be read, if the last one could not.
    std::optional<TimePoint> silentSince(UpstreamId upstream) const;
    void onCacheEvents(const CacheEvents &events);
    /// Sticky for the upstream's present incarnation.
    void markLeaving(UpstreamId upstream);
    bool isLeaving(UpstreamId upstream) const;
    /// True if the upstream is neither leaving, dead, nor silent.
    bool isPresent(UpstreamId upstream) const;
    /// True if the upstream may be given work at all.
    bool isUsable(UpstreamId upstream, TimePoint now) const;
    Incarnation incarnation(UpstreamId upstream) const;

    /// Entry VMs that share these upstreams; scales own dispatches to the fleet's.
    void setFleetSize(std::size_t vms) { m_fleetSize = vms == 0 ? 1 : vms; }
    std::size_t usableCount(RequestKind kind, std::string_view target, TimePoint now) const;

    /// Attempts counted on an upstream.
    std::size_t inFlight(UpstreamId upstream) const;

private:
    /// Work by lane; a lane's number is the priority it runs with.
    using LengthClassSeconds = std::array<double, kLengthClassCount>;
    using LengthClassTokens = std::array<std::uint64_t, kPriorityCount>;

    struct OpenAttempt
    {
        UpstreamId upstream;
        std::uint64_t uncached = 0;
        std::uint64_t context = 0;
        std::uint64_t believedCached = 0;
        std::uint64_t reservedTokens = 0;
        LengthClass lengthClass = LengthClass::Short;
        bool wasAlone = false;
        /// Seconds to first token as predicted without pace.
        double predicted = 0;
        TimePoint openedAt;
        std::optional<TimePoint> firstTokenAt;
    };
    struct State
    {
        explicit State(const UpstreamInfo &i);

        UpstreamInfo info;
        CostModel cost;
        PrefixIndex cache;
        Incarnation incarnation;
        bool isLeaving = false;
        bool isDead = false;
        bool hasReport = false;
        TimePoint reportedAt;
        LengthClassTokens reportedQueued{};
        std::uint32_t reportedRunning = 0;
        std::uint64_t reportedFree = 0;
        TimePoint startedAt;
        TimePoint ejectedUntil;
        int failures = 0;
        std::optional<TimePoint> silentSince;
        /// Measured over predicted time to first token; other streams share the engine.
        double pace = 1.0;
        /// Own work without a first token yet, in seconds of prefill.
        LengthClassSeconds ownBacklog{};
        std::size_t ownStreams = 0;
        std::uint64_t ownHeld = 0;
        /// Own dispatches the report cannot have seen yet.
        LengthClassSeconds dispatchedSinceReport{};
        std::size_t streamsSinceReport = 0;
        std::uint64_t heldSinceReport = 0;
    };

    State *find(UpstreamId upstream);
    const State *find(UpstreamId upstream) const;
    bool isUsable(const State &state, TimePoint now) const;
    /// Seconds of prefill that run before a new request of this lane.
    double backlog(const State &state, LengthClass lengthClass, TimePoint now) const;
    double work(const State &state, const OpenAttempt &open) const;
    static void takeOff(LengthClassSeconds &seconds, LengthClass lengthClass, double work);
    std::uint64_t freeTokens(const State &state) const;
    Duration predictOn(const State &state, const RequestSpec &spec, LengthClass lengthClass,
                       TimePoint now, std::uint64_t *cachedOut) const;
    bool hasRoom(const State &state, const RequestSpec &spec, LengthClass lengthClass,
                 TimePoint now) const;
    std::optional<Route> chooseBaseline(const RequestSpec &spec, std::span<const UpstreamId> avoid,
                                        TimePoint now, Random &random);
    void forget(const OpenAttempt &attempt);

    std::string m_zone;
    RouterOptions m_options;
    std::vector<State> m_states;
    std::unordered_map<UpstreamId, std::size_t> m_index;
    /// Upstreams by target, in the order in which every VM hands them to gangs, from the back.
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byTarget;
    std::unordered_map<AttemptId, OpenAttempt> m_open;
    std::size_t m_fleetSize = 1;
    std::size_t m_roundRobin = 0;
};

} // namespace arbutuspier
