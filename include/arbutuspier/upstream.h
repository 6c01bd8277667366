// What the settings say of upstreams and VMs.
#pragma once

#include "arbutuspier/ids.h"
#include "arbutuspier/request.h"

#include <cstdint>
#include <string>

namespace arbutuspier {

/// A back end: a model engine (`Prompt`) or a plain service (`ServiceCall`).
struct UpstreamInfo
{
    UpstreamId id;
    std::string name;
    RequestKind kind = RequestKind::Prompt;
    /// Model or service it serves.
    std::string target;
    std::string zone;
    /// Tokens of KV cache it can hold; zero for a plain service.
    std::uint64_t memoryTokens = 0;
    bool checksFence = false;
};

/// Another entry VM.
struct VmInfo
{
    VmId id;
    std::string zone;
};

} // namespace arbutuspier
