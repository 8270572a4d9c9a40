/// Liveness of entry nodes, selection of the nodes that follow the store, and report intervals. No
/// network.
#include "serving/configuration_pull_policy.hpp"
#include "serving/node_directory.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
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

// Guards against sending callers to a node that is dead, still starting or shutting down.
TEST_F(node_directory_test, returns_addresses_of_live_ready_nodes_only)
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

TEST_F(node_directory_test, hears_a_majority_of_all_known_nodes)
{
    EXPECT_TRUE(m_directory.hears_majority(start));
    m_directory.apply_listed({make_node("n1"), make_node("n2"), make_node("n3")}, start);
    m_directory.apply_report(make_report("n1", 1, 1), start);
    EXPECT_FALSE(m_directory.hears_majority(start)) << "two of four are no majority";
    m_directory.apply_report(make_report("n2", 1, 1), start);
    EXPECT_TRUE(m_directory.hears_majority(start));
    EXPECT_FALSE(m_directory.hears_majority(start + node_directory::report_timeout));
}

// Guards against a zone that is cut off as a whole and takes itself for the fleet.
TEST_F(node_directory_test, hears_other_zones_through_their_summaries)
{
    for (int i = 0; i < 15; ++i)
    {
        auto node = make_node("n" + std::to_string(i));
        node.zone = i < 5 ? "a" : i < 10 ? "b" : "c";
        m_directory.add_listed(node, start);
        if (i < 5)
            m_directory.apply_report(make_report(node.name, 1, 1), start);
    }
    EXPECT_FALSE(m_directory.hears_majority(start));
    m_directory.apply_zone_summary("b", {5, {}}, start);
    EXPECT_TRUE(m_directory.hears_majority(start));
}

// Guards against never fetching a missed configuration because many servers changed after it.
TEST(store_followers, pull_start_revision_covers_an_outdated_configuration)
{
    EXPECT_EQ(pull_start_revision(2000, 1900), 1500);
    EXPECT_EQ(pull_start_revision(2000, 100), 100);
    EXPECT_EQ(pull_start_revision(300, 200), 0);
}

// Guards against peers that ignore a restarted node permanently because its wall clock, which
// distinguishes its incarnations, was set back in between.
TEST_F(node_directory_test, accepts_a_restarted_node_whose_clock_was_set_back)
{
    EXPECT_TRUE(m_directory.apply_report(make_report("n1", 5000, 9), start));
    EXPECT_FALSE(m_directory.apply_report(make_report("n1", 2000, 1), start));
    auto const timed_out = start + node_directory::report_timeout;
    EXPECT_TRUE(m_directory.apply_report(make_report("n1", 2000, 2), timed_out));
    EXPECT_EQ(addresses(timed_out), (std::vector<std::string>{"self:8740", "n1:8740"}));
}

// Guards against late datagrams that make a node look ready after it started to shut down.
TEST_F(node_directory_test, ignores_reports_that_are_not_newer)
{
    EXPECT_TRUE(
        m_directory.apply_report(make_report("n1", 2, 5, node_phase::shutting_down), start));
    EXPECT_FALSE(m_directory.apply_report(make_report("n1", 2, 4), start));
    EXPECT_FALSE(m_directory.apply_report(make_report("n1", 1, 9), start));
    EXPECT_EQ(addresses(start).size(), 1U);
    EXPECT_TRUE(m_directory.apply_report(make_report("n1", 3, 1), start));
    EXPECT_EQ(addresses(start).size(), 2U);
}

// Guards against hiding a node that the store doesn't list yet, and against keeping nodes forever.
TEST_F(node_directory_test, keeps_unlisted_nodes_while_they_report)
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

