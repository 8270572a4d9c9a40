#include "serving/handover_schedule.hpp"

namespace jasminepier::serving
{

base::time_point handover_schedule::record_obstacle(handover_obstacle obstacle,
                                                    base::time_point now)
{
    bool const passes_by_itself =
        obstacle == handover_obstacle::no_target || obstacle == handover_obstacle::not_running;
    ++(passes_by_itself ? m_waits : m_failures);
    if (given_up())
        return base::time_point::max();
    return now + (waits_long() ? long_interval : close_interval);
}

} // namespace jasminepier::serving
