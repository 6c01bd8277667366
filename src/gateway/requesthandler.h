// Handles one caller request: finds its route, waits for a replica, sends it there, retries it if
// an attempt fails, and forwards the response.
#pragma once

#include "arbutuspier/eventstreamjoiner.h"
#include "arbutuspier/ids.h"
#include "gateway/backupattempt.h"
#include "gateway/callerconnection.h"
#include "gateway/dispatchqueue.h"
#include "gateway/gatewaystate.h"
#include "gateway/memoryreservation.h"
#include "gateway/relayhead.h"
#include "gateway/upstreamattempt.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace arbutuspier {

/// Hash of target, team and body. It is the same when a caller repeats a request.
Fingerprint requestFingerprint(std::string_view target, std::string_view team,
                               std::string_view body);

/// `caller` and `request` must outlive the handler.
class RequestHandler
{
public:
    using Request = CallerConnection::Request;

    /// `relay` is set for a request that a peer relays to this VM.
    RequestHandler(GatewayState &state, CallerConnection &caller, const Request &request,
                   std::optional<RelayHead> relay = std::nullopt);
    ~RequestHandler();

    /// Handles the request until its response was sent or the caller disconnected.
    Task<void> run();

private:
    /// Outcome of one attempt.
    enum class AttemptOutcome : std::uint8_t {
        /// The caller received a complete response.
        Completed,
        /// The replica didn't execute the request.
        NotExecuted,
        /// The replica responded with a server error, and the request may be retried.
        Failed,
        /// The response was truncated, invalid or late; the request may have been executed.
        Lost,
        /// The caller disconnected.
        CallerDisconnected,
        /// Another attempt of the request had output first.
        Superseded,
    };

    /// Sets team and priority from the API key. False if the route needs a known key and has none.
    bool authenticate();
    /// Sets the deadlines of the route and of the caller.
    void setDeadlines();
    bool isQuarantined() const { return m_state.suspects.isQuarantined(m_identity); }
    RequestIdentity identity() const;
    PromptShape promptShape() const;

    // Costs that are learned from completed requests.

    /// The engine of the request's service; null if it has none.
    const EngineFigures *engine() const;
    CostFeatures costFeatures() const;
    /// Forecast of the output tokens; the published mean while there is little evidence.
    double likelyOutputTokens(const EngineFigures &figures) const;
    /// Forecast of the work of a call; empty if replicas aren't chosen by it.
    std::optional<CostForecast> callCost() const;
    /// Learns from a response that was read to its end just now.
    void recordCost(const UpstreamAttempt &attempt);
    /// Time from the assignment to a replica to the end of the request, by the recent requests of
    /// its route. Zero if the request fails unless it is assigned now.
    Duration expectedDuration() const;
    /// Records how long the request took, for those that arrive while this VM drains.
    void recordDuration();
    /// False for a request that was rejected before its deadlines were known.
    bool hasDeadlines() const { return m_callerDeadline != TimePoint{}; }
    /// Which of the request's deadlines is the first: "drain", "caller" or "route"; "none" if they
    /// aren't known.
    std::string_view firstDeadline() const;
    /// Time after which a rejected request is likely to be accepted.
    Duration retryAfter(const DispatchResult &result) const;
    /// Waits until it is known whether the last replica that lost the request has crashed: a retry
    /// of a request that crashed its replica would crash the next one too.
    Task<void> awaitCrashCheck();
    /// Whether that check can end before the request's deadline. If not, there is no time for a
    /// retry, and the caller must have its response at once.
    bool hasTimeForRetry() const;
    /// Whether no attempt can follow this outcome.
    static bool isFinal(AttemptOutcome outcome);
    /// Makes attempts until one is completed, no retry is allowed, or the caller disconnects.
    Task<void> attemptUntilDone();
    Task<AttemptOutcome> attempt(const DispatchGrant &grant);
    /// Returns the attempt's connection to the pool if it may be reused.
    void releaseConnection(UpstreamAttempt &attempt, AttemptOutcome outcome);
    /// Sends the request and counts the attempt.
    Task<UpstreamAttempt::SendResult> send(UpstreamAttempt &attempt, const DispatchGrant &grant,
                                           const std::vector<std::string> &reservationIds);
    /// Records what the replica says of itself in the head of its response.
    void recordResponseHead(const UpstreamAttempt &attempt, const ReplicaIncarnation &incarnation);
    Task<AttemptOutcome> readFullResponse(UpstreamAttempt &attempt);
    /// Reads the response to its end into `body`. Stops before if it is too long by itself, or if
    /// those of all requests together are.
    static Task<UpstreamAttempt::ReadProgress> collectResponse(UpstreamAttempt &attempt,
                                                               std::string &body,
                                                               MemoryBudget::Share &share);
    Task<AttemptOutcome> readStream(UpstreamAttempt &attempt, const DispatchGrant &grant);
    /// Forwards events to the caller, after the response head before the first ones. False if the
    /// caller has disconnected.
    Task<bool> forwardEvents(UpstreamAttempt &attempt, const std::string &events);
    /// Whether the response carries the id of this request.
    bool isForThisRequest(const UpstreamAttempt &attempt) const;
    /// Whether the response is signed, has no content encoding and carries the id of this request.
    bool isValidResponse(const UpstreamAttempt &attempt) const;
    /// Whether the replica states that it didn't execute this request. A refusal without an id may
    /// be that of an earlier request unless the connection is new.
    bool isRefusal(const UpstreamAttempt &attempt) const;
    bool isEventStream(const UpstreamAttempt &attempt) const;
    /// Longest response that isn't streamed. Several have to fit into a VM's memory at once.
    static constexpr std::size_t kMaxResponseBytes = 8UL * 1024 * 1024;
    /// Most bytes of a stream that are kept before its first new event is complete.
    static constexpr std::size_t kMaxBytesBeforeEvent = 2UL * 1024 * 1024;
    /// Memory reserved at helpers; the destructor releases it.
    struct ReservedMemory
    {
        std::unique_ptr<MemoryReservation> reservation;
        /// For each helper, the name of its reservation, or empty if it has none.
        std::vector<std::string> reservationIds;
    };

