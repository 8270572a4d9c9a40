/// When a rejected prompt part is tried again, and by which process of the fleet.
#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace jasminepier::decision
{

/// Place of a process among the live ones of its fleet, in rendezvous order of some key.
struct fleet_position
{
    std::size_t rank = 0;
    std::size_t size = 1;
};

/// Time between the last crash and the first trial. Requests that were running during the crash
/// have ended by then.
inline constexpr std::chrono::seconds first_trial_delay{60};
/// The delay doubles with each failed trial up to this time. Short enough that a part that keeps
/// crashing servers has more crashes within an hour than the thresholds for a rejection.
inline constexpr std::chrono::seconds maximum_trial_delay{480};
/// A crash this long after the one before it is that of a trial.
inline constexpr std::chrono::seconds failed_trial_distance{30};
/// The processes take turns of this length in the order of their rank, so that the process that
/// receives a request with the part need not be known beforehand.
inline constexpr base::milliseconds trial_turn{5000};
/// Part of its turn in which a process begins a trial. The rest is for the announcement to reach
/// the next process, and for views of the time and of the fleet that differ.
inline constexpr base::milliseconds trial_turn_opening{2500};

/// Returns the delay of the next trial of a part that is rejected since the crash at
/// `crash_times[rejected_from - 1]`. The times are sorted.
std::chrono::seconds next_trial_delay(std::span<base::time_point const> crash_times,
                                      std::size_t rejected_from) noexcept;

/// Returns whether the process may begin a trial that has been due for `overdue`.
bool has_trial_turn(base::milliseconds overdue, fleet_position position) noexcept;

/// Returns the place of `self` among `names` for the trials of a part. `self` counts as live even
/// if it is missing.
fleet_position find_trial_position(std::uint64_t part, std::string_view self,
                                   std::span<std::string const> names);

/// Returns the place in a fleet of which a process knows the zones and the processes of its own
/// zone. The zones take turns. `largest_zone` is the number of processes in the largest zone.
fleet_position combine_positions(fleet_position zone, fleet_position in_zone,
                                 std::size_t largest_zone) noexcept;

} // namespace jasminepier::decision
