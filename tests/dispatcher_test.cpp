/// Choice of servers under the loads and faults that the platform's days bring. No network.
#include "serving/dispatcher.hpp"

#include <gtest/gtest.h>

#include <set>

namespace jasminepier::serving
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t cache_tokens = 34000;

server_entry make_server(std::string id, std::string service, std::string zone)
{
    server_entry entry;
    entry.id = std::move(id);
    entry.service = std::move(service);
    entry.zone = std::move(zone);
    entry.address = "10.0.0.1:" + std::to_string(8000 + entry.id.back());
    entry.slots = 6;
    entry.revision = 1;
    return entry;
}

std::shared_ptr<fleet_configuration const> make_configuration()
{
    auto configuration = std::make_shared<fleet_configuration>();
    service engines;
    engines.name = "engines";
    engines.cold_requests_per_second = 37;
    engines.engine = engine_capabilities{24, cache_tokens, 262144, 38000, true, true};
    service shop;
    shop.name = "shop";
    configuration->services["engines"] = engines;
    configuration->services["shop"] = shop;
    return configuration;
}

/// One node's dispatcher with servers s0, s1, ... in zones a, b and c in turn.
class dispatcher_test : public testing::Test
{
protected:
    static dispatcher make_node(std::string const& name, std::string const& service, int servers)
    {
        dispatcher node({name, "a", {0.2, 56, seconds(10)}});
        node.set_configuration(make_configuration());
        node.set_live_nodes({"n0", "n1", "n2", "n3"});
        constexpr std::string_view zones = "abc";
        for (int i = 0; i < servers; ++i)
            node.directory().apply_entry(
                make_server("s" + std::to_string(i), service,
                            std::string(1, zones[static_cast<std::size_t>(i) % zones.size()])),
                start);
        return node;
    }

    server_selection choose(dispatcher const& node, selection_query query,
                            base::time_point now = start)
    {
        return node.select_server(query, now, m_random);
    }

    static selection_query engine_query(std::int64_t prompt, std::int64_t output)
    {
        selection_query query;
        query.service = "engines";
        query.demand = {prompt, output, 0};
        return query;
    }

    static selection_query shop_query()
    {
        selection_query query;
        query.service = "shop";
        return query;
    }

    static constexpr base::time_point start{seconds(1000)};
    base::random_source m_random{20261204};
};

// Guards against long generations piling up on one engine until it preempts them.
TEST_F(dispatcher_test, long_generations_spread_by_predicted_memory)
{
    auto node = make_node("n0", "engines", 4);
    std::map<std::string, int> runs;
    for (int i = 0; i < 16; ++i)
    {
        auto const found = choose(node, engine_query(3000, 900));
        ASSERT_TRUE(found.server);
        ++runs[found.server->id];
        node.begin_attempt(found.server->id, {3000, 900, 0}, start, nullptr);
    }
    for (auto const& [server, count] : runs)
        EXPECT_EQ(count, 4) << server;
}

// Guards against sending to engines whose memory is spoken for, which preempts running work.
TEST_F(dispatcher_test, full_engines_make_requests_wait)
{
    auto node = make_node("n0", "engines", 1);
    for (int i = 0; i < 7; ++i)
        node.begin_attempt("s0", {3000, 1300, 0}, start, nullptr);
    auto const found = choose(node, engine_query(3000, 900));
    EXPECT_FALSE(found.server);
    EXPECT_EQ(found.reason, exclusion_reason::full);
    EXPECT_TRUE(found.worth_waiting());
}

// Guards against a request that no engine can hold with others never being served at all.
TEST_F(dispatcher_test, a_request_larger_than_usable_memory_runs_alone)
{
    auto node = make_node("n0", "engines", 1);
    EXPECT_TRUE(choose(node, engine_query(33000, 900)).server);
    node.begin_attempt("s0", {100, 10, 0}, start, nullptr);
    EXPECT_FALSE(choose(node, engine_query(33000, 900)).server);
}

// Guards against all nodes sending to the server that was least loaded in the last report.
TEST_F(dispatcher_test, peers_reports_count_like_own_requests)
{
    auto node = make_node("n0", "engines", 2);
    server_load busy;
    busy.server = hash_server("s0");
    busy.running = 6;
    busy.reserved_tokens = 24000;
    node.merge_peer("n1", {&busy, 1}, start);
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(choose(node, engine_query(3000, 900)).server->id, "s1");
    node.remove_peer("n1");
    std::set<std::string> chosen;
    for (int i = 0; i < 50; ++i)
        chosen.insert(choose(node, engine_query(3000, 900)).server->id);
    EXPECT_EQ(chosen.size(), 2U);
}

