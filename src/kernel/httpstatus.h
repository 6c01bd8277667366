// Classes of HTTP status codes.
#pragma once

namespace arbutuspier {

/// 2xx: the request was received, understood and executed.
constexpr bool isSuccessStatus(int status)
{
    constexpr int kFirstSuccess = 200;
    constexpr int kFirstRedirection = 300;
    return status >= kFirstSuccess && status < kFirstRedirection;
}

/// 5xx: the server failed to execute the request.
constexpr bool isServerErrorStatus(int status)
{
    constexpr int kFirstServerError = 500;
    return status >= kFirstServerError;
}

} // namespace arbutuspier
