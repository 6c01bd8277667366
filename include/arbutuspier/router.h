// Chooses the upstream with the best predicted time to first token (TTFT) from stale load reports.
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

/// How an upstream is chosen. All modes but `Predicted` are baselines for the benchmark.
enum class RoutingMode { Predicted, RoundRobin, LeastOutstanding, TwoChoices };

struct RouterOptions
{
    RoutingMode mode = RoutingMode::Predicted;
    /// Added to the predicted TTFT of an upstream in another zone.
    Duration otherZonePenalty = std::chrono::milliseconds{4};
    /// Longest prefill backlog of an engine that a short prompt is sent to. Beyond it requests wait
    /// in this VM's queue, in its order.
    Duration maxShortBacklog = std::chrono::milliseconds{100};
    /// Longest prefill backlog of an engine that any longer prompt is sent to.
    Duration maxLongBacklog = std::chrono::milliseconds{400};
    /// Streams that one engine may run at a time.
    std::uint32_t maxStreams = 80;
    /// Time over which a new or restarted upstream is ramped up to its full load.
    Duration slowStart = std::chrono::seconds{5};
    /// Length of the first ejection of a failing upstream; doubled with each further failure.
    Duration initialEjection = std::chrono::seconds{1};
    /// Fraction of the upstreams of a target that may be ejected at a time.
    double maxEjectedFraction = 0.34;
    bool usesPrefixCache = true;
    /// Chooses by the request's fingerprint among upstreams with nearly equal predictions.
    bool avoidsHerding = true;
    /// Multiplies own dispatches since a report by the number of VMs, as each may do the same.
    bool assumesOthersDispatch = true;
    /// Scales predictions by the ratio of measured to predicted TTFT of earlier requests.
    bool learnsSlowdown = true;
};

/// An upstream with the predicted TTFT there and the prompt tokens expected in its cache.
struct Route
{
    UpstreamId upstream;
    Duration firstToken{};
    std::uint64_t cachedTokens = 0;
};

/// Holds the known state of each upstream. Independent of the teams that send requests and of the
/// queues in which the requests wait.
class Router
{
public:
    Router(std::string zone, std::span<const UpstreamInfo> upstreams, RouterOptions options);

    const UpstreamInfo *info(UpstreamId upstream) const;
    std::vector<UpstreamId> upstreamsFor(RequestKind kind, std::string_view target) const;

    /// The best upstream with room for the request now; empty if there is none.
    /// `avoid` lists upstreams that must not be chosen.
    std::optional<Route> choose(const RequestSpec &spec, LengthClass lengthClass,
                                std::span<const UpstreamId> avoid, TimePoint now, Random &random);
    /// The shortest predicted TTFT behind the present backlogs, whether or not there is room.
    std::optional<Duration> predictTimeToFirstToken(const RequestSpec &spec,
                                                    LengthClass lengthClass, TimePoint now) const;
    /// Prefill time of this request on one engine of its target, without cached tokens.
    Duration typicalPrefill(const RequestSpec &spec) const;
    /// Engines of one zone that form a parallel group for a prompt larger than one engine's memory;
    /// empty if too few are usable. For a suspect request every VM chooses the same engines,
    /// whatever its zone and the load of the engines.
    std::vector<UpstreamId> chooseParallelGroup(const RequestSpec &spec, bool isSuspect,
                                                TimePoint now) const;
    /// Number of engines that a prompt of this size needs; zero if no zone has that many.
    std::size_t parallelGroupSize(const RequestSpec &spec) const;

    /// Counts an attempt against its upstream until `onDone` or `onEnded`.
    void onOpened(AttemptId attempt, const Route &route, const RequestSpec &spec,
                  LengthClass lengthClass, TimePoint now);
    void onFirstToken(AttemptId attempt, TimePoint now);
    void onDone(AttemptId attempt, std::uint64_t tokens, std::uint64_t cachedTokens, TimePoint now);
    /// The attempt ended without a response for a reason that does not concern the upstream.
    void onEnded(AttemptId attempt);
    /// The upstream failed. It is ejected after repeated failures if enough others remain.
    void onFailure(UpstreamId upstream, TimePoint now);

