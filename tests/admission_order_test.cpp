/// Who gets room, who waits and who is rejected while servers are full. No network; each test names
/// its load.
#include "serving/dispatcher.hpp"

#include <gtest/gtest.h>

#include <deque>

namespace jasminepier::serving
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(1000)};
constexpr std::int64_t cache_tokens = 27000;

admission_request make_request(int priority, std::int64_t tokens, milliseconds objective,
                               milliseconds timeout, base::time_point arrival = start)
{
    return {priority, priority, tokens, arrival, arrival + objective, arrival + timeout};
}

admission_request triage(base::time_point arrival = start)
{
    return make_request(0, 2300, milliseconds(1500), seconds(6), arrival);
}

admission_request narrative(base::time_point arrival = start)
{
    return make_request(2, 3800, seconds(4), seconds(39), arrival);
}

/// A node with engines, each of which runs `running` requests that take most of its memory.
dispatcher make_node(std::string const& name, int servers, int running)
{
    auto configuration = std::make_shared<fleet_configuration>();
    service engines;
    engines.name = "engines";
    engines.engine = engine_capabilities{24, cache_tokens, 18432, 2700, true, true};
    service cards;
    cards.name = "cards";
    configuration->services["engines"] = engines;
    configuration->services["cards"] = cards;
    dispatcher node({name, "a", {0.2, 56, seconds(10)}});
    node.set_configuration(configuration);
    node.set_fleet_view({{"n0", "n1"}, 2, false});
    for (int i = 0; i < servers; ++i)
    {
        server_entry entry;
        entry.id = "s" + std::to_string(i);
        entry.service = "engines";
        entry.address = "10.0.0.1:" + std::to_string(8000 + i);
        entry.slots = 6;
        entry.revision = 1;
        node.directory().apply_entry(entry, start);
        for (int k = 0; k < running; ++k)
            node.begin_attempt(entry.id, {2000, 500, 0}, start, {});
    }
    return node;
}

void add_plain_server(dispatcher& node, std::string const& id)
{
    server_entry entry;
    entry.id = id;
    entry.service = "cards";
    entry.zone = "zone-" + id;
    entry.address = "10.0.1.1:80";
    entry.slots = 6;
    entry.revision = 2;
    node.directory().apply_entry(entry, start);
}

server_selection select(dispatcher const& node, std::string_view service, base::time_point now)
{
    base::random_source random(1);
    selection_query query;
    query.service = service;
    query.demand = {2000, 500, 0};
    return node.select_server(query, now, random);
}

// Load: triages wait at another node for the last place of the engines; narratives arrive here.
TEST(admission_order_test, more_urgent_work_at_another_node_goes_first)
{
    auto other = make_node("n1", 2, 9);
    auto node = make_node("n0", 2, 9);
    EXPECT_TRUE(node.may_take_room("engines", narrative(), {}, start));
    other.waiting().add("engines", triage(), start);
    other.waiting().add("engines", triage(), start);
    node.waiting().merge({"a", "n1"}, other.waiting().local_reports(start), start);
    EXPECT_FALSE(node.may_take_room("engines", narrative(), {}, start));
    EXPECT_TRUE(node.may_take_room("engines", triage(), {}, start));
    // Room for both kinds, and a report that is too old.
    EXPECT_TRUE(make_node("n0", 2, 2).may_take_room("engines", narrative(), {}, start));
    EXPECT_TRUE(
        node.may_take_room("engines", narrative(), {}, start + waiting_table::report_lifetime));
    // Reports say nothing about what is due: equal priorities don't hold each other back.
    auto const later = start + milliseconds(600);
    node.waiting().merge({"a", "n1"}, other.waiting().local_reports(start + milliseconds(900)),
                         later);
    EXPECT_TRUE(node.may_take_room("engines", triage(later), {}, later));
    EXPECT_FALSE(node.may_take_room("engines", narrative(later), {}, later));
    node.waiting().merge({"a", "n1"}, other.waiting().local_reports(start), start);
    // The same through the summary of a zone, and when the node is gone.
    node.waiting().merge({"b", ""}, node.waiting().zone_reports(start), start);
    node.remove_peer("a", "n1");
    EXPECT_FALSE(node.may_take_room("engines", narrative(), {}, start));
    node.waiting().merge({"b", ""}, {}, start);
    EXPECT_TRUE(node.may_take_room("engines", narrative(), {}, start));
}