/// Returns the directories of a fleet whose nodes have received each other's reports.
std::vector<node_directory> make_fleet(int size)
{
    std::vector<node_directory> fleet;
    fleet.reserve(static_cast<std::size_t>(size));
    for (int i = 0; i < size; ++i)
    {
        fleet.emplace_back(make_node("n" + std::to_string(i)));
        fleet.back().set_phase(node_phase::ready);
        for (int other_node = 0; other_node < size; ++other_node)
            fleet.back().apply_report(make_report("n" + std::to_string(other_node), 1, 1), start);
    }
    return fleet;
}

int count_store_followers(std::vector<node_directory> const& fleet, base::time_point now)
{
    return static_cast<int>(std::count_if(fleet.begin(), fleet.end(),
                                          [&](node_directory const& node)
                                          { return node.follows_store("servers", true, now); }));
}

// Guards against a number of store requests that grows with the product of nodes and changes.
TEST(store_followers, only_a_few_nodes_of_a_large_fleet_follow_servers)
{
    EXPECT_EQ(count_store_followers(make_fleet(8), start), 8);
    EXPECT_EQ(count_store_followers(make_fleet(67), start),
              static_cast<int>(node_directory::store_followers));
}

node_entry make_zone_node(int zone, int number)
{
    auto const name = "z" + std::to_string(zone) + "-" + std::to_string(number);
    return {name, "z" + std::to_string(zone), name + ":8740", name, 7200};
}

/// Returns the directories of the nodes of zone 0 in a fleet of five zones with 59 nodes each.
std::vector<node_directory> make_zone_of_large_fleet(std::int64_t configuration_revision)
{
    constexpr int nodes_per_zone = 59;
    std::vector<node_entry> listed;
    for (int zone = 0; zone < 5; ++zone)
        for (int i = 0; i < nodes_per_zone; ++i)
            listed.push_back(make_zone_node(zone, i));
    std::vector<node_directory> zone_nodes;
    for (int self = 0; self < nodes_per_zone; ++self)
    {
        auto& directory = zone_nodes.emplace_back(make_zone_node(0, self));
        directory.set_phase(node_phase::ready);
        directory.apply_listed(listed, start);
        for (int i = 0; i < nodes_per_zone; ++i)
        {
            node_state_report report{make_zone_node(0, i), 1, 1, node_phase::ready, true};
            report.configuration_revision = configuration_revision;
            directory.apply_report(report, start);
        }
    }
    return zone_nodes;
}

// Guards against store requests that grow with the nodes, and against a zone that depends on
// another zone for its changes.
TEST(store_followers, one_node_of_each_of_many_zones_follows)
{
    EXPECT_EQ(count_store_followers(make_zone_of_large_fleet(1), start), 1);
}

// Guards against a new configuration that all nodes pull from one small VM at once.
TEST(store_followers, configuration_spreads_through_a_tree)
{
    base::random_source random(20261204);
    auto zone_nodes = make_zone_of_large_fleet(1);
    std::map<std::string, std::int64_t> revisions;
    for (auto const& node : zone_nodes)
        revisions[node.self().name] = node.follows_store("servers", true, start) ? 2 : 1;
    int rounds = 0;
    std::size_t updated = 1;
    while (updated < zone_nodes.size() && rounds < 10)
    {
        ++rounds;
        std::map<std::string, int> pulls;
        auto const known_revisions = revisions;
        for (auto& node : zone_nodes)
        {
            for (auto const& [name, revision] : known_revisions)
            {
                auto const number = std::stoi(name.substr(name.find('-') + 1));
                node_state_report report{make_zone_node(0, number), 1, 1 + rounds,
                                         node_phase::ready, true};
                report.configuration_revision = revision;
                node.apply_report(report, start);
            }
            auto& revision = revisions[node.self().name];
            auto const source = node.configuration_source(
                "servers", node.peers_with_newer_configuration(revision, start), false, start,
                random);
            if (!source)
                continue;
            EXPECT_LE(++pulls[source->name], 4);
            revision = 2;
            ++updated;
        }
    }
    EXPECT_EQ(updated, zone_nodes.size());
    EXPECT_LE(rounds, 4);
}

