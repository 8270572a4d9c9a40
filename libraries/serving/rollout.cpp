#include "serving/rollout.hpp"

#include <algorithm>

namespace jasminepier::serving
{
namespace
{

using base::milliseconds;

// Time for the write of the end before the deadline.
constexpr double write_margin_fraction = 0.1;
constexpr milliseconds maximum_write_margin{6000};
// Drain and retire together. Plain requests end within seconds.
constexpr double engine_tail_fraction = 0.2;
constexpr milliseconds maximum_engine_tail{16000};
constexpr double plain_tail_fraction = 0.08;
constexpr milliseconds maximum_plain_tail{4000};
constexpr milliseconds minimum_tail{2000};
// No tail and no write margin takes more of a short duration than this.
constexpr double maximum_tail_fraction = 0.4;
constexpr double drain_fraction_of_tail = 0.6;
constexpr double ramp_fraction = 0.15;
constexpr milliseconds maximum_ramp{20000};
// The canary's part of the permitted share.
constexpr double canary_fraction = 0.5;
// Shares of the ramp, in equal parts of its time.
constexpr double ramp_shares[] = {0.15, 0.3, 0.6};
// Time in which the nodes notice a version that turns bad under full traffic and stop sending: a
// failure counts after half a second, and sums over zones are up to 1.5 s old.
constexpr double reaction_seconds = 3;
// Requests on the way and counts of lost reports.
constexpr double budget_fraction = 0.9;

milliseconds scale(milliseconds duration, double fraction)
{
    return milliseconds(
        static_cast<std::int64_t>(fraction * static_cast<double>(duration.count())));
}

} // namespace

std::string_view to_string(rollout_stage stage) noexcept
{
    constexpr std::string_view names[] = {"waiting", "canary",    "ramp",       "drain",
                                          "retire",  "completed", "rolled_back"};
    return names[static_cast<std::size_t>(stage)];
}

std::string_view to_string(rollout_state state) noexcept
{
    constexpr std::string_view names[] = {"in_progress", "completed", "rolled_back"};
    return names[static_cast<std::size_t>(state)];
}

rollout_schedule make_rollout_schedule(milliseconds duration, bool has_engines)
{
    auto const tail = std::min(
        std::clamp(scale(duration, has_engines ? engine_tail_fraction : plain_tail_fraction),
                   minimum_tail, has_engines ? maximum_engine_tail : maximum_plain_tail),
        scale(duration, maximum_tail_fraction));
    rollout_schedule schedule;
    schedule.retire_end =
        duration - std::min(scale(duration, write_margin_fraction), maximum_write_margin);
    schedule.ramp_end = schedule.retire_end - tail;
    schedule.drain_end = schedule.ramp_end + scale(tail, drain_fraction_of_tail);
    schedule.canary_end =
        schedule.ramp_end - std::min(scale(duration, ramp_fraction), maximum_ramp);
    return schedule;
}

rollout_stage find_rollout_stage(rollout_schedule const& schedule, milliseconds age) noexcept
{
    if (age < schedule.canary_end)
        return rollout_stage::canary;
    if (age < schedule.ramp_end)
        return rollout_stage::ramp;
    return age < schedule.drain_end ? rollout_stage::drain : rollout_stage::retire;
}

double find_maximum_share(rollout_limits const& limits, exposure_view const& view) noexcept
{
    auto const canary_share = canary_fraction * limits.maximum_share;
    switch (view.stage)
    {
    case rollout_stage::waiting:
    case rollout_stage::rolled_back:
        return 0;
    case rollout_stage::drain:
    case rollout_stage::retire:
    case rollout_stage::completed:
        return 1;
    case rollout_stage::canary:
        return canary_share;
    case rollout_stage::ramp:
        break;
    }
    if (!view.all_routes_seen)
        return canary_share;
    constexpr auto step_count = static_cast<std::int64_t>(std::size(ramp_shares));
    auto const ramp_duration =
        std::max((view.schedule.ramp_end - view.schedule.canary_end).count(), std::int64_t{1});
    auto const step =
        std::clamp((view.age - view.schedule.canary_end).count() * step_count / ramp_duration,
                   std::int64_t{0}, step_count - 1);
    auto const age_seconds = std::max(std::chrono::duration<double>(view.age).count(), 1.0);
    auto const duration_seconds = std::chrono::duration<double>(view.duration).count();
    auto const requests_per_second = view.all_requests / age_seconds;
    auto const permitted =
        budget_fraction *
        (limits.maximum_share * requests_per_second * duration_seconds + limits.tolerated_requests);
    // Reserved for the drain, in which the version gets every request.
    auto const left = permitted - reaction_seconds * requests_per_second - view.target_requests;
    auto const remaining_seconds =
        std::max(std::chrono::duration<double>(view.schedule.ramp_end - view.age).count(), 1.0);
    auto const affordable =
        left / std::max(requests_per_second * std::min(remaining_seconds, reaction_seconds), 1.0);
    return std::clamp(affordable, std::min(canary_share, ramp_shares[step]), ramp_shares[step]);
}

} // namespace jasminepier::serving
