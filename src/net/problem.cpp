// One sentence for each reason.
#include "net/problem.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace arbutuspier {

namespace {

std::string_view sentence(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return "The call ran before; its answer was too large to be kept.";
    case Reason::BadRequest:
        return "The request is not understood.";
    case Reason::UnknownTeam:
        return "The API key belongs to no team.";
    case Reason::CannotMeetDeadline:
        return "The request could not be answered in time at the present load.";
    case Reason::DeadlinePassed:
        return "The request's time ran out.";
    case Reason::QueueFull:
        return "Too many requests are waiting.";
    case Reason::OverLimit:
        return "The team is at its limit.";
    case Reason::Draining:
        return "This VM is being taken out of service.";
    case Reason::NoUpstream:
        return "No upstream for this model or service can be used.";
    case Reason::TooLarge:
        return "The prompt is larger than the engines of any availability zone together.";
    case Reason::StoreUnavailable:
        return "The at-most-once record cannot be written now; the call was not sent.";
    case Reason::KeyReused:
        return "The idempotency key was used with another body.";
    case Reason::KeyExpired:
        return "The idempotency key is too old or from the future.";
    case Reason::KeyOutcomeUnknown:
        return "A call with this key was sent and its outcome is not known.";
    case Reason::Quarantined:
        return "Upstreams failed while they ran this request.";
    case Reason::UpstreamRefused:
        return "The upstream refused the request.";
    case Reason::UpstreamLost:
        return "The upstream was lost before the answer was whole.";
    case Reason::CallerGone:
        return "The caller is gone.";
    }
    return "";
}

} // namespace

int httpStatus(Reason reason)
{
    switch (reason) {
    case Reason::BadRequest:
    case Reason::KeyExpired:
        return 400;
    case Reason::UnknownTeam:
        return 401;
    case Reason::KeyOutcomeUnknown:
        return 409;
    case Reason::TooLarge:
        return 413;
    case Reason::KeyReused:
    case Reason::Quarantined:
        return 422;
    case Reason::QueueFull:
    case Reason::OverLimit:
        return 429;
    case Reason::UpstreamRefused:
    case Reason::UpstreamLost:
        return 502;
    case Reason::CannotMeetDeadline:
    case Reason::Draining:
    case Reason::NoUpstream:
    case Reason::StoreUnavailable:
        return 503;
    case Reason::DeadlinePassed:
        return 504;
    case Reason::None:
    case Reason::CallerGone:
        return 200;
    }
    return 500;
}

std::string problemJson(const Problem &problem)
{
    nlohmann::json json;
    json["type"] = "urn:arbutuspier:" + std::string(reasonName(problem.reason));
    json["title"] = reasonName(problem.reason);
    json["status"] = httpStatus(problem.reason);
    json["verdict"] = verdictName(problem.verdict);
    json["detail"] =
        problem.detail.empty() ? std::string(sentence(problem.reason)) : problem.detail;
    if (const long seconds = retryAfterSeconds(problem); seconds > 0)
        json["retry_after"] = seconds;
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

long retryAfterSeconds(const Problem &problem)
{
    return static_cast<long>(std::ceil(toSeconds(problem.retryAfter)));
}

} // namespace arbutuspier
