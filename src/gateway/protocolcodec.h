// The datagram in which a VM announces the protocol that its build speaks.
#pragma once

#include "arbutuspier/groupbounds.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutuspier {

/// The protocol of this build. To be incremented when VMs of two builds would otherwise decide
/// differently what all of them have to decide alike, such as the fleet groups.
inline constexpr std::uint64_t kProtocol = 3;
/// The first one whose builds split a fleet by bounds of 96 and 54, and by what its VMs can bear.
inline constexpr std::uint64_t kLargeGroupsProtocol = 2;
inline constexpr std::uint64_t kGroupCostProtocol = 3;
/// The first one whose builds read compressed datagrams.
inline constexpr std::uint64_t kCompressionProtocol = 3;

struct ProtocolAnnouncement
{
    std::string vm;
    /// The incarnation of the VM, as in its status.
    std::uint64_t incarnation = 0;
    std::uint64_t protocol = 0;
    /// Builds before kGroupCostProtocol don't announce it.
    VmCapacity capacity = {};
};

std::string encodeProtocol(const ProtocolAnnouncement &announcement);
/// Returns nullopt if the bytes are not such a datagram.
std::optional<ProtocolAnnouncement> decodeProtocol(std::string_view bytes);

} // namespace arbutuspier
