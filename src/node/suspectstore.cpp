// One row a body: the digests of the upstream lives lost with it.
#include "node/suspectstore.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <span>

namespace arbutuspier {

namespace {

constexpr std::string_view kPrefix = "poison/";
constexpr Duration kRetry = std::chrono::seconds{1};
/// Rows are read this often while a VM is silent, as it can't tell what it knows.
constexpr Duration kSilentVmPoll = std::chrono::seconds{1};
/// Until then a VM that can reach the table only has noticed the silence, read the rows and
/// withdrawn its copies.
constexpr Duration kSilentVmPause = std::chrono::seconds{5};
constexpr std::size_t kMaxIdleRows = 4'096;

std::string rowKey(Fingerprint body)
{
    return std::string(kPrefix) + std::to_string(body.value);
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

TableOpId SuspectStore::call(TableRequest request)
{
    const TableOpId op = m_nextOp;
    ++m_nextOp.value;
    m_context.emit(TableCall{op, std::move(request)});
    return op;
}

void SuspectStore::note(Fingerprint body)
{
    Row &row = m_rows[body];
    row.isDirty = true;
    if (!row.op)
        write(body, row);
}

void SuspectStore::write(Fingerprint body, Row &row)
{
    const auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    const std::vector<std::uint64_t> crashes = quarantine.crashesOf(body);
    row.isDirty = false;
    if (crashes.empty() && row.version == 0)
        return;
    row.isReading = false;
    row.askedAt = m_context.now;
    row.op = call(TableTransaction{
        {{rowKey(body), row.version, nlohmann::json(crashes).dump(), crashes.empty()}}});
    m_byOp[*row.op] = body;
}

void SuspectStore::read(Fingerprint body, Row &row)
{
    row.isReading = true;
    row.askedAt = m_context.now;
    row.op = call(TableRead{rowKey(body), false});
    m_byOp[*row.op] = body;
}

bool SuspectStore::isCleared(Fingerprint body, TimePoint since)
{
    Row &row = m_rows[body];
    if (row.readAt && *row.readAt >= since)
        return true;
    if (!row.op)
        read(body, row);
    return false;
}

bool SuspectStore::isAccountedFor(Fingerprint body, TimePoint suspectSince)
{
    const auto &membership = m_context.service<Membership>(service::kMembership);
    const bool isWaiting =
        m_context.now < suspectSince + kSilentVmPause && !membership.hasHeardAllSince(suspectSince);
    return !isWaiting && countUnexplainedDeaths(body);
}

bool SuspectStore::countUnexplainedDeaths(Fingerprint body)
{
    auto &crashes = m_context.service<UnattributedCrashes>(service::kUnattributedCrashes);
    const auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    const std::vector<std::uint64_t> known = quarantine.crashesOf(body);
    const bool isVmUnresponsive = hasSilentVm();
    bool isComplete = true;
    for (const UpstreamCrash &crash : crashes.recent(m_context.now)) {
        const auto digest = Quarantine::crashDigest(crash.upstream, crash.incarnation);
        if (std::find(known.begin(), known.end(), digest) != known.end())
            continue;
        const auto attribution = crashes.attribution(crash, isVmUnresponsive, m_context.now);
        isComplete = isComplete && attribution == UnattributedCrashes::Attribution::Complete;
        if (attribution == UnattributedCrashes::Attribution::Missing)
            count(body, crash);
    }
    return isComplete;
}

void SuspectStore::count(Fingerprint body, const UpstreamCrash &crash)
{
    auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    const auto notices = quarantine.onUpstreamCrash(
        crash.upstream, crash.incarnation, std::span<const Fingerprint>(&body, 1), m_context.now);
    for (const SuspectNotice &notice : notices)
        m_context.broadcast(notice);
    m_context.log(LogLine("death_unexplained")
                      .add("upstream", m_context.upstreamName(crash.upstream))
                      .add("body", body.value)
                      .add("outcome", "counted"));
    note(body);
    m_news.push_back(body);
}

bool SuspectStore::onTableReply(TableOpId op, const TableOutcome &outcome)
{
    if (m_loadOp && *m_loadOp == op) {
        m_loadOp.reset();
        if (const auto *rows = std::get_if<TableRows>(&outcome))
            onLoaded(*rows);
        return true;
    }
    auto byOp = m_byOp.find(op);
    if (byOp == m_byOp.end())
        return false;
    const Fingerprint body = byOp->second;
    m_byOp.erase(byOp);
    Row &row = m_rows[body];
    row.op.reset();
    const auto *rows = std::get_if<TableRows>(&outcome);
    const auto *conflict = std::get_if<TableConflict>(&outcome);
    if (rows && !rows->rows.empty()) {
        onRow(body, row, rows->rows.front());
    } else if (conflict && !conflict->rows.empty()) {
        row.isDirty = true;
        onRow(body, row, conflict->rows.front());
    } else if (std::holds_alternative<TableCommitted>(outcome)) {
        const auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
        row.version = quarantine.crashesOf(body).empty() ? 0 : row.version + 1;
    } else {
        row.isDirty = row.isDirty || !row.isReading;
        row.retryAt = m_context.now + kRetry;
    }
    if (row.isReading)
        row.readAt = row.askedAt;
    if (row.isDirty && m_context.now >= row.retryAt)
        write(body, row);
    return true;
}

void SuspectStore::onRow(Fingerprint body, Row &row, const TableRow &seen)
{
    row.version = seen.version;
    if (seen.version == 0)
        return;
    auto &quarantine = m_context.service<Quarantine>(service::kQuarantine);
    if (quarantine.merge({body, decodeCrashes(seen.value), false}, m_context.now))
        m_news.push_back(body);
}

void SuspectStore::onLoaded(const TableRows &rows)
{
    m_isLoaded = true;
    for (const TableRow &seen : rows.rows) {
        Fingerprint body;
        const char *first = seen.key.data() + kPrefix.size();
        std::from_chars(first, seen.key.data() + seen.key.size(), body.value);
        if (body.isValid())
            onRow(body, m_rows[body], seen);
    }
}

bool SuspectStore::hasSilentVm() const
{
    return !m_context.service<Membership>(service::kMembership).unresponsive().empty();
}

void SuspectStore::tick()
{
    const bool isLoadDue = !m_loadOp && m_context.now >= m_nextLoad;
    if (isLoadDue && (!m_isLoaded || hasSilentVm())) {
        m_nextLoad = m_context.now + (m_isLoaded ? kSilentVmPoll : kRetry);
        m_loadOp = call(TableRead{std::string(kPrefix), true});
    }
    for (auto &[body, row] : m_rows) {
        if (row.isDirty && !row.op && m_context.now >= row.retryAt)
            write(body, row);
    }
    if (m_rows.size() > kMaxIdleRows)
        std::erase_if(m_rows,
                      [](const auto &entry) { return !entry.second.isDirty && !entry.second.op; });
}

} // namespace arbutuspier
