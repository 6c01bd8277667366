// Requests and responses get fixed fractions of a VM's memory. The rest is for connections, the
// configuration, and what the process knows of replicas and peers.
#include "gateway/memorybudget.h"

namespace arbutuspier {

namespace {

constexpr std::size_t kKibibyte = 1024;
constexpr std::size_t kMebibyte = 1024 * kKibibyte;
constexpr std::size_t kAssumedVmBytes = 400 * kMebibyte;
constexpr double kRequestFraction = 0.3;
constexpr double kSmallRequestFraction = 0.1;
constexpr double kResponseFraction = 0.3;
constexpr std::size_t kSmallRequestBytes = 64 * kKibibyte;
constexpr std::size_t kSmallResponseBytes = kMebibyte;

std::size_t part(double fraction, std::size_t vmBytes)
{
    const std::size_t bytes = vmBytes == 0 ? kAssumedVmBytes : vmBytes;
    return static_cast<std::size_t>(fraction * static_cast<double>(bytes));
}

} // namespace

MemoryBudgetOptions requestMemoryOf(std::size_t vmBytes)
{
    return {part(kRequestFraction, vmBytes), kSmallRequestBytes,
            part(kSmallRequestFraction, vmBytes)};
}

MemoryBudgetOptions responseMemoryOf(std::size_t vmBytes)
{
    MemoryBudgetOptions options;
    options.maxBytes = part(kResponseFraction, vmBytes);
    options.smallBytes = kSmallResponseBytes;
    return options;
}

} // namespace arbutuspier
