// Each fingerprint has one row: the digests of the upstream incarnations that crashed with it.
#include "node/suspectstore.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <span>

namespace arbutuspier {

namespace {

constexpr std::string_view kRowPrefix = "poison/";
constexpr Duration kRetryInterval = std::chrono::seconds{1};
/// Interval of reading all rows while a VM is unresponsive and can send no notices.
constexpr Duration kUnresponsiveVmPollInterval = std::chrono::seconds{1};
/// By then a VM that reaches only the table has detected the unresponsive VMs, read the rows and
/// withdrawn its requests with the fingerprint.
constexpr Duration kUnresponsiveVmWait = std::chrono::seconds{5};
constexpr std::size_t kMaxIdleRows = 4'096;

std::string rowKey(Fingerprint fingerprint)
{
    return std::string(kRowPrefix) + std::to_string(fingerprint.value);
}

std::vector<std::uint64_t> decodeCrashes(const std::string &text)
{
    std::vector<std::uint64_t> crashes;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_array())
        return crashes;
    for (const auto &crash : json) {
        if (crash.is_number_unsigned())
            crashes.push_back(crash.get<std::uint64_t>());
    }
    return crashes;
}

} // namespace

TableOpId SuspectStore::sendTableCall(TableRequest request)
{
    const TableOpId op = m_nextOp;
    ++m_nextOp.value;
    m_context.emit(TableCall{op, std::move(request)});
    return op;
}

void SuspectStore::markChanged(Fingerprint fingerprint)
{
    Row &row = m_rows[fingerprint];
    row.isDirty = true;
    if (!row.op)
        writeRow(fingerprint, row);
}

void SuspectStore::writeRow(Fingerprint fingerprint, Row &row)
{
    const auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    const std::vector<std::uint64_t> crashes = quarantine.crashesOf(fingerprint);
    row.isDirty = false;
    if (crashes.empty() && row.version == 0)
        return;
    row.isReading = false;
    row.readStartedAt = m_context.now;
    row.op = sendTableCall(TableTransaction{
        {{rowKey(fingerprint), row.version, nlohmann::json(crashes).dump(), crashes.empty()}}});
    m_byOp[*row.op] = fingerprint;
}

void SuspectStore::readRow(Fingerprint fingerprint, Row &row)
{
    row.isReading = true;
    row.readStartedAt = m_context.now;
    row.op = sendTableCall(TableRead{rowKey(fingerprint), false});
    m_byOp[*row.op] = fingerprint;
}

bool SuspectStore::isRowReadSince(Fingerprint fingerprint, TimePoint since)
{
    Row &row = m_rows[fingerprint];
    if (row.readAt && *row.readAt >= since)
        return true;
    if (!row.op)
        readRow(fingerprint, row);
    return false;
}

bool SuspectStore::areCrashesKnown(Fingerprint fingerprint, TimePoint suspectSince)
{
    const auto &membership = m_context.service<Membership>(service::kMembership);
    const bool isWaiting = m_context.now < suspectSince + kUnresponsiveVmWait
        && !membership.hasMessageFromAllSince(suspectSince);
    return !isWaiting && countUnattributedCrashes(fingerprint);
}

bool SuspectStore::countUnattributedCrashes(Fingerprint fingerprint)
{
    auto &crashes = m_context.service<UnattributedCrashes>(service::kUnattributedCrashes);
    const auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    const std::vector<std::uint64_t> known = quarantine.crashesOf(fingerprint);
    const bool isVmUnresponsive = hasUnresponsiveVm();
    bool isComplete = true;
    for (const UpstreamCrash &crash : crashes.recent(m_context.now)) {
        const auto digest = Quarantine::crashDigest(crash.upstream, crash.incarnation);
        if (std::find(known.begin(), known.end(), digest) != known.end())
            continue;
        const auto attribution = crashes.attribution(crash, isVmUnresponsive, m_context.now);
        isComplete = isComplete && attribution == UnattributedCrashes::Attribution::Complete;
        if (attribution == UnattributedCrashes::Attribution::Missing)
            countCrash(fingerprint, crash);
    }
    return isComplete;
}

