// Chooses the subset of all upstreams that one VM monitors and uses, its own zone preferred.
#pragma once

#include "arbutuspier/ids.h"
#include "arbutuspier/upstream.h"

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace arbutuspier {

/// Chooses up to `maxPerTarget` upstreams for each target. A quarter of them are in other zones, so
/// that a VM still has upstreams if its zone loses all of its own. The choice differs between VMs
/// and changes little when upstreams are added or removed.
std::vector<UpstreamInfo> chooseUpstreamSubset(std::span<const UpstreamInfo> all, VmId self,
                                               std::string_view zone, std::size_t maxPerTarget);

} // namespace arbutuspier