// Guards against waiting for a parent that does not get the configuration.
TEST(store_followers, configuration_comes_from_any_peer_if_the_parent_lacks_it)
{
    base::random_source random(20261204);
    for (auto const& node : make_zone_of_large_fleet(2))
        EXPECT_TRUE(node.configuration_source(
            "servers", node.peers_with_newer_configuration(1, start), true, start, random));
}

// Guards against a node that asks its parent forever although the pulls fail, and against asking
// any peer while the parent may still get the configuration.
TEST(store_followers, configuration_pulls_pass_over_a_parent_that_fails)
{
    configuration_pull_policy policy;
    EXPECT_FALSE(policy.use_any_peer());
    policy.record_check(true, true);
    EXPECT_FALSE(policy.use_any_peer());
    policy.record_failed_pull();
    EXPECT_TRUE(policy.use_any_peer());
    policy.record_check(true, true);
    EXPECT_TRUE(policy.use_any_peer());
    policy.record_check(false, false);
    EXPECT_FALSE(policy.use_any_peer());
    for (int i = 0; i < configuration_pull_policy::checks_per_parent_wait; ++i)
    {
        EXPECT_FALSE(policy.use_any_peer());
        policy.record_check(true, false);
    }
    EXPECT_TRUE(policy.use_any_peer());
}

// Guards against nodes that take expired server entries for removed ones, because they do not call
// the store and miss its outage.
TEST(store_followers, other_nodes_learn_of_an_outage_from_the_followers)
{
    auto zone_nodes = make_zone_of_large_fleet(1);
    auto& node = zone_nodes.front();
    EXPECT_FALSE(node.followers_reach_store(start));
    node_state_report report{make_zone_node(0, 7), 1, 2, node_phase::ready, false};
    report.follows_store = true;
    node.apply_report(report, start);
    EXPECT_EQ(node.followers_reach_store(start), std::optional(false));
    // Another follower takes over: only the first one is cut off.
    report.entry = make_zone_node(0, 8);
    report.store_reached = true;
    node.apply_report(report, start);
    EXPECT_EQ(node.followers_reach_store(start), std::optional(true));
    EXPECT_FALSE(node.followers_reach_store(start + node_directory::report_timeout));
}

// Guards against nodes that are cut off together, without the follower of their zone, and get a new
// configuration too late: the nodes ahead of them count as alive for 3.5 s.
TEST(store_followers, nodes_cut_off_together_replace_their_follower_within_two_seconds)
{
    auto zone_nodes = make_zone_of_large_fleet(1);
    std::vector<std::size_t> cut_off;
    for (std::size_t i = 0; i < zone_nodes.size(); ++i)
        if (!zone_nodes[i].follows_store("servers", true, start) && i % 3 == 0)
            cut_off.push_back(i);
    std::int64_t sequence = 1;
    for (auto now = start + milliseconds(200); now < start + seconds(2); now += milliseconds(200))
    {
        ++sequence;
        for (auto const to : cut_off)
            for (auto const from : cut_off)
                zone_nodes[to].apply_report({make_zone_node(0, static_cast<int>(from)), 1, sequence,
                                             node_phase::ready, true},
                                            now);
    }
    auto const followers = std::count_if(
        cut_off.begin(), cut_off.end(),
        [&](std::size_t i)
        { return zone_nodes[i].follows_store("servers", true, start + milliseconds(1900)); });
    EXPECT_EQ(followers, 1);
}

// Guards against replacing a follower whose reports arrive because other nodes are silent.
TEST(store_followers, silent_nodes_do_not_replace_a_follower_that_reports)
{
    auto zone_nodes = make_zone_of_large_fleet(1);
    auto const later = start + milliseconds(2500);
    std::optional<std::size_t> follower;
    for (std::size_t i = 0; i < zone_nodes.size(); ++i)
        if (zone_nodes[i].follows_store("servers", true, start))
            follower = i;
    ASSERT_TRUE(follower);
    node_state_report report{make_zone_node(0, static_cast<int>(*follower)), 1, 2,
                             node_phase::ready, true};
    report.follows_store = true;
    for (auto& node : zone_nodes)
        node.apply_report(report, later);
    EXPECT_EQ(count_store_followers(zone_nodes, later), 1);
}

