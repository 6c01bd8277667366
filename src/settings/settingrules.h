// Rules for all settings; the validator and the settings reference page use them.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace arbutuspier {

enum class SettingType { Integer, Text, Bool, IpAddress, TextList };

struct SettingCheck
{
    std::string_view section;
    std::string_view key;
    SettingType type;
    bool isRequired;
    std::int64_t minimum;
    std::int64_t maximum;
    std::string_view fallback;
    std::string_view description;
};

inline constexpr std::int64_t kMaxId = 1'000'000'000;
inline constexpr std::int64_t kMaxDurationMs = 86'400'000;

inline constexpr std::array kRules = {
    SettingCheck{"vm", "id", SettingType::Integer, true, 1, kMaxId, "",
                 "Numeric id of this VM, unique in the fleet"},
    SettingCheck{"vm", "zone", SettingType::Text, true, 0, 0, "", "Availability zone of this VM"},
    SettingCheck{"vm", "listen", SettingType::IpAddress, true, 0, 0, "",
                 "Address on which callers connect"},
    SettingCheck{"vm", "admin", SettingType::IpAddress, true, 0, 0, "",
                 "Address on which arbutuspierctl connects"},
    SettingCheck{"vm", "peer", SettingType::IpAddress, true, 0, 0, "",
                 "Address on which other entry VMs connect"},
    SettingCheck{"vm", "traffic_threads", SettingType::Integer, false, 1, 64, "2",
                 "Threads that forward requests and responses"},
    SettingCheck{"vm", "max_watched", SettingType::Integer, false, 3, 10'000, "64",
                 "Maximum number of upstreams of one model or service that this VM uses"},
    SettingCheck{"platform", "address", SettingType::IpAddress, true, 0, 0, "",
                 "Address of the table service and the VM list"},
    SettingCheck{"security", "peer_key", SettingType::Text, true, 0, 0, "",
                 "Key that all entry VMs share"},
    SettingCheck{"security", "ctl_token", SettingType::Text, true, 0, 0, "",
                 "Token that arbutuspierctl must send"},
    SettingCheck{"http", "max_body_bytes", SettingType::Integer, false, 1024, 1LL << 32, "67108864",
                 "Maximum size of a request body"},
    SettingCheck{"http", "max_header_bytes", SettingType::Integer, false, 512, 1 << 20, "16384",
                 "Maximum size of a request header"},
    SettingCheck{"http", "max_connections", SettingType::Integer, false, 1, 1'000'000, "10000",
                 "Maximum number of caller connections"},
    SettingCheck{"http", "slow_sender_ms", SettingType::Integer, false, 100, kMaxDurationMs,
                 "30000", "Maximum time to receive a request"},
    SettingCheck{"http", "idle_ms", SettingType::Integer, false, 100, kMaxDurationMs, "60000",
                 "Maximum idle time of a connection between requests"},
    SettingCheck{"admission", "short_first_token_ms", SettingType::Integer, false, 1,
                 kMaxDurationMs, "900",
                 "A short prompt with a longer predicted time to first token is rejected"},
    SettingCheck{"admission", "short_deadline_ms", SettingType::Integer, false, 1, kMaxDurationMs,
                 "30000", "Time allowed for a short prompt if the limits table sets none"},
    SettingCheck{"admission", "long_deadline_ms", SettingType::Integer, false, 1, kMaxDurationMs,
                 "600000", "Time allowed for a longer prompt if the limits table sets none"},
    SettingCheck{"admission", "call_deadline_ms", SettingType::Integer, false, 1, kMaxDurationMs,
                 "10000",
                 "Time allowed for a call to a plain service if the limits table sets none"},
    SettingCheck{"admission", "max_queued", SettingType::Integer, false, 1, 1'000'000, "20000",
                 "Maximum number of unfinished requests in this VM"},
    SettingCheck{"peers", "id", SettingType::Integer, true, 1, kMaxId, "",
                 "Numeric id of the other VM"},
    SettingCheck{"peers", "zone", SettingType::Text, true, 0, 0, "", "Its availability zone"},
    SettingCheck{"peers", "address", SettingType::IpAddress, true, 0, 0, "", "Its peer address"},
    SettingCheck{"upstreams", "id", SettingType::Integer, true, 1, kMaxId, "",
                 "Numeric id of the upstream"},
    SettingCheck{"upstreams", "name", SettingType::Text, true, 0, 0, "", "Display name"},
    SettingCheck{"upstreams", "kind", SettingType::Text, true, 0, 0, "",
                 "\"engine\" or \"service\""},
    SettingCheck{"upstreams", "target", SettingType::Text, true, 0, 0, "",
                 "Model or service it serves"},
    SettingCheck{"upstreams", "zone", SettingType::Text, true, 0, 0, "", "Its availability zone"},
    SettingCheck{"upstreams", "address", SettingType::IpAddress, true, 0, 0, "",
                 "Address on which it listens"},
    SettingCheck{"upstreams", "memory_tokens", SettingType::Integer, false, 0, 1LL << 40, "0",
                 "KV cache size of an engine in tokens"},
    SettingCheck{"upstreams", "checks_fence", SettingType::Bool, false, 0, 0, "false",
                 "Whether it refuses orders with a stale fencing token"},
    SettingCheck{"upstreams", "not_repeatable", SettingType::TextList, false, 0, 0, "[]",
                 "Calls that run at most once, as \"METHOD /path-prefix\""},
    SettingCheck{"teams", "name", SettingType::Text, true, 0, 0, "", "Team"},
    SettingCheck{"teams", "class", SettingType::Text, true, 0, 0, "", "Request class of this key"},
    SettingCheck{"teams", "key", SettingType::Text, true, 0, 0, "", "API key of callers"},
};

} // namespace arbutuspier
