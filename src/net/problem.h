// Errors towards callers: HTTP status and problem+json with the verdict.
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
    /// A sentence for the person who reads it; empty for the usual one.
    std::string detail;
    Duration retryAfter{};
};

/// The HTTP status of a reason.
int httpStatus(Reason reason);
/// The problem+json body.
std::string problemJson(const Problem &problem);
/// Whole seconds for `Retry-After`, rounded up; zero if asking again does not help.
long retryAfterSeconds(const Problem &problem);

} // namespace arbutuspier
