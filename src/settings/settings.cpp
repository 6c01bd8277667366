// Validates settings by the rules in settingrules.h and writes the reference page from them.
#include "settings/settings.h"

#include "settings/settingrules.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>

namespace arbutuspier {

namespace {

constexpr std::array<std::string_view, 3> kListSections = {"peers", "upstreams", "teams"};

bool isListSection(std::string_view section)
{
    return std::find(kListSections.begin(), kListSections.end(), section) != kListSections.end();
}

std::string_view typeName(SettingType type)
{
    switch (type) {
    case SettingType::Integer:
        return "whole number";
    case SettingType::Text:
        return "text";
    case SettingType::Bool:
        return "true or false";
    case SettingType::IpAddress:
        return "IP:port";
    case SettingType::TextList:
        return "list of text";
    }
    return "text";
}

/// Reads the document, checks it against the rules and collects all errors.
class SettingsReader
{
public:
    explicit SettingsReader(std::string fileName)
        : m_fileName(std::move(fileName))
    {
    }

    Settings read(const toml::table &document)
    {
        checkSections(document);
        for (std::string_view section : {"vm", "platform", "security", "http", "admission"})
            readSection(document, section);
        for (std::string_view section : kListSections)
            readListSection(document, section);
        checkConsistency();
        return std::move(m_settings);
    }

    void addError(const toml::source_region &where, std::string_view key, std::string_view what)
    {
        if (!m_errors.empty())
            m_errors += '\n';
        m_errors += m_fileName + ':' + std::to_string(where.begin.line) + ": " + std::string(key)
            + ": " + std::string(what);
    }
    const std::string &errors() const { return m_errors; }

private:
    void checkSections(const toml::table &document)
    {
        for (const auto &entry : document) {
            const std::string_view section = entry.first.str();
            const bool isKnown =
                std::any_of(kRules.begin(), kRules.end(),
                            [&](const SettingCheck &rule) { return rule.section == section; });
            if (!isKnown)
                addError(entry.second.source(), section, "unknown section");
        }
    }

    void readSection(const toml::table &document, std::string_view section)
    {
        static const toml::table kEmpty;
        const toml::node *node = document.get(section);
        if (node && !node->is_table()) {
            addError(node->source(), section, "expected a section [" + std::string(section) + "]");
            return;
        }
        const toml::table &table = node ? *node->as_table() : kEmpty;
        checkTable(table, section);
        applySection(table, section);
    }

    void readListSection(const toml::table &document, std::string_view section)
    {
        const toml::node *node = document.get(section);
        if (!node)
            return;
        if (!node->is_array_of_tables()) {
            addError(node->source(), section, "expected [[" + std::string(section) + "]] entries");
            return;
        }
        for (const toml::node &item : *node->as_array()) {
            checkTable(*item.as_table(), section);
            applySection(*item.as_table(), section);
        }
    }

    void checkTable(const toml::table &table, std::string_view section)
    {
        for (const auto &[key, node] : table) {
            if (!findRule(section, key.str()))
                addError(node.source(), std::string(section) + '.' + std::string(key.str()),
                         "unknown key");
        }
        for (const SettingCheck &rule : kRules) {
            if (rule.section != section)
                continue;
            const std::string name = std::string(section) + '.' + std::string(rule.key);
            const toml::node *node = table.get(rule.key);
            if (!node) {
                if (rule.isRequired)
                    addError(table.source(), name,
                             "missing, expected " + std::string(typeName(rule.type)));
                continue;
            }
            checkValue(rule, *node, name);
        }
    }

    static const SettingCheck *findRule(std::string_view section, std::string_view key)
    {
        for (const SettingCheck &rule : kRules) {
            if (rule.section == section && rule.key == key)
                return &rule;
        }
        return nullptr;
    }

