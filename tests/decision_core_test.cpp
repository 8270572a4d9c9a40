#include "benchmarks/replay/fleet.hpp"
#include "decision/decision_core.hpp"

#include <gtest/gtest.h>

namespace jasminepier::decision
{
namespace
{

using benchmarks::engine_name;
using configuration::work_kind;

base::time_point at(double seconds)
{
    return base::time_point(std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6)));
}

/// One node's core in front of a few servers that report a load.
class core_test : public testing::Test
{
protected:
    void start(int servers, int nodes = 1, policy_switches switches = {})
    {
        m_servers = servers;
        m_nodes = nodes;
        m_core.emplace(core_settings{"node-0", "zone-a", 7, switches});
        configure(-1, 0);
    }
    void configure(int zone_out, double now)
    {
        m_core->apply_configuration(
            benchmarks::make_configuration(m_preset, m_servers, m_nodes, zone_out), at(now));
    }
    void report(int server, double now, std::int64_t used = 0,
                reported_state state = reported_state::warm, char const* instance = "1")
    {
        m_core->apply_report(
            engine_name(server),
            {instance, state, static_cast<int>(used / 1000), 0, used, 60000, 2, 500, {}}, at(now),
            at(now));
    }
    std::uint64_t submit(double now, work_kind kind = work_kind::question,
                         std::string const& customer = "customer-0", std::int64_t prompt = 100)
    {
        submission wanted{benchmarks::service_name, benchmarks::model_name, customer, kind, prompt};
        return m_core->submit(wanted, at(now));
    }
    std::vector<decision_result> poll(double now)
    {
        std::vector<decision_result> decisions;
        m_core->poll(at(now), decisions);
        return decisions;
    }
    /// Runs one generation of `tokens` with 20 ms between tokens and lets it complete.
    void run(std::uint64_t ticket, double now, std::int64_t tokens)
    {
        m_core->record_tokens(ticket, tokens, at(now));
        m_core->finish(ticket, generation_outcome::completed, at(now));
    }

    configuration::preset m_preset;
    std::optional<decision_core> m_core;
    int m_servers = 0;
    int m_nodes = 1;
};

// Guards against filling memory with generations that fit now and grow later, which preempts.
TEST_F(core_test, leaves_room_for_growth)
{
    for (auto const growth : {toggle::on, toggle::off})
    {
        policy_switches switches;
        switches.growth = growth;
        switches.margin = toggle::off;
        switches.reserves = toggle::off;
        start(1, 1, switches);
        report(0, 0);
        for (int i = 0; i < 100; ++i)
            submit(0.1, work_kind::proposal, "customer-0", 800);
        auto const sent = poll(0.1).size();
        // 67 prompts of 800 tokens fit under the fill limit, but not with their output.
        if (growth == toggle::on)
            EXPECT_LT(sent, 60U);
        else
            EXPECT_EQ(sent, 67U);
    }
}

// Guards against sending to a zone that went out of service while the request waited.
TEST_F(core_test, checks_eligibility_at_dispatch)
{
    start(3);
    for (int i = 0; i < 3; ++i)
        report(i, 0, 59000);
    submit(0.1, work_kind::proposal);
    EXPECT_TRUE(poll(0.1).empty());
    configure(0, 1);
    for (int i = 0; i < 3; ++i)
        report(i, 2, i == 0 ? 0 : 59000);
    EXPECT_TRUE(poll(2).empty());
    configure(-1, 3);
    ASSERT_EQ(poll(3).size(), 1U);
}

// Guards against waits beyond the deadline and against a refusal that says too little.
TEST_F(core_test, refuses_truthfully_when_the_deadline_passes)
{
    start(1);
    report(0, 0, 59000);
    submit(0.1);
    EXPECT_TRUE(poll(5).empty());
    auto const decisions = poll(5.2);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].outcome, decision_outcome::refused);
    EXPECT_EQ(decisions[0].refusal, base::error_kind::deadline_exceeded);
    EXPECT_GT(decisions[0].retry_after_seconds, 0);
    EXPECT_EQ(m_core->queued(), 0U);
}

// Guards against keeping callers waiting for a refusal that can be foreseen.
TEST_F(core_test, refuses_early_when_the_predicted_wait_is_too_long)
{
    for (auto const early : {toggle::on, toggle::off})
    {
        policy_switches switches;
        switches.early_refusal = early;
        start(1, 1, switches);
        report(0, 0, 59000);
        for (int i = 0; i < 200; ++i)
            submit(0.1, work_kind::proposal);
        // Each second, room for one or two proposals appears and fills again.
        for (int second = 1; second <= 20; ++second)
        {
            report(0, second, 47000);
            poll(second + 0.1);
            report(0, second + 0.2, 59000);
        }
        submit(21, work_kind::proposal);
        auto const decisions = poll(21);
        bool const refused =
            !decisions.empty() && decisions.back().reason == "predicted_wait_exceeds_deadline";
        EXPECT_EQ(refused, early == toggle::on);
    }
}

