// One version of the configuration: maps requests to services, and API keys to teams.
//
// A table is immutable. Its holder replaces it by a table of a higher version only, so that the
// active version never decreases within one incarnation of a VM.
#pragma once

#include "arbutuspier/clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutuspier {

/// Whether and how a request may be retried.
enum class RetryKind : std::uint8_t {
    /// May run any number of times.
    Idempotent,
    /// May run once at most.
    AtMostOnce,
    /// The response is a stream of events. May run again only if the route is resumable.
    Stream,
};

/// A service that gets a part of a route's requests, in proportion to its weight.
struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1;
};

struct ServiceRoute
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RetryKind kind = RetryKind::Idempotent;
    /// Invariant: not empty.
    std::vector<WeightedService> services;
    /// Longest time that a caller is kept waiting for the end of the response.
    Duration timeout{};
    /// The operator's objective for the time to the response, or to the first event of a stream.
    Duration objective{};
    /// Longest inter-event gap of a stream that is still on time; zero if unset.
    Duration eventGapObjective{};
    /// Zero is the highest priority.
    std::uint32_t priority = 0;
    /// Largest number of upstreams that one request is sent to.
    std::uint32_t maxAttempts = 1;
    /// Requests need no API key.
    bool isPublic = false;
    /// A broken stream may be resumed on another upstream.
    bool isResumable = false;
    /// Requests are prompts for a model engine.
    bool isPrompt = false;

    /// Returns whether a request may be retried if an earlier attempt may have run.
    bool isRetryable() const;
};

/// Published figures of the engines of a service. Times are in milliseconds, as in the metadata
/// store. The `step` figures are of one decode iteration; a pass is one engine step and may run
/// several of them.
struct EngineFigures
{
    std::uint32_t slots = 16;
    std::uint64_t memoryTokens = 0;
    double stepMs = 0;
    double stepMsPerSequence = 0;
    double stepMsPerThousandContext = 0;
    double prefillTokensPerMs = 0;
    /// Milliseconds of attention for a million (token, earlier token) pairs.
    double pairMsPerMillion = 0;
    std::uint32_t chunkTokens = 0;
    /// Decode iterations in a pass with decoding requests; also the tokens of one stream event.
    std::uint32_t stepsPerPass = 1;
    double meanPromptTokens = 0;
    double meanOutputTokens = 0;
};

struct ServiceSpec
{
    std::string name;
    /// Connections that one replica accepts from all callers together.
    std::uint32_t maxConnections = 0;
    std::optional<EngineFigures> engine;
    /// For how long a replica is cold after it has started during traffic.
    Duration coldDuration{};
    /// Requests a second that a cold replica takes from all VMs together; zero for any number.
    double coldStartsPerSecond = 0;
};

/// Size limits of a caller's request and the timeouts for receiving it.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4ULL * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds{3};
    Duration idleTimeout = std::chrono::seconds{15};
};

struct TeamSpec
{
    std::string name;
    std::vector<std::string> keys;
    /// Overrides the priority of a route.
    std::optional<std::uint32_t> priority;
};

struct Configuration
{
    std::uint64_t version = 0;
    std::vector<ServiceRoute> routes;
    std::vector<ServiceSpec> services;
    CallerLimits limits;
    std::vector<TeamSpec> teams;
};

class RouteTable
{
public:
    /// Returns null if a route names no service or its prefix does not begin and end with a slash.
    static std::shared_ptr<const RouteTable> make(Configuration configuration);

    /// The route of the host with the longest prefix that matches the path; null if there is none.
    /// The case of `host` and a port in it are ignored.
    const ServiceRoute *findRoute(std::string_view host, std::string_view path) const;
    const TeamSpec *teamOfKey(std::string_view key) const;
    const ServiceSpec *service(std::string_view name) const;
    /// Returns whether any team is configured; without teams requests need no key.
    bool hasTeams() const { return !m_configuration.teams.empty(); }
    const CallerLimits &limits() const { return m_configuration.limits; }
    std::uint64_t version() const { return m_configuration.version; }
    const Configuration &configuration() const { return m_configuration; }

private:
    explicit RouteTable(Configuration configuration);

    Configuration m_configuration;
    /// Routes of each host, the longest prefix first.
    std::unordered_map<std::string, std::vector<const ServiceRoute *>> m_byHost;
    std::unordered_map<std::string_view, const TeamSpec *> m_byKey;
    std::unordered_map<std::string_view, const ServiceSpec *> m_byName;
};

/// Picks a service of the route by weight; `draw` is a uniformly random number in [0, 1).
const std::string &pickService(const ServiceRoute &route, double draw);

} // namespace arbutuspier
