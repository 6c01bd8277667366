// The upstreams one VM watches and uses: its own zone's first, and not more than it can follow.
#pragma once

#include "arbutuspier/ids.h"
#include "arbutuspier/upstream.h"

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace arbutuspier {

/// Chooses up to `maxPerTarget` upstreams for each target. A quarter of the places go to other
/// zones, so that a VM whose zone loses its upstreams has somewhere to go. The choice differs
/// between VMs and changes little when upstreams come or go.
std::vector<UpstreamInfo> chooseUpstreamSubset(std::span<const UpstreamInfo> all, VmId self,
                                               std::string_view zone, std::size_t maxPerTarget);

} // namespace arbutuspier
