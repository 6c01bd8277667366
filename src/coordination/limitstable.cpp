// Polls the head row, applies the edits that are newer than the active version, and carries out
// operators' edits.
#include "arbutuspier/limitstable.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace arbutuspier {

namespace {

constexpr std::string_view kHeadKey = "limits/head";
constexpr std::string_view kBasePrefix = "limits/base/";
constexpr std::string_view kAnyTeam = "*";
constexpr Duration kPeerVersionPollDelay = std::chrono::milliseconds{20};
constexpr Duration kEditRetryInterval = std::chrono::milliseconds{200};

using Json = nlohmann::json;

std::string baseKey(std::uint64_t version)
{
    return std::string(kBasePrefix) + std::to_string(version);
}

Json rowToJson(const LimitRow &row)
{
    return Json::array(
        {row.team, row.className, row.weight, row.tokenRate, row.concurrency, row.deadlineMs});
}

bool rowFromJson(const Json &json, LimitRow &row)
{
    constexpr std::size_t kCells = 6;
    if (!json.is_array() || json.size() != kCells || !json[0].is_string() || !json[1].is_string())
        return false;
    for (std::size_t i = 2; i < kCells; ++i) {
        if (!json[i].is_number_unsigned())
            return false;
    }
    row.team = json[0].get<std::string>();
    row.className = json[1].get<std::string>();
    row.weight = json[2].get<std::uint32_t>();
    row.tokenRate = json[3].get<std::uint64_t>();
    row.concurrency = json[4].get<std::uint32_t>();
    row.deadlineMs = json[5].get<std::uint32_t>();
    return true;
}

std::string encodeRows(const std::vector<LimitRow> &rows)
{
    Json json = Json::array();
    for (const LimitRow &row : rows)
        json.push_back(rowToJson(row));
    return json.dump();
}

bool decodeRows(const Json &json, std::vector<LimitRow> &rows)
{
    if (!json.is_array())
        return false;
    for (const Json &item : json) {
        LimitRow row;
        if (!rowFromJson(item, row))
            return false;
        rows.push_back(std::move(row));
    }
    return true;
}

bool decodeDelta(const Json &json, LimitsDelta &delta)
{
    const bool isComplete = json.is_object() && json.contains("v") && json["v"].is_number_unsigned()
        && json.contains("id") && json["id"].is_string() && json.contains("by")
        && json["by"].is_string() && json.contains("set") && json.contains("erased")
        && json["erased"].is_array();
    if (!isComplete || !decodeRows(json["set"], delta.set))
        return false;
    delta.version = json["v"].get<std::uint64_t>();
    delta.editId = json["id"].get<std::string>();
    delta.editor = json["by"].get<std::string>();
    for (const Json &item : json["erased"]) {
        if (!item.is_array() || item.size() != 2 || !item[0].is_string() || !item[1].is_string())
            return false;
        delta.erased.emplace_back(item[0].get<std::string>(), item[1].get<std::string>());
    }
    return true;
}

LimitsDelta deltaBetween(const std::vector<LimitRow> &before, const LimitsSnapshot &after)
{
    LimitsDelta delta;
    delta.editId = after.editId;
    delta.editor = after.editor;
    std::map<std::pair<std::string, std::string>, const LimitRow *> beforeByKey;
    for (const LimitRow &row : before)
        beforeByKey[{row.team, row.className}] = &row;
    for (const LimitRow &row : after.rows) {
        auto it = beforeByKey.find({row.team, row.className});
        if (it == beforeByKey.end() || *it->second != row)
            delta.set.push_back(row);
        if (it != beforeByKey.end())
            beforeByKey.erase(it);
    }
    for (const auto &[key, row] : beforeByKey)
        delta.erased.push_back(key);
    return delta;
}

} // namespace

