// Each resource bounds the number of peers; the tightest one decides.
#include "arbutuspier/groupbounds.h"

#include <algorithm>

namespace arbutuspier {

namespace {

constexpr double kBytesPerSecondOfMbps = 1e6 / 8;

double smallerKnown(double a, double b)
{
    if (a <= 0 || b <= 0)
        return std::max(a, b);
    return std::min(a, b);
}

/// Most peers with which the VM keeps within its limits. Its capacity is known.
double maxPeers(const VmCapacity &smallest, const GroupCostOptions &options)
{
    double peers = options.maxBytesPerSecond / (options.datagramsPerSecond * options.datagramBytes);
    const double coresPerPeer = options.datagramsPerSecond * toSeconds(options.processorTime);
    peers = std::min(peers, options.maxProcessorFraction * smallest.cores / coresPerPeer);
    // A VM gets as many as it sends.
    const double bytesPerPeer =
        2 * options.datagramsPerSecond * (options.datagramBytes + options.headerBytes);
    const double linkBytesPerSecond = smallest.linkMbps * kBytesPerSecondOfMbps;
    return std::min(peers, options.maxLinkFraction * linkBytesPerSecond / bytesPerPeer);
}

} // namespace

VmCapacity smallerOf(const VmCapacity &a, const VmCapacity &b)
{
    return {smallerKnown(a.cores, b.cores), smallerKnown(a.linkMbps, b.linkMbps)};
}

FleetGroupBounds groupBoundsFor(const VmCapacity &smallest, const FleetGroupBounds &least,
                                const GroupCostOptions &options)
{
    const bool isKnown = smallest.cores > 0 && smallest.linkMbps > 0;
    if (!isKnown)
        return least;
    const auto vms = static_cast<std::size_t>(maxPeers(smallest, options)) + 1;
    // The parts of a fleet that has to be split have room to grow.
    return {std::max(least.maxUngroupedVms, vms), std::max(least.maxGroupVms, vms / 2)};
}

} // namespace arbutuspier
