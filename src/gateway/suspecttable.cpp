// Each VM writes rows of its own, so that no two VMs write the same row; readers merge all rows of
// a request.
#include "gateway/suspecttable.h"

#include "gateway/suspectrowcodec.h"
#include "kernel/logline.h"
#include "platform/tablenames.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

#include <algorithm>

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
constexpr Duration kFirstBackoff = std::chrono::milliseconds{200};
constexpr std::uint32_t kMaxDoublings = 4;

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

void SuspectTable::onStoreRestored()
{
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
    SharedPollInterval &interval = m_state.hearsAllVms() ? m_quietInterval : m_partitionInterval;
    return interval.nextPoll(now, m_state.storeReaderCount(), m_state.random);
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
        readAt = hasFailed ? m_state.clock.now() + backoff() : nextRead();
        co_await awaitDue(readAt);
    }
}

Duration SuspectTable::backoff()
{
    const Duration base = kFirstBackoff * (1U << std::min(m_failures, kMaxDoublings));
    return jittered(m_state.random, base);
}

Task<void> SuspectTable::awaitDue(TimePoint &readAt)
{
    m_schedule.scheduleAt(m_changed.empty() ? readAt
                                            : std::min(readAt, m_state.clock.now() + kWriteDelay));
    while (!m_schedule.isDue(m_state.clock.now())) {
        m_timer.expires_at(std::min(m_schedule.due(), m_state.clock.now() + kPartitionCheck));
        co_await m_timer.async_wait(kAwait);
        const bool isNewPartition = m_failures == 0 && !m_state.hearsAllVms();
        if (!isNewPartition)
            continue;
        readAt = std::min(readAt, nextRead());
        m_schedule.scheduleAt(std::min(m_schedule.due(), readAt));
    }
}

Task<bool> SuspectTable::writeChanged()
{
    std::vector<Fingerprint> written;
    std::vector<platform::RowContent> rows;
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
    if (!isWritten)
        m_changed.insert(written.begin(), written.end());
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
