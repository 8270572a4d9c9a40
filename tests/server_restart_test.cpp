/// What peers report about servers that have started again under their ids. No network.
#include "serving/dispatcher.hpp"

#include <gtest/gtest.h>

namespace jasminepier::serving
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(1000)};
constexpr int server_count = 3;

std::string server_id(int number)
{
    return "s" + std::to_string(number);
}

/// How servers leave, as far as their entries tell.
enum class departure
{
    reported,
    entry_removed,
    reported_then_removed,
};

/// A fleet whose servers start at revision 1, leave at revisions 10 to 19 and start again at
/// revision 20.
class server_restart_test : public testing::Test
{
protected:
    static dispatcher make_node(std::string const& name, std::string const& zone = "a")
    {
        dispatcher node({name, zone, {0.2, 56, seconds(10)}});
        auto configuration = std::make_shared<fleet_configuration>();
        service shop;
        shop.name = "shop";
        configuration->services["shop"] = shop;
        node.set_configuration(std::move(configuration));
        node.set_fleet_view({{"n0", "n1"}, 2, false});
        list_servers(node, 1, 1000, start);
        return node;
    }

    static server_entry make_entry(int number, std::int64_t revision, std::int64_t started)
    {
        server_entry entry;
        entry.id = server_id(number);
        entry.service = "shop";
        entry.zone = "a";
        entry.slots = 6;
        entry.started_unix_milliseconds = started;
        entry.revision = revision;
        return entry;
    }

    static void list_servers(dispatcher& node, std::int64_t revision, std::int64_t started,
                             base::time_point now)
    {
        for (int i = 0; i < server_count; ++i)
            node.directory().apply_entry(make_entry(i, revision, started), now);
    }

    static int count_leaving(dispatcher const& node)
    {
        int count = 0;
        for (int i = 0; i < server_count; ++i)
            count += node.is_leaving(server_id(i)) ? 1 : 0;
        return count;
    }

    static void send_report(dispatcher const& from, std::string const& name, dispatcher& to,
                            base::time_point now)
    {
        to.merge_peer({"a", name}, from.local_loads(now), now);
    }

    dispatcher m_behind = make_node("n1");
    dispatcher m_current = make_node("n0");
};

class server_departure_test : public server_restart_test,
                              public testing::WithParamInterface<departure>
{
protected:
    static void apply_departures(dispatcher& node, base::time_point now)
    {
        for (int i = 0; i < server_count; ++i)
        {
            auto draining = make_entry(i, 10, 1000);
            draining.draining = true;
            if (GetParam() != departure::entry_removed)
                node.directory().apply_entry(draining, now);
            if (GetParam() != departure::reported)
                node.directory().apply_removal(server_id(i), 11, now);
        }
    }
};

INSTANTIATE_TEST_SUITE_P(departures, server_departure_test,
                         testing::Values(departure::reported, departure::entry_removed,
                                         departure::reported_then_removed));

// Guards against restarted servers that stay out of use because a peer that is behind reports that
// they leave.
TEST_P(server_departure_test, stale_report_does_not_take_out_restarted_servers)
{
    auto third = make_node("n2");
    for (auto* node : {&m_behind, &m_current, &third})
        apply_departures(*node, start);
    for (auto* node : {&m_current, &third})
        list_servers(*node, 20, 2000, start + seconds(1));
    for (int i = 0; i < 20; ++i)
    {
        auto const now = start + seconds(1) + i * milliseconds(100);
        send_report(m_behind, "n1", m_current, now);
        send_report(m_current, "n0", third, now);
        send_report(third, "n2", m_behind, now);
    }
    EXPECT_EQ(count_leaving(m_current), 0);
    EXPECT_EQ(count_leaving(third), 0);
    list_servers(m_behind, 20, 2000, start + seconds(5));
    EXPECT_EQ(count_leaving(m_behind), 0);
}

