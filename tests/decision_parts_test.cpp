#include "decision/admission_queue.hpp"
#include "decision/cold_start.hpp"
#include "decision/length_estimator.hpp"
#include "decision/prompt_part_format.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace jasminepier::decision
{
namespace
{

using configuration::work_kind;

// Guards against negative remaining lengths and a survival function that increases.
RC_GTEST_PROP(length_distribution, remaining_lengths_are_consistent, ())
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

// Guards against estimates that ignore a change in the customers' requests.
TEST(length_distribution, follows_a_shift_to_longer_outputs)
{
    length_distribution lengths;
    for (int i = 0; i < 5000; ++i)
        lengths.add(100);
    for (int i = 0; i < 2048; ++i)
        lengths.add(2000);
    EXPECT_GT(lengths.remaining(0).mean, 1500);
    // An output that exceeds 100 tokens belongs to the newer, longer ones.
    EXPECT_NEAR(lengths.remaining(500).mean, 1500, 300);
}

// Guards against estimates from a handful of samples and from the samples of another customer.
TEST(length_estimator, uses_a_wider_group_until_a_group_has_enough_samples)
{
    length_estimator estimator;
    length_key const first_customer{1, 1, work_kind::proposal};
    length_key const second_customer{2, 1, work_kind::proposal};
    double const prior = estimator.distribution(first_customer).remaining(0).mean;
    for (int i = 0; i < 31; ++i)
        estimator.observe(first_customer, 5000);
    EXPECT_EQ(estimator.distribution(first_customer).remaining(0).mean, prior);
    estimator.observe(first_customer, 5000);
    EXPECT_NEAR(estimator.distribution(second_customer).remaining(0).mean, 5000, 800);
    for (int i = 0; i < 32; ++i)
        estimator.observe(second_customer, 50);
    EXPECT_LT(estimator.distribution(second_customer).remaining(0).mean, 60);
    EXPECT_NEAR(estimator.distribution(first_customer).remaining(0).mean, 5000, 800);
}

// Guards against requests that the queue loses or returns twice, and against exceeding its limit.
RC_GTEST_PROP(admission_queue, returns_every_request_exactly_once, ())
{
    admission_queue queue;
    std::map<std::uint64_t, int> results_per_ticket;
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
            ++results_per_ticket[*evicted];
        if (*rc::gen::inRange(0, 3) == 0 && queue.front(work_kind::bulk) != nullptr)
        {
            ++results_per_ticket[queue.front(work_kind::bulk)->ticket];
            queue.pop(work_kind::bulk);
        }
        RC_ASSERT(queue.size() <= limit);
    }
    for (auto const ticket : queue.expire(base::time_point(std::chrono::seconds(20))))
        ++results_per_ticket[ticket];
    RC_ASSERT(queue.size() == 0U);
    RC_ASSERT(results_per_ticket.size() == static_cast<std::size_t>(count));
    for (auto const& [ticket, results] : results_per_ticket)
        RC_ASSERT(results == 1);
}

// Guards against dispatches that don't follow the configured weights.
TEST(admission_queue, dispatches_in_proportion_to_customer_weights)
{
    admission_queue queue;
    base::time_point const deadline(std::chrono::seconds(100));
    for (std::uint64_t i = 0; i < 100; ++i)
    {
        queue.push({2 * i, 1, work_kind::bulk, 3, 100, deadline}, 1000);
        queue.push({2 * i + 1, 2, work_kind::bulk, 1, 100, deadline}, 1000);
    }
    int dispatched_of_first = 0;
    for (int i = 0; i < 80; ++i)
    {
        dispatched_of_first += queue.front(work_kind::bulk)->customer == 1 ? 1 : 0;
        queue.pop(work_kind::bulk);
    }
    EXPECT_NEAR(dispatched_of_first, 60, 2);
}

// Guards against a large customer that fills the queue so that other customers are refused.
TEST(admission_queue, evicts_a_request_of_the_largest_customer_when_full)
{
    admission_queue queue;
    base::time_point const deadline(std::chrono::seconds(100));
    for (std::uint64_t ticket = 1; ticket <= 10; ++ticket)
        queue.push({ticket, 1, work_kind::bulk, 1, 100, deadline}, 10);
    EXPECT_EQ(queue.push({11, 2, work_kind::bulk, 1, 100, deadline}, 10), 10U);
}

// Guards against overloading a cold server: for any node list, the slots of all nodes together must
// equal the slot limit.
RC_GTEST_PROP(cold_start, slots_of_all_nodes_add_up_to_the_slot_limit, ())
{
    std::vector<std::string> nodes;
    auto const count = *rc::gen::inRange(1, 40);
    nodes.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        nodes.push_back("node-" + std::to_string(i));
    auto const slot_limit = *rc::gen::inRange(1, 100);
    int sum = 0;
    for (auto const& node : nodes)
        sum += count_local_slots("engine-1", nodes, node, slot_limit);
    RC_ASSERT(sum == slot_limit);
    RC_ASSERT(count_local_slots("engine-1", nodes, "unlisted", slot_limit) == 0);
}

// Guards against two nodes that use the same slot while a changed node list propagates.
TEST(cold_start, delays_gained_slots_and_drops_lost_slots_at_once)
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

// Guards against full load on a cold server after its first successes.
TEST(cold_start, doubles_the_slot_limit_after_enough_successes)
{
    cold_start state;
    state.mark_cold(2);
    for (int success = 0; success < cold_start::successes_per_doubling; ++success)
        EXPECT_EQ(state.slot_limit(), 2);
    for (int success = 0; success < cold_start::successes_per_doubling; ++success)
        state.record_success(8);
    EXPECT_EQ(state.slot_limit(), 4);
    // A report with a cold state takes precedence over successes.
    state.record_cold_report();
    for (int success = 0; success < 100; ++success)
        state.record_success(8);
    EXPECT_EQ(state.slot_limit(), 4);
    for (int reports = 0; reports < cold_start::reports_per_doubling; ++reports)
        state.record_warm_report(8);
    EXPECT_FALSE(state.is_cold());
}

// Guards against programs that write the same part in different ways.
TEST(prompt_part_format, has_sixteen_hexadecimal_digits)
{
    EXPECT_EQ(format_prompt_part(0), "0000000000000000");
    EXPECT_EQ(format_prompt_part(0xdead), "000000000000dead");
    EXPECT_EQ(format_prompt_part(~std::uint64_t{0}), "ffffffffffffffff");
}

} // namespace
} // namespace jasminepier::decision