// Load: one long request of low priority waits here with many short urgent ones.
TEST(admission_order_test, a_long_low_priority_request_lets_short_urgent_ones_pass)
{
    auto node = make_node("n0", 1, 9);
    auto const long_request = make_request(5, 7500, seconds(4), seconds(39));
    auto const long_ticket = node.waiting().add("engines", long_request, start);
    auto const now = start + milliseconds(300);
    for (int i = 0; i < 100; ++i)
    {
        auto const short_request = make_request(1, 300, seconds(1), seconds(5), now);
        auto const ticket = node.waiting().add("engines", short_request, now);
        EXPECT_TRUE(node.may_take_room("engines", short_request, ticket, now));
        EXPECT_FALSE(node.may_take_room("engines", long_request, long_ticket, now));
        node.waiting().remove(*ticket);
    }
    EXPECT_TRUE(node.may_take_room("engines", long_request, long_ticket, now));
}

// Load: requests of one priority with different objectives wait at one node and at two.
TEST(admission_order_test, equal_priorities_are_ordered_by_what_their_deadlines_permit)
{
    auto const at = [](milliseconds elapsed, admission_request const& request)
    { return rank_request(request, milliseconds(200), false, start + elapsed); };
    auto const quick = make_request(2, 0, seconds(1), seconds(6));
    auto const slow = make_request(2, 0, seconds(4), seconds(39));
    EXPECT_EQ(at(milliseconds(100), quick), at(milliseconds(100), slow));
    EXPECT_LT(at(milliseconds(500), quick), at(milliseconds(500), slow));
    // The quick one will be late anyway; the slow one can still be in time.
    EXPECT_GT(at(milliseconds(900), quick), at(milliseconds(900), slow));
    // Lateness does not turn priorities round.
    EXPECT_LT(at(seconds(5), triage()), at(milliseconds(0), narrative()));
    // Customers of equal priority: the more urgent route goes first.
    auto urgent_route = slow;
    urgent_route.route_priority = 0;
    EXPECT_LT(at(seconds(9), urgent_route), at(milliseconds(0), slow));
    waiting_table table;
    table.add("engines", quick, start);
    EXPECT_EQ(table.better_than("engines", slow, {}, start).requests, 1);
    EXPECT_EQ(
        table.better_than("engines", make_request(2, 0, milliseconds(500), seconds(6)), {}, start)
            .requests,
        0);
}

// Load: requests that come back with little time left, and a queue that is longer than their time.
TEST(admission_order_test, a_request_that_cannot_end_in_time_does_not_wait)
{
    auto const hurried = make_request(2, 0, milliseconds(150), milliseconds(80));
    EXPECT_LE(find_wait_end(hurried, milliseconds(90)), start);
    EXPECT_GT(find_wait_end(hurried, milliseconds(30)), start);
    // Objectives of their own: a narrative may wait much longer than a triage.
    EXPECT_EQ(find_wait_end(triage(), milliseconds(200)), start + milliseconds(1500));
    EXPECT_EQ(find_wait_end(narrative(), milliseconds(200)), start + milliseconds(9750));
    EXPECT_EQ(estimate_wait(39, 20, milliseconds(1000)), milliseconds(2000));
    EXPECT_EQ(estimate_wait(39, 20, std::nullopt), std::nullopt);
    // Callers come back in the order of their ranks, while they have time for the response.
    EXPECT_EQ(find_retry_delay(triage(), milliseconds(900), start), milliseconds(900));
    EXPECT_EQ(find_retry_delay(triage(), milliseconds(60000), start), milliseconds(2000));
    EXPECT_EQ(find_retry_delay(triage(), std::nullopt, start), milliseconds(400));
    auto node = make_node("n0", 1, 9);
    for (int i = 0; i < 50; ++i)
        node.waiting().add("engines", triage(), start);
    node.waiting().record_duration("engines", seconds(1));
    auto const urgent = make_request(0, 100, milliseconds(100), seconds(6));
    auto const first = node.expected_wait("engines", urgent, {}, start);
    auto const last = node.expected_wait("engines", narrative(), {}, start);
    ASSERT_TRUE(first && last);
    EXPECT_LT(*first, milliseconds(200));
    EXPECT_GT(*last, seconds(5));
}

// Load: two of three plain servers leave, the third one is full and rejects requests.
TEST(admission_order_test, requests_wait_for_the_last_of_three_plain_servers)
{
    auto node = make_node("n0", 0, 0);
    for (auto const* const id : {"p0", "p1", "p2"})
        add_plain_server(node, id);
    node.set_evacuated_zones({"zone-p0", "zone-p1"});
    ASSERT_EQ(select(node, "cards", start).server.value().id, "p2");
    node.record_full("p2", start);
    auto const full = select(node, "cards", start);
    EXPECT_FALSE(full.server);
    EXPECT_EQ(full.reason, exclusion_reason::full);
    EXPECT_TRUE(full.worth_waiting());
    EXPECT_TRUE(select(node, "cards", start + milliseconds(40)).server);
    // It can be asked again within the wait of a plain request, however often it has rejected one.
    for (int i = 1; i < 10; ++i)
        node.record_full("p2", start + milliseconds(40 * i));
    EXPECT_FALSE(select(node, "cards", start + milliseconds(399)).server);
    EXPECT_TRUE(select(node, "cards", start + milliseconds(400)).server);
    // The others are back.
    node.record_full("p2", start + milliseconds(500));
    node.set_evacuated_zones({});
    EXPECT_NE(select(node, "cards", start + milliseconds(500)).server.value().id, "p2");
}