// Guards against new work for servers that leave and for zones that operators take out.
TEST_F(dispatcher_test, leaving_servers_and_evacuated_zones_get_nothing)
{
    auto node = make_node("n0", "shop", 3);
    auto draining = make_server("s0", "shop", "a");
    draining.draining = true;
    draining.revision = 2;
    node.directory().apply_entry(draining, start);
    node.set_evacuated_zones({"b"});
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(choose(node, shop_query()).server->id, "s2");
    node.directory().apply_removal("s2", 3, start);
    auto const none = choose(node, shop_query());
    EXPECT_FALSE(none.server);
    EXPECT_FALSE(none.worth_waiting());
}

// Guards against running generations that are not told of their server's leaving.
TEST_F(dispatcher_test, runs_hear_when_their_server_leaves)
{
    auto node = make_node("n0", "engines", 2);
    int told = 0;
    node.begin_attempt("s0", {3000, 900, 0}, start, [&] { ++told; });
    node.begin_attempt("s1", {3000, 900, 0}, start, [&] { told += 100; });
    node.notify_leaving();
    EXPECT_EQ(told, 0);
    server_load leaving;
    leaving.server = hash_server("s0");
    leaving.leaving = true;
    node.merge_peer("n1", {&leaving, 1}, start);
    node.notify_leaving();
    EXPECT_EQ(told, 1);
    EXPECT_TRUE(node.is_leaving("s0"));
}

// Guards against sending every request into the connect timeout of a dead server.
TEST_F(dispatcher_test, an_unreachable_server_rests_longer_each_time)
{
    auto node = make_node("n0", "shop", 1);
    auto const usable_after = [&](milliseconds pause, base::time_point since)
    { return choose(node, shop_query(), since + pause).server.has_value(); };
    node.record_outcome("s0", attempt_outcome::unreachable, start);
    EXPECT_FALSE(usable_after(milliseconds(300), start));
    EXPECT_TRUE(usable_after(milliseconds(401), start));
    node.record_outcome("s0", attempt_outcome::unreachable, start + seconds(1));
    EXPECT_FALSE(usable_after(milliseconds(700), start + seconds(1)));
    EXPECT_TRUE(usable_after(milliseconds(801), start + seconds(1)));
    node.record_outcome("s0", attempt_outcome::succeeded, start + seconds(2));
    EXPECT_TRUE(usable_after(milliseconds(0), start + seconds(2)));
}

// Guards against servers that fail requests while their health check is good.
TEST_F(dispatcher_test, a_failing_server_is_avoided_until_it_recovers)
{
    auto node = make_node("n0", "shop", 3);
    for (int i = 0; i < 10; ++i)
    {
        node.record_outcome("s0", attempt_outcome::failed, start);
        node.record_outcome("s1", attempt_outcome::succeeded, start);
        node.record_outcome("s2", attempt_outcome::succeeded, start);
    }
    for (int i = 0; i < 20; ++i)
        EXPECT_NE(choose(node, shop_query()).server->id, "s0");
    std::set<std::string> later;
    for (int i = 0; i < 50; ++i)
        later.insert(choose(node, shop_query(), start + seconds(40)).server->id);
    EXPECT_TRUE(later.contains("s0"));
}

// Guards against nodes that together send a cold server more than it carries.
TEST_F(dispatcher_test, all_nodes_together_keep_a_cold_servers_bound)
{
    std::vector<std::string> names;
    names.reserve(67);
    for (int i = 0; i < 67; ++i)
        names.push_back("n" + std::to_string(i));
    int sent = 0;
    for (auto const& name : names)
    {
        auto node = make_node(name, "engines", 0);
        node.set_live_nodes(names);
        auto cold = make_server("s0", "engines", "a");
        cold.remaining_warm_up = seconds(5);
        node.directory().apply_entry(cold, start);
        for (int i = 0; i < 10; ++i)
            if (auto const found = choose(node, engine_query(10, 10)); found.server)
            {
                node.end_attempt(node.begin_attempt("s0", {10, 10, 0}, start, nullptr),
                                 attempt_outcome::succeeded, start);
                ++sent;
            }
    }
    EXPECT_LE(sent, 37);
    EXPECT_GT(sent, 30);
}

// Guards against short questions that stand behind long generations for a place.
TEST_F(dispatcher_test, less_urgent_requests_do_not_pass_more_urgent_ones)
{
    auto node = make_node("n0", "engines", 1);
    EXPECT_FALSE(node.more_urgent_waiting("engines", 1));
    node.add_waiting("engines", 0);
    EXPECT_TRUE(node.more_urgent_waiting("engines", 1));
    EXPECT_FALSE(node.more_urgent_waiting("engines", 0));
    node.remove_waiting("engines", 0);
    EXPECT_FALSE(node.more_urgent_waiting("engines", 1));
}

