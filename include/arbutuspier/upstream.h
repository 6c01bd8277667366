// Upstreams and VMs as described in the settings.
#pragma once

#include "arbutuspier/ids.h"
#include "arbutuspier/request.h"

#include <cstdint>
#include <string>

namespace arbutuspier {

/// A server behind the entry VMs: a model engine (`Prompt`) or a plain service (`ServiceCall`).
struct UpstreamInfo
{
    UpstreamId id;
    std::string name;
    RequestKind kind = RequestKind::Prompt;
    /// Name of the model or service that it serves.
    std::string target;
    std::string zone;
    /// Capacity of its KV cache in tokens; zero for a plain service.
    std::uint64_t memoryTokens = 0;
    /// It refuses orders with a lower fencing token than it has seen.
    bool checksFence = false;
};

/// An entry VM.
struct VmInfo
{
    VmId id;
    std::string zone;
};

} // namespace arbutuspier
