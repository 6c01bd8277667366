// Finds out whether an address accepts connections.
#pragma once

#include "net/asiotypes.h"
#include "settings/settings.h"

#include <cstdint>

namespace arbutuspier {

/// Time within which an address that can be reached accepts a connection.
inline constexpr Duration kProbeTimeout = std::chrono::milliseconds{250};

enum class ProbeResult : std::uint8_t {
    /// The address refused the connection or didn't accept it in time.
    Unreachable,
    /// The connection was accepted and closed at once.
    ClosedAtOnce,
    StaysOpen,
};

/// Opens a connection and closes it. The host of the address must be an IP address.
Task<ProbeResult> probeConnection(asio::any_io_executor executor, Address address);

} // namespace arbutuspier