// Guards against a burst of one customer that keeps all others waiting.
TEST_F(core_test, shares_a_crowded_queue_between_customers)
{
    for (auto const fair : {toggle::on, toggle::off})
    {
        policy_switches switches;
        switches.fair_queuing = fair;
        start(1, 1, switches);
        report(0, 0, 59000);
        for (int i = 0; i < 200; ++i)
            submit(0.1, work_kind::proposal, "customer-0");
        auto const late = submit(0.2, work_kind::proposal, "customer-9");
        poll(0.3);
        report(0, 1, 40000);
        bool served = false;
        for (auto const& decided : poll(1.1))
            served = served || decided.ticket == late;
        EXPECT_EQ(served, fair == toggle::on);
    }
}

// Guards against short questions that wait behind bulk work for memory.
TEST_F(core_test, keeps_a_reserve_for_questions)
{
    for (auto const reserves : {toggle::on, toggle::off})
    {
        policy_switches switches;
        switches.reserves = reserves;
        start(1, 1, switches);
        report(0, 0);
        for (int i = 0; i < 300; ++i)
            submit(0.1, work_kind::bulk, "customer-0", 1500);
        poll(0.1);
        auto const question = submit(0.2, work_kind::question, "customer-1", 2500);
        bool served = false;
        for (auto const& decided : poll(0.2))
            served = served || decided.ticket == question;
        EXPECT_EQ(served, reserves == toggle::on);
    }
}

// Guards against reading the whole fleet for each decision.
TEST_F(core_test, looks_at_few_servers)
{
    start(2000);
    for (int i = 0; i < 2000; ++i)
        report(i, 0);
    submit(0.1);
    auto const decisions = poll(0.1);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_LE(decisions[0].candidates.size(), 4U);
}

// Guards against every node filling the same server on the same stale report.
TEST_F(core_test, leaves_room_for_other_nodes_on_a_stale_report)
{
    for (auto const foreign : {toggle::on, toggle::off})
    {
        policy_switches switches;
        switches.peer_dispatches = foreign;
        start(1, 8, switches);
        // This node runs 2 of about 16 generations; the report frees 30000 tokens for all nodes.
        report(0, 0, 14000);
        submit(0, work_kind::proposal);
        submit(0, work_kind::proposal);
        poll(0);
        for (int second = 1; second <= 10; ++second)
        {
            report(0, second, 16000);
            poll(second + 0.1);
        }
        for (int i = 0; i < 60; ++i)
            submit(10.5, work_kind::proposal, "customer-0", 500);
        auto const sent = poll(10.5).size();
        if (foreign == toggle::on)
            EXPECT_LT(sent, 8U);
        else
            EXPECT_GT(sent, 15U);
    }
}

// Guards against full load on a server that was restarted: the new instance is cold even if its
// report does not say so.
TEST_F(core_test, sends_little_to_a_new_instance)
{
    for (auto const slots : {toggle::on, toggle::off})
    {
        policy_switches switches;
        switches.cold_slots = slots;
        start(1, 1, switches);
        report(0, 20);
        report(0, 21, 0, reported_state::warm, "2");
        for (int i = 0; i < 10; ++i)
            submit(21.1);
        EXPECT_EQ(poll(21.1).size(), slots == toggle::on ? 2U : 10U);
    }
}

// Guards against a warm server that turns cold without any report.
TEST_F(core_test, finds_a_cold_server_by_its_token_times)
{
    start(1);
    report(0, 20);
    auto const ticket = submit(20.1);
    ASSERT_EQ(poll(20.1).size(), 1U);
    double now = 20.2;
    for (int i = 0; i < 50; ++i)
        m_core->record_tokens(ticket, 1, at(now += 0.015));
    EXPECT_FALSE(m_core->servers().at(0).cold.is_cold());
    for (int i = 0; i < cold_start::consecutive_slow_times; ++i)
        m_core->record_tokens(ticket, 1, at(now += 0.075));
    EXPECT_TRUE(m_core->servers().at(0).cold.is_cold());
}

// Guards against retries that wait at a pool in which every server is known to be unavailable.
TEST_F(core_test, refuses_at_once_when_no_server_is_left)
{
    start(1);
    report(0, 0);
    m_core->mark_server_lost(engine_name(0), at(0.1));
    submit(0.2);
    auto const decisions = poll(0.2);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].refusal, base::error_kind::no_server);
    report(0, 1);
    submit(1.1);
    EXPECT_EQ(poll(1.1).front().outcome, decision_outcome::dispatched);
}

// Guards against leaked demand: after all generations have ended, nothing is left on the server.
TEST_F(core_test, frees_all_demand)
{
    start(1);
    report(0, 0);
    std::vector<std::uint64_t> tickets;
    tickets.reserve(20);
    for (int i = 0; i < 20; ++i)
        tickets.push_back(submit(0.1));
    poll(0.1);
    double now = 0.2;
    for (auto const ticket : tickets)
        run(ticket, now += 0.01, 120);
    EXPECT_EQ(m_core->running(), 0U);
    EXPECT_EQ(m_core->servers().at(0).local_running, 0);
    EXPECT_EQ(m_core->servers().at(0).local_unreported, 0);
    for (double const mean : m_core->servers().at(0).local_demand.mean)
        EXPECT_NEAR(mean, 0, 1e-6);
}

} // namespace
} // namespace jasminepier::decision
