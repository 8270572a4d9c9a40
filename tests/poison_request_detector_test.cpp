#include "tests/support/report_network.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

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

// Guards against rejecting a sound request for an hour that ran on three servers which crashed for
// another reason.
TEST(poison_request_detector, complete_response_clears_a_request_on_all_nodes)
{
    poison_request_detector detector;
    poison_request_detector other_node;
    base::time_point now(1h);
    EXPECT_FALSE(detector.record_completed(7, now));
    for (auto const* server : {"a", "b", "c"})
        detector.record({7, server, "", 0}, now);
    other_node.merge(detector.events(now), now);
    EXPECT_EQ(other_node.classify(7, now), poison_verdict::rejected);
    now += 20ms;
    EXPECT_TRUE(detector.record_completed(7, now));
    EXPECT_FALSE(detector.record_completed(7, now));
    EXPECT_EQ(detector.classify(7, now), poison_verdict::clean);
    auto const report = detector.take_report(10, now);
    EXPECT_TRUE(report.has_news);
    other_node.merge_answered(report.answered_parts, now);
    EXPECT_EQ(other_node.classify(7, now), poison_verdict::clean);
    // Later crashes count again.
    now += 1s;
    for (auto const* server : {"d", "e", "f"})
        detector.record({7, server, "", 0}, now);
    EXPECT_EQ(detector.classify(7, now), poison_verdict::rejected);
}