void SuspectStore::countCrash(Fingerprint fingerprint, const UpstreamCrash &crash)
{
    auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    const auto notices =
        quarantine.onUpstreamCrash(crash.upstream, crash.incarnation,
                                   std::span<const Fingerprint>(&fingerprint, 1), m_context.now);
    for (const SuspectNotice &notice : notices)
        m_context.broadcast(notice);
    m_context.log(LogLine("death_unexplained")
                      .add("upstream", m_context.upstreamName(crash.upstream))
                      .add("body", fingerprint.value)
                      .add("outcome", "counted"));
    markChanged(fingerprint);
    m_changed.push_back(fingerprint);
}

bool SuspectStore::onTableReply(TableOpId op, const TableOutcome &outcome)
{
    if (m_loadOp && *m_loadOp == op) {
        m_loadOp.reset();
        if (const auto *rows = std::get_if<TableRows>(&outcome))
            onRowsLoaded(*rows);
        return true;
    }
    auto byOp = m_byOp.find(op);
    if (byOp == m_byOp.end())
        return false;
    const Fingerprint fingerprint = byOp->second;
    m_byOp.erase(byOp);
    Row &row = m_rows[fingerprint];
    row.op.reset();
    const auto *rows = std::get_if<TableRows>(&outcome);
    const auto *conflict = std::get_if<TableConflict>(&outcome);
    if (rows && !rows->rows.empty()) {
        mergeRow(fingerprint, row, rows->rows.front());
    } else if (conflict && !conflict->rows.empty()) {
        row.isDirty = true;
        mergeRow(fingerprint, row, conflict->rows.front());
    } else if (std::holds_alternative<TableCommitted>(outcome)) {
        const auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
        row.version = quarantine.crashesOf(fingerprint).empty() ? 0 : row.version + 1;
    } else {
        row.isDirty = row.isDirty || !row.isReading;
        row.retryAt = m_context.now + kRetryInterval;
    }
    if (row.isReading)
        row.readAt = row.readStartedAt;
    if (row.isDirty && m_context.now >= row.retryAt)
        writeRow(fingerprint, row);
    return true;
}

void SuspectStore::mergeRow(Fingerprint fingerprint, Row &row, const TableRow &storedRow)
{
    row.version = storedRow.version;
    if (storedRow.version == 0)
        return;
    auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    if (quarantine.merge({fingerprint, decodeCrashes(storedRow.value), CrashState::Confirmed},
                         m_context.now))
        m_changed.push_back(fingerprint);
}

void SuspectStore::onRowsLoaded(const TableRows &rows)
{
    m_isLoaded = true;
    for (const TableRow &storedRow : rows.rows) {
        Fingerprint fingerprint;
        const char *first = storedRow.key.data() + kRowPrefix.size();
        std::from_chars(first, storedRow.key.data() + storedRow.key.size(), fingerprint.value);
        if (fingerprint.isValid())
            mergeRow(fingerprint, m_rows[fingerprint], storedRow);
    }
}

bool SuspectStore::hasUnresponsiveVm() const
{
    return !m_context.service<Membership>(service::kMembership).unresponsive().empty();
}

void SuspectStore::tick()
{
    const bool isLoadDue = !m_loadOp && m_context.now >= m_nextLoad;
    if (isLoadDue && (!m_isLoaded || hasUnresponsiveVm())) {
        m_nextLoad = m_context.now + (m_isLoaded ? kUnresponsiveVmPollInterval : kRetryInterval);
        m_loadOp = sendTableCall(TableRead{std::string(kRowPrefix), true});
    }
    for (auto &[fingerprint, row] : m_rows) {
        if (row.isDirty && !row.op && m_context.now >= row.retryAt)
            writeRow(fingerprint, row);
    }
    if (m_rows.size() > kMaxIdleRows)
        std::erase_if(m_rows,
                      [](const auto &entry) { return !entry.second.isDirty && !entry.second.op; });
}

} // namespace arbutuspier
