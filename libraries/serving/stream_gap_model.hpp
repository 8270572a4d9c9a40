/// Predicts which streams of an engine are late because of a new request: those that run there, by
/// the gaps that reading its prompt makes, and the request's own.
#pragma once

#include "base/clock.hpp"
#include "serving/server_pace.hpp"

#include <cstdint>

namespace jasminepier::serving
{

/// A stream for which this many output tokens are expected runs long enough for another prompt to
/// be read beside it. Shorter ones end within the gap that their own prompt has made.
constexpr std::int64_t minimum_long_stream_tokens = 64;

/// A request that may be placed on an engine, and what counts for the promises to callers there.
struct stream_placement
{
    pace_estimate pace;
    /// Longest gap between events that callers accept.
    base::milliseconds maximum_gap{0};
    /// Time from the request to its first event that its caller accepts.
    base::milliseconds latency_objective{0};
    std::int64_t prompt_tokens = 0;
    /// Output tokens that are expected of the request.
    std::int64_t output_tokens = 0;
    /// The request continues a copy, so that its prompt is not read.
    bool continues_copy = false;
    /// Prompt tokens that the engine reads first.
    std::int64_t unread_prompt_tokens = 0;
    /// Long streams that run on the engine.
    int long_streams = 0;
    /// The engine's memory has no room for a short request besides this one.
    bool leaves_no_room = false;
};

/// Returns the probability that reading a prompt of `tokens` tokens makes a gap longer than
/// `maximum_gap`, which must be positive, between two events of a stream beside it.
double gap_excess_probability(std::int64_t tokens, pace_estimate const& pace,
                              base::milliseconds maximum_gap) noexcept;
/// Returns the expected number of streams, including the request's own, that are late because the
/// request is placed on the engine.
double expected_late_streams(stream_placement const& placement) noexcept;

} // namespace jasminepier::serving
