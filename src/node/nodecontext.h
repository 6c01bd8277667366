// What the flows of one node share: settings, services found by name, time and the commands made.
#pragma once

#include "arbutuspier/entrynode.h"
#include "arbutuspier/random.h"
#include "arbutuspier/shareallocator.h"
#include "arbutuspier/teamlimiter.h"
#include "kernel/logline.h"
#include "kernel/serviceregistry.h"

#include <utility>

namespace arbutuspier {

/// Names under which the services of a node are found.
namespace service {
inline constexpr std::string_view kRouter = "router";
inline constexpr std::string_view kLimits = "limits";
inline constexpr std::string_view kShares = "shares";
inline constexpr std::string_view kTeamLimiter = "gate";
inline constexpr std::string_view kIdempotencyStore = "once";
inline constexpr std::string_view kMembership = "membership";
inline constexpr std::string_view kReservations = "holdings";
inline constexpr std::string_view kQuarantine = "quarantine";
inline constexpr std::string_view kUnattributedCrashes = "deaths";
inline constexpr std::string_view kOrders = "orders";
} // namespace service

class NodeContext
{
public:
    NodeContext(NodeSettings nodeSettings, ServiceRegistry &nodeKernel);

    /// A service of the kernel; it must have been added.
    template <class T>
    T &service(std::string_view name) const
    {
        T *found = m_kernel.find<T>(name);
        assert(found);
        return *found;
    }

    void emit(Command command) { m_commands.push_back(std::move(command)); }
    void log(const LogLine &line) { emit(LogRecord{line.text()}); }
    Commands takeCommands() { return std::exchange(m_commands, {}); }

    /// Sends to one peer, with what every message carries.
    void sendPeer(VmId to, PeerBody body);
    /// Sends to every reachable peer.
    void broadcast(const PeerBody &body);

    AttemptId newAttempt() { return AttemptId{m_idBase | ++m_idCounter}; }
    ReservationId newReservation() { return ReservationId{m_idBase | ++m_idCounter}; }
    /// First of a range of numbers that no other VM life uses.
    std::uint64_t idBase() const { return m_idBase; }
    std::string_view upstreamName(UpstreamId upstream) const;

    const NodeSettings settings;
    TimePoint now;
    WallTime wallNow;
    Random random;

private:
    ServiceRegistry &m_kernel;
    Commands m_commands;
    std::uint64_t m_idBase;
    std::uint64_t m_idCounter = 0;
};

} // namespace arbutuspier