    /// Reserves the helpers' memory that the grant asks for. False if a helper didn't confirm.
    Task<bool> reserveMemory(const DispatchGrant &grant, ReservedMemory &reserved);
    /// Whether the zone of the replica or of a helper was evacuated since the grant.
    bool wasEvacuated(const DispatchGrant &grant) const;
    Task<AttemptOutcome> readResponse(UpstreamAttempt::SendResult sent, UpstreamAttempt &attempt,
                                      const DispatchGrant &grant);
    /// Updates the replica's load and slowdown factor when the first event of an attempt came.
    void onFirstEvent(const UpstreamAttempt &attempt, const DispatchGrant &grant);
    /// Updates the progress of an attempt when stream events came.
    void onEvents(UpstreamAttempt &attempt);
    /// Time from which the attempt is late unless its next event has come; the request's deadline
    /// if no retry is allowed.
    TimePoint nextEventDeadline() const;
    /// When to check again a replica whose stream has begun; empty to give it up now.
    std::optional<TimePoint> nextEventCheck(UpstreamAttempt &attempt, const DispatchGrant &grant);
    /// Called while the attempt is late. It stays open, and a backup attempt is started if one may
    /// be. Returns when to call it again; empty to give the attempt up.
    std::optional<TimePoint> onLate(UpstreamAttempt &attempt, const DispatchGrant &grant);
    /// Updates the health of the replica when an attempt becomes late.
    void recordLateness(const UpstreamAttempt &attempt, const DispatchGrant &grant);

    // Relays to peers.

    /// Unreachable replicas after which a request is relayed, even if others may be reachable.
    static constexpr std::uint32_t kMaxUnreachableBeforeRelay = 2;
    /// Most relays of a request that are refused.
    static constexpr std::uint32_t kMaxRefusedRelays = 2;

    /// Rejects a request that a peer relays if this VM can't take it. Returns true if it did.
    Task<bool> rejectRelay();
    /// Waits, but not for long, for the configuration by which the peer accepted the request.
    Task<void> awaitConfiguration();
    /// Whether the next attempt should be made by a peer.
    bool shouldRelay() const;
    /// Whether another attempt may be made of a request that has reached no replica so far.
    bool mayTryElsewhere() const;
    /// Chooses a peer for the next attempt; empty if there is none.
    std::optional<DispatchGrant> relayGrant();
    /// Waits for a peer or a replica.
    Task<DispatchResult> acquire();
    void endGrant(const DispatchGrant &grant);
    UpstreamAttempt::Request relayRequest() const;
    /// The caller's request with other fields.
    UpstreamAttempt::Request callerRequest(platform::Fields fields) const;
    void onRelayEnded(AttemptOutcome outcome, const UpstreamAttempt &attempt,
                      const DispatchGrant &grant);
    /// Number of times that an attempt at a replica or a peer has reached a replica. Reads what a
    /// peer reports beside it.
    std::uint32_t reachedAttempts(UpstreamAttempt &attempt, const DispatchGrant &grant);
    void recordRefusedRelay(const RelayReport &report, const platform::ResponseHead &head,
                            const DispatchGrant &grant);
    /// Attempts that have reached a replica, without those before the request was relayed to this
    /// VM.
    std::uint32_t reachedAttemptsHere() const;
    RelayReport relayReport() const;
    /// Fields of a replica's response for the caller, or for the peer that relays the request.
    platform::Fields responseFields(const UpstreamAttempt &attempt) const;
    /// Most attempts of the request that may be executed here. The peer that relays it makes the
    /// others.
    std::uint32_t maxExecutions() const { return m_relay ? 1 : m_route->maxAttempts; }

