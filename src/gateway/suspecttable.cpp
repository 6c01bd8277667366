// Each VM writes rows of its own, so that no two VMs write the same row; readers merge all rows of
// a request.
#include "gateway/suspecttable.h"

#include "arbutuspier/backoff.h"
#include "gateway/partnoticescodec.h"
#include "gateway/suspectrowcodec.h"
#include "kernel/logline.h"
#include "platform/tablenames.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace arbutuspier {

using Outcome = platform::StoreRead::Outcome;

namespace {

constexpr Duration kCallTimeout = std::chrono::milliseconds{800};
/// Time before a changed suspect is written. Most suspects are cleared within it.
constexpr Duration kWriteDelay = std::chrono::seconds{1};
/// Interval of reading while all VMs of the fleet hear each other, so that the table only repairs
/// what differs.
constexpr SharedPollIntervalOptions kQuietInterval{std::chrono::seconds{8}, 0.5,
                                                   std::chrono::seconds{60}};
/// Interval of reading while some VM doesn't, so that the table is the only way to learn of its
/// suspects. VMs that hear each other share the reading.
constexpr SharedPollIntervalOptions kPartitionInterval{std::chrono::seconds{1}, 0.22,
                                                       std::chrono::seconds{8}};
/// Interval of checking whether a partition has begun, so that the table is read sooner.
constexpr Duration kPartitionCheck = std::chrono::seconds{1};
/// Most items of each kind in a row on parts of prompts.
constexpr std::size_t kMaxPartItems = 256;

} // namespace

SuspectTable::SuspectTable(asio::io_context &context, GatewayState &state)
    : m_context(context)
    , m_state(state)
    , m_client(context.get_executor(), state.settings.store)
    , m_timer(context)
    , m_schedule(kWriteDelay)
    , m_quietInterval(kQuietInterval)
    , m_partitionInterval(kPartitionInterval)
{
}

void SuspectTable::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
}

void SuspectTable::markChanged(Fingerprint fingerprint)
{
    m_changed.insert(fingerprint);
    if (m_state.suspects.isQuarantined({fingerprint, {}}))
        m_schedule.scheduleNow(m_state.clock.now());
    else
        m_schedule.onChange(m_state.clock.now());
    m_timer.cancel();
}

void SuspectTable::markPartsChanged()
{
    m_havePartsChanged = true;
    m_schedule.onChange(m_state.clock.now());
    m_timer.cancel();
}

void SuspectTable::onStoreRestored()
{
    m_havePartsChanged = true;
    m_writtenParts = {};
    m_isFullRead = true;
    m_rows.clear();
    for (const SuspectNotice &notice : m_state.suspects.quarantine().records())
        m_changed.insert(notice.fingerprint);
    m_schedule.scheduleNow(m_state.clock.now());
    m_timer.cancel();
}

std::chrono::seconds SuspectTable::wallSeconds() const
{
    return std::chrono::duration_cast<std::chrono::seconds>(
        m_state.clock.wallNow().time_since_epoch());
}

std::string SuspectTable::ownKey(Fingerprint fingerprint) const
{
    return suspectRowKey(fingerprint, m_state.settings.vm);
}

bool SuspectTable::hasRow(Fingerprint fingerprint) const
{
    const std::string prefix = suspectRowKey(fingerprint, "");
    const auto first = m_rows.lower_bound(prefix);
    return first != m_rows.end() && first->first.starts_with(prefix);
}

TimePoint SuspectTable::nextRead()
{
    const TimePoint now = m_state.clock.now();
    // Readers tell the others what they find.
    const bool isQuiet = m_state.hearsAllVms() || !m_state.isStoreReader();
    if (isQuiet)
        return m_quietInterval.nextPoll(now, m_state.storeReaderCount(), m_state.random);
    return m_partitionInterval.nextPoll(now, m_state.pollingReaderCount(), m_state.random);
}

Task<void> SuspectTable::run()
{
    TimePoint readAt{};
    while (true) {
        const bool isWritten = co_await writeChanged();
        bool isRead = true;
        if (m_state.clock.now() >= readAt) {
            isRead = co_await readChanges();
            m_wasRead = true;
        }
        if (isRead)
            co_await removeExpired();
        const bool hasFailed = !isWritten || !isRead;
        m_failures = hasFailed ? m_failures + 1 : 0;
        readAt = hasFailed
            ? m_state.clock.now() + backoff(BackoffOptions{}, m_failures, m_state.random)
            : nextRead();
        co_await awaitDue(readAt);
    }
}

Task<void> SuspectTable::awaitDue(TimePoint &readAt)
{
    const bool hasNothingToWrite = m_changed.empty() && !m_havePartsChanged;
    m_schedule.scheduleAt(hasNothingToWrite ? readAt
                                            : std::min(readAt, m_state.clock.now() + kWriteDelay));
    while (!m_schedule.isDue(m_state.clock.now())) {
        m_timer.expires_at(std::min(m_schedule.due(), m_state.clock.now() + kPartitionCheck));
        co_await m_timer.async_wait(kAwait);
        const bool isNewPartition =
            m_failures == 0 && !m_state.hearsAllVms() && m_state.isStoreReader();
        if (!isNewPartition)
            continue;
        readAt = std::min(readAt, nextRead());
        m_schedule.scheduleAt(std::min(m_schedule.due(), readAt));
    }
}

