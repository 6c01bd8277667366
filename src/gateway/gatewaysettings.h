// Settings of the gate, the process between callers and replicas on the platform, read from TOML.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/result.h"
#include "settings/settings.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

struct GatewaySettings
{
    /// Name of this VM; its life has a number of its own.
    std::string vm;
    std::string zone;
    /// Where callers connect.
    Address callers;
    /// Where the balancer asks whether this VM takes new connections.
    Address readiness;
    /// Where peers send hints (UDP) and fetch the configuration (TCP); the port is the same on all.
    Address peers;
    Address metrics;
    Address store;
    /// IP numbers of VMs that may know others, for a start while the store is away.
    std::vector<std::string> seedHosts;
    /// A replica gets no new work this long after it was seen to leave.
    Duration drainBound = std::chrono::seconds{2};
    /// A new configuration is in force within this time.
    Duration configBound = std::chrono::seconds{2};
    /// Time from SIGTERM to SIGKILL.
    Duration grace = std::chrono::seconds{8};
    /// Repeats that the fleet may send for each request, and beside that, in a window.
    double retryRatio = 0.2;
    double retrySlack = 100;
    Duration retryWindow = std::chrono::seconds{10};
};

/// Reads and checks the settings. The error lists every mistake as "key: expected ...".
Result<GatewaySettings> parseGatewaySettings(std::string_view text, const std::string &fileName);
Result<GatewaySettings> loadGatewaySettings(const std::string &fileName);

/// Puts in force what a running process can change: seeds, bounds and retries. Returns the names of
/// settings that differ and need a restart.
std::vector<std::string> applyGatewaySettings(GatewaySettings &inForce,
                                              const GatewaySettings &fresh);

} // namespace arbutuspier
