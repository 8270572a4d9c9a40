#include "serving/handover_schedule.hpp"

namespace jasminepier::serving
{

std::string_view to_string(handover_obstacle obstacle) noexcept
{
    switch (obstacle)
    {
    case handover_obstacle::no_target:
        return "no_target";
    case handover_obstacle::target_full:
        return "target_full";
    case handover_obstacle::not_running:
        return "not_running";
    case handover_obstacle::copy_in_progress:
        return "copy_in_progress";
    case handover_obstacle::copy_failed:
        return "copy_failed";
    case handover_obstacle::stop_failed:
        return "stop_failed";
    }
    return "unknown";
}

base::time_point handover_schedule::record_obstacle(handover_obstacle obstacle,
                                                    base::time_point now)
{
    bool const has_failed =
        obstacle == handover_obstacle::copy_failed || obstacle == handover_obstacle::stop_failed;
    ++(has_failed ? m_failures : m_waits);
    if (given_up())
        return base::time_point::max();
    return now + (waits_long() ? long_interval : close_interval);
}

} // namespace jasminepier::serving
