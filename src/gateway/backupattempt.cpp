// An attempt is cancelled by closing its connection or by taking its ticket out of the queue; its
// coroutine then ends it.
#include "gateway/backupattempt.h"

namespace arbutuspier {

BackupAttempts::BackupAttempts(asio::any_io_executor executor, DispatchQueue &queue)
    : m_queue(queue)
    , m_changeTimer(std::move(executor))
{
}

BackupAttempts::Pointer BackupAttempts::add()
{
    return m_running.emplace_back(std::make_shared<BackupAttempt>());
}

void BackupAttempts::remove(const Pointer &backup)
{
    std::erase(m_running, backup);
    m_changeTimer.cancel();
}

void BackupAttempts::end(const Pointer &backup)
{
    remove(backup);
}

void BackupAttempts::setWinner(const Pointer &backup)
{
    m_winner = backup;
    remove(backup);
    cancelRunning();
}

std::size_t BackupAttempts::sentCount() const
{
    const auto wasSent = [](const Pointer &backup) { return backup->upstream.has_value(); };
    return static_cast<std::size_t>(std::count_if(m_running.begin(), m_running.end(), wasSent));
}

bool BackupAttempts::areAllLate(TimePoint now) const
{
    return std::all_of(m_running.begin(), m_running.end(),
                       [now](const Pointer &backup) { return now >= backup->lateAt; });
}

std::set<std::string> BackupAttempts::replicas() const
{
    std::set<std::string> result;
    for (const Pointer &backup : m_running) {
        if (backup->grant)
            result.insert(backup->grant->replica.id);
    }
    return result;
}

void BackupAttempts::cancel(BackupAttempt &backup)
{
    backup.isCancelled = true;
    if (backup.ticket)
        m_queue.cancel(*backup.ticket);
    if (backup.upstream)
        backup.upstream->cancel();
}

void BackupAttempts::cancelRunning()
{
    for (const Pointer &backup : m_running)
        cancel(*backup);
}

void BackupAttempts::cancelAll()
{
    cancelRunning();
    if (m_winner)
        cancel(*m_winner);
}

Task<void> BackupAttempts::awaitChange(TimePoint deadline)
{
    m_changeTimer.expires_at(deadline);
    co_await m_changeTimer.async_wait(kAwait);
}

Task<void> BackupAttempts::stop()
{
    cancelAll();
    while (hasRunning())
        co_await awaitChange(TimePoint::max());
}

} // namespace arbutuspier
