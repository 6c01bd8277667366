// One request from its reading to the end of its answer: route, wait, send, send again, answer.
#pragma once

#include "arbutuspier/eventstreamjoiner.h"
#include "arbutuspier/ids.h"
#include "gateway/callerconnection.h"
#include "gateway/dispatchqueue.h"
#include "gateway/gatewaystate.h"
#include "gateway/memoryreservation.h"
#include "gateway/upstreamattempt.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace arbutuspier {

/// Digest of path, team and body: the same for a request that comes again.
Fingerprint requestFingerprint(std::string_view target, std::string_view team,
                               std::string_view body);

class RequestHandler
{
public:
    using Request = CallerConnection::Request;

    RequestHandler(GatewayState &state, CallerConnection &caller, const Request &request);
    ~RequestHandler();

    Task<void> run();

private:
    /// How one attempt ended.
    enum class End : std::uint8_t {
        /// The caller has its whole answer.
        Answered,
        /// The replica did not run the request.
        NotRun,
        /// The replica answered that it failed; the answer may be passed on.
        Failed,
        /// The answer broke off, was no answer, or did not come in time.
        Lost,
        CallerDisconnected,
    };

    bool checkKey();
    void limitTime();
    PromptShape promptShape() const;
    /// When a request that was refused is likely to find room.
    Duration retryAfter(DispatchRefusal refusal) const;
    Task<void> attemptUntilAnswered();
    Task<End> attempt(const DispatchGrant &grant);
    Task<End> readWhole(UpstreamAttempt &attempt);
    Task<End> readStream(UpstreamAttempt &attempt, const DispatchGrant &grant);
    Task<bool> passOn(UpstreamAttempt &attempt, const std::string &events);
    bool isTrustworthy(const UpstreamAttempt &attempt) const;
    /// Memory set aside at helpers; given back when this goes.
    struct HeldMemory
    {
        std::unique_ptr<MemoryReservation> hold;
        /// For each helper, the name of its reservation or nothing.
        std::vector<std::string> reservations;
    };

    Task<bool> holdMemory(const DispatchGrant &grant, HeldMemory &held);
    Task<End> readAnswer(UpstreamAttempt::Sent sent, UpstreamAttempt &attempt,
                         const DispatchGrant &grant);
    void noteFirstEvent(const DispatchGrant &grant);
    /// When the replica is given up unless its next event has come.
    TimePoint nextEventEnd() const;
    void noteNotRun(const UpstreamAttempt &attempt, const DispatchGrant &grant);
    void noteLost(const UpstreamAttempt &attempt, const DispatchGrant &grant);
    void logAttempt(End end, const UpstreamAttempt &attempt, const DispatchGrant &grant);
    static std::string_view endName(End end);
    std::vector<ReservationPart> reservationParts(const DispatchGrant &grant) const;
    UpstreamAttempt::Request upstreamRequest(const DispatchGrant &grant,
                                             const std::vector<std::string> &reservations) const;
    DispatchRequirements need() const;
    bool mayRetry(End end);
    void noteSend(const DispatchGrant &grant);
    void noteEnd(End end, const UpstreamAttempt &attempt, const DispatchGrant &grant);
    void noteDeath(const DispatchGrant &grant);
    TimePoint patienceEnd(const DispatchGrant &grant) const;
    /// More time for a replica that is known to read, past the time at which it was to be given up.
    std::optional<TimePoint> extendPatience(const DispatchGrant &grant) const;
    /// Gives the replica until `end` for its first event, and less if its life ends meanwhile,
    /// which is looked at from `check` on.
    void awaitFirstEvent(UpstreamAttempt &attempt, TimePoint check, TimePoint end);
    /// Until when to go on waiting for a replica that has said nothing yet; empty if not at all.
    std::optional<TimePoint> afterSilence(const DispatchGrant &grant) const;
    bool couldRepeat() const;

    Task<void> refuse(int status, std::string_view reason, std::optional<Duration> retryAfter);
    Task<void> answerFailure();
    Duration timeLeft() const;
    TimePoint deadline() const;
    void log(std::string_view outcome, std::string_view reason);

    GatewayState &m_state;
    CallerConnection &m_caller;
    const Request &m_request;
    platform::CallerHead m_head;
    std::shared_ptr<const RouteTable> m_table;
    const ServiceRoute *m_route = nullptr;
    std::string m_team;
    std::uint32_t m_priority = 0;
    std::string m_service;
    Fingerprint m_fingerprint;
    TimePoint m_arrived;
    /// When the present attempt was sent.
    TimePoint m_sentAt{};
    /// When the caller gives up, and when the route's time is over.
    TimePoint m_callerEnd;
    TimePoint m_routeEnd;

    std::shared_ptr<DispatchQueue::Ticket> m_ticket;
    UpstreamAttempt *m_attempt = nullptr;
    std::optional<EventStreamJoiner> m_splice;
    std::set<std::string> m_tried;
    /// Sends that reached a replica.
    std::uint32_t m_sends = 0;
    /// Sends that may have run.
    std::uint32_t m_runs = 0;
    std::uint32_t m_unreachable = 0;
    std::uint32_t m_unreserved = 0;
    bool m_canSplit = true;
    bool m_hasHead = false;
    bool m_wasLogged = false;
    Duration m_queued{};
    /// When the first event was expected, from the arrival.
    Duration m_forecast{};
    std::optional<Duration> m_firstEvent;
    /// Until when the replica may take for its first event.
    TimePoint m_silenceEnd{};
    TimePoint m_lastEvent{};
    Duration m_longestGap{};
    std::string m_replicas;
};

} // namespace arbutuspier
