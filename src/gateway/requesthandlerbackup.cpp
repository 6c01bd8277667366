// The part of RequestHandler that runs backup attempts beside the current attempt.
//
// Each runs in a coroutine of its own until it has new output. It forwards nothing: the request's
// own coroutine then makes it the current attempt.
#include "gateway/requesthandler.h"

#include "kernel/httpstatus.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace arbutuspier {

std::uint32_t RequestHandler::runningAttempts() const
{
    const std::uint32_t current = m_currentAttempt ? 1 : 0;
    return current + static_cast<std::uint32_t>(m_backups.sentCount());
}

bool RequestHandler::mayStartBackup() const
{
    const TimePoint now = m_state.clock.now();
    if (m_caller.isDisconnected() || now >= deadline() || isQuarantined())
        return false;
    const bool isNeeded = !m_backups.hasWinner() && m_backups.areAllLate(now);
    // Without an id, the caller would get the first events again.
    const bool canContinue = !m_hasSentHead || m_joiner->lastId();
    if (!isNeeded || !canContinue || !m_route->isRetryable() || !isBelowAttemptLimit())
        return false;
    if (m_unreachableAttempts >= kMaxUnreachableAttempts)
        return false;
    return m_state.retryBudget(m_service).allows(now, m_state.vmCount());
}

void RequestHandler::startBackup(const ReplicaIncarnation &late)
{
    if (mayStartBackup())
        asio::co_spawn(m_state.executor, runBackup(m_backups.add(), late), asio::detached);
}

Task<void> RequestHandler::runBackup(BackupAttempts::Pointer backup, ReplicaIncarnation late)
{
    co_await m_state.suspects.awaitCheck(late);
    co_await awaitCrashCheck();
    AttemptOutcome outcome = AttemptOutcome::NotExecuted;
    if (co_await placeBackup(*backup))
        outcome = co_await readBackup(*backup);
    if (outcome == AttemptOutcome::Completed) {
        m_backups.setWinner(backup);
        if (m_currentAttempt)
            m_currentAttempt->cancel();
        co_return;
    }
    endBackup(*backup, outcome);
    m_backups.end(backup);
}

void RequestHandler::endBackup(BackupAttempt &backup, AttemptOutcome outcome)
{
    if (backup.upstream) {
        onAttemptEnded(outcome, *backup.upstream, *backup.grant);
        releaseConnection(*backup.upstream, outcome);
    }
    if (backup.grant)
        endGrant(*backup.grant);
}

Task<void> RequestHandler::stopBackups()
{
    co_await m_backups.stop();
    if (const BackupAttempts::Pointer unused = m_backups.takeWinner())
        endBackup(*unused, cancelledOutcome());
}

Task<void> RequestHandler::placeBackupAtReplica(BackupAttempt &backup)
{
    DispatchRequirements needed = requirements();
    needed.prompt.maySplit = false;
    needed.forbidden.merge(m_backups.replicas());
    if (m_currentAttempt)
        needed.forbidden.insert(m_currentReplica);
    backup.ticket = m_state.dispatchQueue.makeTicket(std::move(needed));
    const DispatchResult result = co_await m_state.dispatchQueue.acquire(backup.ticket);
    backup.ticket.reset();
    backup.grant = result.grant;
}

Task<bool> RequestHandler::placeBackup(BackupAttempt &backup)
{
    if (backup.isCancelled)
        co_return false;
    if (shouldRelay())
        backup.grant = relayGrant();
    if (!backup.grant)
        co_await placeBackupAtReplica(backup);
    if (!backup.grant || backup.isCancelled || isQuarantined() || !isBelowAttemptLimit())
        co_return false;
    co_return m_state.retryBudget(m_service).trySpend(m_state.clock.now(), m_state.vmCount());
}

RequestHandler::AttemptOutcome RequestHandler::cancelledOutcome() const
{
    return m_caller.isDisconnected() ? AttemptOutcome::CallerDisconnected
                                     : AttemptOutcome::Superseded;
}