void SuspectTable::addPartRow(std::vector<platform::RowContent> &rows)
{
    if (!std::exchange(m_havePartsChanged, false))
        return;
    PartNotices notices = m_state.suspects.promptParts().suspectNotices(kMaxPartItems);
    const std::string key = partRowKey(m_state.settings.vm);
    m_mayHavePartRow = m_mayHavePartRow || m_rows.contains(key);
    // Without evidence there is nothing to clear, unless it was written before.
    const bool isNeeded = !notices.evidence.empty() || m_mayHavePartRow;
    if (!isNeeded || notices == m_writtenParts)
        return;
    rows.push_back({key, encodePartRow({wallSeconds(), notices})});
    m_mayHavePartRow = true;
    m_writtenParts = std::move(notices);
}

Task<bool> SuspectTable::writeChanged()
{
    std::vector<Fingerprint> written;
    std::vector<platform::RowContent> rows;
    addPartRow(rows);
    for (auto it = m_changed.begin();
         it != m_changed.end() && rows.size() < platform::kMaxRowsPerWrite;) {
        const Fingerprint fingerprint = *it;
        it = m_changed.erase(it);
        const Quarantine &quarantine = m_state.suspects.quarantine();
        const bool isSuspect =
            quarantine.quarantineState(fingerprint) != Quarantine::QuarantineState::Clean;
        if (!isSuspect && !hasRow(fingerprint))
            continue;
        written.push_back(fingerprint);
        rows.push_back({ownKey(fingerprint),
                        encodeSuspectRow({wallSeconds(), quarantine.noticesOf(fingerprint)})});
    }
    if (rows.empty())
        co_return true;
    const std::size_t count = rows.size();
    const bool isWritten =
        co_await m_client.write(platform::kSuspectTable, std::move(rows), kCallTimeout);
    LOG(INFO) << LogLine("suspects_written")
                     .add("rows", count)
                     .add("outcome", isWritten ? "confirmed" : "failed")
                     .text();
    if (!isWritten) {
        m_changed.insert(written.begin(), written.end());
        m_havePartsChanged = true;
        m_writtenParts = {};
    }
    co_return isWritten;
}

Task<bool> SuspectTable::readChanges()
{
    platform::StoreRead read;
    if (m_isFullRead)
        read = co_await m_client.readTable(platform::kSuspectTable, kCallTimeout);
    else
        read = co_await m_client.readChanges(platform::kSuspectTable, m_revision, Duration::zero(),
                                             kCallTimeout);
    if (read.outcome != Outcome::Done) {
        m_isFullRead = m_isFullRead || read.outcome == Outcome::HistoryTruncated;
        co_return false;
    }
    m_isFullRead = false;
    m_revision = std::max(m_revision, read.revision);
    for (const platform::StoreRow &row : read.rows)
        handleRow(row);
    co_return true;
}

void SuspectTable::handleRow(const platform::StoreRow &row)
{
    if (row.isDeleted) {
        m_rows.erase(row.key);
        return;
    }
    if (isPartRowKey(row.key)) {
        handlePartRow(row);
        return;
    }
    const auto content = decodeSuspectRow(row.bytes);
    if (!content) {
        LOG(WARNING) << LogLine("suspect_row_unreadable").add("key", row.key).text();
        return;
    }
    m_rows[row.key] = {row.version, content->writtenAt};
    if (wallSeconds() >= content->writtenAt + kSuspectRetention)
        return;
    for (const SuspectNotice &notice : content->notices) {
        if (m_state.suspects.merge(notice, "store") && onNews)
            onNews(notice);
    }
}

void SuspectTable::handlePartRow(const platform::StoreRow &row)
{
    const auto content = decodePartRow(row.bytes);
    if (!content) {
        LOG(WARNING) << LogLine("suspect_row_unreadable").add("key", row.key).text();
        return;
    }
    m_rows[row.key] = {row.version, content->writtenAt};
    if (wallSeconds() >= content->writtenAt + kSuspectRetention)
        return;
    if (m_state.suspects.merge(content->notices) && onPartNews)
        onPartNews(content->notices);
}

Task<void> SuspectTable::removeExpired()
{
    const std::chrono::seconds now = wallSeconds();
    std::vector<std::pair<std::string, platform::StoreRevision>> expired;
    for (const auto &[key, row] : m_rows) {
        if (now >= row.writtenAt + kSuspectRetention)
            expired.emplace_back(key, row.version);
    }
    for (const auto &[key, version] : expired) {
        // Another VM may have removed or rewritten the row, which the next read will show.
        co_await m_client.remove(platform::kSuspectTable, key, version, kCallTimeout);
        m_rows.erase(key);
    }
}

} // namespace arbutuspier
