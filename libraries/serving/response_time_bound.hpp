/// Upper bound of the time that a response takes.
#pragma once

#include "serving/fleet_configuration.hpp"
#include "serving/request_metadata.hpp"

#include <algorithm>

namespace jasminepier::serving
{

/// Returns the time by which the response to a request that starts now has ended, unless its server
/// is late: the deadline, or for a stream the time that its route's objectives allow for the
/// maximum number of output tokens, if the caller has stated one. The caller's estimate of the
/// length is not a bound, and neither is the usual pace of the engines.
inline base::time_point response_time_bound(route const& matched_route,
                                            request_metadata const& metadata, base::time_point now,
                                            base::time_point deadline)
{
    // Longer than at a full engine.
    constexpr std::int64_t prompt_tokens_per_millisecond = 4;
    constexpr base::milliseconds full_engine_time_per_token{50};
    if (!matched_route.streaming || metadata.maximum_output_tokens <= 0 ||
        matched_route.maximum_event_gap.count() <= 0)
        return deadline;
    // More tokens than this exceed every deadline.
    constexpr std::int64_t token_limit = 1'000'000;
    auto const output_tokens = std::min(metadata.maximum_output_tokens, token_limit);
    auto const prompt_tokens = std::min(metadata.prompt_tokens, token_limit);
    // An event may hold a single token.
    auto const time_per_token =
        std::max(matched_route.maximum_event_gap, full_engine_time_per_token);
    // A request may wait for a free slot and at its engine up to the latency objective.
    auto const duration = matched_route.latency_objective +
                          base::milliseconds(prompt_tokens / prompt_tokens_per_millisecond) +
                          time_per_token * output_tokens;
    return std::min<base::time_point>(deadline, now + duration);
}

} // namespace jasminepier::serving
