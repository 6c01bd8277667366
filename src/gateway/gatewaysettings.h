// Settings of the gateway, the process between callers and replicas, read from a TOML file.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/coldreplicas.h"
#include "arbutuspier/groupbounds.h"
#include "arbutuspier/result.h"
#include "settings/settings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

struct GatewaySettings
{
    /// Name of this VM. It stays the same over restarts of the process.
    std::string vm;
    std::string zone;
    /// Address on which callers connect.
    Address callers;
    /// Address on which the load balancer checks whether this VM accepts new connections.
    Address readiness;
    /// Address on which peers send datagrams (UDP) and fetch the configuration (TCP). All VMs use
    /// the same port.
    Address peers;
    /// Address on which peers relay requests that they can't send to a replica themselves. All VMs
    /// use the same port; zero if this VM takes part in no relaying.
    Address relays;
    /// Address that serves the metrics.
    Address metrics;
    /// Address of the metadata store.
    Address store;
    /// IP addresses of VMs that may know further peers, for a start while the store can't be
    /// reached.
    std::vector<std::string> seedHosts;
    /// What this VM has; zero where the settings don't say it.
    VmCapacity capacity;
    /// Memory of this VM; zero if the settings don't say it.
    std::size_t memoryBytes = 0;
    /// Longest time from when a replica's departure is seen until it gets no new requests.
    Duration drainBound = std::chrono::seconds{2};
    /// Longest time until a new configuration is active.
    Duration configBound = std::chrono::seconds{2};
    /// Interval at which a replica writes heartbeats to the store.
    Duration replicaHeartbeat = std::chrono::milliseconds{1200};
    /// Time from SIGTERM to SIGKILL.
    Duration grace = std::chrono::seconds{8};
    /// In each window the fleet may send `retryRatio` retries per request, and `retrySlack` more.
    double retryRatio = 0.2;
    double retrySlack = 100;
    Duration retryWindow = std::chrono::seconds{10};
    /// What a cold replica bears in a second beyond the rate that its service names; empty if cold
    /// replicas aren't limited.
    std::optional<ColdBound> coldBound;
    /// Shortest time that a caller has to accept what is written to it. It has longer if it waits
    /// for longer.
    Duration writeTimeout = std::chrono::seconds{10};
    /// Requests are placed by what similar ones cost and by the work left at each replica.
    bool learnedCost = false;
};

/// Reads and checks the settings. The error lists every wrong key as "key: expected ...".
Result<GatewaySettings> parseGatewaySettings(std::string_view text, const std::string &fileName);
Result<GatewaySettings> loadGatewaySettings(const std::string &fileName);

/// Copies what a running process can change (seeds, bounds, retries and routing) into the active
/// settings. Returns the names of settings that differ but need a restart; those stay as they are.
std::vector<std::string> applyGatewaySettings(GatewaySettings &active,
                                              const GatewaySettings &reloaded);

} // namespace arbutuspier
