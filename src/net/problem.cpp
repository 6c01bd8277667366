// Default texts and HTTP statuses of the reasons for which a request has no normal response.
#include "net/problem.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace arbutuspier {

namespace {

std::string_view defaultDetail(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return "The call already ran; its response was too large to be stored.";
    case Reason::BadRequest:
        return "The request is invalid.";
    case Reason::UnknownTeam:
        return "The API key is missing or belongs to no team.";
    case Reason::CannotMeetDeadline:
        return "The request could not be completed by its deadline at the current load.";
    case Reason::DeadlinePassed:
        return "The request's deadline passed before its response was complete.";
    case Reason::QueueFull:
        return "Too many requests are waiting.";
    case Reason::OverLimit:
        return "The team has reached its limit.";
    case Reason::Draining:
        return "This VM is being taken out of service.";
    case Reason::NoUpstream:
        return "No upstream for this model or service is usable.";
    case Reason::TooLarge:
        return "The prompt needs more memory than all engines of any one availability zone have.";
    case Reason::StoreUnavailable:
        return "The idempotency record can't be written now; the call was not sent.";
    case Reason::KeyReused:
        return "The idempotency key was already used for a different call.";
    case Reason::KeyExpired:
        return "The issue time in the idempotency key is too old or in the future.";
    case Reason::KeyOutcomeUnknown:
        return "A call with this idempotency key was already sent and its outcome is not known.";
    case Reason::Quarantined:
        return "The request is quarantined because upstreams crashed while they ran it.";
    case Reason::UpstreamRefused:
        return "The upstream refused the request.";
    case Reason::UpstreamLost:
        return "The upstream failed before the response was complete.";
    case Reason::CallerDisconnected:
        return "The caller closed its connection.";
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
    case Reason::CallerDisconnected:
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
        problem.detail.empty() ? std::string(defaultDetail(problem.reason)) : problem.detail;
    if (const long seconds = retryAfterSeconds(problem); seconds > 0)
        json["retry_after"] = seconds;
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

long retryAfterSeconds(const Problem &problem)
{
    return static_cast<long>(std::ceil(toSeconds(problem.retryAfter)));
}

} // namespace arbutuspier
