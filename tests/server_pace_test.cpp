/// Pace of servers and gaps between events in the selection of a server: uneven servers, long
/// prompts beside long streams, figures that flip or are wrong. No network.
#include "platform/headers.hpp"
#include "serving/dispatcher.hpp"
#include "serving/server_pace.hpp"
#include "serving/stream_gap_model.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace jasminepier::serving
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(1000)};
request_demand const plan{3000, 900, 0, milliseconds(180), milliseconds(1800)};
request_demand const short_answer{2500, 10, 0, milliseconds(180), milliseconds(1500)};
constexpr int fast_pace = 55;
constexpr int slow_pace = 120;

std::optional<int> stated_pace(std::string const& load)
{
    http::response response;
    response.headers.add("Server-Load", load);
    return platform::read_response_metadata(response).pace_percent;
}

/// A node with the engines s0, s1, ... of one zone.
class server_pace_test : public testing::Test
{
protected:
    explicit server_pace_test(int servers = 4)
    {
        auto configuration = std::make_shared<fleet_configuration>();
        service engines;
        engines.name = "engines";
        engines.engine = engine_capabilities{24, 27000, 18432, 2700, true, true};
        configuration->services["engines"] = engines;
        m_node.set_configuration(configuration);
        m_node.set_fleet_view({{"n0", "n1"}, 2, false});
        for (int i = 0; i < servers; ++i)
        {
            server_entry entry;
            entry.id = "s" + std::to_string(i);
            entry.service = "engines";
            entry.zone = "a";
            entry.slots = 24;
            entry.revision = 1;
            m_node.directory().apply_entry(entry, start);
        }
    }

    void state_pace(std::string const& server, int percent, base::time_point now = start)
    {
        for (int i = 0; i < 10; ++i)
            m_node.record_pace(server, percent, now - milliseconds(200 * (10 - i)));
    }

    std::string select(request_demand const& demand,
                       selection_purpose purpose = selection_purpose::new_work)
    {
        auto const selection =
            m_node.select_server({"engines", demand, {}, purpose, "a"}, start, m_random);
        return selection.server ? selection.server->id : "";
    }

    void run(std::string const& server, request_demand const& demand)
    {
        m_node.record_first_event(m_node.begin_attempt(server, demand, start, nullptr));
    }

    std::string place(request_demand const& demand)
    {
        auto server = select(demand);
        if (!server.empty())
            run(server, demand);
        return server;
    }

    dispatcher m_node{{"n0", "a", {0.2, 56, seconds(10)}}};
    base::random_source m_random{20261206};
};

// A fast and a slow half: long streams fill the fast servers first, and then run alone on the slow
// ones, while short answers with long prompts stay away from them.
TEST_F(server_pace_test, places_long_streams_on_fast_servers_and_alone_on_slow_ones)
{
    state_pace("s0", fast_pace);
    state_pace("s1", fast_pace);
    state_pace("s2", slow_pace);
    state_pace("s3", slow_pace);
    std::map<std::string, int> plans;
    for (int i = 0; i < 12; ++i)
        ++plans[place(plan)];
    EXPECT_GE(plans["s0"] + plans["s1"], 10);
    EXPECT_LE(plans["s2"], 1);
    EXPECT_LE(plans["s3"], 1);
}

// Long prompts beside long streams: a short answer whose prompt would delay the events of a long
// stream goes to a server where it delays none.
TEST_F(server_pace_test, reads_long_prompts_away_from_long_streams_of_slow_servers)
{
    for (auto const* server : {"s0", "s1", "s2"})
    {
        state_pace(server, slow_pace);
        run(server, plan);
    }
    state_pace("s3", slow_pace);
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(place(short_answer), "s3");
    // Its own slow server is no reason for a short answer to go elsewhere.
    state_pace("s0", fast_pace, start + seconds(1));
    EXPECT_EQ(place({900, 10, 0, milliseconds(180)}), "s0");
}

// Estimates of the output are often far off: a stream that may become long is protected although
// its caller expects a short one.
TEST_F(server_pace_test, protects_streams_whose_estimate_is_short)
{
    auto misjudged = plan;
    misjudged.expected_output_tokens = 40;
    misjudged.maximum_output_tokens = 1780;
    for (auto const* server : {"s0", "s1", "s2", "s3"})
        state_pace(server, slow_pace);
    for (auto const* server : {"s0", "s1", "s2"})
        run(server, misjudged);
    run("s3", short_answer);
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(place(short_answer), "s3");
}

// Peers' long streams count like the node's own.
TEST_F(server_pace_test, counts_long_streams_and_paces_that_peers_report)
{
    for (auto const* server : {"s0", "s1", "s2", "s3"})
    {
        server_load load;
        load.server = hash_server(server);
        load.running = 1;
        load.reserved_tokens = 3900;
        load.pace = {slow_pace, milliseconds(40)};
        load.gap_bounded_streams = server == std::string("s3") ? 0 : 1;
        m_node.merge_peer({"a", std::string("n") + server}, {&load, 1}, start);
    }
    EXPECT_EQ(select(short_answer), "s3");
    for (auto const& load : m_node.local_loads(start))
        EXPECT_FALSE(load.pace) << "a peer's statement was passed on";
}

