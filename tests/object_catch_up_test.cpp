/// From whom and when a node obtains objects that it has missed. No network.
#include "serving/object_catch_up.hpp"

#include <gtest/gtest.h>

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

/// A node with a configuration of revision 40 and evacuations of revision 30, and its peers.
class object_catch_up_test : public testing::Test
{
protected:
    void SetUp() override
    {
        m_nodes.set_phase(node_phase::ready);
        hold("config", "main", 40);
        hold("evacuations", "z0", 30);
    }

    void hold(std::string const& kind, std::string const& name, std::int64_t revision)
    {
        store::object const object{kind, name, revision, "", false};
        m_objects.merge({&object, 1});
    }

    void report(std::string const& name, std::int64_t configuration_revision,
                std::int64_t evacuation_revision, std::uint64_t evacuation_digest,
                base::time_point now)
    {
        node_state_report state{make_node(name), 1, ++m_sequence, node_phase::ready, true};
        state.configuration_revision = configuration_revision;
        state.evacuation_revision = evacuation_revision;
        state.evacuation_digest = evacuation_digest;
        m_nodes.apply_report(state, now);
    }
    std::uint64_t digest() const { return m_objects.digest("evacuations"); }

    catch_up_view view() const { return {m_nodes, m_objects, true, false, false}; }
    std::optional<object_pull> plan_pull(base::time_point now)
    {
        return m_catch_up.plan_pull(view(), now, m_random);
    }

    node_directory m_nodes{make_node("self")};
    configuration::versioned_store m_objects;
    object_catch_up m_catch_up{{"config", "evacuations", "servers"}};
    base::random_source m_random{20261204};
    std::int64_t m_sequence = 0;
};

// Guards against taking an evacuation, which arrives earlier, for the configuration before it.
TEST_F(object_catch_up_test, newer_evacuation_does_not_hide_a_missing_configuration)
{
    hold("evacuations", "z1", 46);
    report("n1", 45, 46, digest(), start);
    auto const pull = plan_pull(start);
    ASSERT_TRUE(pull);
    EXPECT_EQ(pull->reason, pull_reason::configuration);
    EXPECT_LE(pull->since, 40);
}

// Guards against missing an evacuation because a later one has arrived.
TEST_F(object_catch_up_test, pulls_an_evacuation_that_a_later_one_would_hide)
{
    hold("evacuations", "z2", 50);
    report("n1", 40, 50, digest() + 1, start);
    auto const pull = plan_pull(start);
    ASSERT_TRUE(pull);
    EXPECT_EQ(pull->reason, pull_reason::evacuations);
    EXPECT_EQ(pull->since, 0);
    // The pull brought nothing, so the peer itself has missed the evacuation.
    m_catch_up.record_pull(*pull, true, view(), start);
    for (int i = 1; i < 4; ++i)
        EXPECT_FALSE(plan_pull(start + i * object_catch_up::check_interval));
    m_objects.record_complete("evacuations", 50);
    EXPECT_FALSE(plan_pull(start + object_catch_up::failed_peer_pause + seconds(1)));
}