    void checkValue(const SettingCheck &rule, const toml::node &node, const std::string &name)
    {
        bool isValid = false;
        std::string expected(typeName(rule.type));
        switch (rule.type) {
        case SettingType::Integer: {
            const auto value = node.value_exact<std::int64_t>();
            isValid = value && *value >= rule.minimum && *value <= rule.maximum;
            expected +=
                " from " + std::to_string(rule.minimum) + " to " + std::to_string(rule.maximum);
            break;
        }
        case SettingType::Text: {
            const auto value = node.value_exact<std::string>();
            isValid = value && !value->empty();
            break;
        }
        case SettingType::Bool:
            isValid = node.is_boolean();
            break;
        case SettingType::IpAddress: {
            const auto value = node.value_exact<std::string>();
            Address address;
            isValid = value && parseAddress(*value, address);
            break;
        }
        case SettingType::TextList:
            isValid = node.is_array()
                && (node.as_array()->empty()
                    || node.as_array()->is_homogeneous(toml::node_type::string));
            break;
        }
        if (!isValid)
            addError(node.source(), name, "expected " + expected);
    }

    static std::string text(const toml::table &table, std::string_view key)
    {
        return table[key].value_or(std::string());
    }
    template <class T>
    static T number(const toml::table &table, std::string_view key, T fallback)
    {
        return static_cast<T>(table[key].value_or(static_cast<std::int64_t>(fallback)));
    }
    static Duration milliseconds(const toml::table &table, std::string_view key, Duration fallback)
    {
        const auto value = table[key].value<std::int64_t>();
        return value ? Duration(std::chrono::milliseconds{*value}) : fallback;
    }
    static Address address(const toml::table &table, std::string_view key)
    {
        Address found;
        parseAddress(text(table, key), found);
        return found;
    }

    void applySection(const toml::table &table, std::string_view section)
    {
        if (section == "vm")
            applyVm(table);
        else if (section == "platform")
            m_settings.platform = address(table, "address");
        else if (section == "security")
            applySecurity(table);
        else if (section == "http")
            applyHttp(table);
        else if (section == "admission")
            applyAdmission(table);
        else if (section == "peers")
            applyPeer(table);
        else if (section == "upstreams")
            applyUpstream(table);
        else if (section == "teams")
            applyTeam(table);
    }

    void applyVm(const toml::table &table)
    {
        m_settings.self = {VmId{number<std::uint64_t>(table, "id", 0)}, text(table, "zone")};
        m_settings.listen = address(table, "listen");
        m_settings.admin = address(table, "admin");
        m_settings.peer = address(table, "peer");
        m_settings.trafficThreads = number(table, "traffic_threads", m_settings.trafficThreads);
        m_settings.maxSubsetSize = number(table, "max_watched", m_settings.maxSubsetSize);
    }

    void applySecurity(const toml::table &table)
    {
        m_settings.peerKey = text(table, "peer_key");
        m_settings.ctlToken = text(table, "ctl_token");
    }

    void applyHttp(const toml::table &table)
    {
        HttpLimits &http = m_settings.http;
        http.maxBodyBytes = number(table, "max_body_bytes", http.maxBodyBytes);
        http.maxHeaderBytes = number(table, "max_header_bytes", http.maxHeaderBytes);
        http.maxConnections = number(table, "max_connections", http.maxConnections);
        http.requestReadTimeout = milliseconds(table, "slow_sender_ms", http.requestReadTimeout);
        http.idleTimeout = milliseconds(table, "idle_ms", http.idleTimeout);
    }

    void applyAdmission(const toml::table &table)
    {
        AdmissionOptions &a = m_settings.admission;
        a.shortFirstTokenLimit =
            milliseconds(table, "short_first_token_ms", a.shortFirstTokenLimit);
        a.shortDeadline = milliseconds(table, "short_deadline_ms", a.shortDeadline);
        a.longDeadline = milliseconds(table, "long_deadline_ms", a.longDeadline);
        a.callDeadline = milliseconds(table, "call_deadline_ms", a.callDeadline);
        a.maxQueued = number(table, "max_queued", a.maxQueued);
    }

    void applyPeer(const toml::table &table)
    {
        const VmId id{number<std::uint64_t>(table, "id", 0)};
        m_settings.peers.push_back({id, text(table, "zone")});
        m_settings.peerAddresses[id] = address(table, "address");
        if (!m_vmIds.insert(id.value).second)
            addError(table.source(), "peers.id", "duplicate id");
    }

