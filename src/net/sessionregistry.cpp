// One mutex guards both maps; it is held only while they are read or changed.
#include "net/sessionregistry.h"

#include "net/callersession.h"

namespace arbutuspier {

void SessionRegistry::add(std::shared_ptr<CallerSession> session)
{
    const std::scoped_lock lock(m_mutex);
    const RequestId id = session->id();
    m_sessionsByRequest[id] = std::move(session);
}

void SessionRegistry::remove(RequestId request)
{
    const std::scoped_lock lock(m_mutex);
    m_sessionsByRequest.erase(request);
}

std::shared_ptr<CallerSession> SessionRegistry::find(RequestId request) const
{
    const std::scoped_lock lock(m_mutex);
    auto it = m_sessionsByRequest.find(request);
    return it == m_sessionsByRequest.end() ? nullptr : it->second;
}

void SessionRegistry::addAttempt(AttemptId attempt, RequestId request)
{
    const std::scoped_lock lock(m_mutex);
    auto it = m_sessionsByRequest.find(request);
    if (it != m_sessionsByRequest.end())
        m_sessionsByAttempt[attempt] = it->second;
}

std::shared_ptr<CallerSession> SessionRegistry::takeSessionByAttempt(AttemptId attempt)
{
    const std::scoped_lock lock(m_mutex);
    auto it = m_sessionsByAttempt.find(attempt);
    if (it == m_sessionsByAttempt.end())
        return nullptr;
    auto session = it->second.lock();
    m_sessionsByAttempt.erase(it);
    return session;
}

std::size_t SessionRegistry::size() const
{
    const std::scoped_lock lock(m_mutex);
    return m_sessionsByRequest.size();
}

} // namespace arbutuspier
