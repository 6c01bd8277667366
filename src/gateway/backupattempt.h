// Backup attempts: further attempts of a request whose current attempt is silent but may go on.
//
// The current attempt stays open. Whichever attempt has new output first continues the response,
// and the others are cancelled.
#pragma once

#include "gateway/dispatchqueue.h"
#include "gateway/upstreamattempt.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutuspier {

struct BackupAttempt
{
    /// Set while the attempt waits in the dispatch queue.
    std::shared_ptr<DispatchQueue::Ticket> ticket;
    /// Set once a replica was assigned.
    std::optional<DispatchGrant> grant;
    /// Set once the retry budget allows the attempt.
    std::optional<UpstreamAttempt> upstream;
    UpstreamAttempt::SendResult sent = UpstreamAttempt::SendResult::NotConnected;
    /// When this attempt is itself so late that another one may be started.
    TimePoint lateAt = TimePoint::max();
    bool isCancelled = false;
};

/// The backup attempts of one request.
class BackupAttempts
{
public:
    using Pointer = std::shared_ptr<BackupAttempt>;

    BackupAttempts(asio::any_io_executor executor, DispatchQueue &queue);

    /// Adds an attempt that counts as running until `end` or `setWinner` is called with it.
    Pointer add();
    void end(const Pointer &backup);
    /// The attempt has new output: it waits for `takeWinner`, and the running ones are cancelled.
    void setWinner(const Pointer &backup);
    bool hasWinner() const { return m_winner != nullptr; }
    /// Null if there is no winner.
    Pointer takeWinner() { return std::move(m_winner); }

    bool hasRunning() const { return !m_running.empty(); }
    /// Number of running attempts that were sent to a replica.
    std::size_t sentCount() const;
    /// Whether every running attempt is late. True if none runs.
    bool areAllLate(TimePoint now) const;
    /// Ids of the replicas that the running attempts are at.
    std::set<std::string> replicas() const;

    /// Cancels the running attempts, but not the winner.
    void cancelRunning();
    void cancelAll();
    /// Waits until an attempt has ended or has won, but not longer than until `deadline`.
    Task<void> awaitChange(TimePoint deadline);
    /// Cancels all attempts and waits until they have ended.
    Task<void> stop();

private:
    void cancel(BackupAttempt &backup);
    void remove(const Pointer &backup);

    DispatchQueue &m_queue;
    asio::steady_timer m_changeTimer;
    std::vector<Pointer> m_running;
    Pointer m_winner;
};

} // namespace arbutuspier
