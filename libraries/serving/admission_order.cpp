#include "serving/admission_order.hpp"

#include <algorithm>

namespace jasminepier::serving
{
namespace
{

// Part of the caller's timeout for which a request may wait although its response will be late.
// Longer waits cost the caller more than they gain when there is no room in the end.
constexpr int late_wait_divisor = 4;
// Retry-After without an estimate: about one generation of a short response.
constexpr base::milliseconds usual_retry_delay{400};
constexpr base::milliseconds minimum_retry_delay{100};
// Callers come back after a part of their timeout, so that there is time for the response.
constexpr int retry_delay_divisor = 3;

} // namespace

base::time_point latest_start(admission_request const& request,
                              base::milliseconds expected_response) noexcept
{
    return request.objective_end - expected_response;
}

admission_rank rank_request(admission_request const& request, base::milliseconds expected_response,
                            bool underserved, base::time_point now) noexcept
{
    if (underserved)
        return underserved_rank;
    auto const last_start = latest_start(request, expected_response);
    auto const half_time = request.arrival + (last_start - request.arrival) / 2;
    auto const current_stage = now >= last_start  ? stage_late
                               : now >= half_time ? stage_due
                                                  : stage_early;
    return underserved_rank + 1 + priority_position(request) * stage_count + current_stage;
}

base::time_point find_wait_end(admission_request const& request,
                               base::milliseconds expected_response) noexcept
{
    auto const late_wait_end =
        request.arrival + (request.deadline - request.arrival) / late_wait_divisor;
    return std::min<base::time_point>(
        std::max(latest_start(request, expected_response), late_wait_end),
        request.deadline - expected_response);
}

std::optional<base::milliseconds>
estimate_wait(std::int64_t ahead, std::int64_t running,
              std::optional<base::milliseconds> mean_duration) noexcept
{
    if (!mean_duration || running <= 0)
        return std::nullopt;
    return *mean_duration * (ahead + 1) / running;
}

base::milliseconds find_retry_delay(admission_request const& request,
                                    std::optional<base::milliseconds> expected_wait,
                                    base::time_point now) noexcept
{
    auto const time_left = std::chrono::duration_cast<base::milliseconds>(request.deadline - now);
    auto const longest = std::max(time_left / retry_delay_divisor, minimum_retry_delay);
    return std::clamp(expected_wait.value_or(usual_retry_delay), minimum_retry_delay, longest);
}

} // namespace jasminepier::serving
