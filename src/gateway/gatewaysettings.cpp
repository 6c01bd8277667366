// All missing or malformed keys are reported at once. Unknown keys are ignored, as the platform may
// write settings for a newer version of this program.
#include "gateway/gatewaysettings.h"

#include <toml++/toml.h>

#include <fstream>
#include <sstream>

namespace arbutuspier {

namespace {

class SettingsReader
{
public:
    explicit SettingsReader(const toml::table &document)
        : m_document(document)
    {
    }

    std::string text(const char *path)
    {
        const auto value = m_document.at_path(path).value<std::string>();
        if (!value || value->empty())
            fail(path, "text");
        return value.value_or("");
    }

    Address address(const char *path)
    {
        Address result;
        const auto value = m_document.at_path(path).value<std::string>();
        if (!value || !parseAddress(*value, result))
            fail(path, "IP:port");
        return result;
    }

    /// An address with port zero if there is no such key.
    Address optionalAddress(const char *path)
    {
        return m_document.at_path(path) ? address(path) : Address{};
    }

    bool has(const char *path) const { return !!m_document.at_path(path); }

    Duration milliseconds(const char *path, Duration fallback)
    {
        return duration(path, fallback, 1e-3);
    }

    Duration seconds(const char *path, Duration fallback) { return duration(path, fallback, 1.0); }

    double number(const char *path, double fallback)
    {
        const toml::node_view node = m_document.at_path(path);
        if (!node)
            return fallback;
        const auto value = node.value<double>();
        if (!value || *value < 0) {
            fail(path, "a number that is not negative");
            return fallback;
        }
        return *value;
    }

    bool boolean(const char *path, bool fallback)
    {
        const toml::node_view node = m_document.at_path(path);
        if (!node)
            return fallback;
        const auto value = node.value_exact<bool>();
        if (!value)
            fail(path, "true or false");
        return value.value_or(fallback);
    }

    std::vector<std::string> strings(const char *path)
    {
        std::vector<std::string> result;
        const toml::array *list = m_document.at_path(path).as_array();
        if (!list)
            return result;
        for (const toml::node &item : *list) {
            if (const auto value = item.value<std::string>())
                result.push_back(*value);
        }
        return result;
    }

    const std::string &errors() const { return m_errors; }

private:
    Duration duration(const char *path, Duration fallback, double unit)
    {
        return fromSeconds(number(path, toSeconds(fallback) / unit) * unit);
    }

    void fail(const char *path, const char *expected)
    {
        if (!m_errors.empty())
            m_errors += '\n';
        m_errors += std::string(path) + ": expected " + expected;
    }

