// Header fields that two VMs exchange about a request that one relays to the other.
#pragma once

#include "platform/httpheaders.h"

#include <cstdint>
#include <optional>
#include <string>

namespace arbutuspier {

/// What the VM that relays a request tells the one that is to send it to a replica.
struct RelayHead
{
    /// Version of the configuration by which the request was accepted.
    std::uint64_t configVersion = 0;
    /// Attempts of the request that have reached a replica so far.
    std::uint32_t reachedAttempts = 0;
};

void setRelayHead(platform::Fields &fields, const RelayHead &head);
/// Reads the fields and removes them. Returns nullopt if one is missing or is no number.
std::optional<RelayHead> takeRelayHead(platform::Fields &fields);

/// What the VM that got a relayed request tells the one that relayed it, in the head of the
/// response.
struct RelayReport
{
    /// Attempts that have reached a replica, without those that the relaying VM knows of.
    std::uint32_t reachedAttempts = 0;
    /// If the request was refused: the VM can't take relayed requests for this service now,
    /// whatever they are.
    bool isPeerUnable = false;
};

void setRelayReport(platform::Fields &fields, const RelayReport &report);
/// Reads the fields and removes them. Returns nullopt if there are none.
std::optional<RelayReport> takeRelayReport(platform::Fields &fields);

} // namespace arbutuspier