// Guards against the same through the summary of a zone in which one node is behind.
TEST_P(server_departure_test, stale_report_does_not_spread_in_zone_summaries)
{
    auto far = make_node("n9", "z");
    for (auto* node : {&m_behind, &m_current, &far})
        apply_departures(*node, start);
    for (auto* node : {&m_current, &far})
        list_servers(*node, 20, 2000, start + seconds(1));
    auto const now = start + seconds(2);
    send_report(m_behind, "n1", m_current, now);
    far.merge_zone_summary("a", {0, 1}, m_current.zone_loads(now), now);
    EXPECT_EQ(count_leaving(far), 0);
}

// Guards against servers that stay in use at a node that has missed their departure.
TEST_P(server_departure_test, peers_correct_a_node_that_missed_a_departure)
{
    apply_departures(m_current, start);
    send_report(m_current, "n0", m_behind, start);
    EXPECT_EQ(count_leaving(m_behind), server_count);
    // Of a later start, too, and if the node has missed that start as well.
    list_servers(m_current, 20, 2000, start);
    list_servers(m_behind, 20, 2000, start);
    EXPECT_EQ(count_leaving(m_behind), 0);
    auto missed_restart = make_node("n2");
    for (int i = 0; i < server_count; ++i)
        m_current.directory().apply_removal(server_id(i), 21, start);
    for (auto* node : {&m_behind, &missed_restart})
    {
        send_report(m_current, "n0", *node, start);
        EXPECT_EQ(count_leaving(*node), server_count);
        list_servers(*node, 20, 2000, start);
        EXPECT_EQ(count_leaving(*node), server_count);
    }
}

// Guards against a server that is taken out, here and by peers, because the process before it has
// announced that it leaves, for example in a response that a paused node reads late.
TEST_F(server_restart_test, announcement_of_an_earlier_process_does_not_concern_a_later_one)
{
    EXPECT_TRUE(m_behind.directory().record_announced_leaving("s0", 1000, start));
    list_servers(m_current, 20, 2000, start);
    EXPECT_FALSE(m_current.directory().record_announced_leaving("s0", 1000, start));
    send_report(m_behind, "n1", m_current, start);
    EXPECT_EQ(count_leaving(m_current), 0);
}

// Guards against peers that use a server again, after its entry has changed, although it has
// announced that it leaves, and against never using it again after it has started anew.
TEST_F(server_restart_test, announcement_holds_at_peers_until_the_server_starts_anew)
{
    EXPECT_TRUE(m_current.directory().record_announced_leaving("s0", 1000, start));
    EXPECT_FALSE(m_current.directory().record_announced_leaving("s0", 1000, start));
    list_servers(m_behind, 5, 1000, start);
    send_report(m_current, "n0", m_behind, start);
    EXPECT_TRUE(m_behind.is_leaving("s0"));
    list_servers(m_behind, 6, 1000, start);
    EXPECT_TRUE(m_behind.is_leaving("s0"));
    EXPECT_EQ(count_leaving(m_behind), 1);
    list_servers(m_behind, 20, 2000, start);
    EXPECT_EQ(count_leaving(m_behind), 0);
}

// Guards against a restarted server that is taken for full, failing or limited because a peer that
// has not seen the restart, and may not know how long it was paused, reports about the process
// before.
TEST_F(server_restart_test, reports_about_an_earlier_process_are_left_out)
{
    constexpr int more_than_plain_slots = 40;
    for (int i = 0; i < more_than_plain_slots; ++i)
        m_behind.begin_attempt("s0", {}, start, nullptr);
    m_behind.record_rate_limit("s0", 0.01, start);
    list_servers(m_current, 20, 2000, start + seconds(4));
    auto const now = start + seconds(5);
    // The peer's clock stood still while it was paused, so its report seems to be young.
    auto const loads = m_behind.local_loads(start);
    std::vector<std::string> const others{"s1", "s2"};
    selection_query query;
    query.service = "shop";
    query.excluded_servers = others;
    base::random_source random{20261206};
    m_current.merge_peer({"a", "n1"}, loads, now, 11);
    auto const selection = m_current.select_server(query, now, random);
    ASSERT_TRUE(selection.server);
    EXPECT_EQ(selection.server->running, 0);
    // A peer that has seen the restart means the present process.
    m_current.merge_peer({"a", "n1"}, loads, now, 20);
    EXPECT_FALSE(m_current.select_server(query, now, random).server);
}

} // namespace
} // namespace jasminepier::serving
