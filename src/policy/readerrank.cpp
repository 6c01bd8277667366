// The rank of a VM is the number of others with a higher hash.
#include "arbutuspier/readerrank.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace arbutuspier {

namespace {

/// Differs from the seeds by which VMs are assigned to groups, so that readers are in all of them.
constexpr std::uint64_t kReaderSeed = 0x72656164;

std::pair<std::uint64_t, std::string_view> rankKey(std::string_view vm)
{
    return {XXH64(vm.data(), vm.size(), kReaderSeed), vm};
}

} // namespace

bool isAmongReaders(std::string_view vm, std::span<const std::string> others, std::size_t count)
{
    const auto own = rankKey(vm);
    const auto rank = std::count_if(others.begin(), others.end(),
                                    [&](const std::string &other) { return rankKey(other) > own; });
    return static_cast<std::size_t>(rank) < count;
}

} // namespace arbutuspier
