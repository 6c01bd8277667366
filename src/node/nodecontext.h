// State that the handlers of one node share: settings, services by name, time and commands.
#pragma once

#include "arbutuspier/entrynode.h"
#include "arbutuspier/random.h"
#include "arbutuspier/shareallocator.h"
#include "arbutuspier/teamlimiter.h"
#include "kernel/logline.h"
#include "kernel/serviceregistry.h"

#include <utility>

namespace arbutuspier {

/// Names of the node's services in the service registry.
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
    NodeContext(NodeSettings nodeSettings, ServiceRegistry &serviceRegistry);

    /// Returns a service, which must have been added to the registry.
    template <class T>
    T &service(std::string_view name) const
    {
        T *found = m_services.find<T>(name);
        assert(found);
        return *found;
    }

    /// Adds a command to those that the current event returns.
    void emit(Command command) { m_commands.push_back(std::move(command)); }
    void log(const LogLine &line) { emit(LogRecord{line.text()}); }
    Commands takeCommands() { return std::exchange(m_commands, {}); }

    /// Sends a message to one peer, with the header fields that every message carries.
    void sendPeer(VmId to, PeerBody body);
    /// Sends a message to every reachable peer.
    void broadcast(const PeerBody &body);

    AttemptId newAttempt() { return AttemptId{m_idBase | ++m_idCounter}; }
    ReservationId newReservation() { return ReservationId{m_idBase | ++m_idCounter}; }
    /// First of a range of ids that no other incarnation of any VM uses.
    std::uint64_t idBase() const { return m_idBase; }
    /// The upstream's name, or "unknown".
    std::string_view upstreamName(UpstreamId upstream) const;

    const NodeSettings settings;
    TimePoint now;
    WallTime wallNow;
    Random random;

private:
    ServiceRegistry &m_services;
    Commands m_commands;
    std::uint64_t m_idBase;
    std::uint64_t m_idCounter = 0;
};

} // namespace arbutuspier