    void applyUpstream(const toml::table &table)
    {
        UpstreamInfo info;
        info.id = UpstreamId{number<std::uint64_t>(table, "id", 0)};
        info.name = text(table, "name");
        const std::string kind = text(table, "kind");
        if (kind != "engine" && kind != "service")
            addError(table.source(), "upstreams.kind", "expected \"engine\" or \"service\"");
        info.kind = kind == "service" ? RequestKind::ServiceCall : RequestKind::Prompt;
        info.target = text(table, "target");
        info.zone = text(table, "zone");
        info.memoryTokens = number<std::uint64_t>(table, "memory_tokens", 0);
        info.checksFence = table["checks_fence"].value_or(false);
        if (info.kind == RequestKind::Prompt && info.memoryTokens == 0)
            addError(table.source(), "upstreams.memory_tokens",
                     "expected a number above 0 for an engine: its KV cache in tokens");
        if (!m_upstreamIds.insert(info.id.value).second)
            addError(table.source(), "upstreams.id", "duplicate id");
        m_settings.upstreamAddresses[info.id] = address(table, "address");
        applyAtMostOnceCalls(table, info.target);
        m_settings.upstreams.push_back(std::move(info));
    }

    void applyAtMostOnceCalls(const toml::table &table, const std::string &target)
    {
        const toml::array *list = table["not_repeatable"].as_array();
        if (!list)
            return;
        for (const toml::node &item : *list) {
            const std::string pattern = item.value_or(std::string());
            const auto space = pattern.find(' ');
            const bool isValid = space != std::string::npos && space + 1 < pattern.size()
                && pattern[space + 1] == '/';
            if (!isValid) {
                addError(item.source(), "upstreams.not_repeatable",
                         "expected \"METHOD /path-prefix\"");
                continue;
            }
            m_settings.atMostOnceCalls[target].push_back(
                {pattern.substr(0, space), pattern.substr(space + 1)});
        }
    }

    void applyTeam(const toml::table &table)
    {
        const TeamSettings team{text(table, "name"), text(table, "class")};
        if (!m_settings.teamsByKey.emplace(text(table, "key"), team).second)
            addError(table.source(), "teams.key", "duplicate key");
    }

    void checkConsistency()
    {
        if (m_vmIds.contains(m_settings.self.id.value))
            addError({}, "vm.id", "is also the id of a peer");
        if (m_settings.upstreams.empty())
            addError({}, "upstreams", "expected at least one [[upstreams]] entry");
    }

    std::string m_fileName;
    std::string m_errors;
    Settings m_settings;
    std::set<std::uint64_t> m_vmIds;
    std::set<std::uint64_t> m_upstreamIds;
};

} // namespace

Result<Settings> parseSettings(std::string_view text, const std::string &fileName)
{
    toml::table document;
    try {
        document = toml::parse(text, fileName);
    } catch (const toml::parse_error &error) {
        return Error(fileName + ':' + std::to_string(error.source().begin.line) + ": "
                     + std::string(error.description()));
    }
    SettingsReader reader(fileName);
    Settings settings = reader.read(document);
    if (!reader.errors().empty())
        return Error(reader.errors());
    return settings;
}

Result<Settings> loadSettings(const std::string &fileName)
{
    std::ifstream file(fileName, std::ios::binary);
    if (!file)
        return Error(fileName + ": cannot be read");
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), fileName);
}

std::vector<SettingRule> settingRules()
{
    std::vector<SettingRule> rules;
    rules.reserve(kRules.size());
    for (const SettingCheck &rule : kRules)
        rules.push_back({rule.section, rule.key, typeName(rule.type), rule.isRequired,
                         rule.fallback, rule.description});
    return rules;
}

std::string settingsReference()
{
    std::string text = "| key | value | default | meaning |\n|---|---|---|---|\n";
    for (const SettingRule &rule : settingRules()) {
        const std::string section = isListSection(rule.section)
            ? "[[" + std::string(rule.section) + "]] "
            : "[" + std::string(rule.section) + "] ";
        const std::string fallback = rule.isRequired ? "required" : std::string(rule.fallback);
        text.append("| `").append(section).append(rule.key).append("` | ").append(rule.type);
        text.append(" | ").append(fallback).append(" | ").append(rule.description).append(" |\n");
    }
    return text;
}

} // namespace arbutuspier
