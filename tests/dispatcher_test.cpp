/// Server selection, retry budget and handover order under load and faults. No network.
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

/// Creates dispatchers with servers s0, s1, ... that are spread over the zones a, b and c.
class dispatcher_test : public testing::Test
{
protected:
    static dispatcher make_dispatcher(std::string const& name, std::string const& service,
                                      int servers)
    {
        dispatcher node({name, "a", {0.2, 56, seconds(10)}});
        node.set_configuration(make_configuration());
        node.set_fleet_view({{"n0", "n1", "n2", "n3"}, 4, false});
        constexpr std::string_view zones = "abc";
        for (int i = 0; i < servers; ++i)
            node.directory().apply_entry(
                make_server("s" + std::to_string(i), service,
                            std::string(1, zones[static_cast<std::size_t>(i) % zones.size()])),
                start);
        return node;
    }

    server_selection select(dispatcher const& node, selection_query const& query,
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

// Guards against assigning several long generations to one engine, which then preempts them.
TEST_F(dispatcher_test, spreads_long_generations_by_predicted_cache_use)
{
    auto node = make_dispatcher("n0", "engines", 4);
    std::map<std::string, int> attempts_by_server;
    for (int i = 0; i < 16; ++i)
    {
        auto const selection = select(node, engine_query(3000, 900));
        ASSERT_TRUE(selection.server);
        ++attempts_by_server[selection.server->id];
        node.begin_attempt(selection.server->id, {3000, 900, 0}, start, nullptr);
    }
    for (auto const& [server, count] : attempts_by_server)
        EXPECT_EQ(count, 4) << server;
}

// Guards against sending requests to an engine whose KV cache is reserved by running generations,
// which then preempts them.
TEST_F(dispatcher_test, waits_when_all_engines_are_full)
{
    auto node = make_dispatcher("n0", "engines", 1);
    for (int i = 0; i < 7; ++i)
        node.begin_attempt("s0", {3000, 1300, 0}, start, nullptr);
    auto const selection = select(node, engine_query(3000, 900));
    EXPECT_FALSE(selection.server);
    EXPECT_EQ(selection.reason, exclusion_reason::full);
    EXPECT_TRUE(selection.worth_waiting());
}

// Guards against never serving a request that is too large to share an engine.
TEST_F(dispatcher_test, selects_only_an_idle_engine_for_a_request_larger_than_the_usable_cache)
{
    auto node = make_dispatcher("n0", "engines", 1);
    EXPECT_TRUE(select(node, engine_query(33000, 900)).server);
    node.begin_attempt("s0", {100, 10, 0}, start, nullptr);
    EXPECT_FALSE(select(node, engine_query(33000, 900)).server);
}

// Guards against all nodes sending to the same server because they count only their own requests.
TEST_F(dispatcher_test, counts_load_reported_by_peers_like_local_load)
{
    auto node = make_dispatcher("n0", "engines", 2);
    server_load peer_load;
    peer_load.server = hash_server("s0");
    peer_load.running = 6;
    peer_load.reserved_tokens = 24000;
    node.merge_peer({"a", "n1"}, {&peer_load, 1}, start);
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(select(node, engine_query(3000, 900)).server->id, "s1");
    node.remove_peer("a", "n1");
    std::set<std::string> selected;
    for (int i = 0; i < 50; ++i)
        selected.insert(select(node, engine_query(3000, 900)).server->id);
    EXPECT_EQ(selected.size(), 2U);
}

// Guards against new requests to servers that drain or were removed, or whose zone is evacuated.
TEST_F(dispatcher_test, never_selects_leaving_servers_or_evacuated_zones)
{
    auto node = make_dispatcher("n0", "shop", 3);
    auto draining_server = make_server("s0", "shop", "a");
    draining_server.draining = true;
    draining_server.revision = 2;
    node.directory().apply_entry(draining_server, start);
    node.set_evacuated_zones({"b"});
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(select(node, shop_query()).server->id, "s2");
    node.directory().apply_removal("s2", 3, start);
    auto const selection = select(node, shop_query());
    EXPECT_FALSE(selection.server);
    EXPECT_FALSE(selection.worth_waiting());
}

// Guards against rejecting requests after a restart of the whole fleet during an outage of the
// store, when the servers' entries have expired: callers spend their only retry on a second
// rejection.
TEST_F(dispatcher_test, waits_for_servers_while_their_list_may_be_incomplete)
{
    auto node = make_dispatcher("n0", "shop", 0);
    EXPECT_EQ(select(node, shop_query()).reason, exclusion_reason::unlisted);
    EXPECT_TRUE(select(node, shop_query()).worth_waiting());
    node.directory().record_list(start);
    auto const later = start + server_directory::startup_period;
    EXPECT_TRUE(select(node, shop_query(), later - milliseconds(1)).worth_waiting());
    EXPECT_FALSE(select(node, shop_query(), later).worth_waiting());
    node.directory().handle_store_lost(later);
    EXPECT_TRUE(select(node, shop_query(), later + seconds(9)).worth_waiting());
    auto const store_returned = later + seconds(10);
    node.directory().handle_store_reached(store_returned);
    auto const servers_returned = store_returned + server_directory::expired_entry_grace_period;
    EXPECT_TRUE(select(node, shop_query(), servers_returned - milliseconds(1)).worth_waiting());
    EXPECT_FALSE(select(node, shop_query(), servers_returned).worth_waiting());
}

// Guards against waiting for servers that an operator has taken out of service.
TEST_F(dispatcher_test, does_not_wait_for_servers_of_evacuated_zones)
{
    auto node = make_dispatcher("n0", "shop", 1);
    node.set_evacuated_zones({"a"});
    EXPECT_FALSE(select(node, shop_query()).worth_waiting());
}

// Guards against missing the handover of generations whose server starts to drain.
TEST_F(dispatcher_test, notifies_attempts_when_their_server_leaves)
{
    auto node = make_dispatcher("n0", "engines", 2);
    int notifications = 0;
    node.begin_attempt("s0", {3000, 900, 0}, start, [&] { ++notifications; });
    node.begin_attempt("s1", {3000, 900, 0}, start, [&] { notifications += 100; });
    node.notify_leaving();
    EXPECT_EQ(notifications, 0);
    server_load peer_load;
    peer_load.server = hash_server("s0");
    peer_load.leaving = {.revision = 2};
    node.merge_peer({"a", "n1"}, {&peer_load, 1}, start);
    node.notify_leaving();
    EXPECT_EQ(notifications, 1);
    EXPECT_TRUE(node.is_leaving("s0"));
}

// Guards against every request waiting for the connect timeout of a dead server.
TEST_F(dispatcher_test, doubles_the_backoff_of_an_unreachable_server)
{
    auto node = make_dispatcher("n0", "shop", 1);
    auto const is_selected_after = [&](milliseconds delay, base::time_point failed_at)
    { return select(node, shop_query(), failed_at + delay).server.has_value(); };
    node.record_outcome("s0", attempt_outcome::unreachable, start);
    EXPECT_FALSE(is_selected_after(milliseconds(300), start));
    EXPECT_TRUE(is_selected_after(milliseconds(401), start));
    node.record_outcome("s0", attempt_outcome::unreachable, start + seconds(1));
    EXPECT_FALSE(is_selected_after(milliseconds(700), start + seconds(1)));
    EXPECT_TRUE(is_selected_after(milliseconds(801), start + seconds(1)));
    node.record_outcome("s0", attempt_outcome::succeeded, start + seconds(2));
    EXPECT_TRUE(is_selected_after(milliseconds(0), start + seconds(2)));
}

// Guards against servers that fail requests although their health checks succeed.
TEST_F(dispatcher_test, avoids_a_failing_server_until_its_failures_have_decayed)
{
    auto node = make_dispatcher("n0", "shop", 3);
    for (int i = 0; i < 10; ++i)
    {
        node.record_outcome("s0", attempt_outcome::failed, start);
        node.record_outcome("s1", attempt_outcome::succeeded, start);
        node.record_outcome("s2", attempt_outcome::succeeded, start);
    }
    for (int i = 0; i < 20; ++i)
        EXPECT_NE(select(node, shop_query()).server->id, "s0");
    std::set<std::string> selected_later;
    for (int i = 0; i < 50; ++i)
        selected_later.insert(select(node, shop_query(), start + seconds(40)).server->id);
    EXPECT_TRUE(selected_later.contains("s0"));
}

// Guards against overloading a cold server because each node applies the limit on its own.
TEST_F(dispatcher_test, all_nodes_together_respect_the_rate_limit_of_a_cold_server)
{
    std::vector<std::string> names;
    names.reserve(67);
    for (int i = 0; i < 67; ++i)
        names.push_back("n" + std::to_string(i));
    int sent_requests = 0;
    for (auto const& name : names)
    {
        auto node = make_dispatcher(name, "engines", 0);
        node.set_fleet_view({names, names.size(), false});
        auto cold_server = make_server("s0", "engines", "a");
        cold_server.remaining_warm_up = seconds(5);
        node.directory().apply_entry(cold_server, start);
        for (int i = 0; i < 10; ++i)
            if (auto const selection = select(node, engine_query(10, 10)); selection.server)
            {
                node.end_attempt(node.begin_attempt("s0", {10, 10, 0}, start, nullptr),
                                 attempt_outcome::succeeded, start);
                ++sent_requests;
            }
    }
    EXPECT_LE(sent_requests, 37);
    EXPECT_GT(sent_requests, 30);
}

// Guards against a server that gets many times the rate that it states, because each node sends at
// that rate or learns of it only from its own requests.
TEST_F(dispatcher_test, all_nodes_together_respect_the_rate_limit_that_a_server_states)
{
    std::vector<std::string> names;
    names.reserve(67);
    for (int i = 0; i < 67; ++i)
        names.push_back("n" + std::to_string(i));
    std::vector<dispatcher> nodes;
    for (auto const& name : names)
    {
        nodes.push_back(make_dispatcher(name, "shop", 1));
        nodes.back().set_fleet_view({names, names.size(), false});
    }
    constexpr double limit = 3.6;
    constexpr int permitted_per_window = 20;
    EXPECT_TRUE(nodes.front().record_rate_limit("s0", limit, start));
    auto const report = nodes.front().local_loads(start);
    for (std::size_t i = 1; i < nodes.size(); ++i)
        nodes[i].merge_peer({"a", names.front()}, report, start + milliseconds(1));
    std::deque<base::time_point> sent;
    for (auto now = start + milliseconds(10); now < start + seconds(12); now += milliseconds(50))
        for (auto& node : nodes)
            if (select(node, shop_query(), now).server)
            {
                node.end_attempt(node.begin_attempt("s0", {}, now, nullptr),
                                 attempt_outcome::succeeded, now);
                sent.push_back(now);
            }
    EXPECT_GE(sent.size(), 3U * permitted_per_window);
    for (std::size_t i = permitted_per_window; i < sent.size(); ++i)
        EXPECT_GE(sent[i] - sent[i - permitted_per_window], server_rate_limits::window);
}

// Guards against a limit that comes back, or lasts, because reports of nodes overtake each other.
TEST_F(dispatcher_test, the_latest_statement_of_a_rate_limit_counts)
{
    auto first = make_dispatcher("n0", "shop", 1);
    auto second = make_dispatcher("n1", "shop", 1);
    first.record_rate_limit("s0", 1.0, start);
    auto const stated = first.local_loads(start);
    second.merge_peer({"a", "n0"}, stated, start);
    // A node reports only the statements that it has got itself.
    EXPECT_TRUE(second.local_loads(start).empty());
    second.record_rate_limit("s0", std::nullopt, start + milliseconds(20));
    auto const lifted = second.local_loads(start + milliseconds(30));
    ASSERT_EQ(lifted.size(), 1U);
    EXPECT_EQ(lifted.front().rate_limit->age, milliseconds(10));
    first.merge_peer({"a", "n1"}, lifted, start + milliseconds(30));
    // An earlier report of the first node arrives late.
    second.merge_peer({"a", "n0"}, first.local_loads(start + milliseconds(30)),
                      start + milliseconds(40));
    for (auto* node : {&first, &second})
        for (int i = 0; i < 10; ++i)
        {
            auto const now = start + milliseconds(50);
            ASSERT_TRUE(select(*node, shop_query(), now).server);
            node->begin_attempt("s0", {}, now, nullptr);
        }
}

// Guards against holding requests, or sending callers away for too short a time, while all servers
// are at their rate limits.
TEST_F(dispatcher_test, tells_when_a_server_accepts_a_rate_limited_request)
{
    auto node = make_dispatcher("n0", "shop", 1);
    node.set_fleet_view({{"n0"}, 1, false});
    // Two requests in each window of 4 s.
    node.record_rate_limit("s0", 0.0, start);
    node.begin_attempt("s0", {}, start - seconds(1), nullptr);
    node.begin_attempt("s0", {}, start, nullptr);
    auto const rejected = select(node, shop_query(), start + seconds(1));
    EXPECT_EQ(rejected.reason, exclusion_reason::rate_limited);
    EXPECT_EQ(rejected.delay, milliseconds(2000));
    auto const ticket = node.waiting().add("shop", {}, start + seconds(1));
    EXPECT_EQ(select(node, shop_query(), start + seconds(1)).delay, milliseconds(4000));
    node.waiting().remove(*ticket);
    EXPECT_TRUE(select(node, shop_query(), start + seconds(3)).server);
    // A node without a share of the only server's limit.
    std::vector<std::string> const names{"n0", "n1", "n2", "n3", "n4", "n5"};
    int nodes_without_share = 0;
    for (auto const& name : names)
    {
        auto other = make_dispatcher(name, "shop", 1);
        other.set_fleet_view({names, names.size(), false});
        other.record_rate_limit("s0", 0.0, start);
        auto const selection = select(other, shop_query(), start);
        nodes_without_share += selection.server || selection.worth_waiting() ? 0 : 1;
    }
    EXPECT_EQ(nodes_without_share, 4);
}

// Guards against retry storms: the retries of all nodes together must stay within the platform's
// limits.
TEST_F(dispatcher_test, all_nodes_together_stay_within_the_retry_budget)
{
    constexpr int requests_per_node = 50;
    int retries = 0;
    for (int i = 0; i < 4; ++i)
    {
        auto node = make_dispatcher("n" + std::to_string(i), "shop", 3);
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

/// Four nodes with one attempt each on the engine s0.
class draining_engine_test : public dispatcher_test
{
protected:
    void SetUp() override
    {
        for (int i = 0; i < 4; ++i)
        {
            m_nodes.push_back(make_dispatcher("n" + std::to_string(i), "engines", 3));
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
                    m_nodes[to].merge_peer({"a", "n" + std::to_string(from)},
                                           m_nodes[from].local_loads(start), start);
    }

    std::vector<std::size_t> nodes_allowed_to_copy()
    {
        std::vector<std::size_t> allowed_nodes;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            if (m_attempts[i] != 0 && m_nodes[i].may_start_copy(m_attempts[i]))
                allowed_nodes.push_back(i);
        return allowed_nodes;
    }

    std::vector<dispatcher> m_nodes;
    std::vector<attempt_id> m_attempts;
};

// Guards against a stream that stalls because its generation's final copy queues behind the first
// copies of other generations.
TEST_F(draining_engine_test, copies_one_generation_at_a_time)
{
    std::set<std::size_t> handed_over;
    for (int round = 0; round < 4; ++round)
    {
        auto const next_nodes = nodes_allowed_to_copy();
        ASSERT_EQ(next_nodes.size(), 1U) << "round " << round;
        handed_over.insert(next_nodes.front());
        m_nodes[next_nodes.front()].end_attempt(m_attempts[next_nodes.front()],
                                                attempt_outcome::inconclusive, start);
        m_attempts[next_nodes.front()] = 0;
        exchange_reports();
    }
    EXPECT_EQ(handed_over.size(), 4U);
}

// Guards against copies that never start because a peer's reports are lost. The start delays, used
// as a fallback, must differ and end before the engine stops.
TEST_F(draining_engine_test, spreads_copy_starts_over_the_drain_notice)
{
    std::set<milliseconds> start_delays;
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
    {
        start_delays.insert(m_nodes[i].copy_start_delay(m_attempts[i]));
        EXPECT_LE(m_nodes[i].copy_start_delay(m_attempts[i]), milliseconds(1100));
    }
    EXPECT_EQ(start_delays.size(), 4U);
    EXPECT_EQ(*start_delays.begin(), milliseconds(0));
}

// Guards against copies between zones, which take twice as long, while engines in the same zone
// have capacity.
TEST_F(draining_engine_test, hands_over_to_engines_in_the_same_zone_first)
{
    auto node = make_dispatcher("n0", "engines", 6);
    auto query = engine_query(3000, 900);
    query.purpose = selection_purpose::handover;
    query.preferred_zone = "a";
    std::vector<std::string> const excluded{"s0"};
    query.excluded_servers = excluded;
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(select(node, query).server->id, "s3");
}

// Guards against ignoring the weights of a route with several services.
TEST_F(dispatcher_test, selects_services_of_a_route_by_weight)
{
    auto node = make_dispatcher("n0", "engines", 1);
    route split_route;
    split_route.services = {{"engines", 90}, {"shop", 10}, {"unknown", 0}};
    int engines = 0;
    for (int i = 0; i < 1000; ++i)
        engines += node.select_service(split_route, m_random)->name == "engines" ? 1 : 0;
    EXPECT_NEAR(engines, 900, 50);
}

} // namespace
} // namespace jasminepier::serving
