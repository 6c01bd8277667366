// Which service answers a request, and whose key it carries: one version of the configuration.
//
// A table is immutable. A holder replaces it by one of a higher version and never by a lower one,
// so that what is in force never goes back within one life of a VM.
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

/// What a request may be repeated for.
enum class RepeatKind : std::uint8_t {
    /// May run any number of times.
    Idempotent,
    /// May run once at most.
    AtMostOnce,
    /// Answered by a stream of events; may run again only where the route is resumable.
    Stream,
};

/// A service that takes a part of a route's requests.
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
    RepeatKind kind = RepeatKind::Idempotent;
    /// Invariant: not empty.
    std::vector<WeightedService> services;
    /// Longest time a request may be kept waiting for the end of its answer.
    Duration timeout{};
    /// Time to the answer, or to the first event of a stream, that the operator aims for.
    Duration objective{};
    /// Longest pause between the events of a stream that is still on time; zero if unset.
    Duration eventGapObjective{};
    /// Zero is the most urgent.
    std::uint32_t priority = 0;
    /// Upstreams that one request may be sent to.
    std::uint32_t maxAttempts = 1;
    /// Needs no key.
    bool isPublic = false;
    /// A broken stream may go on at another upstream.
    bool isResumable = false;
    /// Prompts for a model engine.
    bool isPrompt = false;

    /// Whether a request that may have run may be sent once more.
    bool isRepeatable() const;
};

/// Published figures of the engines of a service; times in milliseconds as the platform gives them.
struct EngineFigures
{
    std::uint32_t slots = 16;
    std::uint64_t memoryTokens = 0;
    double stepMs = 0;
    double stepMsPerSequence = 0;
    double stepMsPerThousandContext = 0;
    double prefillTokensPerMs = 0;
    /// Cost of a million (token, earlier token) pairs.
    double pairMsPerMillion = 0;
    std::uint32_t chunkTokens = 0;
    /// Token steps in a pass that has writers; also the tokens of one event.
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
};

/// What callers may send and how long they may take.
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
    /// Goes before the priority of a route.
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
    /// Empty if a route names no service or its prefix does not begin and end with a slash.
    static std::shared_ptr<const RouteTable> make(Configuration configuration);

    /// The route of the host with the longest prefix that begins the path. A port in `host` and its
    /// case do not matter. Null if there is none.
    const ServiceRoute *findRoute(std::string_view host, std::string_view path) const;
    const TeamSpec *teamOfKey(std::string_view key) const;
    const ServiceSpec *service(std::string_view name) const;
    /// Whether requests need a key at all.
    bool hasTeams() const { return !m_configuration.teams.empty(); }
    const CallerLimits &limits() const { return m_configuration.limits; }
    std::uint64_t version() const { return m_configuration.version; }
    const Configuration &configuration() const { return m_configuration; }

private:
    explicit RouteTable(Configuration configuration);

    Configuration m_configuration;
    /// Routes of a host, the longest prefix first.
    std::unordered_map<std::string, std::vector<const ServiceRoute *>> m_byHost;
    std::unordered_map<std::string_view, const TeamSpec *> m_byKey;
    std::unordered_map<std::string_view, const ServiceSpec *> m_byName;
};

/// Picks a service of the route by weight; `draw` is uniform in [0, 1).
const std::string &pickService(const ServiceRoute &route, double draw);

} // namespace arbutuspier