// Guards against waiting for the first follower, which lacks a change of servers that others have,
// and against nodes that pull from each other in turns.
TEST_F(object_catch_up_test, compares_servers_with_every_peer)
{
    hold("servers", "s1", 20);
    auto const same = m_objects.digest("servers");
    auto const report_servers =
        [&](std::string const& name, std::int64_t revision, std::uint64_t digest)
    {
        node_state_report state{make_node(name), 1, ++m_sequence, node_phase::ready, true};
        state.configuration_revision = 40;
        state.evacuation_revision = 30;
        state.evacuation_digest = m_objects.digest("evacuations");
        state.server_revision = revision;
        state.server_digest = digest;
        m_nodes.apply_report(state, start);
    };
    for (int i = 0; i < 14; ++i)
        report_servers("n" + std::to_string(i), 20, same);
    EXPECT_FALSE(plan_pull(start));
    for (int i = 0; i < 14; ++i)
    {
        SCOPED_TRACE(i);
        auto const name = "n" + std::to_string(i);
        object_catch_up catch_up{{"config", "evacuations", "servers"}};
        // An older copy shows nothing, since changes take a moment to arrive.
        report_servers(name, 19, same + 1);
        EXPECT_FALSE(catch_up.plan_pull(view(), start, m_random));
        report_servers(name, 20, same + 1);
        catch_up.plan_pull(view(), start, m_random);
        auto const pull = catch_up.plan_pull(view(), start, m_random);
        ASSERT_TRUE(pull);
        EXPECT_EQ(pull->peer.name, name);
        EXPECT_EQ(pull->reason, pull_reason::servers);
        // The pull brought nothing, so the peer itself lacks the change.
        catch_up.record_pull(*pull, true, view(), start);
        for (int check = 0; check < 4; ++check)
            EXPECT_FALSE(catch_up.plan_pull(view(), start, m_random));
        report_servers(name, 20, same);
    }
}

// Guards against missing a change of servers that is older than what a usual pull contains.
TEST_F(object_catch_up_test, pulls_all_servers_if_they_differ_for_long)
{
    hold("servers", "s1", 2000);
    auto const next_pull = [&](base::time_point now)
    {
        node_state_report state{make_node("n1"), 1, ++m_sequence, node_phase::ready, true};
        state.configuration_revision = 40;
        state.evacuation_revision = 30;
        state.evacuation_digest = digest();
        state.server_revision = 2000;
        state.server_digest = 1;
        m_nodes.apply_report(state, now);
        std::optional<object_pull> pull;
        for (int check = 0; check < 4 && !pull; ++check)
            pull = plan_pull(now);
        return pull;
    };
    auto const pull = next_pull(start);
    ASSERT_TRUE(pull);
    EXPECT_GT(pull->since, 0);
    m_catch_up.record_pull(*pull, true, view(), start);
    EXPECT_FALSE(next_pull(start + seconds(1)));
    auto const later = start + object_catch_up::complete_pull_delay;
    auto const complete = next_pull(later);
    ASSERT_TRUE(complete);
    EXPECT_EQ(complete->since, 0);
    m_catch_up.record_pull(*complete, true, view(), later);
    EXPECT_FALSE(next_pull(later + seconds(1)));
}

// Guards against forgetting a configuration whose only holder has died.
TEST_F(object_catch_up_test, reads_the_store_while_no_peer_brings_the_configuration)
{
    report("n1", 45, 30, digest(), start);
    ASSERT_TRUE(plan_pull(start));
    auto const silent = start + node_directory::report_timeout;
    EXPECT_FALSE(m_catch_up.store_read_due("config", start + milliseconds(1100)));
    EXPECT_FALSE(plan_pull(silent));
    EXPECT_TRUE(m_catch_up.store_read_due("config", start + revision_lag::store_read_delay));
    EXPECT_FALSE(m_catch_up.store_read_due("evacuations", silent));
    EXPECT_TRUE(m_catch_up.should_call_store("config", view(), silent));
    // Failed reads are repeated at growing intervals, up to 2 s.
    auto now = silent;
    for (int i = 0; i < 5; ++i)
    {
        ASSERT_TRUE(m_catch_up.store_read_due("config", now));
        m_catch_up.record_store_read_start("config", now);
        EXPECT_FALSE(m_catch_up.store_read_due("config", now));
        now += revision_lag::maximum_store_read_interval;
    }
    hold("config", "main", 45);
    plan_pull(now);
    EXPECT_FALSE(m_catch_up.store_read_due("config", now));
}

// Guards against reading the store forever for a revision that a damaged report has named.
TEST_F(object_catch_up_test, successful_store_read_ends_the_search_for_a_revision)
{
    report("n1", 4500000, 30, digest(), start);
    plan_pull(start);
    auto const later = start + node_directory::report_timeout;
    ASSERT_TRUE(m_catch_up.store_read_due("config", later));
    m_catch_up.record_store_read_start("config", later);
    m_catch_up.record_store_read_success("config");
    plan_pull(later + seconds(5));
    EXPECT_FALSE(m_catch_up.store_read_due("config", later + seconds(5)));
}

