#include "decision/poison_request_detector.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace jasminepier::decision
{
namespace
{

using namespace std::chrono_literals;

// Guards against a verdict that depends on the order or number of messages.
RC_GTEST_PROP(poison_request_detector, merging_is_a_set_union, ())
{
    base::time_point const now{10000s};
    auto const drawn = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 4)));
    std::vector<crash_event> events;
    events.reserve(drawn.size());
    for (auto const& [fingerprint, server] : drawn)
        events.push_back({static_cast<std::uint64_t>(fingerprint), std::to_string(server), "i", 5});
    poison_request_detector once;
    poison_request_detector again;
    once.merge(events, now);
    std::reverse(events.begin(), events.end());
    again.merge(events, now);
    again.merge(once.events(now), now);
    for (std::uint64_t fingerprint = 0; fingerprint < 3; ++fingerprint)
        RC_ASSERT(once.classify(fingerprint, now) == again.classify(fingerprint, now));
    RC_ASSERT(once.size() == again.size());
}

// Guards against a request that is blamed for one death twice, or for ever.
TEST(poison_request_detector, counts_each_death_once_and_forgets)
{
    base::time_point const now{10000s};
    poison_request_detector detector;
    EXPECT_TRUE(detector.record({7, "a", "1", 0}, now));
    EXPECT_FALSE(detector.record({7, "a", "1", 0}, now + 1s));
    EXPECT_EQ(detector.classify(7, now), poison_verdict::suspected);
    EXPECT_EQ(detector.classify(8, now), poison_verdict::clean);
    detector.record({7, "a", "2", 0}, now + 10s);
    EXPECT_EQ(detector.classify(7, now + 10s), poison_verdict::suspected);
    detector.record({7, "b", "1", 0}, now + 20s);
    EXPECT_EQ(detector.classify(7, now + 20s), poison_verdict::rejected);
    EXPECT_EQ(detector.classify(7, now + poison_request_detector::event_lifetime),
              poison_verdict::suspected);
    EXPECT_EQ(detector.classify(7, now + poison_request_detector::event_lifetime + 20s),
              poison_verdict::clean);
    EXPECT_EQ(detector.size(), 0U);
}

// Guards against events that nodes keep alive by passing them to each other.
TEST(poison_request_detector, passing_an_event_on_does_not_make_it_younger)
{
    base::time_point now{10000s};
    poison_request_detector nodes[2];
    nodes[0].record({7, "a", "1", 0}, now);
    for (int round = 0; round < 8000; ++round)
    {
        now += 700ms;
        nodes[(round + 1) % 2].merge(nodes[round % 2].events(now), now);
    }
    EXPECT_EQ(nodes[0].size() + nodes[1].size(), 0U);
}

// Guards against unbounded memory when many different requests run on dying servers.
TEST(poison_request_detector, bounds_its_memory)
{
    base::time_point now{10000s};
    poison_request_detector detector;
    for (std::uint64_t i = 0; i < poison_request_detector::maximum_events + 100; ++i)
        detector.record({i, "a", "1", 0}, now += 1ms);
    EXPECT_EQ(detector.size(), poison_request_detector::maximum_events);
    EXPECT_EQ(detector.classify(0, now), poison_verdict::clean);
    EXPECT_EQ(detector.classify(poison_request_detector::maximum_events, now),
              poison_verdict::suspected);
}

} // namespace
} // namespace jasminepier::decision
