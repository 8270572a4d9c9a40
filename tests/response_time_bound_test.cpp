/// Tests of the upper bound of a response's duration.
#include "serving/response_time_bound.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace jasminepier::serving
{
namespace
{

using base::milliseconds;

class response_time_bound_test : public testing::Test
{
protected:
    response_time_bound_test()
    {
        m_route.streaming = true;
        m_route.latency_objective = milliseconds(1500);
        m_route.maximum_event_gap = milliseconds(180);
    }

    /// Returns the bound for a request that starts 20 s before its deadline.
    milliseconds bound(std::int64_t maximum_output_tokens, std::int64_t prompt_tokens = 0) const
    {
        request_metadata metadata;
        metadata.prompt_tokens = prompt_tokens;
        metadata.maximum_output_tokens = maximum_output_tokens;
        base::time_point const start{milliseconds(1000)};
        auto const end = response_time_bound(m_route, metadata, start, start + milliseconds(20000));
        return std::chrono::duration_cast<milliseconds>(end - start);
    }

    route m_route;
};

// Guards against a bound that a server exceeds although it keeps to the gap that the route allows.
TEST_F(response_time_bound_test, allows_the_permitted_gap_before_each_token)
{
    EXPECT_EQ(bound(10), milliseconds(1500 + 10 * 180));
    EXPECT_EQ(bound(48), milliseconds(1500 + 48 * 180));
}

TEST_F(response_time_bound_test, includes_the_time_to_read_the_prompt)
{
    EXPECT_EQ(bound(10, 2000), milliseconds(1500 + 500 + 10 * 180));
}

TEST_F(response_time_bound_test, is_at_most_the_deadline)
{
    EXPECT_EQ(bound(1000), milliseconds(20000));
    EXPECT_EQ(
        bound(std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::max()),
        milliseconds(20000));
}

// A permitted gap below the pace of a full engine is no bound.
TEST_F(response_time_bound_test, assumes_the_pace_of_a_full_engine_at_least)
{
    m_route.maximum_event_gap = milliseconds(5);
    EXPECT_EQ(bound(10), milliseconds(1500 + 10 * 50));
}

// Guards against admitting streams whose pace nothing limits.
TEST_F(response_time_bound_test, is_the_deadline_without_a_permitted_gap)
{
    m_route.maximum_event_gap = milliseconds(0);
    EXPECT_EQ(bound(1), milliseconds(20000));
}

TEST_F(response_time_bound_test, is_the_deadline_without_a_stated_length_or_stream)
{
    EXPECT_EQ(bound(0), milliseconds(20000));
    m_route.streaming = false;
    EXPECT_EQ(bound(10), milliseconds(20000));
}

} // namespace
} // namespace jasminepier::serving
