// Which VMs read shared data for the others.
//
// The readers are those with the highest rendezvous hashes of the VMs that can read. VMs that hear
// the same others agree on them without messages; where they disagree, for example on both sides of
// a network partition, there are more readers than needed, and on each side at least one.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace arbutuspier {

/// Whether `vm` is among the first `count` of itself and `others`.
bool isAmongReaders(std::string_view vm, std::span<const std::string> others, std::size_t count);

} // namespace arbutuspier
