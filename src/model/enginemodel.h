// A simulator of an inference engine. It models continuous batching with configured step costs,
// limited memory, a prefix cache, priorities, memory reservations, resumable streams and orders
// with fencing tokens. The caller supplies the time, so it runs in real and in virtual time.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/event.h"
#include "arbutuspier/ids.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutuspier::model {

struct EngineOptions
{
    /// Memory of the engine, in tokens.
    std::uint64_t memoryTokens = 400'000;
    /// Prefill time in seconds: for each token, and in addition for each pair of a token and an
    /// earlier token of its context.
    double secondsPerToken = 4e-5;
    double secondsPerTokenPair = 1e-10;
    /// Duration of an engine step in seconds: a fixed part, and a part for each decoding stream.
    double stepBaseSeconds = 0.006;
    double stepSecondsPerStream = 0.00005;
    /// Seconds of prefill that one step may hold while other streams decode, and while none does.
    double prefillBudgetSeconds = 0.010;
    double prefillOnlyBudgetSeconds = 0.040;
    /// Fraction of the memory that cached prefixes may occupy.
    double maxCacheFraction = 0.3;
    /// Whether orders with a stale fencing token are refused.
    bool checksFence = true;
    /// Time between the arrival of an order and its reply.
    Duration orderDuration = std::chrono::milliseconds{500};
};

/// A request to generate one stream of output tokens.
struct EngineRequest
{
    AttemptId attempt;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    /// Output tokens that an earlier attempt delivered already; generation continues after them.
    std::uint64_t resumeOffset = 0;
    int priority = 0;
    std::vector<std::uint64_t> prefixBlocks;
    /// Number of engines that share the prompt; each prefills an equal part of it.
    std::uint64_t parallelGroupSize = 1;
    /// Reservation that covers the memory of this stream; set only in a parallel group.
    ReservationId reservation;
    /// From this time on expiredReservations() reports the stream.
    std::optional<TimePoint> deadline;
};

struct EngineOutput
{
    enum class Kind { Token, Done };
    AttemptId attempt;
    Kind kind = Kind::Token;
    /// Tokens generated so far, counted from the start of the response.
    std::uint64_t tokens = 0;
    std::uint64_t cachedTokens = 0;
    TimePoint at;
};

class EngineModel
{
public:
    EngineModel(EngineOptions options, Incarnation incarnation);

    /// Queues the request. Returns false if its attempt is known or was released already, if its
    /// reservation doesn't exist, or if it needs more memory than the engine has.
    bool open(EngineRequest request, TimePoint now);
    /// Runs the engine steps that end by `now` and returns their output in order.
    std::vector<EngineOutput> advance(TimePoint now);
    /// Time at which the current engine step ends; empty if the engine is idle.
    std::optional<TimePoint> nextStepAt() const;

    /// Sets memory aside. Returns false if there is too little free memory or if the reservation
    /// was released before; returns true again for a reservation that exists.
    bool reserve(ReservationId reservation, std::uint64_t tokens, TimePoint deadline,
                 TimePoint now);
    /// Ends the stream or reservation with this id. Later requests and reservations with the same
    /// id are refused, because they were sent before the release and arrived after it.
    void release(ReservationId reservation);
    /// Reservations and streams whose deadline has passed by `now`.
    std::vector<ReservationId> expiredReservations(TimePoint now) const;

    /// Executes an order. Refuses it if it has a lower fencing token than an earlier order,
    /// provided that the engine checks fencing tokens.
    OrderOutcome executeOrder(std::uint64_t fence, const std::string &state);

    /// Current load; the caller models the delay of reports.
    LoadReport report(UpstreamId self) const;
    /// Returns the changes of the prefix cache since the last call.
    CacheEvents collectCacheEvents(UpstreamId self);

    std::uint64_t usedTokens() const { return m_usedTokens; }
    std::size_t streams() const { return m_streams.size(); }
    bool hasStream(AttemptId attempt) const { return m_streams.contains(attempt); }
    Incarnation incarnation() const { return m_incarnation; }
    const std::string &state() const { return m_state; }
    void setDraining() { m_isDraining = true; }
    /// Total duration of all engine steps so far, in seconds.
    double busySeconds() const { return m_busySeconds; }

private:
    struct Stream
    {
        EngineRequest request;
        std::uint64_t order = 0;
        /// Tokens still to be prefilled, and the tokens of context before them.
        std::uint64_t tokensToPrefill = 0;
        std::uint64_t contextTokens = 0;
        std::uint64_t cachedTokens = 0;
        std::uint64_t generatedTokens = 0;
        /// Memory of the stream in tokens; 0 if a reservation covers it.
        std::uint64_t memoryTokens = 0;
        bool isAdmitted = false;
    };

    void admitWaiting();
    void startStep();
    void finishStep(std::vector<EngineOutput> &out);
    double secondsToPrefill(std::uint64_t tokens, std::uint64_t contextTokens,
                            std::uint64_t parallelGroupSize) const;
    std::uint64_t tokensPrefilledWithin(double seconds, std::uint64_t contextTokens,
                                        std::uint64_t parallelGroupSize) const;
    void endStream(AttemptId attempt);
    std::uint64_t cachedPrefix(const std::vector<std::uint64_t> &blocks);
    void cacheBlocks(const std::vector<std::uint64_t> &blocks);

    EngineOptions m_options;
    Incarnation m_incarnation;
    std::map<AttemptId, Stream> m_streams;
    /// Streams in prefill or waiting for it, sorted by priority and order of arrival.
    std::set<std::pair<std::pair<int, std::uint64_t>, AttemptId>> m_prefilling;
    std::set<AttemptId> m_decoding;
    std::map<ReservationId, std::pair<std::uint64_t, TimePoint>> m_reservations;
    std::set<ReservationId> m_releasedIds;
    std::uint64_t m_usedTokens = 0;
    std::uint64_t m_nextOrder = 0;
    TimePoint m_now;
    bool m_isStepping = false;
    TimePoint m_stepEnd;
    std::map<AttemptId, std::uint64_t> m_stepPrefillTokens;
    std::set<AttemptId> m_stepDecoding;
    double m_busySeconds = 0;
    std::list<std::uint64_t> m_cacheOrder;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cache;
    CacheEvents m_cacheEvents;
    std::uint64_t m_highestFence = 0;
    std::string m_state;
    bool m_isDraining = false;
};

} // namespace arbutuspier::model