// A generation that moves reads no prompt again, so only the pace of its target counts.
TEST_F(server_pace_test, hands_over_to_a_fast_server)
{
    state_pace("s0", slow_pace);
    state_pace("s1", slow_pace);
    state_pace("s2", fast_pace);
    state_pace("s3", slow_pace);
    run("s2", plan);
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(select(plan, selection_purpose::handover), "s2");
}

// Without stated paces the choices are those of the code before paces were known.
TEST_F(server_pace_test, chooses_as_before_where_no_server_states_a_pace)
{
    std::string choices;
    for (int i = 0; i < 40; ++i)
    {
        auto const server = place(i % 3 == 0 ? plan : short_answer);
        choices += server.empty() ? '-' : server.back();
    }
    EXPECT_EQ(choices, "2103012301302130132031230213210---------");
}

// A figure that flips every 50 ms between a fast and a very slow pace: the estimate stays between
// them and does not jump with each answer.
// Guards against a fast server that fails everything and so gets every long stream.
TEST_F(server_pace_test, does_not_prefer_a_fast_server_that_fails)
{
    state_pace("s0", fast_pace);
    for (auto const* const slow : {"s1", "s2", "s3"})
    {
        state_pace(slow, slow_pace);
        for (int i = 0; i < 4; ++i)
            run(slow, plan);
        for (int i = 0; i < 20; ++i)
            m_node.record_outcome(slow, attempt_outcome::succeeded, start);
    }
    for (int i = 0; i < 20; ++i)
        m_node.record_outcome("s0", attempt_outcome::failed, start);
    for (int i = 0; i < 10; ++i)
        EXPECT_NE(select(plan), "s0");
}

TEST(server_pace_table_test, estimates_a_flipping_pace)
{
    server_pace_table table;
    auto now = start;
    for (int i = 0; i < 100; ++i, now += milliseconds(50))
    {
        table.record(1, {i % 2 == 0 ? 60 : 240, now});
        if (i < 20)
            continue;
        EXPECT_GT(table.estimate(1, now).percent, 90);
        EXPECT_LT(table.estimate(1, now).percent, 160);
    }
}

// A server that turns slow is known as slow after a few answers, and an old figure loses its
// weight.
TEST(server_pace_table_test, follows_changes_and_forgets_old_figures)
{
    server_pace_table table;
    EXPECT_EQ(table.estimate(1, start).certainty, 0);
    auto now = start;
    for (int i = 0; i < 10; ++i, now += milliseconds(300))
        table.record(1, {55, now});
    EXPECT_LT(table.estimate(1, now).percent, 60);
    for (int i = 0; i < 8; ++i, now += milliseconds(300))
        table.record(1, {300, now});
    EXPECT_GT(table.estimate(1, now).percent, 200);
    EXPECT_NEAR(table.estimate(1, now + seconds(55)).percent, 100, 10);
    table.expire(now + seconds(70));
    EXPECT_FALSE(table.any());
}

// A peer repeats its last statement in each report; a repetition gives it no more weight.
TEST(server_pace_table_test, counts_a_repeated_statement_once)
{
    server_pace_table table;
    for (int i = 0; i < 20; ++i)
        table.record(1, {300, start + milliseconds(i), true});
    EXPECT_LT(table.estimate(1, start + milliseconds(20)).percent, 250);
    EXPECT_FALSE(table.find_report(1, start));
}

// A figure that is missing, zero, negative, huge or no number counts as not stated.
TEST(server_pace_header_test, ignores_bad_figures)
{
    EXPECT_EQ(stated_pace("1,0,24,120"), 120);
    EXPECT_EQ(stated_pace("1, 0, 24, 55"), 55);
    for (auto const* bad : {"1,0,24", "1,0,24,", "1,0,24,0", "1,0,24,-5", "1,0,24,99999999999999",
                            "1,0,24,abc", "1,0,24,nan", "1,0,24,12x", "1,0", ""})
        EXPECT_FALSE(stated_pace(bad)) << bad;
    server_pace_table table;
    for (int const bad : {0, -5, 4, 2001})
        table.record(1, {bad, start});
    EXPECT_FALSE(table.any());
}

TEST(stream_gap_model_test, predicts_gaps_by_pace_and_prompt)
{
    constexpr milliseconds maximum_gap{180};
    EXPECT_LT(gap_excess_probability(3000, {fast_pace, 1}, maximum_gap), 0.001);
    EXPECT_GT(gap_excess_probability(3000, {slow_pace, 1}, maximum_gap), 0.08);
    EXPECT_LT(gap_excess_probability(600, {slow_pace, 1}, maximum_gap), 0.04);
    EXPECT_GT(gap_excess_probability(600, {400, 1}, maximum_gap), 0.9);
    stream_placement placement{{slow_pace, 1}, maximum_gap, seconds(0), 3000, 10, false, 0, 0};
    EXPECT_EQ(expected_late_streams(placement), 0);
    placement.long_streams = 1;
    auto const one = expected_late_streams(placement);
    placement.long_streams = 4;
    EXPECT_GT(expected_late_streams(placement), one);
    EXPECT_LE(expected_late_streams(placement), 1);
    // Far more is to be read first than the objective permits.
    placement = {{fast_pace, 1}, maximum_gap, milliseconds(1500), 3000, 10, false, 60000, 0};
    EXPECT_GT(expected_late_streams(placement), 0.9);
    placement.continues_copy = true;
    EXPECT_EQ(expected_late_streams(placement), 0);
}

} // namespace
} // namespace jasminepier::serving
