/// When the handover of a running generation is tried again.
#pragma once

#include "base/clock.hpp"

#include <string_view>

namespace jasminepier::serving
{

/// Why a step of a handover could not be taken.
enum class handover_obstacle
{
    /// No other engine has room for the generation.
    no_target,
    /// The selected engine had no room for the copy, or could not be reached.
    target_full,
    /// The engine does not run the generation at the moment, for example because it was preempted.
    not_running,
    /// The engine has not ended an earlier copy of the generation.
    copy_in_progress,
    copy_failed,
    /// It is unknown whether the engine has stopped the generation.
    stop_failed,
};

std::string_view to_string(handover_obstacle obstacle) noexcept;

/// Decides when a step that could not be taken is tried again. Obstacles that pass by themselves
/// are waited for as long as the engine runs the generation, which may be many seconds after it has
/// announced that it leaves; calls that fail are repeated a limited number of times. Not
/// synchronized.
class handover_schedule
{
public:
    /// Calls that may fail before the handover is given up.
    static constexpr int maximum_failures = 8;
    /// Tries that follow each other closely. Most engines leave about two seconds after they have
    /// announced it, so room that is found later is often too late.
    static constexpr int maximum_close_tries = 8;
    static constexpr base::milliseconds close_interval{80};
    /// Interval of further tries. All generations of a full engine may wait at the same time.
    static constexpr base::milliseconds long_interval{500};

    /// Returns when the step is tried again, which is later than `now`.
    base::time_point record_obstacle(handover_obstacle obstacle, base::time_point now);
    /// True after too many calls have failed.
    bool given_up() const noexcept { return m_failures >= maximum_failures; }
    /// True if the handover waits for an obstacle that has not passed soon.
    bool waits_long() const noexcept { return !given_up() && m_waits >= maximum_close_tries; }
    /// True from the first obstacle that has to pass, or after too many failures. Generations of
    /// the engine that could be copied now must not wait for this one.
    bool yields_turn() const noexcept { return given_up() || m_waits > 0; }

private:
    int m_failures = 0;
    /// Obstacles that pass by themselves.
    int m_waits = 0;
};

} // namespace jasminepier::serving
