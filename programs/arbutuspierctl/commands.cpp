// Prints tables by default, and JSON with --json.
#include "commands.h"

#include "arbutuspier/limits.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <thread>

namespace arbutuspier::ctl {

using Json = nlohmann::json;

namespace {

constexpr int kHttpConflict = 409;
constexpr int kHttpGatewayTimeout = 504;
constexpr std::chrono::milliseconds kStatusPollInterval{200};

/// Prints rows in columns as wide as their widest cell.
void printTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            std::printf("%-*s%s", static_cast<int>(widths[i]), row[i].c_str(),
                        i + 1 == row.size() ? "\n" : "  ");
    }
}

std::string cellText(const Json &json, const char *key)
{
    if (!json.contains(key))
        return "";
    const Json &value = json[key];
    if (value.is_string())
        return value.get<std::string>();
    if (value.is_boolean())
        return value.get<bool>() ? "yes" : "no";
    return value.dump();
}

std::vector<std::vector<std::string>> tableRows(const Json &list,
                                                const std::vector<const char *> &keys)
{
    std::vector<std::vector<std::string>> rows(1);
    for (const char *key : keys)
        rows.front().emplace_back(key);
    for (const Json &item : list) {
        rows.emplace_back();
        for (const char *key : keys)
            rows.back().push_back(cellText(item, key));
    }
    return rows;
}

int printFailure(const HttpReply &reply)
{
    if (reply.outcome != HttpReply::Outcome::Answered) {
        std::cerr << "arbutuspierctl: no response from the VM's admin address; check --admin and "
                     "that the VM runs\n";
        return kExitUnreachable;
    }
    const Json json = Json::parse(reply.body, nullptr, false);
    std::cerr << "arbutuspierctl: " << (json.is_object() ? cellText(json, "error") : reply.body)
              << '\n';
    return kExitFailed;
}

/// Reads a file, or standard input for "-".
bool readFile(const std::string &name, std::string &text)
{
    std::ostringstream out;
    if (name == "-") {
        out << std::cin.rdbuf();
    } else {
        std::ifstream file(name, std::ios::binary);
        if (!file)
            return false;
        out << file.rdbuf();
    }
    text = out.str();
    return true;
}

class Commands
{
public:
    Commands(Client &client, const Options &options)
        : m_client(client)
        , m_options(options)
    {
    }

    int run(const std::vector<std::string> &arguments);

private:
    using Action = int (Commands::*)(const std::vector<std::string> &);

    int status(const std::vector<std::string> &);
    int vms(const std::vector<std::string> &)
    {
        return list("vms", {"id", "zone", "state", "limits_version"});
    }
    int upstreams(const std::vector<std::string> &arguments);
    int requests(const std::vector<std::string> &)
    {
        return list(
            "requests",
            {"id", "team", "class", "phase", "prompt_tokens", "age_ms", "upstream", "attempts"});
    }
    int limits(const std::vector<std::string> &arguments);
    int limitsShow();
    int limitsEdit(const std::string &file);
    int limitsDiff(const std::string &file);
    int limitsAccept(const std::string &file);
    int limitsHistory();
    int quarantine(const std::vector<std::string> &arguments);
    int drain(const std::vector<std::string> &);
    int orders(const std::vector<std::string> &arguments);
    int list(const char *key, const std::vector<const char *> &columns);
    /// Gets `path` and prints the response, or only its member `key` if that is not null: as JSON
    /// with --json, otherwise through `printText`.
    int show(const char *path, const char *key, const std::function<void(const Json &)> &printText);
    int waitUntilActive(std::uint64_t version);
    int usage(const std::string &why);
    static void printChanges(const Json &changes);

    Client &m_client;
    const Options &m_options;
};

int Commands::usage(const std::string &why)
{
    std::cerr << "arbutuspierctl: " << why << "; see --help\n";
    return kExitUsage;
}

int Commands::run(const std::vector<std::string> &arguments)
{
    static const std::map<std::string, Action> kActions = {
        {"status", &Commands::status},       {"vms", &Commands::vms},
        {"upstreams", &Commands::upstreams}, {"requests", &Commands::requests},
        {"limits", &Commands::limits},       {"quarantine", &Commands::quarantine},
        {"drain", &Commands::drain},         {"orders", &Commands::orders},
    };
    if (arguments.empty())
        return usage("expected a command");
    auto it = kActions.find(arguments.front());
    if (it == kActions.end())
        return usage("unknown command " + arguments.front());
    return (this->*it->second)({arguments.begin() + 1, arguments.end()});
}

int Commands::list(const char *key, const std::vector<const char *> &columns)
{
    return show("/admin/status", key,
                [&](const Json &json) { printTable(tableRows(json, columns)); });
}

int Commands::show(const char *path, const char *key,
                   const std::function<void(const Json &)> &printText)
{
    const HttpReply reply = m_client.get(path);
    if (!reply.isOk())
        return printFailure(reply);
    Json json = Json::parse(reply.body, nullptr, false);
    if (key)
        json = Json(json[key]);
    if (m_options.isJson)
        std::cout << json.dump(2) << '\n';
    else
        printText(json);
    return kExitSuccess;
}

