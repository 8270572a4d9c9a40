#include "decision/admission_queue.hpp"
#include "decision/cold_start.hpp"
#include "decision/length_estimator.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace jasminepier::decision
{
namespace
{

using configuration::work_kind;

// Guards against a conditional length that is negative or a survival that rises.
RC_GTEST_PROP(length_distribution, conditional_lengths_are_consistent, ())
{
    length_distribution lengths;
    auto const samples = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(1, 60000)));
    for (auto const sample : samples)
        lengths.add(sample);
    auto const produced = *rc::gen::inRange<std::int64_t>(0, 70000);
    RC_ASSERT(lengths.survival(static_cast<double>(produced)) >=
              lengths.survival(static_cast<double>(produced) + 100));
    auto const remaining = lengths.remaining(produced);
    RC_ASSERT(remaining.mean >= 0 && remaining.variance >= 0);
    RC_ASSERT(lengths.remaining_quantile(produced, 0.5) <=
              lengths.remaining_quantile(produced, 0.95) + 1);
}

// Guards against an estimate that keeps old lengths after customers have changed their use.
TEST(length_distribution, follows_a_shift)
{
    length_distribution lengths;
    for (int i = 0; i < 5000; ++i)
        lengths.add(100);
    for (int i = 0; i < 2048; ++i)
        lengths.add(2000);
    EXPECT_GT(lengths.remaining(0).mean, 1500);
    // What has run past 100 tokens belongs to the longer group.
    EXPECT_NEAR(lengths.remaining(500).mean, 1500, 300);
}

// Guards against trusting a handful of samples, and against one customer's lengths for another.
TEST(length_estimator, falls_back_to_wider_groups)
{
    length_estimator estimator;
    length_key const known{1, 1, work_kind::proposal};
    length_key const other{2, 1, work_kind::proposal};
    double const prior = estimator.distribution(known).remaining(0).mean;
    for (int i = 0; i < 31; ++i)
        estimator.observe(known, 5000);
    EXPECT_EQ(estimator.distribution(known).remaining(0).mean, prior);
    estimator.observe(known, 5000);
    EXPECT_NEAR(estimator.distribution(other).remaining(0).mean, 5000, 800);
    for (int i = 0; i < 32; ++i)
        estimator.observe(other, 50);
    EXPECT_LT(estimator.distribution(other).remaining(0).mean, 60);
    EXPECT_NEAR(estimator.distribution(known).remaining(0).mean, 5000, 800);
}

// Guards against requests that are lost or served twice in the queue, and against its bound.
RC_GTEST_PROP(admission_queue, accounts_for_every_request, ())
{
    admission_queue queue;
    std::map<std::uint64_t, int> ends;
    auto const count = *rc::gen::inRange(1, 200);
    constexpr std::size_t limit = 50;
    for (std::uint64_t ticket = 1; ticket <= static_cast<std::uint64_t>(count); ++ticket)
    {
        auto const customer = *rc::gen::inRange<std::uint32_t>(1, 5);
        double const cost = *rc::gen::inRange(1, 1000);
        auto const deadline = base::time_point(std::chrono::seconds(*rc::gen::inRange(1, 10)));
        auto const evicted =
            queue.push({ticket, customer, work_kind::bulk, 1, cost, deadline}, limit);
        if (evicted)
            ++ends[*evicted];
        if (*rc::gen::inRange(0, 3) == 0 && queue.front(work_kind::bulk) != nullptr)
        {
            ++ends[queue.front(work_kind::bulk)->ticket];
            queue.pop(work_kind::bulk);
        }
        RC_ASSERT(queue.size() <= limit);
    }
    for (auto const ticket : queue.expire(base::time_point(std::chrono::seconds(20))))
        ++ends[ticket];
    RC_ASSERT(queue.size() == 0U);
    RC_ASSERT(ends.size() == static_cast<std::size_t>(count));
    for (auto const& [ticket, times] : ends)
        RC_ASSERT(times == 1);
}

// Guards against shares that do not follow the configured weights.
TEST(admission_queue, shares_by_weight)
{
    admission_queue queue;
    base::time_point const deadline(std::chrono::seconds(100));
    for (std::uint64_t i = 0; i < 100; ++i)
    {
        queue.push({2 * i, 1, work_kind::bulk, 3, 100, deadline}, 1000);
        queue.push({2 * i + 1, 2, work_kind::bulk, 1, 100, deadline}, 1000);
    }
    int heavier = 0;
    for (int i = 0; i < 80; ++i)
    {
        heavier += queue.front(work_kind::bulk)->customer == 1 ? 1 : 0;
        queue.pop(work_kind::bulk);
    }
    EXPECT_NEAR(heavier, 60, 2);
}

// Guards against a full queue in which a large customer leaves no place for others.
TEST(admission_queue, makes_the_largest_customer_leave)
{
    admission_queue queue;
    base::time_point const deadline(std::chrono::seconds(100));
    for (std::uint64_t ticket = 1; ticket <= 10; ++ticket)
        queue.push({ticket, 1, work_kind::bulk, 1, 100, deadline}, 10);
    EXPECT_EQ(queue.push({11, 2, work_kind::bulk, 1, 100, deadline}, 10), 10U);
}

// Guards against more work on a cold server than it can carry: for any node list the slots of all
// nodes together are exactly the allowance.
RC_GTEST_PROP(cold_start, slots_of_all_nodes_add_up_to_the_allowance, ())
{
    std::vector<std::string> nodes;
    auto const count = *rc::gen::inRange(1, 40);
    nodes.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        nodes.push_back("node-" + std::to_string(i));
    auto const slots = *rc::gen::inRange(1, 100);
    int sum = 0;
    for (auto const& node : nodes)
        sum += count_local_slots("engine-1", nodes, node, slots);
    RC_ASSERT(sum == slots);
    RC_ASSERT(count_local_slots("engine-1", nodes, "unlisted", slots) == 0);
}

// Guards against two holders of one slot while a changed node list spreads.
TEST(cold_start, gains_slots_late_and_loses_them_at_once)
{
    auto const at = [](int seconds) { return base::time_point(std::chrono::seconds(seconds)); };
    cold_start state;
    state.mark_cold(4);
    state.assign_slots(2, at(100), at(100));
    EXPECT_EQ(state.usable_slots(at(114)), 0);
    EXPECT_EQ(state.usable_slots(at(115)), 2);
    state.assign_slots(1, at(200), at(200));
    EXPECT_EQ(state.usable_slots(at(200)), 1);
    state.assign_slots(3, at(300), at(300));
    EXPECT_EQ(state.usable_slots(at(314)), 1);
    EXPECT_EQ(state.usable_slots(at(315)), 3);
}

// Guards against full load after the first good answers.
TEST(cold_start, doubles_the_allowance_on_evidence)
{
    cold_start state;
    state.mark_cold(2);
    for (int good = 0; good < cold_start::successes_per_doubling; ++good)
        EXPECT_EQ(state.slot_limit(), 2);
    for (int good = 0; good < cold_start::successes_per_doubling; ++good)
        state.record_success(8);
    EXPECT_EQ(state.slot_limit(), 4);
    // A report that says cold outweighs good answers.
    state.record_cold_report();
    for (int good = 0; good < 100; ++good)
        state.record_success(8);
    EXPECT_EQ(state.slot_limit(), 4);
    for (int reports = 0; reports < cold_start::reports_per_doubling; ++reports)
        state.record_warm_report(8);
    EXPECT_FALSE(state.is_cold());
}

} // namespace
} // namespace jasminepier::decision
