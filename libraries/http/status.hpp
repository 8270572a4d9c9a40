/// What the status of a response says about the execution of its request.
#pragma once

namespace jasminepier::http
{

/// Returns true if a response with this status promises that the request has not run and never
/// will. The response of a server that may have run the request must not be forwarded with such a
/// status.
constexpr bool promises_no_execution(int status) noexcept
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace jasminepier::http
