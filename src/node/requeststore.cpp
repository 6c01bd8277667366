// Sets ordered by time find the requests whose deadline or latest start has passed without a scan
// of all requests.
#include "node/requeststore.h"

#include <algorithm>
#include <cassert>

namespace arbutuspier {

namespace {

std::vector<RequestId> dueBy(const std::set<std::pair<TimePoint, RequestId>> &due, TimePoint now)
{
    std::vector<RequestId> found;
    for (const auto &[at, id] : due) {
        if (at > now)
            break;
        found.push_back(id);
    }
    return found;
}

} // namespace

Request &RequestStore::add(Request request)
{
    assert(!m_requests.contains(request.id));
    m_deadlines.emplace(request.deadline, request.id);
    m_latestStarts.emplace(request.latestStart, request.id);
    m_byFingerprint[request.spec.fingerprint].insert(request.id);
    const RequestId id = request.id;
    return m_requests.emplace(id, std::move(request)).first->second;
}

Request *RequestStore::find(RequestId id)
{
    auto it = m_requests.find(id);
    return it == m_requests.end() ? nullptr : &it->second;
}

Request *RequestStore::findByAttempt(AttemptId attempt)
{
    auto it = m_byAttempt.find(attempt);
    return it == m_byAttempt.end() ? nullptr : find(it->second);
}

void RequestStore::setAttempt(Request &request, AttemptId attempt)
{
    m_byAttempt.erase(request.attempt);
    request.attempt = attempt;
    if (attempt.isValid())
        m_byAttempt[attempt] = request.id;
}

void RequestStore::setDeadline(Request &request, TimePoint deadline)
{
    m_deadlines.erase({request.deadline, request.id});
    request.deadline = deadline;
    m_deadlines.emplace(deadline, request.id);
}

void RequestStore::stopWatchingLatestStart(const Request &request)
{
    m_latestStarts.erase({request.latestStart, request.id});
}

void RequestStore::remove(RequestId id)
{
    auto it = m_requests.find(id);
    if (it == m_requests.end())
        return;
    m_deadlines.erase({it->second.deadline, id});
    m_latestStarts.erase({it->second.latestStart, id});
    m_byAttempt.erase(it->second.attempt);
    auto ids = m_byFingerprint.find(it->second.spec.fingerprint);
    ids->second.erase(id);
    if (ids->second.empty())
        m_byFingerprint.erase(ids);
    m_requests.erase(it);
}

std::vector<RequestId> RequestStore::pastDeadline(TimePoint now) const
{
    return dueBy(m_deadlines, now);
}

std::vector<RequestId> RequestStore::pastLatestStart(TimePoint now) const
{
    return dueBy(m_latestStarts, now);
}

std::vector<RequestId> RequestStore::withFingerprint(Fingerprint fingerprint) const
{
    auto ids = m_byFingerprint.find(fingerprint);
    if (ids == m_byFingerprint.end())
        return {};
    return {ids->second.begin(), ids->second.end()};
}

std::vector<RequestId> RequestStore::onUpstream(UpstreamId upstream) const
{
    std::vector<RequestId> found;
    for (const auto &[id, request] : m_requests) {
        if (request.phase != Phase::Running && request.phase != Phase::Reserving)
            continue;
        const bool isMember = std::any_of(
            request.parallelGroup.begin(), request.parallelGroup.end(),
            [&](const ParallelGroupMember &member) { return member.upstream == upstream; });
        const bool isPrimary = request.phase == Phase::Running && request.upstream == upstream;
        if (isPrimary || isMember)
            found.push_back(id);
    }
    std::sort(found.begin(), found.end());
    return found;
}

} // namespace arbutuspier
