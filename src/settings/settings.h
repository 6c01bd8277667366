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

/// An IP number and a port.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    std::string text() const { return host + ':' + std::to_string(port); }
};

/// Reads "IP:PORT". False, and `out` untouched, if the text is anything else.
bool parseAddress(std::string_view text, Address &out);

/// A call that must not be repeated, as "METHOD /path-prefix".
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
    Duration idle = std::chrono::seconds{60};
};

struct Settings
{
    VmInfo self;
    Address listen;
    Address admin;
    Address peer;
    std::uint32_t trafficThreads = 2;
    /// Upstreams of one target that this VM watches and uses at most.
    std::uint32_t maxWatched = 64;
    Address platform;
    std::string peerKey;
    std::string ctlToken;
    HttpLimits http;
    AdmissionOptions admission;
    std::vector<VmInfo> peers;
    std::map<VmId, Address> peerAddresses;
    std::vector<UpstreamInfo> upstreams;
    std::map<UpstreamId, Address> upstreamAddresses;
    /// Calls that must not be repeated, by service.
    std::map<std::string, std::vector<CallPattern>> notRepeatable;
    /// Teams by API key.
    std::map<std::string, TeamSettings> teamsByKey;
};

/// Reads and checks settings. The error lists every mistake as "file:line: key: expected ...".
Result<Settings> parseSettings(std::string_view text, const std::string &fileName);
Result<Settings> loadSettings(const std::string &fileName);

/// What the validator knows of one key; the settings reference is checked against it.
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

/// The rules as the table of docs/operators/settings.md.
std::string settingsReference();

} // namespace arbutuspier