std::string LimitsHead::encode() const
{
    Json json;
    json["version"] = version;
    json["base"] = baseVersion;
    json["deltas"] = Json::array();
    for (const LimitsDelta &delta : deltas) {
        Json item;
        item["v"] = delta.version;
        item["id"] = delta.editId;
        item["by"] = delta.editor;
        item["set"] = Json::array();
        for (const LimitRow &row : delta.set)
            item["set"].push_back(rowToJson(row));
        item["erased"] = Json::array();
        for (const auto &[team, className] : delta.erased)
            item["erased"].push_back(Json::array({team, className}));
        json["deltas"].push_back(std::move(item));
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<LimitsHead> LimitsHead::decode(std::string_view text)
{
    const Json json = Json::parse(text, nullptr, false);
    const bool isComplete = json.is_object() && json.contains("version")
        && json["version"].is_number_unsigned() && json.contains("base")
        && json["base"].is_number_unsigned() && json.contains("deltas")
        && json["deltas"].is_array();
    if (!isComplete)
        return std::nullopt;
    LimitsHead head;
    head.version = json["version"].get<std::uint64_t>();
    head.baseVersion = json["base"].get<std::uint64_t>();
    for (const Json &item : json["deltas"]) {
        LimitsDelta delta;
        if (!decodeDelta(item, delta))
            return std::nullopt;
        head.deltas.push_back(std::move(delta));
    }
    return head;
}

LimitsTable::LimitsTable(LimitsOptions options, TableOpId firstOp)
    : m_options(options)
    , m_nextOp(firstOp)
{
}

LimitRow LimitsTable::row(std::string_view team, std::string_view className) const
{
    auto it = m_rows.find(std::pair<std::string, std::string>(team, className));
    if (it == m_rows.end())
        it = m_rows.find(std::pair<std::string, std::string>(kAnyTeam, className));
    LimitRow found;
    if (it != m_rows.end())
        found = it->second;
    found.team = team;
    found.className = className;
    return found;
}

void LimitsTable::activate(LimitsSnapshot snapshot)
{
    if (snapshot.version <= m_snapshot.version)
        return;
    m_snapshot = std::move(snapshot);
    m_rows.clear();
    for (const LimitRow &row : m_snapshot.rows)
        m_rows[{row.team, row.className}] = row;
    m_actions.push_back(Activated{m_snapshot.version});
}

void LimitsTable::activateIfNewer(LimitsSnapshot snapshot)
{
    activate(std::move(snapshot));
}

void LimitsTable::onPeerVersion(std::uint64_t version, TimePoint now)
{
    if (version <= m_snapshot.version || m_isPolling)
        return;
    const TimePoint soon = now + kPeerVersionPollDelay;
    if (m_nextPoll && *m_nextPoll > soon && m_failedPolls == 0)
        m_nextPoll = soon;
}

void LimitsTable::issueCall(Step step, std::string editId, TableRequest request)
{
    const TableOpId op = m_nextOp;
    ++m_nextOp.value;
    m_pendingCalls[op] = {step, std::move(editId)};
    m_actions.push_back(Call{op, std::move(request)});
}

void LimitsTable::readHead(std::string editId)
{
    if (editId.empty())
        m_isPolling = true;
    issueCall(Step::ReadHead, std::move(editId), TableRead{std::string(kHeadKey), false});
}

void LimitsTable::startEdit(LimitsSnapshot edited, TimePoint now)
{
    const std::string editId = edited.editId;
    PendingEdit &pending = m_edits[editId];
    pending.edit = std::move(edited);
    pending.deadline = now + m_options.editTimeout;
    readHead(editId);
}

bool LimitsTable::onTableReply(TableOpId op, const TableOutcome &outcome, TimePoint now,
                               Random &random)
{
    auto it = m_pendingCalls.find(op);
    if (it == m_pendingCalls.end())
        return false;
    const PendingCall pendingCall = it->second;
    m_pendingCalls.erase(it);
    if (pendingCall.editId.empty())
        onPollReply(pendingCall, outcome, now, random);
    else
        onEditReply(pendingCall, outcome, now, random);
    return true;
}

void LimitsTable::onPollReply(const PendingCall &pendingCall, const TableOutcome &outcome,
                              TimePoint now, Random &random)
{
    m_isPolling = false;
    const auto *rows = std::get_if<TableRows>(&outcome);
    if (!rows || rows->rows.empty()) {
        ++m_failedPolls;
        const Duration wait =
            std::min(m_options.pollInterval * m_failedPolls, m_options.maxPollInterval);
        m_nextPoll = now + jittered(random, wait);
        return;
    }
    m_failedPolls = 0;
    m_nextPoll = now + jittered(random, m_options.pollInterval);
    if (pendingCall.step == Step::ReadHead)
        onHeadRow(rows->rows.front());
    else
        onBaseRow(rows->rows.front());
}

void LimitsTable::onHeadRow(const TableRow &row)
{
    if (row.version == 0)
        return;
    auto head = LimitsHead::decode(row.value);
    if (!head)
        return;
    const bool isNewer = head->version > m_snapshot.version;
    if (isNewer || !m_head || head->version >= m_head->version)
        m_head = std::move(head);
    if (!isNewer)
        return;
    const std::uint64_t firstDelta =
        m_head->deltas.empty() ? m_head->version + 1 : m_head->deltas.front().version;
    if (m_snapshot.version + 1 >= firstDelta) {
        LimitsSnapshot next = m_snapshot;
        applyDeltas(next);
        activate(std::move(next));
        return;
    }
    m_isPolling = true;
    issueCall(Step::ReadBase, {}, TableRead{baseKey(m_head->baseVersion), false});
}

void LimitsTable::onBaseRow(const TableRow &row)
{
    if (row.version == 0 || !m_head || row.key != baseKey(m_head->baseVersion))
        return;
    LimitsSnapshot next;
    next.version = m_head->baseVersion;
    const Json json = Json::parse(row.value, nullptr, false);
    if (!decodeRows(json, next.rows))
        return;
    applyDeltas(next);
    activate(std::move(next));
}

void LimitsTable::applyDeltas(LimitsSnapshot &target) const
{
    std::map<std::pair<std::string, std::string>, LimitRow> rows;
    for (LimitRow &row : target.rows) {
        std::pair<std::string, std::string> key{row.team, row.className};
        rows[std::move(key)] = std::move(row);
    }
    for (const LimitsDelta &delta : m_head->deltas) {
        if (delta.version <= target.version)
            continue;
        for (const LimitRow &row : delta.set)
            rows[{row.team, row.className}] = row;
        for (const auto &key : delta.erased)
            rows.erase(key);
        target.version = delta.version;
        target.editId = delta.editId;
        target.editor = delta.editor;
    }
    target.rows.clear();
    for (auto &[key, row] : rows)
        target.rows.push_back(std::move(row));
}

void LimitsTable::onEditReply(const PendingCall &pendingCall, const TableOutcome &outcome,
                              TimePoint now, Random &random)
{
    auto it = m_edits.find(pendingCall.editId);
    if (it == m_edits.end())
        return;
    PendingEdit &pending = it->second;
    const auto *rows = std::get_if<TableRows>(&outcome);
    if (rows && !rows->rows.empty()) {
        onEditHeadRow(pending, rows->rows.front(), now);
        return;
    }
    if (std::holds_alternative<TableCommitted>(outcome)) {
        pending.edit.version += 1;
        activate(pending.edit);
        finishEdit(pendingCall.editId, EditOutcome::Accepted);
        return;
    }
    if (const auto *conflict = std::get_if<TableConflict>(&outcome);
        conflict && !conflict->rows.empty()) {
        const auto head = std::find_if(conflict->rows.begin(), conflict->rows.end(),
                                       [](const TableRow &row) { return row.key == kHeadKey; });
        if (head != conflict->rows.end()) {
            onEditHeadRow(pending, *head, now);
            return;
        }
    }
    if (pendingCall.step == Step::Write && std::holds_alternative<TableUnknown>(outcome))
        pending.mayHaveBeenWritten = true;
    pending.retryAt = now + jittered(random, kEditRetryInterval);
}

void LimitsTable::onEditHeadRow(PendingEdit &pending, const TableRow &row, TimePoint now)
{
    const auto head =
        row.version == 0 ? std::optional<LimitsHead>(LimitsHead{}) : LimitsHead::decode(row.value);
    const std::string editId = pending.edit.editId;
    if (!head) {
        finishEdit(editId, EditOutcome::Unavailable);
        return;
    }
    const bool isWritten =
        std::any_of(head->deltas.begin(), head->deltas.end(),
                    [&](const LimitsDelta &delta) { return delta.editId == editId; });
    if (row.version != 0)
        onHeadRow(row);
    if (isWritten) {
        finishEdit(editId, EditOutcome::Accepted);
        return;
    }
    if (m_snapshot.version < head->version) {
        // The base row is still being read. The result of an edit includes the current table, so
        // the edit has to wait for it.
        pending.retryAt = now + kEditRetryInterval;
        return;
    }
    if (head->version != pending.edit.version) {
        finishEdit(editId, EditOutcome::Conflict);
        return;
    }
    writeEdit(pending, row);
}

void LimitsTable::writeEdit(PendingEdit &pending, const TableRow &row)
{
    LimitsHead next;
    if (row.version != 0)
        next = *LimitsHead::decode(row.value);
    LimitsDelta delta = deltaBetween(m_snapshot.rows, pending.edit);
    delta.version = next.version + 1;
    next.version = delta.version;
    next.deltas.push_back(std::move(delta));
    TableTransaction transaction;
    if (next.deltas.size() > m_options.maxDeltas) {
        // Keep half of the deltas, so that VMs that are a few versions behind needn't read the new
        // base row.
        while (next.deltas.size() > m_options.maxDeltas / 2)
            next.deltas.pop_front();
        next.baseVersion = next.version;
        transaction.writes.push_back(
            {baseKey(next.version), 0, encodeRows(pending.edit.rows), false});
    }
    transaction.writes.push_back({std::string(kHeadKey), row.version, next.encode(), false});
    issueCall(Step::Write, pending.edit.editId, std::move(transaction));
}

void LimitsTable::finishEdit(const std::string &editId, EditOutcome outcome)
{
    m_edits.erase(editId);
    m_actions.push_back(EditResult{editId, outcome, m_snapshot});
}

void LimitsTable::tick(TimePoint now, Random &random)
{
    if (!m_nextPoll)
        m_nextPoll = now;
    if (!m_isPolling && now >= *m_nextPoll) {
        m_nextPoll = now + jittered(random, m_options.pollInterval);
        readHead({});
    }
    std::vector<std::string> timedOut;
    for (auto &[editId, pending] : m_edits) {
        if (now >= pending.deadline) {
            timedOut.push_back(editId);
        } else if (pending.retryAt && now >= *pending.retryAt) {
            pending.retryAt.reset();
            readHead(editId);
        }
    }
    for (const std::string &editId : timedOut) {
        const bool mayHaveBeenWritten = m_edits[editId].mayHaveBeenWritten;
        finishEdit(editId, mayHaveBeenWritten ? EditOutcome::Unknown : EditOutcome::Unavailable);
    }
}

std::vector<LimitsDelta> LimitsTable::history() const
{
    if (!m_head)
        return {};
    return {m_head->deltas.begin(), m_head->deltas.end()};
}

std::vector<LimitsTable::Action> LimitsTable::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace arbutuspier
