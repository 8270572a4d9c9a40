#include "benchmarks/replay/fleet.hpp"
#include "decision/decision_core.hpp"

#include <gtest/gtest.h>

namespace jasminepier::decision
{
namespace
{

using benchmarks::engine_name;
using configuration::work_kind;

base::time_point at_seconds(double seconds)
{
    return base::time_point(std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6)));
}

/// The decision core of one node, with a few servers whose load reports the test sets.
class decision_core_test : public testing::Test
{
protected:
    void create_core(int servers, int nodes = 1, policy_switches switches = {})
    {
        m_server_count = servers;
        m_node_count = nodes;
        m_core.emplace(core_settings{"node-0", "zone-a", 7, switches});
        configure(-1, 0);
    }
    void configure(int zone_out, double now)
    {
        m_core->apply_configuration(
            benchmarks::make_configuration(m_preset, m_server_count, m_node_count, zone_out),
            at_seconds(now));
    }
    void report_load(int server, double now, std::int64_t kv_used_tokens = 0,
                     reported_state state = reported_state::warm, char const* instance = "1")
    {
        m_core->apply_report(engine_name(server),
                             {instance,
                              state,
                              static_cast<int>(kv_used_tokens / 1000),
                              0,
                              kv_used_tokens,
                              60000,
                              2,
                              500,
                              {}},
                             at_seconds(now), at_seconds(now));
    }
    std::uint64_t submit(double now, work_kind kind = work_kind::question,
                         std::string const& customer = "customer-0", std::int64_t prompt = 100)
    {
        submission request{benchmarks::service_name, benchmarks::model_name, customer, kind,
                           prompt};
        return m_core->submit(request, at_seconds(now));
    }
    std::vector<decision_result> poll(double now)
    {
        std::vector<decision_result> decisions;
        m_core->poll(at_seconds(now), decisions);
        return decisions;
    }
    /// Records `tokens` that have arrived by `now` and completes the generation.
    void complete_generation(std::uint64_t ticket, double now, std::int64_t tokens)
    {
        m_core->record_tokens(ticket, tokens, at_seconds(now));
        m_core->finish(ticket, generation_outcome::completed, at_seconds(now));
    }

    configuration::preset m_preset;
    std::optional<decision_core> m_core;
    int m_server_count = 0;
    int m_node_count = 1;
};

// Guards against preemptions: generations that fit into memory now may outgrow it later.
TEST_F(decision_core_test, reserves_memory_for_predicted_growth)
{
    for (auto const growth : {toggle::on, toggle::off})
    {
        policy_switches switches;
        switches.growth = growth;
        switches.margin = toggle::off;
        switches.reserves = toggle::off;
        create_core(1, 1, switches);
        report_load(0, 0);
        for (int i = 0; i < 100; ++i)
            submit(0.1, work_kind::proposal, "customer-0", 800);
        auto const dispatched = poll(0.1).size();
        // 67 prompts of 800 tokens fit under the fill limit, but not with their output.
        if (growth == toggle::on)
            EXPECT_LT(dispatched, 60U);
        else
            EXPECT_EQ(dispatched, 67U);
    }
}

// Guards against dispatching to a zone that went out of service while the request was queued.
TEST_F(decision_core_test, checks_the_zone_at_dispatch_and_not_only_at_submission)
{
    create_core(3);
    for (int i = 0; i < 3; ++i)
        report_load(i, 0, 59000);
    submit(0.1, work_kind::proposal);
    EXPECT_TRUE(poll(0.1).empty());
    configure(0, 1);
    for (int i = 0; i < 3; ++i)
        report_load(i, 2, i == 0 ? 0 : 59000);
    EXPECT_TRUE(poll(2).empty());
    configure(-1, 3);
    ASSERT_EQ(poll(3).size(), 1U);
}

// Guards against waits beyond the deadline and against refusals without a correct error and
// Retry-After.
TEST_F(decision_core_test, refuses_with_deadline_exceeded_when_the_deadline_passes_in_the_queue)
{
    create_core(1);
    report_load(0, 0, 59000);
    submit(0.1);
    EXPECT_TRUE(poll(5).empty());
    auto const decisions = poll(5.2);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].outcome, decision_outcome::refused);
    EXPECT_EQ(decisions[0].refusal, base::error_kind::deadline_exceeded);
    EXPECT_GT(decisions[0].retry_after_seconds, 0);
    EXPECT_EQ(m_core->queued(), 0U);
}

// Guards against queueing requests that will miss their deadline anyway.
TEST_F(decision_core_test, refuses_early_when_the_predicted_wait_exceeds_the_deadline)
{
    for (auto const early_refusal : {toggle::on, toggle::off})
    {
        policy_switches switches;
        switches.early_refusal = early_refusal;
        create_core(1, 1, switches);
        report_load(0, 0, 59000);
        for (int i = 0; i < 200; ++i)
            submit(0.1, work_kind::proposal);
        // Each second, room for one or two proposals becomes free and is filled again.
        for (int second = 1; second <= 20; ++second)
        {
            report_load(0, second, 47000);
            poll(second + 0.1);
            report_load(0, second + 0.2, 59000);
        }
        submit(21, work_kind::proposal);
        auto const decisions = poll(21);
        bool const refused =
            !decisions.empty() && decisions.back().reason == "predicted_wait_exceeds_deadline";
        EXPECT_EQ(refused, early_refusal == toggle::on);
    }
}

