#include "decision/trial_schedule.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <bit>

namespace jasminepier::decision
{

std::chrono::seconds next_trial_delay(std::span<base::time_point const> crash_times,
                                      std::size_t rejected_from) noexcept
{
    auto delay = first_trial_delay;
    for (auto i = std::max<std::size_t>(rejected_from, 1); i < crash_times.size(); ++i)
        if (crash_times[i] - crash_times[i - 1] >= failed_trial_distance)
            delay = std::min(delay * 2, maximum_trial_delay);
    return delay;
}

bool has_trial_turn(base::milliseconds overdue, fleet_position position) noexcept
{
    if (overdue.count() < 0)
        return false;
    // Processes that disagree by a few on the size of the fleet still agree on the turns.
    auto const turns = std::bit_ceil(std::max<std::size_t>(position.size, 1));
    auto const turn = static_cast<std::size_t>(overdue / trial_turn) % turns;
    return turn == position.rank && overdue % trial_turn < trial_turn_opening;
}

fleet_position find_trial_position(std::uint64_t part, std::string_view self,
                                   std::span<std::string const> names)
{
    auto const key = std::to_string(part);
    auto const weight = base::rendezvous_weight(key, self);
    fleet_position position{0, 1};
    for (auto const& name : names)
    {
        if (name == self)
            continue;
        ++position.size;
        position.rank += base::rendezvous_weight(key, name) > weight ? 1 : 0;
    }
    return position;
}

fleet_position combine_positions(fleet_position zone, fleet_position in_zone,
                                 std::size_t largest_zone) noexcept
{
    return {in_zone.rank * zone.size + zone.rank, zone.size * std::max(largest_zone, in_zone.size)};
}

} // namespace jasminepier::decision
