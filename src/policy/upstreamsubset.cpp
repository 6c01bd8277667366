// Rendezvous hashing of (VM, upstream) within each target.
#include "arbutuspier/upstreamsubset.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <string>

namespace arbutuspier {

namespace {

/// At least one in this many upstreams of the subset is in another zone, if there are enough.
constexpr std::size_t kOtherZonesDivisor = 4;

std::uint64_t subsetOrder(VmId self, UpstreamId upstream)
{
    return XXH64(&upstream.value, sizeof(upstream.value), self.value);
}

} // namespace

std::vector<UpstreamInfo> chooseUpstreamSubset(std::span<const UpstreamInfo> all, VmId self,
                                               std::string_view zone, std::size_t maxPerTarget)
{
    std::map<std::string, std::vector<UpstreamInfo>> byTarget;
    for (const UpstreamInfo &upstream : all)
        byTarget[upstream.target].push_back(upstream);
    std::vector<UpstreamInfo> chosen;
    for (auto &[target, list] : byTarget) {
        std::sort(list.begin(), list.end(), [&](const UpstreamInfo &a, const UpstreamInfo &b) {
            return subsetOrder(self, a.id) < subsetOrder(self, b.id);
        });
        if (list.size() > maxPerTarget) {
            const auto others =
                std::stable_partition(list.begin(), list.end(), [&](const UpstreamInfo &upstream) {
                    return upstream.zone == zone;
                });
            const auto inZoneCount = static_cast<std::size_t>(others - list.begin());
            const std::size_t otherZoneCount = list.size() - inZoneCount;
            const std::size_t chosenInOtherZones =
                std::min(otherZoneCount,
                         std::max(maxPerTarget / kOtherZonesDivisor,
                                  maxPerTarget - std::min(maxPerTarget, inZoneCount)));
            const std::size_t chosenInZone = maxPerTarget - chosenInOtherZones;
            std::rotate(list.begin() + static_cast<std::ptrdiff_t>(chosenInZone), others,
                        list.end());
            list.resize(maxPerTarget);
        }
        chosen.insert(chosen.end(), list.begin(), list.end());
    }
    std::sort(chosen.begin(), chosen.end(),
              [](const UpstreamInfo &a, const UpstreamInfo &b) { return a.id < b.id; });
    return chosen;
}

} // namespace arbutuspier