Task<RequestHandler::AttemptOutcome> RequestHandler::readBackup(BackupAttempt &backup)
{
    const DispatchGrant &grant = *backup.grant;
    m_triedReplicas.insert(grant.replica.id);
    recordAttempt(grant);
    UpstreamAttempt &attempt =
        backup.upstream.emplace(m_state.executor, m_state.pool, grant.replica.incarnation());
    backup.lateAt = firstEventDeadline(grant);
    attempt.onExpiry = [this]() -> std::optional<TimePoint> {
        const TimePoint now = m_state.clock.now();
        return now < deadline() ? std::optional(std::min(deadline(), now + kBackupInterval))
                                : std::nullopt;
    };
    attempt.expireAt(std::min(deadline(), m_state.clock.now() + kBackupInterval));
    backup.sent = co_await send(attempt, grant, {});
    if (backup.isCancelled)
        co_return cancelledOutcome();
    if (backup.sent == UpstreamAttempt::SendResult::NotConnected)
        co_return AttemptOutcome::NotExecuted;
    if (backup.sent == UpstreamAttempt::SendResult::NoResponse)
        co_return AttemptOutcome::Lost;
    if (isEventStream(attempt))
        co_return co_await readBackupStream(backup);
    co_return co_await readBackupResponse(backup);
}

Task<RequestHandler::AttemptOutcome> RequestHandler::readBackupStream(BackupAttempt &backup)
{
    UpstreamAttempt &attempt = *backup.upstream;
    if (!isValidResponse(attempt))
        co_return AttemptOutcome::Lost;
    // The request's own joiner gets the bytes only if this attempt is continued.
    EventStreamJoiner joiner(m_joiner->lastId());
    std::string received;
    auto progress = UpstreamAttempt::ReadProgress::More;
    bool hasOutput = false;
    while (progress == UpstreamAttempt::ReadProgress::More && !hasOutput) {
        std::string bytes;
        progress = co_await attempt.read(bytes);
        if (backup.isCancelled)
            co_return cancelledOutcome();
        const JoinedEvents joined = joiner.feed(bytes);
        if (joined.isFaulty)
            attempt.setCause("faulty event");
        hasOutput = !joined.events.empty();
        if (joined.isFaulty && !hasOutput)
            co_return AttemptOutcome::Lost;
        received += bytes;
        if (received.size() > kMaxBytesBeforeEvent)
            co_return AttemptOutcome::Lost;
    }
    const bool isAtEnd =
        progress == UpstreamAttempt::ReadProgress::Complete && m_hasSentHead && joiner.isAtEnd();
    if (!hasOutput && !isAtEnd)
        co_return AttemptOutcome::Lost;
    attempt.unread(std::move(received));
    co_return AttemptOutcome::Completed;
}

Task<RequestHandler::AttemptOutcome> RequestHandler::readBackupResponse(BackupAttempt &backup)
{
    UpstreamAttempt &attempt = *backup.upstream;
    std::string body;
    MemoryBudget::Share share(m_state.responseMemory);
    const auto progress = co_await collectResponse(attempt, body, share);
    if (backup.isCancelled)
        co_return cancelledOutcome();
    if (isRefusal(attempt))
        co_return AttemptOutcome::NotExecuted;
    const bool isComplete = progress == UpstreamAttempt::ReadProgress::Complete;
    if (!isComplete || !isValidResponse(attempt) || m_hasSentHead)
        co_return AttemptOutcome::Lost;
    const bool isOnlyAttempt = runningAttempts() == 1;
    if (isServerErrorStatus(attempt.status()) && (couldRetry() || !isOnlyAttempt))
        co_return AttemptOutcome::Failed;
    attempt.unread(std::move(body));
    co_return AttemptOutcome::Completed;
}

Task<BackupAttempts::Pointer> RequestHandler::awaitBackup(const ReplicaIncarnation &failed)
{
    while (!m_backups.hasWinner() && m_backups.hasRunning()) {
        if (m_state.clock.now() >= deadline())
            m_backups.cancelRunning();
        startBackup(failed);
        co_await m_backups.awaitChange(m_state.clock.now() + kBackupInterval);
    }
    co_return m_backups.takeWinner();
}

Task<RequestHandler::AttemptOutcome> RequestHandler::continueBackup(BackupAttempt &backup)
{
    UpstreamAttempt &attempt = *backup.upstream;
    const DispatchGrant &grant = *backup.grant;
    m_currentAttempt = &attempt;
    m_currentReplica = grant.replica.id;
    attempt.onExpiry = [this, &attempt, &grant] { return nextEventCheck(attempt, grant); };
    attempt.expireAt(nextEventDeadline());
    const AttemptOutcome outcome = co_await readResponse(backup.sent, attempt, grant);
    m_currentAttempt = nullptr;
    endBackup(backup, outcome);
    co_return outcome;
}

} // namespace arbutuspier