// Guards against server changes that no node watches because the followers died or lost the store.
TEST(store_followers, replace_nodes_that_are_silent_or_lost_the_store)
{
    auto fleet = make_fleet(20);
    for (auto& node : fleet)
        for (int other_node = 0; other_node < 20; other_node += 2)
        {
            auto report = make_report("n" + std::to_string(other_node), 1, 2);
            report.store_reached = false;
            node.apply_report(report, start);
        }
    int followers = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        followers += fleet[i].follows_store("servers", i % 2 == 1, start) ? 1 : 0;
    EXPECT_EQ(followers, static_cast<int>(node_directory::store_followers));
    // Nodes whose reports timed out are not counted as followers either.
    EXPECT_EQ(count_store_followers(fleet, start + node_directory::report_timeout), 20);
}

// Guards against a node that keeps outdated server entries after a lost datagram.
TEST(store_followers, finds_a_follower_with_different_servers)
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

// Guards against missing changes because the watch is open at a store that stopped responding.
TEST(store_followers, finds_peers_with_newer_objects)
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

// Guards against keeping an outdated configuration because newer server entries, which peers relay,
// hide that it is outdated, and against asking only one peer, which may be dead.
TEST(store_followers, finds_all_peers_with_a_newer_configuration)
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

// Guards against watches that all end at the same time, and against watches that end so rarely that
// a store that stopped responding hides a configuration change for too long.
TEST(store_followers, watch_timeouts_of_a_fleet_are_short_and_spread)
{
    base::random_source random(20261204);
    for (int const size : {1, 8, 67})
    {
        auto const fleet = make_fleet(size);
        std::set<milliseconds> timeouts;
        milliseconds longest_timeout{0};
        for (auto const& node : fleet)
        {
            timeouts.insert(node.watch_timeout(random));
            longest_timeout = std::max(longest_timeout, *timeouts.rbegin());
        }
        EXPECT_LE(longest_timeout, std::max(milliseconds(2000), milliseconds(500) * size));
        EXPECT_GT(static_cast<int>(timeouts.size()), size / 2);
    }
}

// Guards against followers whose watches of the configuration hide for too long that the store no
// longer answers, and against more calls to the store for that.
TEST(store_followers, watches_of_the_configuration_are_short_and_those_of_nodes_long)
{
    base::random_source random(20261204);
    auto const large_fleet = make_fleet(67);
    auto const small_fleet = make_fleet(8);
    for (int i = 0; i < 50; ++i)
    {
        EXPECT_LE(large_fleet.front().configuration_watch_timeout(random), milliseconds(1000));
        EXPECT_GE(large_fleet.front().configuration_watch_timeout(random), milliseconds(500));
        EXPECT_GE(large_fleet.front().node_watch_timeout(random), milliseconds(1500));
        EXPECT_LE(small_fleet.front().node_watch_timeout(random), milliseconds(4000));
        EXPECT_GE(small_fleet.front().configuration_watch_timeout(random), milliseconds(2000));
    }
}

// Guards against report traffic that grows with the square of the fleet size.
TEST_F(node_directory_test, report_interval_grows_with_the_fleet)
{
    auto const initial_interval = m_directory.report_interval();
    std::vector<node_entry> large_fleet;
    large_fleet.reserve(400);
    for (int i = 0; i < 400; ++i)
        large_fleet.push_back(make_node("n" + std::to_string(i)));
    m_directory.apply_listed(large_fleet, start);
    EXPECT_LT(initial_interval, m_directory.report_interval());
    EXPECT_EQ(m_directory.report_interval(), node_directory::maximum_report_interval);
}

} // namespace
} // namespace jasminepier::serving
