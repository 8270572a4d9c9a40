#include "serving/stream_gap_model.hpp"

#include <algorithm>
#include <cmath>

namespace jasminepier::serving
{
namespace
{

constexpr double percent = 100;
// Specified for the engines: the shortest step, which makes one token, the rate at which a step
// reads prompts, and the tokens of an event.
constexpr double step_milliseconds = 7;
constexpr double read_tokens_per_millisecond = 14;
constexpr double tokens_per_event = 4;
// A step reads a part of a prompt. Derived from observed first events, which arrive after a time
// that corresponds to 7.5 prompt tokens a millisecond at the usual pace.
constexpr double tokens_per_part = 112;
constexpr double reading_step_milliseconds =
    step_milliseconds + tokens_per_part / read_tokens_per_millisecond;
// Gap between two events at the usual pace while prompts are read. Observed gaps are longer than
// the specified shortest steps by this factor.
constexpr double observed_step_factor = 1.03;
constexpr double reading_gap_milliseconds =
    observed_step_factor * tokens_per_event * reading_step_milliseconds;
// In a spell, work on a VM takes longer by this factor than its pace otherwise tells (observed).
constexpr double spell_factor = 2.5;
// A stream beside which prompts are read is hit by a spell once in this time (observed: 8% of the
// stated paces are made in a spell, which lasts a fraction of a second).
constexpr double milliseconds_between_spells = 3000;
// Standard deviation of the logarithm of the gap: the estimate of the pace is uncertain.
constexpr double gap_deviation = 0.07;
// The same where the pace is unknown: servers differ from the usual pace by up to a factor of 2.
constexpr double unknown_pace_deviation = 0.3;
// The same for the time to the first event, from the observed p90, which is 1.8 times the median.
constexpr double first_event_deviation = 0.45;
// While a stream makes this many output tokens, one prompt is expected to be read beside it: on
// slow servers a fourth of the streams of 750 tokens were late.
constexpr double tokens_per_neighbour = 400;
// Streams that are expected to be late because short requests find no room on the server: until one
// of its streams has ended, about one of them goes to another server and is read beside streams
// there.
constexpr double last_room_cost = 0.15;

/// Returns the probability that a value with this logarithm of its ratio to the limit is above it.
double excess_probability(double log_ratio, double deviation) noexcept
{
    return 0.5 * std::erfc(-log_ratio / (deviation * std::sqrt(2.0)));
}

double reading_milliseconds(std::int64_t tokens, double pace_percent) noexcept
{
    return static_cast<double>(tokens) / tokens_per_part * reading_step_milliseconds *
           pace_percent / percent;
}

} // namespace

double gap_excess_probability(std::int64_t tokens, pace_estimate const& pace,
                              base::milliseconds maximum_gap) noexcept
{
    auto const deviation =
        gap_deviation + (1 - pace.certainty) * (unknown_pace_deviation - gap_deviation);
    auto const log_ratio = std::log(reading_gap_milliseconds * pace.percent / percent /
                                    static_cast<double>(maximum_gap.count()));
    auto const always = excess_probability(log_ratio, deviation);
    auto const in_spell = excess_probability(log_ratio + std::log(spell_factor), deviation);
    auto const spell =
        1 - std::exp(-reading_milliseconds(tokens, pace.percent) / milliseconds_between_spells);
    return always + (1 - always) * in_spell * spell;
}

double expected_late_streams(stream_placement const& placement) noexcept
{
    bool const is_long = placement.output_tokens >= minimum_long_stream_tokens;
    bool const gaps_count = placement.maximum_gap.count() > 0 &&
                            (is_long || (placement.long_streams > 0 && !placement.continues_copy));
    auto const harm = gaps_count ? gap_excess_probability(placement.prompt_tokens, placement.pace,
                                                          placement.maximum_gap)
                                 : 0;
    double late = 0;
    // Streams beside which prompts were read may be late already: the last one is still in time,
    // the one before it with the probability that the last prompt did no harm, and so on.
    if (!placement.continues_copy)
        late += 1 - std::pow(1 - harm, placement.long_streams);
    // Later prompts are expected to be like this one.
    if (is_long)
        late += 1 - std::pow(1 - harm,
                             static_cast<double>(placement.output_tokens) / tokens_per_neighbour);
    // The room that is left keeps short requests away from servers where they would do harm.
    if (is_long && placement.leaves_no_room)
        late += last_room_cost;
    if (!placement.continues_copy && placement.latency_objective.count() > 0)
    {
        auto const tokens = placement.unread_prompt_tokens + placement.prompt_tokens;
        auto const first_event =
            reading_milliseconds(std::max<std::int64_t>(tokens, 1), placement.pace.percent);
        late += excess_probability(
            std::log(first_event / static_cast<double>(placement.latency_objective.count())),
            first_event_deviation);
    }
    return late;
}

} // namespace jasminepier::serving
