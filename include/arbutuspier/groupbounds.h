// How many VMs may form one fleet group, by what the group costs each of its VMs.
//
// A VM sends a datagram to each member of its group with each of its reports, and handles those of
// each member. What that takes grows with the size of the group, and what a VM can spend on it is a
// part of its processor share and its link. The smallest VM of the fleet decides, as every member
// bears the same. VMs that know the same capacities agree without messages.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/fleetgroups.h"

#include <cstddef>

namespace arbutuspier {

/// What a VM has, as its settings say; zero if they don't.
struct VmCapacity
{
    /// Processor share, in cores.
    double cores = 0;
    /// Bandwidth of its link, in Mbit/s.
    double linkMbps = 0;
};

/// The smaller one of each; a capacity that isn't known doesn't count.
VmCapacity smallerOf(const VmCapacity &a, const VmCapacity &b);

struct GroupCostOptions
{
    /// Datagrams that a VM sends each member, at the request rate for which a fleet is sized.
    double datagramsPerSecond = 2.8;
    /// Processor time of a whole core for sending one datagram and handling one.
    Duration processorTime = std::chrono::microseconds{25};
    /// Mean size of a datagram, and of the headers of its packet.
    double datagramBytes = 25;
    double headerBytes = 28;
    /// Parts of a VM's processor share and link that its group may take.
    double maxProcessorFraction = 0.12;
    double maxLinkFraction = 0.05;
    /// Most bytes a second of datagrams that a VM may send its group, whatever its link.
    double maxBytesPerSecond = 10'000;
};

/// The bounds for a fleet whose smallest VM has this capacity; never smaller than `least`.
FleetGroupBounds groupBoundsFor(const VmCapacity &smallest, const FleetGroupBounds &least,
                                const GroupCostOptions &options);

} // namespace arbutuspier