// Guards against asking a peer that does not respond while others have the configuration.
TEST_F(object_catch_up_test, peer_that_does_not_respond_is_asked_last)
{
    for (auto const* const name : {"n1", "n2"})
        report(name, 45, 30, digest(), start);
    auto const first = plan_pull(start);
    ASSERT_TRUE(first);
    m_catch_up.record_pull(*first, false, view(), start);
    for (int i = 1; i < 6; ++i)
    {
        auto const next = plan_pull(start + i * milliseconds(200));
        ASSERT_TRUE(next);
        EXPECT_NE(next->peer.name, first->peer.name);
    }
}

// Guards against a node that is behind without a line that says since when and whom it has asked.
TEST_F(object_catch_up_test, reports_once_that_it_is_behind_and_once_that_it_caught_up)
{
    report("n1", 45, 30, digest(), start);
    plan_pull(start);
    EXPECT_TRUE(m_catch_up.take_lag_events(start).empty());
    auto const later = start + seconds(1);
    auto const behind = m_catch_up.take_lag_events(later);
    ASSERT_EQ(behind.size(), 1U);
    EXPECT_EQ(behind.front().kind, "config");
    EXPECT_TRUE(behind.front().is_behind);
    EXPECT_EQ(behind.front().held, 40);
    EXPECT_EQ(behind.front().known, 45);
    EXPECT_EQ(behind.front().duration, seconds(1));
    EXPECT_EQ(behind.front().asked_peers, std::vector<std::string>{"n1"});
    EXPECT_TRUE(m_catch_up.take_lag_events(later).empty());
    hold("config", "main", 45);
    m_catch_up.update(view(), later + seconds(1));
    auto const caught_up = m_catch_up.take_lag_events(later + seconds(1));
    ASSERT_EQ(caught_up.size(), 1U);
    EXPECT_FALSE(caught_up.front().is_behind);
    EXPECT_EQ(caught_up.front().duration, seconds(2));
    EXPECT_EQ(caught_up.front().asked_peers, std::vector<std::string>{"n1"});
}

// Guards against pulling at every check from a peer that reports a revision which the store does
// not have, for example because its data was restored.
TEST_F(object_catch_up_test, does_not_pull_again_what_the_store_does_not_have)
{
    hold("evacuations", "z1", 50);
    report("old", 50, 0, 0, start);
    ASSERT_TRUE(plan_pull(start));
    auto now = start + revision_lag::store_read_delay;
    ASSERT_TRUE(m_catch_up.store_read_due("config", now));
    m_catch_up.record_store_read_start("config", now);
    m_objects.record_complete("config", 60);
    m_catch_up.record_store_read_success("config");
    auto pulls = 0;
    for (int check = 0; check < 50; ++check)
    {
        now += object_catch_up::check_interval;
        report("old", 50, 0, 0, now);
        pulls += plan_pull(now) ? 1 : 0;
    }
    EXPECT_EQ(pulls, 0);
}

// Guards against pulls of servers that carry a large configuration which the node already has.
TEST_F(object_catch_up_test, a_pull_leaves_out_the_configuration_that_the_node_holds)
{
    configuration::versioned_store peer;
    store::object const objects[] = {{"config", "main", 40, "", false},
                                     {"servers", "s0", 45, "", false}};
    peer.merge(objects);
    object_kinds const kinds{"config", "evacuations", "servers"};

    auto const selected = select_pulled_objects(kinds, peer, 0, 40);

    ASSERT_EQ(selected.size(), 1U);
    EXPECT_EQ(selected[0].kind, "servers");
    EXPECT_EQ(select_pulled_objects(kinds, peer, 0, 39).size(), 2U);
}

} // namespace
} // namespace jasminepier::serving
