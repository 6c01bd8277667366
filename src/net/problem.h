// Error responses to callers: HTTP status, and a problem+json body with the verdict.
#pragma once

#include "arbutuspier/clock.h"
#include "arbutuspier/verdict.h"

#include <string>
#include <string_view>

namespace arbutuspier {

inline constexpr std::string_view kVerdictHeader = "X-Arbutuspier-Verdict";

struct Problem
{
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::BadRequest;
    /// A sentence for people; if empty, the default text of the reason is sent.
    std::string detail;
    Duration retryAfter{};
};

/// The HTTP status sent for a reason.
int httpStatus(Reason reason);
/// The problem+json body.
std::string problemJson(const Problem &problem);
/// Value of the `Retry-After` header: seconds, rounded up. Zero if a retry does not help; there is
/// no header then.
long retryAfterSeconds(const Problem &problem);

} // namespace arbutuspier
