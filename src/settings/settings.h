// Settings of one entry VM, read from TOML and validated as a whole.
#pragma once

#include "arbutuspier/entrynode.h"
#include "arbutuspier/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace arbutuspier {

/// A numeric IPv4 address and a port.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    std::string text() const { return host + ':' + std::to_string(port); }
};

/// Parses "IP:PORT". Returns false and leaves `out` unchanged if the text has another form.
bool parseAddress(std::string_view text, Address &out);

/// Matches at-most-once calls by method and path prefix; written as "METHOD /path-prefix".
struct CallPattern
{
    std::string method;
    std::string pathPrefix;
};

struct TeamSettings
{
    std::string name;
    std::string className;
};

struct HttpLimits
{
    std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint32_t maxConnections = 10'000;
    Duration requestReadTimeout = std::chrono::seconds{30};
    Duration idleTimeout = std::chrono::seconds{60};
};

struct Settings
{
    VmInfo self;
    Address listen;
    Address admin;
    Address peer;
    std::uint32_t trafficThreads = 2;
    /// Maximum size of the upstream subset of each target that this VM uses.
    std::uint32_t maxSubsetSize = 64;
    Address platform;
    std::string peerKey;
    std::string ctlToken;
    HttpLimits http;
    AdmissionOptions admission;
    std::vector<VmInfo> peers;
    std::map<VmId, Address> peerAddresses;
    std::vector<UpstreamInfo> upstreams;
    std::map<UpstreamId, Address> upstreamAddresses;
    /// Patterns of at-most-once calls, by service.
    std::map<std::string, std::vector<CallPattern>> atMostOnceCalls;
    /// Teams by API key.
    std::map<std::string, TeamSettings> teamsByKey;
};

/// Parses and validates settings. The error lists every mistake as "file:line: key: ...".
Result<Settings> parseSettings(std::string_view text, const std::string &fileName);
Result<Settings> loadSettings(const std::string &fileName);

/// Rule of the validator for one key; a test compares the settings reference page with the rules.
struct SettingRule
{
    std::string_view section;
    std::string_view key;
    std::string_view type;
    bool isRequired = false;
    std::string_view fallback;
    std::string_view description;
};
std::vector<SettingRule> settingRules();

/// The rules as the Markdown table in docs/operators/settings.md.
std::string settingsReference();

} // namespace arbutuspier
