// Memory set aside at several replicas for one prompt that no single one can hold.
//
// All or nothing: if one replica has no room, the others are released at once and nobody waits
// while holding. Each reservation is short and extended while in use, so that the memory of a VM
// that dies is free again soon.
#pragma once

#include "gateway/gatewaystate.h"
#include "net/asiotypes.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace arbutuspier {

/// Memory to set aside at one replica.
struct ReservationPart
{
    ReplicaEntry replica;
    std::uint64_t tokens = 0;
    /// Unique over all VMs and their lives.
    std::string id;
};

class MemoryReservation
{
public:
    /// Sets all parts aside. Null if one of the replicas did not confirm; nothing is held then.
    static Task<std::unique_ptr<MemoryReservation>> acquire(GatewayState &state,
                                                            std::vector<ReservationPart> parts);
    /// Releases all parts.
    ~MemoryReservation();
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;

private:
    struct Shared;

    explicit MemoryReservation(std::shared_ptr<Shared> shared);
    static Task<void> reserve(std::shared_ptr<Shared> shared, std::size_t part);
    static Task<void> release(std::shared_ptr<Shared> shared, std::size_t part);
    static Task<void> keep(std::shared_ptr<Shared> shared);
    static void releaseAll(const std::shared_ptr<Shared> &shared);

    std::shared_ptr<Shared> m_shared;
};

} // namespace arbutuspier
