/// Predicts the gaps between the events of a stream on an engine that reads prompts beside it.
#pragma once

#include "base/clock.hpp"

#include <cstdint>

namespace jasminepier::serving
{

/// A stream for which this many output tokens are expected runs long enough for another prompt to
/// be read beside it. Shorter ones end within the gap that their own prompt has made.
constexpr std::int64_t minimum_long_stream_tokens = 64;

/// What a placement means for the gaps of the streams on one server.
struct gap_placement
{
    /// Estimated pace of the server in percent.
    double pace_percent = 100;
    /// Longest gap that the service's callers accept.
    base::milliseconds maximum_gap{0};
    /// Tokens of the prompt that the server will read for the request; 0 if it continues a copy.
    std::int64_t read_tokens = 0;
    /// Tokens of the prompts that are expected to be read there later.
    std::int64_t later_read_tokens = 0;
    /// Output tokens that are expected of the request.
    std::int64_t output_tokens = 0;
    /// Long streams that run on the server.
    int long_streams = 0;
};

/// Returns the gap between two events on an engine at its usual pace while it reads a prompt of
/// `read_tokens` tokens, in milliseconds.
double predict_gap(std::int64_t read_tokens) noexcept;
/// Returns the probability that the gap is longer than `maximum_gap`, which must be positive.
double gap_excess_probability(std::int64_t read_tokens, double pace_percent,
                              base::milliseconds maximum_gap) noexcept;
/// Returns the expected number of streams, including the request's own, that get a longer gap than
/// their callers accept because the request is placed on the server.
double expected_late_streams(gap_placement const& placement) noexcept;

} // namespace jasminepier::serving