int Commands::status(const std::vector<std::string> &)
{
    return show("/admin/status", nullptr, [](const Json &json) {
        std::vector<std::vector<std::string>> rows;
        for (const char *key : {"draining", "platform_reachable", "limits_version", "queued",
                                "running", "holdings", "releases_pending", "unsettled_keys"})
            rows.push_back({key, cellText(json, key)});
        rows.push_back({"suspects", std::to_string(json["suspects"].size())});
        printTable(rows);
    });
}

int Commands::upstreams(const std::vector<std::string> &arguments)
{
    if (arguments.empty())
        return list(
            "upstreams",
            {"id", "name", "kind", "target", "zone", "usable", "leaving", "in_flight", "state"});
    if (arguments.size() != 2 || arguments[0] != "drain")
        return usage("expected: upstreams [drain NAME]");
    const HttpReply reply = m_client.post("/admin/upstreams/" + arguments[1] + "/drain", "");
    if (!reply.isOk())
        return printFailure(reply);
    std::cout << arguments[1] << " gets no new requests; requests in flight continue\n";
    return kExitSuccess;
}

int Commands::limits(const std::vector<std::string> &arguments)
{
    if (arguments.size() == 1 && arguments[0] == "show")
        return limitsShow();
    if (arguments.size() == 1 && arguments[0] == "history")
        return limitsHistory();
    if (arguments.size() == 2 && arguments[0] == "edit")
        return limitsEdit(arguments[1]);
    if (arguments.size() == 2 && arguments[0] == "diff")
        return limitsDiff(arguments[1]);
    if (arguments.size() == 2 && arguments[0] == "accept")
        return limitsAccept(arguments[1]);
    return usage("expected: limits show|history, or limits edit|diff|accept FILE");
}

int Commands::limitsShow()
{
    return show("/admin/limits", nullptr, [](const Json &json) {
        std::cout << "# version " << cellText(json, "version") << " by " << cellText(json, "editor")
                  << '\n'
                  << cellText(json, "csv");
    });
}

int Commands::limitsEdit(const std::string &file)
{
    const HttpReply reply = m_client.get("/admin/limits");
    if (!reply.isOk())
        return printFailure(reply);
    const Json json = Json::parse(reply.body, nullptr, false);
    std::ofstream csv(file, std::ios::binary);
    std::ofstream base(file + ".base", std::ios::binary);
    csv << cellText(json, "csv");
    base << cellText(json, "version") << '\n' << cellText(json, "csv");
    if (!csv || !base) {
        std::cerr << "arbutuspierctl: " << file << " could not be written\n";
        return kExitFailed;
    }
    std::cout << file << " contains version " << cellText(json, "version")
              << "; edit it in any spreadsheet program, then run: arbutuspierctl limits accept "
              << file << '\n';
    return kExitSuccess;
}

void Commands::printChanges(const Json &changes)
{
    if (changes.empty())
        std::cout << "no differences\n";
    else
        printTable(tableRows(changes, {"team", "class", "column", "before", "after"}));
}

int Commands::limitsDiff(const std::string &file)
{
    std::string text;
    if (!readFile(file, text))
        return usage(file + " can't be read");
    const auto proposedRows = parseLimitsCsv(text);
    if (!proposedRows) {
        std::cerr << file << ": " << proposedRows.error().message << '\n';
        return kExitFailed;
    }
    const HttpReply reply = m_client.get("/admin/limits");
    if (!reply.isOk())
        return printFailure(reply);
    const Json json = Json::parse(reply.body, nullptr, false);
    const auto currentRows = parseLimitsCsv(cellText(json, "csv"));
    Json changes = Json::array();
    for (const CellChange &change : diffRows(*currentRows, *proposedRows))
        changes.push_back({{"team", change.team},
                           {"class", change.className},
                           {"column", change.column},
                           {"before", change.before},
                           {"after", change.after}});
    if (m_options.isJson)
        std::cout << changes.dump(2) << '\n';
    else
        printChanges(changes);
    return kExitSuccess;
}

int Commands::limitsAccept(const std::string &file)
{
    std::string text;
    std::string base;
    if (!readFile(file, text))
        return usage(file + " can't be read");
    if (!readFile(file + ".base", base))
        return usage(file + ".base is missing; limits edit creates it together with " + file);
    limitsDiff(file);
    std::random_device device;
    const std::string editId = std::to_string(device()) + '-' + std::to_string(device());
    const Json edit = {{"base_version", std::strtoull(base.c_str(), nullptr, 10)},
                       {"csv", text},
                       {"editor", m_options.editor},
                       {"edit_id", editId}};
    const HttpReply reply = m_client.post("/admin/limits", edit.dump());
    const Json json = Json::parse(reply.body, nullptr, false);
    if (reply.outcome == HttpReply::Outcome::Answered && reply.status == kHttpConflict) {
        std::cerr << "arbutuspierctl: " << cellText(json, "editor") << " accepted version "
                  << cellText(json, "version")
                  << " first; it differs from this edit in these cells:\n";
        printChanges(json["differences"]);
        return kExitConflict;
    }
    if (!reply.isOk()) {
        const int code = printFailure(reply);
        return reply.status == kHttpGatewayTimeout ? kExitUnknown : code;
    }
    std::cout << "accepted as version " << cellText(json, "version") << '\n';
    if (!m_options.waitsUntilActive)
        return kExitSuccess;
    return waitUntilActive(json["version"].get<std::uint64_t>());
}

