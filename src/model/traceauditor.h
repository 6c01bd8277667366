// Checks a trace against the eight promises and the bound on upstreams lost to one body.
#pragma once

#include "model/trace.h"

#include <string>
#include <vector>

namespace arbutuspier::model {

/// The promises, in the order of the brief, and what else is checked.
enum class Guarantee {
    InTime,
    NoMemoryLost,
    WholeOwnAnswer,
    NotRunIsTrue,
    AtMostOnce,
    LeavingGetsNothing,
    GracefulShutdown,
    EditsHold,
    FewUpstreamsLost,
};

std::string_view guaranteeName(Guarantee promise);

struct Violation
{
    Guarantee promise = Guarantee::InTime;
    std::string what;
};

struct AuditBounds
{
    /// An answer may be this late: one tick and the way to the caller.
    Duration answerSlack = std::chrono::milliseconds{100};
    /// After this an upstream that is leaving gets nothing new.
    Duration leaving = std::chrono::seconds{3};
    /// After this an accepted edit is in force on each VM that can be reached.
    Duration edit = std::chrono::seconds{14};
    std::size_t upstreamsPerBody = 2;
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
