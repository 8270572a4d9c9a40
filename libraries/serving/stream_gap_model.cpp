#include "serving/stream_gap_model.hpp"

#include <algorithm>
#include <cmath>

namespace jasminepier::serving
{
namespace
{

// Specified for the engines: the shortest step, the rate at which prompts are read, and the tokens
// of an event. Each step makes one token.
constexpr double step_milliseconds = 7;
constexpr double read_tokens_per_millisecond = 14;
constexpr double tokens_per_event = 4;
// Engines read long prompts in parts. The longest gap at the usual pace is 155 ms (observed; see
// docs/design/server-pace.md), however long the prompt is.
constexpr double maximum_usual_gap_milliseconds = 155;
// Standard deviation of the actual gap, as a fraction: the estimate of the pace is uncertain.
constexpr double relative_gap_deviation = 0.1;
// Expected number of prompts that are read beside a stream of this many tokens on an engine that
// runs few other requests.
constexpr double exposure_tokens = 1500;

} // namespace

double predict_gap(std::int64_t read_tokens) noexcept
{
    auto const gap = tokens_per_event * step_milliseconds +
                     static_cast<double>(read_tokens) / read_tokens_per_millisecond;
    return std::min(gap, maximum_usual_gap_milliseconds);
}

double gap_excess_probability(std::int64_t read_tokens, double pace_percent,
                              base::milliseconds maximum_gap) noexcept
{
    auto const gap = predict_gap(read_tokens) * pace_percent / 100;
    auto const excess = std::log(gap / static_cast<double>(maximum_gap.count()));
    return 0.5 * std::erfc(-excess / (relative_gap_deviation * std::sqrt(2.0)));
}

double expected_late_streams(gap_placement const& placement) noexcept
{
    auto const& [pace, maximum_gap, read_tokens, later_read_tokens, output_tokens, long_streams] =
        placement;
    double late = 0;
    if (long_streams > 0 && read_tokens > 0)
    {
        // Streams beside which a prompt has already been read may be late anyway: only the last one
        // is certainly still in time, the one before it with the probability that the last prompt
        // did no harm, and so on.
        auto const harm = gap_excess_probability(read_tokens, pace, maximum_gap);
        late += 1 - std::pow(1 - harm, long_streams);
    }
    if (output_tokens >= minimum_long_stream_tokens)
        late += gap_excess_probability(later_read_tokens, pace, maximum_gap) *
                (1 - std::exp(-static_cast<double>(output_tokens) / exposure_tokens));
    return late;
}

} // namespace jasminepier::serving