// Guards against clients that repeat at once and often: the nodes' retries together must stay
// within the platform's bound.
TEST_F(dispatcher_test, all_nodes_together_keep_the_retry_bound)
{
    constexpr int requests_per_node = 50;
    int retries = 0;
    for (int i = 0; i < 4; ++i)
    {
        auto node = make_node("n" + std::to_string(i), "shop", 3);
        for (int k = 0; k < requests_per_node; ++k)
        {
            node.add_request("shop", start);
            while (node.try_spend_retry("shop", start))
                ++retries;
        }
    }
    EXPECT_LE(retries, 0.2 * 4 * requests_per_node + 56);
    EXPECT_GE(retries, 40);
}

/// Four nodes with one run each on the engine s0.
class reclaimed_engine_test : public dispatcher_test
{
protected:
    void SetUp() override
    {
        for (int i = 0; i < 4; ++i)
        {
            m_nodes.push_back(make_node("n" + std::to_string(i), "engines", 3));
            m_attempts.push_back(
                m_nodes.back().begin_attempt("s0", {3000, 900, 0}, start, nullptr));
            m_nodes.back().record_first_event(m_attempts.back());
            m_nodes.back().set_can_hand_over(m_attempts.back(), true);
        }
        exchange_reports();
    }

    void exchange_reports()
    {
        for (std::size_t from = 0; from < m_nodes.size(); ++from)
            for (std::size_t to = 0; to < m_nodes.size(); ++to)
                if (from != to)
                    m_nodes[to].merge_peer("n" + std::to_string(from),
                                           m_nodes[from].local_loads(start), start);
    }

    std::vector<std::size_t> nodes_whose_turn_it_is()
    {
        std::vector<std::size_t> found;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            if (m_attempts[i] != 0 && m_nodes[i].may_start_copy(m_attempts[i]))
                found.push_back(i);
        return found;
    }

    std::vector<dispatcher> m_nodes;
    std::vector<attempt_id> m_attempts;
};

// Guards against last copies that wait behind the first copies of other runs while their streams
// stand still: exactly one run of a leaving engine is copied at a time.
TEST_F(reclaimed_engine_test, runs_leave_one_after_the_other)
{
    std::set<std::size_t> done;
    for (int round = 0; round < 4; ++round)
    {
        auto const turn = nodes_whose_turn_it_is();
        ASSERT_EQ(turn.size(), 1U) << "round " << round;
        done.insert(turn.front());
        m_nodes[turn.front()].end_attempt(m_attempts[turn.front()], attempt_outcome::inconclusive,
                                          start);
        m_attempts[turn.front()] = 0;
        exchange_reports();
    }
    EXPECT_EQ(done.size(), 4U);
}

// Guards against turns that never come when the reports of a peer are lost: expected turns differ
// and fit into the time before the engine leaves.
TEST_F(reclaimed_engine_test, expected_turns_are_spread_over_the_notice)
{
    std::set<milliseconds> turns;
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
    {
        turns.insert(m_nodes[i].copy_start_delay(m_attempts[i]));
        EXPECT_LE(m_nodes[i].copy_start_delay(m_attempts[i]), milliseconds(1100));
    }
    EXPECT_EQ(turns.size(), 4U);
    EXPECT_EQ(*turns.begin(), milliseconds(0));
}

// Guards against copies that cross zones, which take twice as long, while near engines have room.
TEST_F(reclaimed_engine_test, near_engines_take_over_runs_first)
{
    auto node = make_node("n0", "engines", 6);
    auto query = engine_query(3000, 900);
    query.purpose = selection_purpose::handover;
    query.preferred_zone = "a";
    std::vector<std::string> const source{"s0"};
    query.excluded_servers = source;
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(choose(node, query).server->id, "s3");
}

// Guards against a split route that ignores its weights.
TEST_F(dispatcher_test, services_of_a_route_are_chosen_by_weight)
{
    auto node = make_node("n0", "engines", 1);
    route split;
    split.services = {{"engines", 90}, {"shop", 10}, {"unknown", 0}};
    int engines = 0;
    for (int i = 0; i < 1000; ++i)
        engines += node.select_service(split, m_random)->name == "engines" ? 1 : 0;
    EXPECT_NEAR(engines, 900, 50);
}

} // namespace
} // namespace jasminepier::serving
