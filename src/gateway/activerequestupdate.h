// Changes of active requests, as VMs report them to each other.
#pragma once

#include "arbutuspier/fleetload.h"

#include <cstdint>
#include <optional>

namespace arbutuspier {

/// A change of one of this VM's active requests, as it is sent to the other VMs.
struct ActiveRequestUpdate
{
    enum class Kind : std::uint8_t { Began, Decoding, Ended };
    Kind kind = Kind::Began;
    std::uint64_t id = 0;
    /// Set only for `Began`.
    std::optional<ActiveRequest> activeRequest;
    /// Another VM may decide otherwise if it hears of the change some hundred milliseconds later.
    bool isUrgent = true;
};

} // namespace arbutuspier
