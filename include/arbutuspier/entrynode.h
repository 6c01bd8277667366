// The decision core of one entry VM: a deterministic state machine that does no I/O.
//
// The daemon, the golden session tests, the fault matrix and the policy bench all run this class:
// they pass events to it and execute the commands that it returns.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/command.h"
#include "arbutuspier/event.h"
#include "arbutuspier/idempotencystore.h"
#include "arbutuspier/ids.h"
#include "arbutuspier/limitstable.h"
#include "arbutuspier/membership.h"
#include "arbutuspier/orders.h"
#include "arbutuspier/quarantine.h"
#include "arbutuspier/reservationregistry.h"
#include "arbutuspier/result.h"
#include "arbutuspier/router.h"
#include "arbutuspier/unattributedcrashes.h"
#include "arbutuspier/upstream.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace arbutuspier {

struct AdmissionOptions
{
    /// A short prompt whose predicted time to first token (TTFT) is longer is rejected.
    Duration shortFirstTokenLimit = std::chrono::milliseconds{900};
    /// Time a request may take unless the limits table sets another; a caller can only shorten it.
    Duration shortDeadline = std::chrono::seconds{30};
    Duration longDeadline = std::chrono::minutes{10};
    Duration callDeadline = std::chrono::seconds{10};
    /// Maximum number of unfinished requests in this VM, queued or running.
    std::size_t maxQueued = 20'000;
    /// Time after the deadline of an at-most-once call in which its outcome is still recorded.
    Duration recordGrace = std::chrono::seconds{30};
    /// Retry budget of each class: retries that a new request adds, and the maximum balance.
    double retriesPerRequest = 0.2;
    double maxStoredRetries = 64;
    /// Rejects requests that are predicted to miss their deadline instead of queuing them.
    bool rejectsEarly = true;
    /// Shares upstreams by the weights of teams; serves in order of arrival if false.
    bool usesFairQueue = true;
};

/// The configuration of an `EntryNode`.
struct NodeSettings
{
    VmInfo self;
    Incarnation incarnation;
    std::vector<VmInfo> peers;
    std::vector<UpstreamInfo> upstreams;
    std::uint64_t seed = 1;
    RouterOptions router;
    AdmissionOptions admission;
    LimitsOptions limits;
    IdempotencyOptions idempotency;
    MembershipOptions membership;
    ReservationRegistryOptions reservations;
    QuarantineOptions quarantine;
    UnattributedCrashesOptions unattributedCrashes;
    OrderOptions orders;
};

/// State of the node for operators.
struct NodeStatus
{
    struct Upstream
    {
        UpstreamInfo info;
        bool isUsable = false;
        bool isDraining = false;
        std::size_t inFlight = 0;
        std::string state;
    };
    struct Member
    {
        VmInfo info;
        MemberState state = MemberState::Alive;
        std::uint64_t limitsVersion = 0;
    };
    struct RequestSummary
    {
        RequestId id;
        std::string team;
        std::string className;
        std::string_view phase;
        std::uint64_t promptTokens = 0;
        Duration age{};
        UpstreamId upstream;
        int attempts = 0;
    };
    bool isDraining = false;
    bool isPlatformReachable = true;
    std::uint64_t limitsVersion = 0;
    std::size_t queued = 0;
    std::size_t running = 0;
    std::size_t reservations = 0;
    std::size_t pendingReleases = 0;
    std::size_t pendingKeys = 0;
    std::vector<Upstream> upstreams;
    std::vector<Member> members;
    std::vector<SuspectNotice> suspects;
    /// Some of the unfinished requests, at most `kMaxRequestSummaries`.
    std::vector<RequestSummary> requests;
};

/// Maximum number of requests listed in a `NodeStatus`.
inline constexpr std::size_t kMaxRequestSummaries = 200;
/// Interval between `Tick` events that the core expects.
inline constexpr Duration kTickInterval = std::chrono::milliseconds{20};

class EntryNode
{
public:
    /// Returns null if the settings are inconsistent: an id or the incarnation is missing, an id
    /// occurs twice, or an upstream has no target.
    static std::unique_ptr<EntryNode> make(NodeSettings settings);
    ~EntryNode();
    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    /// Handles one event and returns the commands to execute; `now` must not go backwards.
    Commands handle(const Event &event, TimePoint now, WallTime wallNow);

    NodeStatus status(TimePoint now) const;
    const LimitsSnapshot &limits() const;
    /// The latest edits of the limits table, oldest first, as far back as the platform keeps them.
    std::vector<LimitsDelta> limitsHistory() const;

private:
    struct Impl;
    explicit EntryNode(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace arbutuspier
