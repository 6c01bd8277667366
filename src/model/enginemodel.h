// A model engine in any kind of time: continuous batching with a stated cost, limited memory, a
// prefix cache, priorities, reservations, resumable streams and fenced orders.
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
    std::uint64_t memoryTokens = 400'000;
    /// Prefill seconds a token, and a token and token of context before it.
    double perToken = 4e-5;
    double perTokenPair = 1e-10;
    /// Seconds a step takes, whatever it does, and for each decoding stream.
    double stepBase = 0.006;
    double stepPerStream = 0.00005;
    /// Prefill seconds in one step beside decoding streams, and without any.
    double prefillBudget = 0.010;
    double prefillBudgetAlone = 0.040;
    /// Part of the memory that cached prefixes may take.
    double cachePart = 0.3;
    bool checksFence = true;
    /// Time an order takes.
    Duration orderTime = std::chrono::milliseconds{500};
};

/// A stream to run.
struct EngineRequest
{
    AttemptId attempt;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    std::uint64_t resumeOffset = 0;
    int priority = 0;
    std::vector<std::uint64_t> prefixBlocks;
    /// Engines that share the prompt; each prefills its part.
    std::uint64_t parallelGroupSize = 1;
    /// The reservation that covers its memory, for a gang.
    ReservationId reservation;
    /// Dropped at this time if the engine keeps deadlines.
    std::optional<TimePoint> deadline;
};

struct EngineOutput
{
    enum class Kind { Token, Done };
    AttemptId attempt;
    Kind kind = Kind::Token;
    /// Tokens of the whole answer generated so far.
    std::uint64_t tokens = 0;
    std::uint64_t cachedTokens = 0;
    TimePoint at;
};

class EngineModel
{
public:
    EngineModel(EngineOptions options, Incarnation incarnation);

    /// False if the request can never fit.
    bool open(EngineRequest request, TimePoint now);
    /// Runs steps up to `now`; returns what was generated, in order.
    std::vector<EngineOutput> advance(TimePoint now);
    /// Time at which the present step ends; nothing if the engine is idle.
    std::optional<TimePoint> nextStepAt() const;

    bool reserve(ReservationId reservation, std::uint64_t tokens, TimePoint deadline,
                 TimePoint now);
    /// Ends a stream or a reservation. Later opens and reservations of this id are refused.
    void release(ReservationId reservation);
    std::vector<ReservationId> expiredReservations(TimePoint now) const;

    OrderOutcome order(std::uint64_t fence, const std::string &state);

    /// Load as it is now; the caller adds the lag.
    LoadReport report(UpstreamId self) const;
    /// Cache changes since the last call.
    CacheEvents takeCacheEvents(UpstreamId self);

    std::uint64_t usedTokens() const { return m_used; }
    std::size_t streams() const { return m_streams.size(); }
    bool hasStream(AttemptId attempt) const { return m_streams.contains(attempt); }
    Incarnation incarnation() const { return m_incarnation; }
    const std::string &state() const { return m_state; }
    void setLeaving() { m_isLeaving = true; }
    /// Seconds of work done, of any kind.
    double busySeconds() const { return m_busySeconds; }

private:
    struct Stream
    {
        EngineRequest request;
        std::uint64_t order = 0;
        /// Tokens still to be prefilled, and those before them.
        std::uint64_t toPrefill = 0;
        std::uint64_t context = 0;
        std::uint64_t cached = 0;
        std::uint64_t generated = 0;
        std::uint64_t held = 0;
        bool isAdmitted = false;
    };

    void admitWaiting();
    void startStep();
    void finishStep(std::vector<EngineOutput> &out);
    double prefillCost(std::uint64_t tokens, std::uint64_t context,
                       std::uint64_t parallelGroup) const;
    std::uint64_t tokensWithin(double seconds, std::uint64_t context,
                               std::uint64_t parallelGroup) const;
    void endStream(AttemptId attempt);
    std::uint64_t cachedPrefix(const std::vector<std::uint64_t> &blocks);
    void cacheBlocks(const std::vector<std::uint64_t> &blocks);

    EngineOptions m_options;
    Incarnation m_incarnation;
    std::map<AttemptId, Stream> m_streams;
    /// Streams still in prefill or waiting, by (priority, order).
    std::set<std::pair<std::pair<int, std::uint64_t>, AttemptId>> m_prefilling;
    std::set<AttemptId> m_decoding;
    std::map<ReservationId, std::pair<std::uint64_t, TimePoint>> m_reservations;
    std::set<ReservationId> m_released;
    std::uint64_t m_used = 0;
    std::uint64_t m_nextOrder = 0;
    TimePoint m_now;
    bool m_isStepping = false;
    TimePoint m_stepEnd;
    std::map<AttemptId, std::uint64_t> m_stepPrefill;
    std::set<AttemptId> m_stepDecode;
    double m_busySeconds = 0;
    std::list<std::uint64_t> m_cacheOrder;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cache;
    CacheEvents m_cacheEvents;
    std::uint64_t m_highestFence = 0;
    std::string m_state;
    bool m_isLeaving = false;
};

} // namespace arbutuspier::model