    const toml::table &m_document;
    std::string m_errors;
};

std::optional<ColdBound> readColdBound(SettingsReader &reader)
{
    if (!reader.has("cold.overage"))
        return std::nullopt;
    const ColdBound defaults;
    return ColdBound{reader.number("cold.overage", defaults.overage),
                     reader.number("cold.tolerance", defaults.tolerance)};
}

GatewaySettings readSettings(SettingsReader &reader)
{
    GatewaySettings settings;
    settings.vm = reader.text("vm.name");
    settings.zone = reader.text("vm.zone");
    settings.callers = reader.address("listen.callers");
    settings.readiness = reader.address("listen.readiness");
    settings.peers = reader.address("listen.peers");
    settings.relays = reader.optionalAddress("listen.relays");
    settings.metrics = reader.address("listen.metrics");
    settings.store = reader.address("platform.store");
    for (const std::string &seed : reader.strings("peers.seeds"))
        settings.seedHosts.push_back(seed.substr(0, seed.rfind(':')));
    settings.capacity.cores = reader.number("limits.cores", settings.capacity.cores);
    settings.capacity.linkMbps = reader.number("limits.link_mbps", settings.capacity.linkMbps);
    constexpr double kMegabyte = 1e6;
    settings.memoryBytes =
        static_cast<std::size_t>(kMegabyte * reader.number("limits.memory_mb", 0));
    settings.writeTimeout = reader.seconds("limits.write_timeout_s", settings.writeTimeout);
    settings.drainBound = reader.milliseconds("bounds.drain_ms", settings.drainBound);
    settings.configBound = reader.milliseconds("bounds.config_ms", settings.configBound);
    settings.replicaHeartbeat =
        reader.milliseconds("bounds.heartbeat_ms", settings.replicaHeartbeat);
    settings.grace = reader.seconds("bounds.grace_s", settings.grace);
    settings.retryRatio = reader.number("retries.ratio", settings.retryRatio);
    settings.retrySlack = reader.number("retries.slack", settings.retrySlack);
    settings.retryWindow = reader.seconds("retries.window_s", settings.retryWindow);
    settings.coldBound = readColdBound(reader);
    settings.learnedCost = reader.boolean("routing.learned_cost", settings.learnedCost);
    return settings;
}

} // namespace

Result<GatewaySettings> parseGatewaySettings(std::string_view text, const std::string &fileName)
{
    try {
        const toml::table document = toml::parse(text, fileName);
        SettingsReader reader(document);
        GatewaySettings settings = readSettings(reader);
        if (!reader.errors().empty())
            return Error(fileName + ": " + reader.errors());
        return settings;
    } catch (const toml::parse_error &error) {
        return Error(fileName + ": " + std::string(error.description()));
    }
}

std::vector<std::string> applyGatewaySettings(GatewaySettings &active,
                                              const GatewaySettings &reloaded)
{
    active.seedHosts = reloaded.seedHosts;
    active.writeTimeout = reloaded.writeTimeout;
    active.drainBound = reloaded.drainBound;
    active.configBound = reloaded.configBound;
    active.grace = reloaded.grace;
    active.retryRatio = reloaded.retryRatio;
    active.retrySlack = reloaded.retrySlack;
    active.retryWindow = reloaded.retryWindow;
    active.coldBound = reloaded.coldBound;
    active.learnedCost = reloaded.learnedCost;
    std::vector<std::string> needsRestart;
    const auto reportIfChanged = [&](const char *name, const std::string &before,
                                     const std::string &now) {
        if (before != now)
            needsRestart.emplace_back(name);
    };
    reportIfChanged("vm.name", active.vm, reloaded.vm);
    reportIfChanged("vm.zone", active.zone, reloaded.zone);
    reportIfChanged("listen.callers", active.callers.text(), reloaded.callers.text());
    reportIfChanged("listen.readiness", active.readiness.text(), reloaded.readiness.text());
    reportIfChanged("listen.peers", active.peers.text(), reloaded.peers.text());
    reportIfChanged("listen.relays", active.relays.text(), reloaded.relays.text());
    reportIfChanged("listen.metrics", active.metrics.text(), reloaded.metrics.text());
    reportIfChanged("bounds.heartbeat_ms", std::to_string(toSeconds(active.replicaHeartbeat)),
                    std::to_string(toSeconds(reloaded.replicaHeartbeat)));
    reportIfChanged("limits.cores", std::to_string(active.capacity.cores),
                    std::to_string(reloaded.capacity.cores));
    reportIfChanged("limits.link_mbps", std::to_string(active.capacity.linkMbps),
                    std::to_string(reloaded.capacity.linkMbps));
    reportIfChanged("limits.memory_mb", std::to_string(active.memoryBytes),
                    std::to_string(reloaded.memoryBytes));
    reportIfChanged("platform.store", active.store.text(), reloaded.store.text());
    return needsRestart;
}

Result<GatewaySettings> loadGatewaySettings(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file)
        return Error(fileName + ": can't be read");
    std::ostringstream text;
    text << file.rdbuf();
    return parseGatewaySettings(text.str(), fileName);
}

} // namespace arbutuspier
