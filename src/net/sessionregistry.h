// Finds a caller's session for the control thread, by request and by open attempt.
#pragma once

#include "arbutuspier/ids.h"

#include <memory>
#include <mutex>
#include <unordered_map>

namespace arbutuspier {

class CallerSession;

/// May be used from any thread.
class SessionRegistry
{
public:
    void add(std::shared_ptr<CallerSession> session);
    void remove(RequestId request);
    std::shared_ptr<CallerSession> find(RequestId request) const;

    void setAttempt(AttemptId attempt, RequestId request);
    /// The session whose attempt this is; forgets the attempt.
    std::shared_ptr<CallerSession> takeAttempt(AttemptId attempt);
    std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<RequestId, std::shared_ptr<CallerSession>> m_sessions;
    std::unordered_map<AttemptId, std::weak_ptr<CallerSession>> m_attempts;
};

} // namespace arbutuspier
