// All requests in this node's care, found by id, by attempt and by what is due.
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
    /// The request whose open attempt this is; late attempts find nothing.
    Request *byAttempt(AttemptId attempt);
    /// Replaces the request's attempt.
    void setAttempt(Request &request, AttemptId attempt);
    void setDeadline(Request &request, TimePoint deadline);
    void remove(RequestId id);

    std::vector<RequestId> pastDeadline(TimePoint now) const;
    /// Queued requests whose latest start is past.
    std::vector<RequestId> doomed(TimePoint now) const;
    /// Takes a request off the list that `doomed` looks through.
    void noteStarted(const Request &request);

    /// Requests with an open attempt on an upstream, or whose gang includes it.
    std::vector<RequestId> onUpstream(UpstreamId upstream) const;

    /// Requests with this body.
    std::vector<RequestId> withFingerprint(Fingerprint fingerprint) const;

    std::size_t size() const { return m_requests.size(); }
    const std::unordered_map<RequestId, Request> &all() const { return m_requests; }

private:
    using Due = std::set<std::pair<TimePoint, RequestId>>;

    std::unordered_map<RequestId, Request> m_requests;
    std::unordered_map<AttemptId, RequestId> m_byAttempt;
    /// Invariant: the ids of all requests with the body; never an empty set.
    std::unordered_map<Fingerprint, std::set<RequestId>> m_byBody;
    /// Invariant: one entry for each request.
    Due m_deadlines;
    Due m_latestStarts;
};

} // namespace arbutuspier
