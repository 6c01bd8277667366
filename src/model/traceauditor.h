// Checks a trace against the eight guarantees of the system and against the bound on crashes caused
// by one request.
#pragma once

#include "model/trace.h"

#include <string>
#include <vector>

namespace arbutuspier::model {

/// The eight guarantees, followed by the bound on crashes.
enum class Guarantee {
    /// Every request gets exactly one response, within its time limit.
    InTime,
    /// No engine memory stays in use after all requests have ended.
    NoMemoryLost,
    /// A response consists of all chunks of its own request, in order.
    CompleteOwnResponse,
    /// A request with the verdict "not run" was never started by an upstream.
    NotRunIsTrue,
    /// A call with an idempotency key runs at most once, and no stale order is executed.
    AtMostOnce,
    /// A draining upstream gets no new requests.
    DrainingUpstreamGetsNoRequests,
    /// A draining VM completes the requests in flight before it exits.
    GracefulShutdown,
    /// A confirmed edit reaches every VM that is connected, and no VM reverts to an older version.
    ConfirmedEditsApply,
    /// One request crashes only a few upstreams.
    FewUpstreamsLost,
};

/// The name of a guarantee in reports; KNOWN-RED.txt and tests match it.
std::string_view guaranteeName(Guarantee guarantee);

struct Violation
{
    Guarantee guarantee = Guarantee::InTime;
    std::string description;
};

struct AuditBounds
{
    /// How late a response may be: one tick of the node and the network delay to the caller.
    Duration responseSlack = std::chrono::milliseconds{100};
    /// Time after which a draining upstream must get no new requests.
    Duration drainGrace = std::chrono::seconds{3};
    /// Time after which a confirmed edit must be active on each VM that can reach the platform.
    Duration editPropagation = std::chrono::seconds{14};
    /// Upstreams that requests with one fingerprint may crash.
    std::size_t maxCrashesPerFingerprint = 2;
};

class TraceAuditor
{
public:
    explicit TraceAuditor(AuditBounds bounds = {})
        : m_bounds(bounds)
    {
    }

    std::vector<Violation> audit(const Trace &trace) const;

private:
    AuditBounds m_bounds;
};

} // namespace arbutuspier::model
