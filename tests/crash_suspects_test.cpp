#include "decision/crash_suspects.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace jasminepier::decision
{
namespace
{

using namespace std::chrono_literals;

// Guards against a verdict that depends on the order or number of messages.
RC_GTEST_PROP(crash_suspects, merging_is_a_set_union, ())
{
    base::time_point const now{10000s};
    auto const drawn = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 4)));
    std::vector<crash_event> events;
    events.reserve(drawn.size());
    for (auto const& [fingerprint, server] : drawn)
        events.push_back({static_cast<std::uint64_t>(fingerprint), std::to_string(server), "i", 5});
    crash_suspects once;
    crash_suspects again;
    once.merge(events, now);
    std::reverse(events.begin(), events.end());
    again.merge(events, now);
    again.merge(once.events(now), now);
    for (std::uint64_t fingerprint = 0; fingerprint < 3; ++fingerprint)
        RC_ASSERT(once.judge(fingerprint, now) == again.judge(fingerprint, now));
    RC_ASSERT(once.size() == again.size());
}

// Guards against a request that is blamed for one death twice, or for ever.
TEST(crash_suspects, counts_each_death_once_and_forgets)
{
    base::time_point const now{10000s};
    crash_suspects suspects;
    EXPECT_TRUE(suspects.record({7, "a", "1", 0}, now));
    EXPECT_FALSE(suspects.record({7, "a", "1", 0}, now + 1s));
    EXPECT_EQ(suspects.judge(7, now), crash_verdict::suspect);
    EXPECT_EQ(suspects.judge(8, now), crash_verdict::unsuspected);
    suspects.record({7, "a", "2", 0}, now + 10s);
    EXPECT_EQ(suspects.judge(7, now + 10s), crash_verdict::suspect);
    suspects.record({7, "b", "1", 0}, now + 20s);
    EXPECT_EQ(suspects.judge(7, now + 20s), crash_verdict::refused);
    EXPECT_EQ(suspects.judge(7, now + crash_suspects::lifetime), crash_verdict::suspect);
    EXPECT_EQ(suspects.judge(7, now + crash_suspects::lifetime + 20s), crash_verdict::unsuspected);
    EXPECT_EQ(suspects.size(), 0U);
}

// Guards against events that nodes keep alive by passing them to each other.
TEST(crash_suspects, passing_an_event_on_does_not_make_it_younger)
{
    base::time_point now{10000s};
    crash_suspects nodes[2];
    nodes[0].record({7, "a", "1", 0}, now);
    for (int round = 0; round < 8000; ++round)
    {
        now += 700ms;
        nodes[(round + 1) % 2].merge(nodes[round % 2].events(now), now);
    }
    EXPECT_EQ(nodes[0].size() + nodes[1].size(), 0U);
}

// Guards against unbounded memory when many different requests run on dying servers.
TEST(crash_suspects, bounds_its_memory)
{
    base::time_point now{10000s};
    crash_suspects suspects;
    for (std::uint64_t i = 0; i < crash_suspects::maximum_events + 100; ++i)
        suspects.record({i, "a", "1", 0}, now += 1ms);
    EXPECT_EQ(suspects.size(), crash_suspects::maximum_events);
    EXPECT_EQ(suspects.judge(0, now), crash_verdict::unsuspected);
    EXPECT_EQ(suspects.judge(crash_suspects::maximum_events, now), crash_verdict::suspect);
}

} // namespace
} // namespace jasminepier::decision