// Load: more than a list holds. The one that is admitted last loses its place, not the newcomer.
TEST(admission_order_test, a_full_list_drops_what_is_admitted_last)
{
    waiting_table table;
    std::deque<waiting_ticket> tickets;
    for (std::size_t i = 0; i < waiting_table::maximum_waiting; ++i)
        tickets.push_back(table.add("engines", narrative(start + milliseconds(i)), start).value());
    EXPECT_FALSE(table.add("engines", make_request(3, 0, seconds(1), seconds(5)), start));
    EXPECT_TRUE(table.add("engines", triage(), start));
    EXPECT_TRUE(table.displaced(tickets.back()));
    EXPECT_FALSE(table.displaced(tickets.front()));
    EXPECT_EQ(table.count_local("engines"), waiting_table::maximum_waiting);
}

// Load: urgent requests take all room for half a minute, and the large ones of a kind find none.
TEST(admission_order_test, no_priority_and_no_size_is_excluded_altogether)
{
    dispatcher node = make_node("n0", 1, 9);
    auto& table = node.waiting();
    auto const large = make_request(2, 9000, seconds(4), seconds(39));
    constexpr int rounds = 200;
    double low_served = 0;
    double large_served = 0;
    auto now = start;
    for (int i = 0; i < rounds; ++i, now += milliseconds(150))
    {
        auto const urgent = table.add("engines", triage(now), now);
        // Half of the urgent ones are served; others only when they are permitted to pass.
        table.record_decision("engines", triage(now), i % 2 == 0, now);
        auto const is_large = i % 10 == 0;
        auto const request = is_large ? large : narrative(now);
        bool const admitted = node.may_take_room("engines", request, {}, now);
        table.record_decision("engines", request, admitted, now);
        low_served += admitted ? 1 : 0;
        large_served += is_large && admitted ? 1 : 0;
        table.remove(*urgent);
    }
    // What the platform demands: a quarter of the share of all, half of that of the kind.
    auto const share_of_all = (rounds / 2.0 + low_served) / (2 * rounds);
    EXPECT_GE(low_served / rounds, share_of_all / 4);
    EXPECT_GE(large_served / (rounds / 10.0), low_served / rounds / 2);
    // Still, urgent requests are served more often.
    EXPECT_LT(low_served, rounds / 4);
    // Without a shortage, the kinds of requests stay in the order of their priorities.
    waiting_table calm;
    for (int i = 0; i < 50; ++i)
        calm.record_decision("engines", i % 2 == 0 ? triage() : large, true, start);
    EXPECT_FALSE(calm.is_underserved("engines", large, start));
    EXPECT_EQ(calm.better_than("engines", large, {}, start), waiting_demand{});
}

// Guards against a caller that states a huge request and so holds back all others.
TEST(admission_order_test, a_huge_request_elsewhere_holds_back_no_small_one)
{
    auto node = make_node("n0", 4, 1);
    auto other = make_node("n1", 4, 0);
    other.waiting().add("engines", make_request(0, 25000, milliseconds(1500), seconds(6)), start);
    node.waiting().merge({"a", "n1"}, other.waiting().local_reports(start), start);
    EXPECT_TRUE(
        node.may_take_room("engines", make_request(2, 600, seconds(4), seconds(39)), {}, start));
}

// Guards against a rejection at once although the full server is asked again in a moment.
TEST(admission_order_test, a_request_waits_for_a_server_that_was_full_a_moment_ago)
{
    auto node = make_node("n0", 1, 1);
    node.waiting().record_duration("engines", seconds(8));
    EXPECT_TRUE(node.expected_wait("engines", triage(), {}, start));
    node.record_full("s0", start);
    EXPECT_FALSE(node.expected_wait("engines", triage(), {}, start));
}

// Guards against less urgent work that takes the only request that a limited server permits.
TEST(admission_order_test, the_only_permitted_start_goes_to_the_more_urgent_request)
{
    auto node = make_node("n0", 1, 0);
    node.record_rate_limit("s0", 1.0, start);
    node.waiting().add("engines", triage(), start);
    EXPECT_FALSE(node.may_take_room("engines", narrative(), {}, start));
}

} // namespace
} // namespace jasminepier::serving
