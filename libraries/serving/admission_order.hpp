/// The order in which requests get room at a service's servers while there is too little of it.
/// Every node computes it in the same way from the request and the configuration.
#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace jasminepier::serving
{

/// What the order considers of a request.
struct admission_request
{
    /// The customer's priority, or the route's if the customer has none; 0 is the most urgent.
    int priority = 0;
    /// The route's priority, which orders requests of equal `priority`.
    int route_priority = 0;
    /// Engine memory that the request needs; 0 for plain work, which needs only a place.
    std::int64_t tokens = 0;
    base::time_point arrival{};
    /// When the response, or the first event of a stream, is due.
    base::time_point objective_end{};
    /// When the caller gives up.
    base::time_point deadline{};
};

/// Position in the order; a smaller rank is admitted first.
using admission_rank = std::int32_t;

/// Rank of requests of a kind that has been served much less often than the others.
constexpr admission_rank underserved_rank = 0;
/// Priorities beyond this one share its ranks.
constexpr int maximum_ranked_priority = 9;

/// Position of both priorities in the order.
constexpr int priority_position(admission_request const& request) noexcept
{
    constexpr int positions = maximum_ranked_priority + 1;
    return std::clamp(request.priority, 0, maximum_ranked_priority) * positions +
           std::clamp(request.route_priority, 0, maximum_ranked_priority);
}

/// Stages of waiting within equal priorities, in the order of admission.
enum admission_stage
{
    stage_due,
    stage_early,
    stage_late,
    stage_count,
};

/// Returns the part of a rank that doesn't change while a request waits.
constexpr int rank_without_stage(admission_rank rank) noexcept
{
    return (rank - underserved_rank - 1 + stage_count) / stage_count;
}

/// Requests that wait, and what they need.
struct waiting_demand
{
    std::int64_t requests = 0;
    std::int64_t tokens = 0;

    waiting_demand& operator+=(waiting_demand const& other) noexcept
    {
        requests += other.requests;
        tokens += other.tokens;
        return *this;
    }
    friend bool operator==(waiting_demand const&, waiting_demand const&) = default;
};

/// Returns the latest time at which a server may begin the request so that its response is not
/// late. `expected_response` is the usual time from there to the response or its first event.
base::time_point latest_start(admission_request const& request,
                              base::milliseconds expected_response) noexcept;

/// Returns the rank of a request that waits at `now`. Priority goes first. Within equal ones, a
/// request that has waited for more than half of the time that it can wait goes before others, and
/// one that will be late goes last.
admission_rank rank_request(admission_request const& request, base::milliseconds expected_response,
                            bool underserved, base::time_point now) noexcept;

/// Returns how long the request waits for room: as long as the response can be in time, and at
/// least for a part of the caller's timeout, since a late response is better than none. The result
/// lies in the past for a request that can't end before its deadline.
base::time_point find_wait_end(admission_request const& request,
                               base::milliseconds expected_response) noexcept;

/// Returns whether a request may be sent although requests of better rank wait: `places` requests
/// of their mean size fit beside the running ones, and this one takes only what they leave.
inline bool leaves_room(std::int64_t places, std::int64_t needed_tokens,
                        waiting_demand const& better) noexcept
{
    if (better.requests == 0)
        return true;
    auto const mean_tokens = std::max<std::int64_t>(better.tokens / better.requests, 1);
    auto const own_places =
        std::max<std::int64_t>((needed_tokens + mean_tokens - 1) / mean_tokens, 1);
    return places >= better.requests + own_places;
}

/// Returns when a place is expected for a request behind `ahead` others, while `running` requests
/// hold a place for `mean_duration` each; nothing if there is no observation.
std::optional<base::milliseconds>
estimate_wait(std::int64_t ahead, std::int64_t running,
              std::optional<base::milliseconds> mean_duration) noexcept;

/// Returns when a rejected caller may come back: when room is expected for its rank, but early
/// enough to be answered.
base::milliseconds find_retry_delay(admission_request const& request,
                                    std::optional<base::milliseconds> expected_wait,
                                    base::time_point now) noexcept;

} // namespace jasminepier::serving
