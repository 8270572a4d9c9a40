/// Tries of a handover that cannot be completed. No network.
#include "serving/handover_schedule.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <vector>

namespace jasminepier::serving
{
namespace
{

using std::chrono::seconds;

constexpr base::time_point start{seconds(100)};

// Guards against an event loop that spins because its next action is due in the past.
RC_GTEST_PROP(handover_schedule, next_try_is_always_later, (std::vector<int> const& obstacles))
{
    handover_schedule schedule;
    auto now = start;
    for (auto const number : obstacles)
    {
        auto const next = schedule.record_obstacle(
            static_cast<handover_obstacle>(static_cast<unsigned>(number) % 6), now);
        RC_ASSERT(next > now);
        if (schedule.given_up())
            RC_ASSERT(next == base::time_point::max());
        else
            now = next;
    }
}

// Guards against generations that are lost although an engine gets room while theirs still runs,
// and against tries that take the processor time of a node with many of them.
TEST(handover_schedule, waits_for_room_at_longer_intervals)
{
    handover_schedule schedule;
    auto now = start;
    for (int i = 0; i < handover_schedule::maximum_close_tries; ++i)
    {
        EXPECT_FALSE(schedule.waits_long());
        now = schedule.record_obstacle(handover_obstacle::no_target, now);
    }
    EXPECT_LE(now, start + seconds(2));
    for (std::size_t i = 0; i < 1000; ++i)
    {
        EXPECT_TRUE(schedule.waits_long());
        EXPECT_FALSE(schedule.given_up());
        constexpr std::array passing{handover_obstacle::no_target, handover_obstacle::target_full,
                                     handover_obstacle::not_running,
                                     handover_obstacle::copy_in_progress};
        auto const next = schedule.record_obstacle(passing[i % passing.size()], now);
        EXPECT_EQ(next, now + handover_schedule::long_interval);
        now = next;
    }
}

// Guards against generations that are lost because they wait for the copy of one that no engine has
// room for.
TEST(handover_schedule, yields_its_turn_at_the_first_obstacle_that_has_to_pass)
{
    handover_schedule schedule;
    schedule.record_obstacle(handover_obstacle::copy_failed, start);
    EXPECT_FALSE(schedule.yields_turn());
    schedule.record_obstacle(handover_obstacle::no_target, start);
    EXPECT_TRUE(schedule.yields_turn());
}

// Guards against copies and stops that are requested without end.
TEST(handover_schedule, gives_up_after_failed_calls)
{
    handover_schedule schedule;
    for (int i = 1; i < handover_schedule::maximum_failures; ++i)
    {
        schedule.record_obstacle(handover_obstacle::no_target, start);
        EXPECT_LT(schedule.record_obstacle(handover_obstacle::copy_failed, start),
                  base::time_point::max());
    }
    EXPECT_EQ(schedule.record_obstacle(handover_obstacle::stop_failed, start),
              base::time_point::max());
    EXPECT_TRUE(schedule.given_up());
    EXPECT_FALSE(schedule.waits_long());
}

} // namespace
} // namespace jasminepier::serving
