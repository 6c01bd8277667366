// What the gateway tells a caller about a request that ended: whether it may have run, and why it
// failed.
#pragma once

#include <string_view>

namespace arbutuspier {

/// Whether a request may have run on an upstream.
///
/// `NotRun` is guaranteed: no byte of the request reached an upstream, or the upstream itself
/// refused it.
enum class Verdict { NotRun, MayHaveRun, Ran };

constexpr std::string_view verdictName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Ran:
        return "ran";
    }
    return "may-have-run";
}

/// Why a request ended without a complete response.
enum class Reason {
    None,
    BadRequest,
    UnknownTeam,
    CannotMeetDeadline,
    DeadlinePassed,
    QueueFull,
    OverLimit,
    Draining,
    NoUpstream,
    TooLarge,
    StoreUnavailable,
    KeyReused,
    KeyExpired,
    KeyOutcomeUnknown,
    Quarantined,
    UpstreamRefused,
    UpstreamLost,
    CallerDisconnected,
};

constexpr std::string_view reasonName(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return "none";
    case Reason::BadRequest:
        return "bad-request";
    case Reason::UnknownTeam:
        return "unknown-team";
    case Reason::CannotMeetDeadline:
        return "cannot-meet-deadline";
    case Reason::DeadlinePassed:
        return "deadline-passed";
    case Reason::QueueFull:
        return "queue-full";
    case Reason::OverLimit:
        return "over-limit";
    case Reason::Draining:
        return "draining";
    case Reason::NoUpstream:
        return "no-upstream";
    case Reason::TooLarge:
        return "too-large";
    case Reason::StoreUnavailable:
        return "store-unavailable";
    case Reason::KeyReused:
        return "key-reused";
    case Reason::KeyExpired:
        return "key-expired";
    case Reason::KeyOutcomeUnknown:
        return "key-outcome-unknown";
    case Reason::Quarantined:
        return "quarantined";
    case Reason::UpstreamRefused:
        return "upstream-refused";
    case Reason::UpstreamLost:
        return "upstream-lost";
    case Reason::CallerDisconnected:
        return "caller-gone";
    }
    return "none";
}

} // namespace arbutuspier
