// All unfinished requests of this node, indexed by id, attempt, fingerprint, deadline
// and latest start.
#pragma once

#include "node/request.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace arbutuspier {

class RequestStore
{
public:
    /// The id must be new.
    Request &add(Request request);
    Request *find(RequestId id);
    /// Returns the request with this open attempt; null if the attempt has ended.
    Request *findByAttempt(AttemptId attempt);
    /// Replaces the request's attempt; an invalid id only removes the old one.
    void setAttempt(Request &request, AttemptId attempt);
    void setDeadline(Request &request, TimePoint deadline);
    void remove(RequestId id);

    std::vector<RequestId> pastDeadline(TimePoint now) const;
    /// Requests that can no longer start in time, as `Request::latestStart` has passed; without
    /// those given to `stopWatchingLatestStart`.
    std::vector<RequestId> pastLatestStart(TimePoint now) const;
    /// Removes a request from those that `pastLatestStart` can return.
    void stopWatchingLatestStart(const Request &request);

    /// Requests with an open attempt on the upstream, or whose parallel group includes it.
    std::vector<RequestId> onUpstream(UpstreamId upstream) const;

    /// Requests with this fingerprint.
    std::vector<RequestId> withFingerprint(Fingerprint fingerprint) const;

    std::size_t size() const { return m_requests.size(); }
    const std::unordered_map<RequestId, Request> &all() const { return m_requests; }

private:
    using RequestsByTime = std::set<std::pair<TimePoint, RequestId>>;

    std::unordered_map<RequestId, Request> m_requests;
    std::unordered_map<AttemptId, RequestId> m_byAttempt;
    /// Invariant: each set holds the ids of all requests with the fingerprint and is never empty.
    std::unordered_map<Fingerprint, std::set<RequestId>> m_byFingerprint;
    /// Invariant: one entry for each request.
    RequestsByTime m_deadlines;
    /// Invariant: one entry for each request not yet given to `stopWatchingLatestStart`.
    RequestsByTime m_latestStarts;
};

} // namespace arbutuspier