    // Backup attempts. They never split a prompt.

    /// Interval at which it is checked whether another backup attempt may be started.
    static constexpr Duration kBackupInterval = std::chrono::milliseconds{250};

    /// Most attempts of a request at replicas that can't be reached.
    static constexpr std::uint32_t kMaxUnreachableAttempts = 6;

    bool mayStartBackup() const;
    /// Starts a backup attempt, if one may be, for an attempt at `late`.
    void startBackup(const ReplicaIncarnation &late);
    Task<void> runBackup(BackupAttempts::Pointer backup, ReplicaIncarnation late);
    /// Waits for a peer or a replica and takes a retry from the budget. False if there is none.
    Task<bool> placeBackup(BackupAttempt &backup);
    /// Waits for a replica.
    Task<void> placeBackupAtReplica(BackupAttempt &backup);
    /// Sends the request and reads the response until there is new output.
    Task<AttemptOutcome> readBackup(BackupAttempt &backup);
    Task<AttemptOutcome> readBackupStream(BackupAttempt &backup);
    Task<AttemptOutcome> readBackupResponse(BackupAttempt &backup);
    /// Outcome of an attempt that was cancelled.
    AttemptOutcome cancelledOutcome() const;
    /// Waits until a backup attempt has output, or all have ended. Null in that case.
    Task<BackupAttempts::Pointer> awaitBackup(const ReplicaIncarnation &failed);
    /// Makes a backup attempt with output the current attempt.
    Task<AttemptOutcome> continueBackup(BackupAttempt &backup);
    /// Updates counters and health by the outcome, and ends the active request.
    void endBackup(BackupAttempt &backup, AttemptOutcome outcome);
    /// Cancels all backup attempts and waits until they have ended.
    Task<void> stopBackups();
    /// Attempts that were sent to a replica and haven't ended.
    std::uint32_t runningAttempts() const;

    /// Records how the replica answered a request that was completed: with a success, or with an
    /// error that is passed on because no retry is allowed.
    void recordHealth(const UpstreamAttempt &attempt, const DispatchGrant &grant);
    void onNotExecuted(const UpstreamAttempt &attempt, const DispatchGrant &grant);
    void onLost(const UpstreamAttempt &attempt, const DispatchGrant &grant);
    void logAttempt(AttemptOutcome outcome, const UpstreamAttempt &attempt,
                    const DispatchGrant &grant);
    static std::string_view outcomeName(AttemptOutcome outcome);
    std::vector<ReservationPart> reservationParts(const DispatchGrant &grant) const;
    UpstreamAttempt::Request upstreamRequest(const DispatchGrant &grant,
                                             const std::vector<std::string> &reservationIds) const;
    DispatchRequirements requirements() const;
    /// Whether another attempt is allowed after this outcome. Takes a retry from the budget for it,
    /// except while no attempt has reached a replica.
    bool mayRetry(AttemptOutcome outcome);
    /// Whether the route's limit on attempts allows another one.
    bool isBelowAttemptLimit() const;
    /// Sets the expected time to first event and adds the replica to the ones that the log names.
    void recordAttempt(const DispatchGrant &grant);
    /// Updates the counters of this request and the health of the replica after an attempt.
    void onAttemptEnded(AttemptOutcome outcome, const UpstreamAttempt &attempt,
                        const DispatchGrant &grant);
    /// Time from which the attempt is late unless its first event has come; the request's deadline
    /// if no retry is allowed.
    TimePoint firstEventDeadline(const DispatchGrant &grant) const;
    /// Later deadline for a replica that must still be busy with prefills according to its known
    /// load; empty if there is no reason to wait longer.
    std::optional<TimePoint> extendDeadline(const DispatchGrant &grant) const;
    /// Sets the deadline of the first event. The directory is checked until then, and the attempt
    /// is given up if the replica has gone.
    void setFirstEventDeadline(UpstreamAttempt &attempt, const DispatchGrant &grant);
    /// Whether a check found the replica unreachable after the attempt was sent.
    bool isUnreachable(const UpstreamAttempt &attempt, const DispatchGrant &grant) const;
    /// Whether the replica was removed from the directory, or is silent there while it holds memory
    /// at helpers, and is unreachable. Starts a check if it isn't known yet whether it can be
    /// reached.
    bool isReplicaGone(const UpstreamAttempt &attempt, const DispatchGrant &grant);
    /// Whether the replica was removed from the directory and should have finished its prefill.
    bool isLateAndRemoved(const DispatchGrant &grant) const;
    /// When to check again a replica that hasn't sent its first event yet; empty to give it up now.
    std::optional<TimePoint> nextFirstEventCheck(UpstreamAttempt &attempt,
                                                 const DispatchGrant &grant);
    /// Whether the route allows another attempt after the running ones, even if these were
    /// executed.
    bool couldRetry() const;

