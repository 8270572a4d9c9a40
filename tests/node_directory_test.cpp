/// The list of entry nodes that callers and peers use. No network.
#include "serving/node_directory.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace jasminepier::serving
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(100)};

node_entry make_node(std::string const& name)
{
    return {name, "a", name + ":8740", name, 7200};
}

node_state_report make_report(std::string const& name, std::int64_t started, std::int64_t sequence,
                              node_phase phase = node_phase::ready)
{
    return {make_node(name), started, sequence, phase, true};
}

class node_directory_test : public testing::Test
{
protected:
    void SetUp() override { m_directory.set_phase(node_phase::ready); }
    std::vector<std::string> addresses(base::time_point now)
    {
        return m_directory.caller_addresses(64, now);
    }
    node_directory m_directory{make_node("self")};
};

// Guards against callers that are sent to a node which is dead or does not take them.
TEST_F(node_directory_test, names_living_ready_nodes_only)
{
    m_directory.apply_listed({make_node("n1"), make_node("n2"), make_node("n3")}, start);
    EXPECT_EQ(addresses(start), std::vector<std::string>{"self:8740"});
    m_directory.apply_report(make_report("n1", 1, 1), start);
    m_directory.apply_report(make_report("n2", 1, 1, node_phase::shutting_down), start);
    m_directory.apply_report(make_report("n3", 1, 1, node_phase::starting), start);
    EXPECT_EQ(addresses(start), (std::vector<std::string>{"self:8740", "n1:8740"}));
    EXPECT_EQ(addresses(start + node_directory::report_timeout),
              std::vector<std::string>{"self:8740"});
    m_directory.set_phase(node_phase::shutting_down);
    EXPECT_TRUE(addresses(start + node_directory::report_timeout).empty());
}

// Guards against a configuration that is not fetched since many servers have changed after it.
TEST(store_followers, changes_are_fetched_from_the_older_copy_on)
{
    EXPECT_EQ(first_missed_revision(2000, 1900), 1500);
    EXPECT_EQ(first_missed_revision(2000, 100), 100);
    EXPECT_EQ(first_missed_revision(300, 200), 0);
}

// Guards against a restarted node that its peers ignore for good because its wall clock, which
// tells the incarnations apart, was set back meanwhile.
TEST_F(node_directory_test, a_node_returns_with_its_clock_set_back)
{
    EXPECT_TRUE(m_directory.apply_report(make_report("n1", 5000, 9), start));
    EXPECT_FALSE(m_directory.apply_report(make_report("n1", 2000, 1), start));
    auto const later = start + node_directory::report_timeout;
    EXPECT_TRUE(m_directory.apply_report(make_report("n1", 2000, 2), later));
    EXPECT_EQ(addresses(later), (std::vector<std::string>{"self:8740", "n1:8740"}));
}

// Guards against late datagrams that make a stopped node look ready again.
TEST_F(node_directory_test, older_reports_change_nothing)
{
    EXPECT_TRUE(
        m_directory.apply_report(make_report("n1", 2, 5, node_phase::shutting_down), start));
    EXPECT_FALSE(m_directory.apply_report(make_report("n1", 2, 4), start));
    EXPECT_FALSE(m_directory.apply_report(make_report("n1", 1, 9), start));
    EXPECT_EQ(addresses(start).size(), 1U);
    EXPECT_TRUE(m_directory.apply_report(make_report("n1", 3, 1), start));
    EXPECT_EQ(addresses(start).size(), 2U);
}

// Guards against a list that hides a node which the store does not know yet, and against one that
// keeps nodes for ever.
TEST_F(node_directory_test, unlisted_nodes_live_as_long_as_they_report)
{
    m_directory.apply_report(make_report("n1", 1, 1), start);
    m_directory.apply_listed({}, start);
    EXPECT_EQ(m_directory.peers().size(), 1U);
    m_directory.expire(start + node_directory::report_timeout);
    EXPECT_TRUE(m_directory.peers().empty());
    m_directory.apply_listed({make_node("n2")}, start);
    EXPECT_TRUE(
        m_directory.nodes_past_removal_timeout(start + node_directory::removal_timeout).empty());
    EXPECT_EQ(m_directory.nodes_past_removal_timeout(start + node_directory::removal_timeout +
                                                     seconds(1)),
              std::vector<std::string>{"n2"});
}

/// The directories of a fleet whose nodes have heard of each other.
std::vector<node_directory> make_fleet(int size)
{
    std::vector<node_directory> fleet;
    fleet.reserve(static_cast<std::size_t>(size));
    for (int i = 0; i < size; ++i)
    {
        fleet.emplace_back(make_node("n" + std::to_string(i)));
        fleet.back().set_phase(node_phase::ready);
        for (int other = 0; other < size; ++other)
            fleet.back().apply_report(make_report("n" + std::to_string(other), 1, 1), start);
    }
    return fleet;
}