// Guards against a burst of one customer that delays all others.
TEST_F(decision_core_test, dispatches_a_late_customer_before_the_backlog_of_another)
{
    for (auto const fair_queuing : {toggle::on, toggle::off})
    {
        policy_switches switches;
        switches.fair_queuing = fair_queuing;
        create_core(1, 1, switches);
        report_load(0, 0, 59000);
        for (int i = 0; i < 200; ++i)
            submit(0.1, work_kind::proposal, "customer-0");
        auto const late_ticket = submit(0.2, work_kind::proposal, "customer-9");
        poll(0.3);
        report_load(0, 1, 40000);
        bool dispatched = false;
        for (auto const& decision : poll(1.1))
            dispatched = dispatched || decision.ticket == late_ticket;
        EXPECT_EQ(dispatched, fair_queuing == toggle::on);
    }
}

// Guards against questions that wait for memory behind bulk work.
TEST_F(decision_core_test, keeps_reserved_memory_free_for_questions_under_bulk_load)
{
    for (auto const reserves : {toggle::on, toggle::off})
    {
        policy_switches switches;
        switches.reserves = reserves;
        create_core(1, 1, switches);
        report_load(0, 0);
        for (int i = 0; i < 300; ++i)
            submit(0.1, work_kind::bulk, "customer-0", 1500);
        poll(0.1);
        auto const question = submit(0.2, work_kind::question, "customer-1", 2500);
        bool dispatched = false;
        for (auto const& decision : poll(0.2))
            dispatched = dispatched || decision.ticket == question;
        EXPECT_EQ(dispatched, reserves == toggle::on);
    }
}

// Guards against decisions whose cost grows with the fleet.
TEST_F(decision_core_test, samples_few_servers_of_a_large_fleet)
{
    create_core(2000);
    for (int i = 0; i < 2000; ++i)
        report_load(i, 0);
    submit(0.1);
    auto const decisions = poll(0.1);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_LE(decisions[0].candidates.size(), 4U);
}

// Guards against several nodes that each fill the same free capacity of one load report.
TEST_F(decision_core_test, leaves_room_for_dispatches_of_other_nodes_after_a_report)
{
    for (auto const peer_dispatches : {toggle::on, toggle::off})
    {
        policy_switches switches;
        switches.peer_dispatches = peer_dispatches;
        create_core(1, 8, switches);
        // This node runs 2 of about 16 generations; all nodes share the 30000 free tokens.
        report_load(0, 0, 14000);
        submit(0, work_kind::proposal);
        submit(0, work_kind::proposal);
        poll(0);
        for (int second = 1; second <= 10; ++second)
        {
            report_load(0, second, 16000);
            poll(second + 0.1);
        }
        for (int i = 0; i < 60; ++i)
            submit(10.5, work_kind::proposal, "customer-0", 500);
        auto const dispatched = poll(10.5).size();
        if (peer_dispatches == toggle::on)
            EXPECT_LT(dispatched, 8U);
        else
            EXPECT_GT(dispatched, 15U);
    }
}

// Guards against full load on a restarted server. A new instance is cold even if it reports a warm
// state.
TEST_F(decision_core_test, limits_a_new_server_instance_to_its_cold_slots)
{
    for (auto const cold_slots : {toggle::on, toggle::off})
    {
        policy_switches switches;
        switches.cold_slots = cold_slots;
        create_core(1, 1, switches);
        report_load(0, 20);
        report_load(0, 21, 0, reported_state::warm, "2");
        for (int i = 0; i < 10; ++i)
            submit(21.1);
        EXPECT_EQ(poll(21.1).size(), cold_slots == toggle::on ? 2U : 10U);
    }
}

// Guards against full load on a server that becomes cold without reporting it.
TEST_F(decision_core_test, detects_a_cold_server_by_slow_token_times)
{
    create_core(1);
    report_load(0, 20);
    auto const ticket = submit(20.1);
    ASSERT_EQ(poll(20.1).size(), 1U);
    double now = 20.2;
    for (int i = 0; i < 50; ++i)
        m_core->record_tokens(ticket, 1, at_seconds(now += 0.015));
    EXPECT_FALSE(m_core->servers().at(0).cold.is_cold());
    for (int i = 0; i < cold_start::consecutive_slow_times; ++i)
        m_core->record_tokens(ticket, 1, at_seconds(now += 0.075));
    EXPECT_TRUE(m_core->servers().at(0).cold.is_cold());
}

// Guards against requests that wait although every server of the pool is known to be unavailable.
TEST_F(decision_core_test, refuses_at_once_when_every_server_is_unavailable)
{
    create_core(1);
    report_load(0, 0);
    m_core->mark_server_lost(engine_name(0), at_seconds(0.1));
    submit(0.2);
    auto const decisions = poll(0.2);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].refusal, base::error_kind::no_server);
    report_load(0, 1);
    submit(1.1);
    EXPECT_EQ(poll(1.1).front().outcome, decision_outcome::dispatched);
}

// Guards against leaked demand, which would make servers look fuller and fuller.
TEST_F(decision_core_test, releases_all_demand_when_generations_complete)
{
    create_core(1);
    report_load(0, 0);
    std::vector<std::uint64_t> tickets;
    tickets.reserve(20);
    for (int i = 0; i < 20; ++i)
        tickets.push_back(submit(0.1));
    poll(0.1);
    double now = 0.2;
    for (auto const ticket : tickets)
        complete_generation(ticket, now += 0.01, 120);
    EXPECT_EQ(m_core->running(), 0U);
    EXPECT_EQ(m_core->servers().at(0).local_running, 0);
    EXPECT_EQ(m_core->servers().at(0).local_unreported, 0);
    for (double const mean : m_core->servers().at(0).local_demand.mean)
        EXPECT_NEAR(mean, 0, 1e-6);
}

} // namespace
} // namespace jasminepier::decision
