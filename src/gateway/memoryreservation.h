// Reservation of memory at several replicas for one prompt that is too large for a single replica.
//
// All or nothing: if one replica refuses, the reservations at the others are released at once, so
// that no request waits while it holds memory. Each reservation has a short time limit and is
// extended while in use, so that the memory is free again soon after a crash of the VM.
#pragma once

#include "gateway/gatewaystate.h"
#include "net/asiotypes.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace arbutuspier {

/// Memory to reserve at one replica.
struct ReservationPart
{
    ReplicaEntry replica;
    std::uint64_t tokens = 0;
    /// Id of the reservation, unique over all VMs and their incarnations.
    std::string id;
};

class MemoryReservation
{
public:
    /// Reserves all parts. Returns null if a replica didn't confirm; the release of all parts has
    /// then started.
    static Task<std::unique_ptr<MemoryReservation>> acquire(GatewayState &state,
                                                            std::vector<ReservationPart> parts);
    /// Starts the release of all parts and doesn't wait for it.
    ~MemoryReservation();
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;

private:
    struct SharedState;

    explicit MemoryReservation(std::shared_ptr<SharedState> shared);
    static Task<void> reserve(std::shared_ptr<SharedState> shared, std::size_t partIndex);
    static Task<void> release(std::shared_ptr<SharedState> shared, std::size_t partIndex);
    static Task<void> extendUntilReleased(std::shared_ptr<SharedState> shared);
    static void releaseAll(const std::shared_ptr<SharedState> &shared);

    std::shared_ptr<SharedState> m_shared;
};

} // namespace arbutuspier