// Guards against rejecting a sound request for an hour that nothing clears, since all its servers
// crashed at once, and against trials that crash more servers than necessary.
TEST(poison_request_detector, tries_a_rejected_request_once_and_rarely)
{
    poison_request_detector detector;
    base::time_point now(1h);
    EXPECT_FALSE(detector.try_begin_request_trial(7, {}, now));
    for (auto const* server : {"a", "b", "c"})
        detector.record({7, server, "", 0}, now);
    EXPECT_FALSE(detector.try_begin_request_trial(7, {}, now + first_trial_delay - 1s));
    now += first_trial_delay;
    EXPECT_FALSE(detector.try_begin_request_trial(7, {1, 2}, now));
    EXPECT_TRUE(detector.try_begin_request_trial(7, {0, 2}, now));
    EXPECT_FALSE(detector.try_begin_request_trial(7, {0, 2}, now));
    // The trial crashes its server.
    detector.record({7, "d", "", 0}, now += 1s);
    EXPECT_FALSE(detector.try_begin_request_trial(7, {}, now + 2 * first_trial_delay - 1s));
    EXPECT_TRUE(detector.try_begin_request_trial(7, {}, now + 2 * first_trial_delay));
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

// Guards against rejecting a sound part that no server has answered yet and that was there in every
// crash of the deadly part.
TEST(poison_prompt_part, is_told_from_its_constant_companion_by_a_trial)
{
    base::time_point now{10000s};
    poison_request_detector detector;
    auto const both = make_parts({"companion", "deadly"});
    auto const companion = make_parts({"companion", "own"});
    auto const deadly = make_parts({"other", "deadly"});
    for (int crash = 0; crash < 3; ++crash)
        detector.record_unanswered(both, "s" + std::to_string(crash), "", now += 1s);
    EXPECT_EQ(detector.judge_parts(both, now).verdict, part_verdict::rejected);
    EXPECT_EQ(detector.judge_parts(companion, now).verdict, part_verdict::ambiguous);
    EXPECT_TRUE(detector.try_begin_trial(companion, {}, now));
    EXPECT_FALSE(detector.try_begin_trial(companion, {}, now));
    EXPECT_TRUE(
        detector.try_begin_trial(companion, {}, now + poison_request_detector::trial_interval));
    auto crashed = std::make_unique<poison_request_detector>();
    crashed->merge(detector.events(now), now);
    // The trial is answered.
    detector.record_answered(companion, now += 1s);
    EXPECT_EQ(detector.judge_parts(companion, now).verdict, part_verdict::clean);
    EXPECT_EQ(detector.judge_parts(deadly, now).verdict, part_verdict::rejected);
    // A trial of the deadly part crashes its server.
    crashed->record_unanswered(deadly, "s3", "", now);
    EXPECT_EQ(crashed->judge_parts(deadly, now).verdict, part_verdict::rejected);
    EXPECT_EQ(crashed->judge_parts(companion, now).verdict, part_verdict::clean);
}

// Guards against requests that share a crashing prompt part, no two alike, each of which crashes a
// server of its own because only whole requests are counted.
TEST(poison_prompt_part, is_found_among_the_parts_that_sound_requests_share)
{
    base::time_point now{10000s};
    poison_request_detector detector;
    auto const common = make_parts({"system"});
    detector.record_answered(common, now);
    for (int crash = 0; crash < 3; ++crash)
    {
        now += 1s;
        EXPECT_FALSE(find_rejected_part(detector, make_parts({"deadly"}), now));
        auto const other = "other-" + std::to_string(crash);
        detector.record_unanswered(make_parts({"system", "deadly", other}),
                                   "s" + std::to_string(crash), "", now);
    }
    EXPECT_EQ(find_rejected_part(detector, make_parts({"system", "deadly", "new"}), now),
              fingerprint_prompt_part("deadly"));
    EXPECT_FALSE(find_rejected_part(detector, common, now));
    for (auto const* other : {"other-0", "other-1", "other-2"})
        EXPECT_FALSE(find_rejected_part(detector, make_parts({other}), now));
    // Crashes that a rejected part explains don't count for the parts beside it.
    for (int crash = 3; crash < 20; ++crash)
    {
        now += 1s;
        detector.record_unanswered(make_parts({"system", "deadly", "beside"}),
                                   "s" + std::to_string(crash), "", now);
    }
    EXPECT_FALSE(find_rejected_part(detector, make_parts({"system", "beside"}), now));
    EXPECT_FALSE(find_rejected_part(detector, make_parts({"deadly"}),
                                    now + poison_request_detector::event_lifetime + 1s));
}

// Guards against sound parts that stay rejected although servers answer requests with them.
TEST(poison_prompt_part, is_cleared_by_an_answer_and_counted_anew_after_it)
{
    base::time_point now{10000s};
    poison_request_detector detector;
    auto const part = make_parts({"part"});
    auto const crash = [&](std::string const& server)
    {
        now += 1s;
        detector.record_unanswered(part, server, "", now);
    };
    for (auto const* server : {"a", "b", "c"})
        crash(server);
    EXPECT_TRUE(find_rejected_part(detector, part, now));
    EXPECT_EQ(detector.record_answered(part, now += 1ms), part);
    EXPECT_FALSE(find_rejected_part(detector, part, now));
    EXPECT_TRUE(detector.record_answered(part, now += 1ms).empty());
    // A part that turns deadly later is found, too.
    for (auto const* server : {"d", "e", "f", "g"})
        crash(server);
    EXPECT_FALSE(find_rejected_part(detector, part, now));
    crash("h");
    EXPECT_TRUE(find_rejected_part(detector, part, now));
}

// Guards against rejecting what many requests have in common when a zone loses its servers.
TEST(poison_prompt_part, is_not_rejected_when_many_servers_end_at_once)
{
    base::time_point now{10000s};
    poison_request_detector detector;
    auto const part = make_parts({"part"});
    for (int server = 0; server < 50; ++server)
        detector.record_unanswered(part, "s" + std::to_string(server), "", now += 5ms);
    EXPECT_FALSE(find_rejected_part(detector, part, now));
}

// Guards against verdicts about parts that depend on the order or number of reports.
RC_GTEST_PROP(poison_prompt_part, reports_are_idempotent_and_commutative, ())
{
    base::time_point const now{10000s};
    auto const ages = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 20)));
    auto const answer_age = *rc::gen::inRange(0, 20);
    std::vector<crash_event> events;
    events.reserve(ages.size());
    for (auto const& [part, age] : ages)
        events.push_back({static_cast<std::uint64_t>(part), "s" + std::to_string(age), "", age,
                          std::int64_t{age} * 1000});
    std::vector<answered_part> const answered{{0, std::int64_t{answer_age} * 1000}};
    poison_request_detector merged;
    merged.merge(events, now);
    merged.merge_answered(answered, now);
    poison_request_detector remerged;
    remerged.merge_answered(answered, now);
    std::reverse(events.begin(), events.end());
    remerged.merge(events, now);
    remerged.merge(merged.events(now), now);
    remerged.merge_answered(answered, now);
    for (std::uint64_t part = 0; part < 3; ++part)
    {
        std::vector<std::uint64_t> const parts{part};
        RC_ASSERT(find_rejected_part(merged, parts, now) ==
                  find_rejected_part(remerged, parts, now));
    }
}

