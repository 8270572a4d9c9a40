#include "decision/poison_request_detector.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace jasminepier::decision
{
namespace
{

using namespace std::chrono_literals;

// Guards against a verdict that depends on the order or number of messages between nodes.
RC_GTEST_PROP(poison_request_detector, merging_is_idempotent_and_commutative, ())
{
    base::time_point const now{10000s};
    auto const pairs = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 4)));
    std::vector<crash_event> events;
    events.reserve(pairs.size());
    for (auto const& [fingerprint, server] : pairs)
        events.push_back({static_cast<std::uint64_t>(fingerprint), std::to_string(server), "i", 5});
    poison_request_detector merged;
    poison_request_detector remerged;
    merged.merge(events, now);
    std::reverse(events.begin(), events.end());
    remerged.merge(events, now);
    remerged.merge(merged.events(now), now);
    for (std::uint64_t fingerprint = 0; fingerprint < 3; ++fingerprint)
        RC_ASSERT(merged.classify(fingerprint, now) == remerged.classify(fingerprint, now));
    RC_ASSERT(merged.size() == remerged.size());
}

// Guards against counting one crash twice and against suspecting a request forever.
TEST(poison_request_detector, counts_each_crash_once_until_it_expires)
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

// Guards against events that never expire because nodes keep forwarding them to each other.
TEST(poison_request_detector, forwarded_events_do_not_become_younger)
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

// Guards against unbounded memory use when many different requests run on crashing servers.
TEST(poison_request_detector, evicts_the_oldest_event_when_full)
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
