// The decision core of one entry VM: a deterministic state machine without I/O.
//
// The same object runs in the daemon, in golden sessions, in the fault matrix and in the policy
// bench; each only carries out its commands and feeds it events.
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
    /// A short prompt that cannot have its first token by then is refused at the door.
    Duration shortFirstTokenLimit = std::chrono::milliseconds{900};
    /// Time a request may take if neither its caller nor the table says so.
    Duration shortDeadline = std::chrono::seconds{30};
    Duration longDeadline = std::chrono::minutes{10};
    Duration callDeadline = std::chrono::seconds{10};
    /// Requests queued in this VM at most.
    std::size_t maxQueued = 20'000;
    /// Time after its deadline in which the outcome of a call already sent is still recorded.
    Duration recordGrace = std::chrono::seconds{30};
    /// Retries earned by each first try, and the most that can be saved up, for each class.
    double retriesPerRequest = 0.2;
    double maxSavedRetries = 64;
    bool refusesEarly = true;
    /// Serves by weight; first come, first served if false.
    bool isFair = true;
};

/// What an EntryNode is made of.
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
    IdempotencyOptions once;
    MembershipOptions membership;
    ReservationRegistryOptions holdings;
    QuarantineOptions quarantine;
    UnattributedCrashesOptions unattributedCrashes;
    OrderOptions orders;
};

/// A view of the node for operators.
struct NodeStatus
{
    struct Upstream
    {
        UpstreamInfo info;
        bool isUsable = false;
        bool isLeaving = false;
        std::size_t inFlight = 0;
        std::string state;
    };
    struct Member
    {
        VmInfo info;
        MemberState state = MemberState::Alive;
        std::uint64_t limitsVersion = 0;
    };
    struct RequestLine
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
    std::size_t holdings = 0;
    std::size_t pendingReleases = 0;
    std::size_t unsettledKeys = 0;
    std::vector<Upstream> upstreams;
    std::vector<Member> members;
    std::vector<SuspectNotice> suspects;
    /// Some of the requests in care, at most `kMaxRequestLines`.
    std::vector<RequestLine> requests;
};

/// Requests that a status names at most.
inline constexpr std::size_t kMaxRequestLines = 200;
/// Time between ticks that the core expects.
inline constexpr Duration kTickInterval = std::chrono::milliseconds{20};

class EntryNode
{
public:
    /// Empty if the settings contradict themselves: no id, an id twice, an upstream of no target.
    static std::unique_ptr<EntryNode> make(NodeSettings settings);
    ~EntryNode();
    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    /// Takes one event at a time that never goes back.
    Commands handle(const Event &event, TimePoint now, WallTime wallNow);

    NodeStatus status(TimePoint now) const;
    const LimitsSnapshot &limits() const;
    /// The latest edits of the limits table, oldest first, as far as the platform keeps them.
    std::vector<LimitsDelta> limitsHistory() const;

private:
    struct Impl;
    explicit EntryNode(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace arbutuspier
