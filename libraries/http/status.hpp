/// Which statuses a response can have, and what they say about the execution of its request.
#pragma once

#include <cstdint>

namespace jasminepier::http
{

/// Returns true if this status can be that of a response that ends an exchange. RFC 9110, section
/// 15: "All valid status codes are within the range of 100 to 599, inclusive." Those below 200
/// announce another response.
constexpr bool is_final_status(std::int64_t status) noexcept
{
    return status >= 200 && status <= 599;
}

/// Returns true if a response with this status promises that the request has not run and never
/// will. The response of a server that may have run the request must not be forwarded with such a
/// status.
constexpr bool promises_no_execution(int status) noexcept
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace jasminepier::http