    /// Responds with an error status of the gateway. `reason` goes only to the log.
    Task<void> reject(int status, std::string_view reason, std::optional<Duration> retryAfter);
    /// Responds after the last attempt failed; truncates the response if its head was sent already.
    Task<void> respondWithFailure();
    /// Remaining time until the deadline of the caller or the route, whichever is earlier.
    Duration timeLeft() const;
    /// Time by which the gateway must have responded: a little before the end of the remaining
    /// time, at its end for a stream that has begun, and not after the end of draining.
    TimePoint deadline() const;
    /// Logs and counts how the request ended.
    void log(std::string_view outcome, std::string_view reason);

    GatewayState &m_state;
    CallerConnection &m_caller;
    const Request &m_request;
    platform::CallerHead m_head;
    /// Set if a peer relays the request to this VM.
    std::optional<RelayHead> m_relay;
    /// The request counts as one that this VM accepted from a peer.
    bool m_isAcceptedRelay = false;
    std::shared_ptr<const RouteTable> m_table;
    const ServiceRoute *m_route = nullptr;
    std::string m_team;
    std::uint32_t m_priority = 0;
    std::string m_service;
    RequestIdentity m_identity;
    TimePoint m_arrivedAt;
    /// When the caller stops waiting, and when the route's timeout expires.
    TimePoint m_callerDeadline{};
    TimePoint m_routeDeadline{};

    /// Set while the request waits in the dispatch queue.
    std::shared_ptr<DispatchQueue::Ticket> m_ticket;
    /// Set while an attempt runs.
    UpstreamAttempt *m_currentAttempt = nullptr;
    /// Id of the replica of the current attempt.
    std::string m_currentReplica;
    BackupAttempts m_backups;
    std::optional<EventStreamJoiner> m_joiner;
    std::set<std::string> m_triedReplicas;
    std::optional<ReplicaIncarnation> m_lastLostReplica;
    /// Attempts that reached a replica.
    std::uint32_t m_reachedAttempts = 0;
    /// Attempts that the replica may have executed.
    std::uint32_t m_possibleExecutions = 0;
    /// Attempts for which no connection could be opened.
    std::uint32_t m_unreachableAttempts = 0;
    /// Relays that peers refused or couldn't accept.
    std::uint32_t m_refusedRelays = 0;
    /// A peer that could take relayed requests refused this one.
    bool m_wasRefusedByPeer = false;
    /// Shortest time after which a peer that refused the request expects to serve it.
    std::optional<Duration> m_peerRetryAfter;
    /// Peers that the request was relayed to.
    std::set<std::string> m_triedVms;
    /// Attempts for which memory could not be reserved at all helpers.
    std::uint32_t m_failedReservations = 0;
    /// False after an attempt with helpers failed; the next attempts use a single replica.
    bool m_canSplit = true;
    /// The caller was sent the head of a streamed response.
    bool m_hasSentHead = false;
    bool m_wasLogged = false;
    Duration m_queueTime{};
    /// Expected time to first event, counted from the arrival.
    Duration m_expectedFirstEvent{};
    std::optional<Duration> m_timeToFirstEvent;
    /// Deadline of the first event in the current attempt.
    TimePoint m_firstEventDeadline{};
    /// When the prefill of the current attempt should be over at the latest, by its forecast.
    TimePoint m_expectedPrefillEnd{};
    TimePoint m_nextReachabilityCheck{};
    TimePoint m_lastEventAt{};
    Duration m_longestGap{};
    /// Forecast and outcome of the attempt that was completed, in milliseconds for a call and in
    /// output tokens for a prompt; zero without either.
    double m_expectedCost = 0;
    double m_cost = 0;
    /// Replicas of all attempts for the log, each followed by "+" and the number of its helpers.
    std::string m_attemptedReplicas;
};

} // namespace arbutuspier
