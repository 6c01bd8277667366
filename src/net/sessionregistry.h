// Lets the control thread, which runs the EntryNode, find a caller's session by request or by open
// attempt.
#pragma once

#include "arbutuspier/ids.h"

#include <memory>
#include <mutex>
#include <unordered_map>

namespace arbutuspier {

class CallerSession;

/// Thread-safe.
class SessionRegistry
{
public:
    void add(std::shared_ptr<CallerSession> session);
    void remove(RequestId request);
    /// Returns null if the request has no session any more.
    std::shared_ptr<CallerSession> find(RequestId request) const;

    /// Records that `attempt` belongs to the session of `request`.
    void addAttempt(AttemptId attempt, RequestId request);
    /// Removes the attempt and returns its session; null if either is unknown.
    std::shared_ptr<CallerSession> takeSessionByAttempt(AttemptId attempt);
    /// Number of requests with a session.
    std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<RequestId, std::shared_ptr<CallerSession>> m_sessionsByRequest;
    std::unordered_map<AttemptId, std::weak_ptr<CallerSession>> m_sessionsByAttempt;
};

} // namespace arbutuspier