int Commands::waitUntilActive(std::uint64_t version)
{
    const auto startedAt = std::chrono::steady_clock::now();
    const auto deadline = startedAt + std::chrono::seconds{m_options.waitSeconds};
    while (true) {
        const HttpReply reply = m_client.get("/admin/status");
        if (!reply.isOk())
            return printFailure(reply);
        const Json json = Json::parse(reply.body, nullptr, false);
        std::string pendingVms;
        std::string unreachableVms;
        for (const Json &vm : json["vms"]) {
            const std::string state = cellText(vm, "state");
            const bool isReachable = state == "alive" || state == "leaving";
            if (vm["limits_version"].get<std::uint64_t>() >= version)
                continue;
            (isReachable ? pendingVms : unreachableVms) += " " + cellText(vm, "id");
        }
        const auto now = std::chrono::steady_clock::now();
        if (pendingVms.empty()) {
            std::printf("active on every reachable VM after %.1f s\n",
                        std::chrono::duration<double>(now - startedAt).count());
            if (!unreachableVms.empty())
                std::cout << "unreachable VMs:" << unreachableVms << '\n';
            return kExitSuccess;
        }
        if (now >= deadline) {
            std::cout << "timed out; not yet active on:" << pendingVms << '\n';
            return kExitUnknown;
        }
        std::this_thread::sleep_for(kStatusPollInterval);
    }
}

int Commands::limitsHistory()
{
    return show("/admin/limits/history", nullptr, [](const Json &json) {
        printTable(tableRows(json, {"version", "editor", "rows_set", "rows_erased", "edit_id"}));
    });
}

int Commands::quarantine(const std::vector<std::string> &arguments)
{
    if (arguments.size() == 1 && arguments[0] == "list")
        return list("suspects", {"fingerprint", "upstreams_lost"});
    if (arguments.size() != 2 || arguments[0] != "clear")
        return usage("expected: quarantine list, or quarantine clear FINGERPRINT");
    const HttpReply reply = m_client.erase("/admin/quarantine/" + arguments[1]);
    if (!reply.isOk())
        return printFailure(reply);
    std::cout << arguments[1]
              << " was cleared from quarantine; requests with this fingerprint may run again\n";
    return kExitSuccess;
}

int Commands::drain(const std::vector<std::string> &)
{
    const HttpReply reply = m_client.post("/admin/drain", "");
    if (!reply.isOk())
        return printFailure(reply);
    std::cout << "the VM rejects new requests and exits when no request is in flight\n";
    return kExitSuccess;
}

int Commands::orders(const std::vector<std::string> &arguments)
{
    if (arguments.empty())
        return list("upstreams", {"name", "state", "leaving"});
    if (arguments.size() != 2)
        return usage("expected: orders [UPSTREAM STATE]");
    const Json body = {{"state", arguments[1]}};
    const HttpReply reply =
        m_client.post("/admin/upstreams/" + arguments[0] + "/state", body.dump());
    if (!reply.isOk())
        return printFailure(reply);
    std::cout << arguments[0] << " was ordered to reach state " << arguments[1]
              << "; follow it with: arbutuspierctl orders\n";
    return kExitSuccess;
}

} // namespace

std::string usageText()
{
    return R"(controls an entry VM of arbutuspier

  arbutuspierctl [--admin IP:PORT] [--token T] [--json] COMMAND

  status                     state of this VM
  vms                        all entry VMs and the limits version active on each
  upstreams [drain NAME]     list all upstreams, or send no new requests to one
  requests                   requests that this VM is handling
  limits show                print the table of weights and limits as CSV
  limits edit FILE           write the table to FILE, to be edited in a spreadsheet
  limits diff FILE           list the cells of FILE that differ from the active table
  limits accept FILE [--wait]  activate FILE; fails if another operator's edit came first
  limits history             list the latest edits
  quarantine list | clear FINGERPRINT   requests suspected of crashing upstreams
  orders [UPSTREAM STATE]    list upstreams' states, or order one, such as model=grain-2
  drain                      take this VM out of service

  exit codes: 0 done, 1 failed or rejected, 2 wrong usage, 3 VM unreachable,
  4 another operator's edit came first, 5 outcome not known yet)";
}

std::string environmentVariable(const char *name, const char *fallback)
{
    const char *value = std::getenv(name);
    return value && *value ? value : fallback;
}

int runCommand(Client &client, const Options &options, const std::vector<std::string> &arguments)
{
    return Commands(client, options).run(arguments);
}

} // namespace arbutuspier::ctl