// Guards against rejecting a part that was cleared by an answer once that answer is evicted.
TEST(poison_prompt_part, stays_cleared_while_many_other_parts_are_answered)
{
    base::time_point now{10000s};
    poison_request_detector detector;
    auto const part = make_parts({"part"});
    for (auto const* server : {"a", "b", "c"})
        detector.record_unanswered(part, server, "", now += 1s);
    detector.record_answered(part, now += 1s);
    ASSERT_FALSE(find_rejected_part(detector, part, now));
    for (std::uint64_t other = 0; other < poison_request_detector::maximum_answered_parts; ++other)
        detector.record_answered(std::vector<std::uint64_t>{other}, now += 1ms);
    EXPECT_FALSE(find_rejected_part(detector, part, now));
}

// Guards against forgetting a part that crashes servers because many requests run while a zone is
// lost.
TEST(poison_prompt_part, stays_rejected_while_many_whole_requests_are_recorded)
{
    base::time_point now{10000s};
    poison_request_detector detector;
    auto const deadly = make_parts({"deadly"});
    for (auto const* server : {"a", "b", "c"})
        detector.record_unanswered(deadly, server, "", now += 1s);
    ASSERT_TRUE(find_rejected_part(detector, deadly, now));
    now += 10s;
    for (std::uint64_t request = 0; request < poison_request_detector::maximum_events; ++request)
        detector.record({request, "s" + std::to_string(request % 100), "", 0}, now);
    EXPECT_TRUE(find_rejected_part(detector, deadly, now));
}

// Guards against a node that sends report after report because none has room for its crashes.
TEST(poison_request_detector, report_without_room_does_not_ask_for_another_one)
{
    base::time_point now{10000s};
    poison_request_detector detector;
    detector.record({7, "a", "1", 0}, now);
    auto requested = 0;
    for (int report = 0; report < 100; ++report)
        requested += detector.take_report(0, now += 100ms).has_more_news ? 1 : 0;
    EXPECT_LT(requested, 10);
}

// Guards against an unbounded table of answered parts.
TEST(poison_prompt_part, forgets_the_oldest_answers_when_full)
{
    base::time_point now{10000s};
    poison_request_detector detector;
    auto const limit = poison_request_detector::maximum_answered_parts;
    for (std::uint64_t part = 0; part < limit + 1; ++part)
        detector.record_answered(std::vector<std::uint64_t>{part}, now += 1ms);
    std::vector<std::uint64_t> const newest{limit};
    for (int crash = 0; crash < 4; ++crash)
        detector.record_unanswered(newest, "s" + std::to_string(crash), "", now += 1s);
    // The newest answer is remembered, so four crashes are not enough.
    EXPECT_FALSE(find_rejected_part(detector, newest, now));
}

// Guards against a crash that some nodes never learn of because reports only ever held the first
// four events of an hour, and never left their zone in a large fleet.
TEST(poison_prompt_part, crashes_and_answers_reach_all_nodes_within_two_seconds)
{
    struct fleet
    {
        std::size_t nodes;
        std::size_t zones;
    };
    for (auto const [nodes, zones] : {fleet{8, 1}, fleet{67, 3}, fleet{300, 3}})
    {
        base::time_point now{10000s};
        report_network network(nodes, zones, 0.2);
        // Older crashes come first in the order of keys.
        for (std::uint64_t old = 0; old < 30; ++old)
            network.node(0).record({old, "old", "", 60}, now);
        auto const deadly = make_parts({"deadly"});
        auto const sound = make_parts({"sound"});
        std::vector<std::uint64_t> const both{deadly[0], sound[0]};
        for (std::size_t crash = 0; crash < 3; ++crash)
        {
            now += 500ms;
            network.node(crash * 2 + 1)
                .record_unanswered(both, "s" + std::to_string(crash), "", now);
            network.exchange(now);
        }
        network.node(5).record_answered(sound, now += 1ms);
        for (int report = 0; report < 10; ++report)
            network.exchange(now += 200ms);
        EXPECT_EQ(network.count_nodes_that_reject(deadly, now), nodes) << nodes << " nodes";
        EXPECT_EQ(network.count_nodes_that_reject(sound, now), 0U) << nodes << " nodes";
    }
}

} // namespace
} // namespace jasminepier::decision
