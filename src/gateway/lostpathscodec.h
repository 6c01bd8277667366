// The datagram in which a VM tells its peers to which services it has lost its network paths.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

struct LostPaths
{
    std::string vm;
    /// Empty if the VM has all of its paths back.
    std::vector<std::string> services;
};

std::string encodeLostPaths(const LostPaths &lost);
/// Returns nullopt if the bytes are a datagram of another kind.
std::optional<LostPaths> decodeLostPaths(std::string_view bytes);

} // namespace arbutuspier
