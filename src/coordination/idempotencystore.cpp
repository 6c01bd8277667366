// Inserts the key's row with a conditional write before the call is sent. When the reply to the
// insert is lost, reads the row back to learn whether the insert took effect.
#include "arbutuspier/idempotencystore.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace arbutuspier {

namespace {

constexpr std::string_view kRowPrefix = "once/";
constexpr Duration kFirstPollWait = std::chrono::milliseconds{100};
constexpr Duration kStoreRetryAfter = std::chrono::seconds{5};

std::string_view stateName(IdempotencyRecord::State state)
{
    switch (state) {
    case IdempotencyRecord::State::Sent:
        return "sent";
    case IdempotencyRecord::State::Released:
        return "released";
    case IdempotencyRecord::State::Done:
        return "done";
    }
    return "sent";
}

std::optional<IdempotencyRecord::State> stateNamed(std::string_view name)
{
    for (auto state : {IdempotencyRecord::State::Sent, IdempotencyRecord::State::Released,
                       IdempotencyRecord::State::Done}) {
        if (stateName(state) == name)
            return state;
    }
    return std::nullopt;
}

} // namespace

std::string IdempotencyRecord::encode() const
{
    nlohmann::json json;
    json["state"] = stateName(state);
    json["attempt"] = attempt.value;
    json["fingerprint"] = fingerprint.value;
    if (state == State::Done) {
        json["status"] = httpStatus;
        json["kept"] = isResultKept;
        json["result"] = result;
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<IdempotencyRecord> IdempotencyRecord::decode(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("state") || !json["state"].is_string())
        return std::nullopt;
    const auto state = stateNamed(json["state"].get_ref<const std::string &>());
    const auto hasUnsigned = [&](const char *name) {
        return json.contains(name) && json[name].is_number_unsigned();
    };
    if (!state || !hasUnsigned("attempt") || !hasUnsigned("fingerprint"))
        return std::nullopt;
    IdempotencyRecord row;
    row.state = *state;
    row.attempt.value = json["attempt"].get<std::uint64_t>();
    row.fingerprint.value = json["fingerprint"].get<std::uint64_t>();
    if (row.state != State::Done)
        return row;
    const bool isComplete = json.contains("status") && json["status"].is_number_integer()
        && json.contains("kept") && json["kept"].is_boolean() && json.contains("result")
        && json["result"].is_string();
    if (!isComplete)
        return std::nullopt;
    row.httpStatus = json["status"].get<int>();
    row.isResultKept = json["kept"].get<bool>();
    row.result = json["result"].get<std::string>();
    return row;
}

IdempotencyStore::IdempotencyStore(IdempotencyOptions options, TableOpId firstOp)
    : m_options(options)
    , m_nextOp(firstOp)
{
}

void IdempotencyStore::begin(RequestId request, AttemptId attempt, std::string_view key,
                             WallTime keyIssuedAt, Fingerprint fingerprint, WallTime wallNow)
{
    assert(!m_entries.contains(attempt));
    // A key is rejected at half the retention time already, because the clocks of callers and of
    // the table service may differ.
    const bool isTooOld = keyIssuedAt + m_options.retention / 2 < wallNow;
    const bool isTooNew = keyIssuedAt > wallNow + m_options.maxClockSkew;
    if (isTooOld || isTooNew) {
        m_actions.push_back(Reject{request, Verdict::NotRun, Reason::KeyExpired, {}});
        return;
    }
    Entry &entry = m_entries[attempt];
    entry.request = request;
    entry.attempt = attempt;
    entry.key = std::string(kRowPrefix) + std::string(key);
    entry.fingerprint = fingerprint;
    entry.retryWait = m_options.retryWait;
    m_byRequest[request] = attempt;
    insertRow(entry);
}

void IdempotencyStore::issueCall(Entry &entry, TableRequest request)
{
    entry.op = m_nextOp;
    ++m_nextOp.value;
    entry.dueAt.reset();
    m_byOp[entry.op] = entry.attempt;
    m_actions.push_back(Call{entry.op, std::move(request)});
}

void IdempotencyStore::insertRow(Entry &entry)
{
    entry.phase = Phase::Inserting;
    entry.isReadingRow = false;
    IdempotencyRecord row;
    row.attempt = entry.attempt;
    row.fingerprint = entry.fingerprint;
    issueCall(entry, TableTransaction{{{entry.key, entry.expectedVersion, row.encode(), false}}});
}

void IdempotencyStore::readRow(Entry &entry)
{
    entry.isReadingRow = true;
    issueCall(entry, TableRead{entry.key, false});
}

void IdempotencyStore::writeOutcome(Entry &entry)
{
    entry.isReadingRow = false;
    issueCall(
        entry,
        TableTransaction{{{entry.key, entry.expectedVersion, entry.outcome.encode(), false}}});
}

void IdempotencyStore::scheduleRetry(Entry &entry, TimePoint now, Random &random)
{
    entry.dueAt = now + jittered(random, entry.retryWait);
    entry.retryWait = std::min(entry.retryWait * 2, m_options.maxRetryWait);
}

bool IdempotencyStore::onTableReply(TableOpId op, const TableOutcome &outcome, TimePoint now,
                                    Random &random)
{
    auto byOp = m_byOp.find(op);
    if (byOp == m_byOp.end())
        return false;
    auto it = m_entries.find(byOp->second);
    m_byOp.erase(byOp);
    if (it == m_entries.end() || it->second.op != op)
        return true;
    Entry &entry = it->second;
    if (entry.isReadingRow)
        onReadReply(entry, outcome, now, random);
    else if (entry.phase == Phase::WritingOutcome)
        onOutcomeReply(entry, outcome, now, random);
    else
        onInsertReply(entry, outcome, now, random);
    return true;
}

void IdempotencyStore::onInsertReply(Entry &entry, const TableOutcome &outcome, TimePoint now,
                                     Random &random)
{
    if (std::holds_alternative<TableCommitted>(outcome)) {
        entry.phase = Phase::Sending;
        ++entry.expectedVersion;
        m_actions.push_back(SendNow{entry.request, entry.attempt});
        return;
    }
    if (const auto *conflict = std::get_if<TableConflict>(&outcome)) {
        if (!conflict->rows.empty()) {
            onRowSeen(entry, conflict->rows.front(), now, random);
            return;
        }
    }
    if (std::holds_alternative<TableUnknown>(outcome)) {
        entry.mayHaveRow = true;
        entry.phase = Phase::ReadingBack;
        readRow(entry);
        return;
    }
    if (entry.mayHaveRow) {
        // The reply to an earlier insert was lost and the table service has become unavailable
        // since. That insert may have taken effect, so retry the read until the request's deadline.
        entry.phase = Phase::ReadingBack;
        scheduleRetry(entry, now, random);
        return;
    }
    reject(entry, Verdict::NotRun, Reason::StoreUnavailable, kStoreRetryAfter);
    removeEntry(entry.attempt);
}

void IdempotencyStore::onReadReply(Entry &entry, const TableOutcome &outcome, TimePoint now,
                                   Random &random)
{
    const auto *rows = std::get_if<TableRows>(&outcome);
    if (!rows || rows->rows.empty()) {
        scheduleRetry(entry, now, random);
        return;
    }
    onRowSeen(entry, rows->rows.front(), now, random);
}

void IdempotencyStore::onRowSeen(Entry &entry, const TableRow &row, TimePoint now, Random &random)
{
    if (entry.phase == Phase::WritingOutcome) {
        const auto current = row.version == 0 ? std::nullopt : IdempotencyRecord::decode(row.value);
        const bool isOurs = current && current->attempt == entry.attempt;
        if (isOurs && current->state == IdempotencyRecord::State::Sent) {
            entry.expectedVersion = row.version;
            writeOutcome(entry);
            return;
        }
        if (row.version == 0 && entry.mayHaveRow) {
            // The insert may still take effect. Writing the outcome as the first version of the row
            // makes its condition fail.
            entry.expectedVersion = 0;
            writeOutcome(entry);
            return;
        }
        removeEntry(entry.attempt);
        return;
    }
    if (row.version == 0 && entry.phase == Phase::Waiting) {
        // The other attempt's row was deleted while its outcome was awaited, so whether that
        // attempt ran can no longer be determined.
        reject(entry, Verdict::MayHaveRun, Reason::KeyOutcomeUnknown, {});
        removeEntry(entry.attempt);
        return;
    }
    if (row.version == 0) {
        // The insert hasn't taken effect yet. It can be repeated safely because both inserts expect
        // version zero and carry the same attempt id.
        entry.expectedVersion = 0;
        insertRow(entry);
        return;
    }
    const auto current = IdempotencyRecord::decode(row.value);
    if (!current) {
        reject(entry, Verdict::MayHaveRun, Reason::KeyOutcomeUnknown, {});
        removeEntry(entry.attempt);
        return;
    }
    if (current->attempt == entry.attempt && current->state == IdempotencyRecord::State::Sent) {
        entry.phase = Phase::Sending;
        entry.expectedVersion = row.version;
        m_actions.push_back(SendNow{entry.request, entry.attempt});
        return;
    }
    if (current->fingerprint != entry.fingerprint) {
        reject(entry, Verdict::NotRun, Reason::KeyReused, {});
        removeEntry(entry.attempt);
        return;
    }
    switch (current->state) {
    case IdempotencyRecord::State::Done:
        if (current->isResultKept)
            m_actions.push_back(Replay{entry.request, current->httpStatus, current->result});
        else
            reject(entry, Verdict::Ran, Reason::None, {});
        removeEntry(entry.attempt);
        return;
    case IdempotencyRecord::State::Released:
        entry.expectedVersion = row.version;
        insertRow(entry);
        return;
    case IdempotencyRecord::State::Sent:
        if (entry.phase != Phase::Waiting) {
            entry.phase = Phase::Waiting;
            entry.retryWait = kFirstPollWait;
        }
        scheduleRetry(entry, now, random);
        return;
    }
}

void IdempotencyStore::onOutcomeReply(Entry &entry, const TableOutcome &outcome, TimePoint now,
                                      Random &random)
{
    if (std::holds_alternative<TableCommitted>(outcome)) {
        removeEntry(entry.attempt);
        return;
    }
    if (const auto *conflict = std::get_if<TableConflict>(&outcome);
        conflict && !conflict->rows.empty()) {
        onRowSeen(entry, conflict->rows.front(), now, random);
        return;
    }
    scheduleRetry(entry, now, random);
}

void IdempotencyStore::reject(Entry &entry, Verdict verdict, Reason reason, Duration retryAfter)
{
    m_actions.push_back(Reject{entry.request, verdict, reason, retryAfter});
}

void IdempotencyStore::startWritingOutcome(Entry &entry, IdempotencyRecord::State state)
{
    entry.outcome.state = state;
    entry.outcome.attempt = entry.attempt;
    entry.outcome.fingerprint = entry.fingerprint;
    entry.phase = Phase::WritingOutcome;
    entry.retryWait = m_options.retryWait;
    m_byRequest.erase(entry.request);
    writeOutcome(entry);
    limitPendingOutcomes();
}

void IdempotencyStore::onRan(AttemptId attempt, int httpStatus, std::string_view result)
{
    auto it = m_entries.find(attempt);
    if (it == m_entries.end() || it->second.phase != Phase::Sending)
        return;
    Entry &entry = it->second;
    entry.outcome.httpStatus = httpStatus;
    entry.outcome.isResultKept = result.size() <= m_options.maxResultBytes;
    if (entry.outcome.isResultKept)
        entry.outcome.result = result;
    startWritingOutcome(entry, IdempotencyRecord::State::Done);
}

void IdempotencyStore::onNotRun(AttemptId attempt)
{
    auto it = m_entries.find(attempt);
    if (it == m_entries.end() || it->second.phase != Phase::Sending)
        return;
    startWritingOutcome(it->second, IdempotencyRecord::State::Released);
}

void IdempotencyStore::onUnknown(AttemptId attempt)
{
    removeEntry(attempt);
}

Verdict IdempotencyStore::abandon(RequestId request)
{
    auto byRequest = m_byRequest.find(request);
    if (byRequest == m_byRequest.end())
        return Verdict::NotRun;
    Entry &entry = m_entries.at(byRequest->second);
    switch (entry.phase) {
    case Phase::Waiting:
        removeEntry(entry.attempt);
        return Verdict::MayHaveRun;
    case Phase::Sending:
        removeEntry(entry.attempt);
        return Verdict::MayHaveRun;
    case Phase::Inserting:
    case Phase::ReadingBack:
        // The call was not sent and will not be. If the row exists, release it so that the key can
        // be used again.
        entry.mayHaveRow = true;
        startWritingOutcome(entry, IdempotencyRecord::State::Released);
        return Verdict::NotRun;
    case Phase::WritingOutcome:
        return Verdict::Ran;
    }
    return Verdict::MayHaveRun;
}

void IdempotencyStore::tick(TimePoint now)
{
    for (auto &[attempt, entry] : m_entries) {
        if (!entry.dueAt || *entry.dueAt > now)
            continue;
        switch (entry.phase) {
        case Phase::Inserting:
            insertRow(entry);
            break;
        case Phase::ReadingBack:
        case Phase::Waiting:
            readRow(entry);
            break;
        case Phase::WritingOutcome:
            writeOutcome(entry);
            break;
        case Phase::Sending:
            entry.dueAt.reset();
            break;
        }
    }
}

void IdempotencyStore::removeEntry(AttemptId attempt)
{
    auto it = m_entries.find(attempt);
    if (it == m_entries.end())
        return;
    m_byOp.erase(it->second.op);
    auto byRequest = m_byRequest.find(it->second.request);
    if (byRequest != m_byRequest.end() && byRequest->second == attempt)
        m_byRequest.erase(byRequest);
    m_entries.erase(it);
}

void IdempotencyStore::limitPendingOutcomes()
{
    std::size_t writingCount = 0;
    for (const auto &[attempt, entry] : m_entries)
        writingCount += entry.phase == Phase::WritingOutcome ? 1 : 0;
    if (writingCount <= m_options.maxPendingResults)
        return;
    auto oldest = std::find_if(m_entries.begin(), m_entries.end(), [](const auto &item) {
        return item.second.phase == Phase::WritingOutcome;
    });
    removeEntry(AttemptId{oldest->first});
}

std::vector<IdempotencyStore::Action> IdempotencyStore::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace arbutuspier