    void onReport(const LoadReport &report, TimePoint now);
    /// The upstream's process crashed. It is used again after its next report.
    void onCrash(UpstreamId upstream, TimePoint now);
    /// No report could be fetched: the upstream hangs, or there is a network partition between it
    /// and this VM.
    void onUnresponsive(UpstreamId upstream, TimePoint now);
    /// Start of the time without reports; empty if the last report could be fetched.
    std::optional<TimePoint> unresponsiveSince(UpstreamId upstream) const;
    void onCacheEvents(const CacheEvents &events);
    /// Marks the upstream as draining until it starts a new incarnation.
    void markDraining(UpstreamId upstream);
    bool isDraining(UpstreamId upstream) const;
    /// Returns whether the upstream is neither draining, crashed nor unresponsive.
    bool isPresent(UpstreamId upstream) const;
    /// Returns whether the upstream is neither draining, crashed nor ejected.
    bool isUsable(UpstreamId upstream, TimePoint now) const;
    Incarnation incarnation(UpstreamId upstream) const;

    /// Number of entry VMs that share these upstreams; scales own dispatches to those of the fleet.
    void setFleetSize(std::size_t vms) { m_fleetSize = vms == 0 ? 1 : vms; }
    std::size_t usableCount(RequestKind kind, std::string_view target, TimePoint now) const;

    /// Attempts of this VM that run on an upstream.
    std::size_t inFlight(UpstreamId upstream) const;

private:
    /// Backlog by length class; the number of a length class is its priority on the engine.
    using LengthClassSeconds = std::array<double, kLengthClassCount>;
    using LengthClassTokens = std::array<std::uint64_t, kPriorityCount>;

    struct OpenAttempt
    {
        UpstreamId upstream;
        std::uint64_t uncachedTokens = 0;
        std::uint64_t contextTokens = 0;
        std::uint64_t expectedCachedTokens = 0;
        std::uint64_t reservedTokens = 0;
        LengthClass lengthClass = LengthClass::Short;
        bool wasAlone = false;
        /// Predicted TTFT in seconds before the slowdown factor is applied.
        double predictedSeconds = 0;
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
        bool isDraining = false;
        bool isCrashed = false;
        bool hasReport = false;
        TimePoint reportedAt;
        LengthClassTokens reportedQueued{};
        std::uint32_t reportedRunning = 0;
        std::uint64_t reportedFreeTokens = 0;
        TimePoint startedAt;
        TimePoint ejectedUntil;
        int consecutiveFailures = 0;
        std::optional<TimePoint> unresponsiveSince;
        /// Moving average of measured over predicted TTFT. Above 1 mostly because other streams
        /// share the engine.
        double slowdown = 1.0;
        /// Prefill time of own attempts without a first token.
        LengthClassSeconds ownBacklog{};
        std::size_t ownStreams = 0;
        std::uint64_t ownReservedTokens = 0;
        /// Own dispatches that are too recent to be in the last report.
        LengthClassSeconds dispatchedSinceReport{};
        std::size_t streamsSinceReport = 0;
        std::uint64_t reservedSinceReport = 0;
    };

    State *find(UpstreamId upstream);
    const State *find(UpstreamId upstream) const;
    bool isUsable(const State &state, TimePoint now) const;
    /// Seconds of prefill that the engine runs before a new request of this length class.
    double backlog(const State &state, LengthClass lengthClass, TimePoint now) const;
    double prefillSeconds(const State &state, const OpenAttempt &open) const;
    static void subtractBacklog(LengthClassSeconds &seconds, LengthClass lengthClass,
                                double prefillSeconds);
    std::uint64_t freeTokens(const State &state) const;
    Duration predictOn(const State &state, const RequestSpec &spec, LengthClass lengthClass,
                       TimePoint now, std::uint64_t *cachedOut) const;
    bool hasRoom(const State &state, const RequestSpec &spec, LengthClass lengthClass,
                 TimePoint now) const;
    std::optional<Route> chooseBaseline(const RequestSpec &spec, std::span<const UpstreamId> avoid,
                                        TimePoint now, Random &random);
    void removeFromLoad(const OpenAttempt &attempt);

    std::string m_zone;
    RouterOptions m_options;
    std::vector<State> m_states;
    std::unordered_map<UpstreamId, std::size_t> m_index;
    /// Upstreams by target, in the same order on every VM. Parallel groups take them from the back.
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byTarget;
    std::unordered_map<AttemptId, OpenAttempt> m_open;
    std::size_t m_fleetSize = 1;
    std::size_t m_roundRobin = 0;
};

} // namespace arbutuspier
