// One mutex guards both maps; it is held only while they are read or changed.
#include "net/sessionregistry.h"

#include "net/callersession.h"

namespace arbutuspier {

void SessionRegistry::add(std::shared_ptr<CallerSession> session)
{
    const std::scoped_lock lock(m_mutex);
    const RequestId id = session->id();
    m_sessions[id] = std::move(session);
}

void SessionRegistry::remove(RequestId request)
{
    const std::scoped_lock lock(m_mutex);
    m_sessions.erase(request);
}

std::shared_ptr<CallerSession> SessionRegistry::find(RequestId request) const
{
    const std::scoped_lock lock(m_mutex);
    auto it = m_sessions.find(request);
    return it == m_sessions.end() ? nullptr : it->second;
}

void SessionRegistry::setAttempt(AttemptId attempt, RequestId request)
{
    const std::scoped_lock lock(m_mutex);
    auto it = m_sessions.find(request);
    if (it != m_sessions.end())
        m_attempts[attempt] = it->second;
}

std::shared_ptr<CallerSession> SessionRegistry::takeAttempt(AttemptId attempt)
{
    const std::scoped_lock lock(m_mutex);
    auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return nullptr;
    auto session = it->second.lock();
    m_attempts.erase(it);
    return session;
}

std::size_t SessionRegistry::size() const
{
    const std::scoped_lock lock(m_mutex);
    return m_sessions.size();
}

} // namespace arbutuspier