int count_followers(std::vector<node_directory> const& fleet, base::time_point now)
{
    return static_cast<int>(std::count_if(fleet.begin(), fleet.end(),
                                          [&](node_directory const& node)
                                          { return node.follows_store("servers", true, now); }));
}

// Guards against calls to the store that grow with the fleet times the changes of its servers.
TEST(store_followers, large_fleets_follow_the_servers_by_a_few_nodes)
{
    EXPECT_EQ(count_followers(make_fleet(8), start), 8);
    EXPECT_EQ(count_followers(make_fleet(67), start),
              static_cast<int>(node_directory::store_followers));
}

// Guards against servers that nobody follows because the chosen nodes died or lost the store.
TEST(store_followers, others_take_the_place_of_nodes_that_died_or_lost_the_store)
{
    auto fleet = make_fleet(20);
    for (auto& node : fleet)
        for (int other = 0; other < 20; other += 2)
        {
            auto report = make_report("n" + std::to_string(other), 1, 2);
            report.store_reached = false;
            node.apply_report(report, start);
        }
    int followers = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        followers += fleet[i].follows_store("servers", i % 2 == 1, start) ? 1 : 0;
    EXPECT_EQ(followers, static_cast<int>(node_directory::store_followers));
    // Silent nodes do not hold a place either.
    EXPECT_EQ(count_followers(fleet, start + node_directory::report_timeout), 20);
}

// Guards against nodes that keep an old list of servers after a lost datagram.
TEST(store_followers, a_node_finds_a_follower_that_knows_other_servers)
{
    node_directory node(make_node("self"));
    for (int i = 0; i < 12; ++i)
    {
        auto report = make_report("n" + std::to_string(i), 1, 1);
        report.server_digest = 7;
        node.apply_report(report, start);
    }
    EXPECT_FALSE(node.follower_with_different_servers("servers", 7, start));
    EXPECT_TRUE(node.follower_with_different_servers("servers", 8, start));
}

// Guards against changes that a node misses because its watch waits at a store that fell silent.
TEST(store_followers, a_node_finds_peers_with_newer_copies)
{
    node_directory node(make_node("self"));
    auto report = make_report("n1", 1, 1);
    report.store_revision = 40;
    node.apply_report(report, start);
    EXPECT_TRUE(node.peers_with_newer_objects(40, start).empty());
    ASSERT_EQ(node.peers_with_newer_objects(39, start).size(), 1U);
    EXPECT_EQ(node.peers_with_newer_objects(39, start).front().name, "n1");
    EXPECT_TRUE(node.peers_with_newer_objects(39, start + node_directory::report_timeout).empty());
}

// Guards against an old configuration that stays because newer entries of servers, which peers tell
// each other, hide that it is old; and against asking only one peer, which may be dead.
TEST(store_followers, a_node_finds_all_peers_with_a_newer_configuration)
{
    node_directory node(make_node("self"));
    for (auto const* const name : {"n1", "n2", "n3"})
    {
        auto report = make_report(name, 1, 1);
        report.store_revision = 60;
        report.configuration_revision = std::string(name) == "n3" ? 30 : 40;
        node.apply_report(report, start);
    }
    EXPECT_EQ(node.peers_with_newer_configuration(39, start).size(), 2U);
    EXPECT_EQ(node.peers_with_newer_configuration(29, start).size(), 3U);
    EXPECT_TRUE(node.peers_with_newer_configuration(40, start).empty());
}

// Guards against watches that all end at the same time, or so rarely that a silent store hides a
// change for longer than configurations may take.
TEST(store_followers, watches_of_a_fleet_end_often_and_apart)
{
    base::random_source random(20261204);
    for (int const size : {1, 8, 67})
    {
        auto const fleet = make_fleet(size);
        std::set<milliseconds> waits;
        milliseconds longest{0};
        for (auto const& node : fleet)
        {
            waits.insert(node.watch_timeout(random));
            longest = std::max(longest, *waits.rbegin());
        }
        EXPECT_LE(longest, std::max(milliseconds(2000), milliseconds(500) * size));
        EXPECT_GT(static_cast<int>(waits.size()), size / 2);
    }
}

// Guards against report traffic that grows with the square of the fleet.
TEST_F(node_directory_test, nodes_report_more_slowly_in_larger_fleets)
{
    auto const small = m_directory.report_interval();
    std::vector<node_entry> many;
    many.reserve(400);
    for (int i = 0; i < 400; ++i)
        many.push_back(make_node("n" + std::to_string(i)));
    m_directory.apply_listed(many, start);
    EXPECT_LT(small, m_directory.report_interval());
    EXPECT_EQ(m_directory.report_interval(), node_directory::maximum_report_interval);
}

} // namespace
} // namespace jasminepier::serving
