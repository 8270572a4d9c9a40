#include "tests/support/virtual_fleet.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t fixed_seed = 20261204;
/// Time for a change to reach all nodes: 12 s until it is in force, less one poll interval of the
/// entry process.
constexpr milliseconds propagation_target{11800};

} // namespace

// Guards against a change that does not reach all of 400 nodes in time, with packet loss and slow
// peers, and against platform reads that grow with the fleet. Without pulls only the watchers get
// the change.
TEST(distribution, change_reaches_400_nodes_in_time)
{
    virtual_fleet fleet(400, 5, {0.05, 0.01}, fixed_seed, {5});
    fleet.store.write("first");
    fleet.run(seconds(20));
    EXPECT_EQ(fleet.watcher_count(), 15);
    auto const calls_before = fleet.store.call_count;
    EXPECT_TRUE(fleet.run_until_all_confirm(fleet.store.write("a"), propagation_target));
    EXPECT_LE(fleet.store.call_count - calls_before, 30U);
    virtual_fleet fleet_without_pulls(50, 5, {}, fixed_seed, {0, false});
    // Runs for less than 20 s, after which nodes without any configuration read the platform.
    fleet_without_pulls.run(seconds(5));
    EXPECT_FALSE(fleet_without_pulls.run_until_all_confirm(fleet_without_pulls.store.write("a"),
                                                           propagation_target));
}

// Guards against a change that is accepted right after an outage and delayed by a long backoff of
// the watchers, and against watchers that flood a failing platform.
TEST(distribution, change_accepted_after_an_outage_arrives_in_time)
{
    virtual_fleet fleet(50, 2, {0.02, 0}, fixed_seed);
    fleet.store.write("a");
    fleet.run(seconds(15));
    fleet.store.unavailable = true;
    fleet.run(seconds(20));
    auto const calls_before = fleet.store.call_count;
    fleet.run(minutes(2));
    // 6 watchers with a backoff of 2 to 4 s.
    EXPECT_LE(fleet.store.call_count - calls_before, 6U * 60U);
    fleet.store.unavailable = false;
    EXPECT_TRUE(fleet.run_until_all_confirm(fleet.store.write("b"), propagation_target));
}

// Guards against a node that does not start while the platform is down, although its peers have the
// configuration.
TEST(distribution, restarted_node_pulls_from_peers_while_the_platform_is_down)
{
    virtual_fleet fleet(10, 2, {0.02, 0}, fixed_seed);
    fleet.store.write("a");
    fleet.run(seconds(15));
    fleet.store.unavailable = true;
    fleet.restart(9);
    EXPECT_TRUE(fleet.run_until_all_confirm(fleet.store.version(), propagation_target));
}

// Guards against an interleaving of changes, deletions, outages, stale reads, slow peers, restarts
// and link failures in which a change misses its propagation target, or an object reverts to an
// older version.
RC_GTEST_PROP(distribution_faults, every_change_arrives_in_time_and_none_reverts, ())
{
    int const nodes = *rc::gen::inRange(2, 20);
    virtual_fleet fleet(nodes, 2, {*rc::gen::inRange(0, 8) / 100.0, 0.02},
                        std::uint64_t(*rc::gen::inRange(1, 1000000)),
                        {*rc::gen::inRange(0, 2) == 0 ? 0 : 4});
    fleet.run(seconds(15));
    auto const steps = *rc::gen::inRange(2, 10);
    for (int i = 0; i < steps; ++i)
    {
        fleet.store.maximum_lag = *rc::gen::inRange(0, 3);
        switch (*rc::gen::inRange(0, 5))
        {
        case 0:
            fleet.store.unavailable = true;
            break;
        case 1:
            fleet.restart(*rc::gen::inRange(0, nodes));
            break;
        case 2:
        {
            int const victim = *rc::gen::inRange(0, nodes);
            fleet.network.set_blocked_links([victim](int from, int to)
                                            { return from == victim || to == victim; });
            break;
        }
        default:
            fleet.store.unavailable = false;
            fleet.store.write(std::string(1, "abc"[*rc::gen::inRange(0, 3)]),
                              *rc::gen::inRange(0, 3) == 0);
        }
        fleet.run(milliseconds(*rc::gen::inRange(100, 8000)));
        fleet.network.set_blocked_links({});
    }
    fleet.store.unavailable = false;
    fleet.store.maximum_lag = 0;
    // Nodes that were declared dead return within an interval of probes to dead members.
    RC_ASSERT(
        fleet.network.run_until([&] { return fleet.network.all_see_all_alive(); }, minutes(2)));
    RC_ASSERT(fleet.run_until_all_confirm(fleet.store.write("z"), propagation_target).has_value());
    for (int node = 0; node < nodes; ++node)
        for (auto const& name : {"a", "b", "c", "z"})
        {
            auto const* object = fleet.replica_of(node).store().find("zone", name);
            auto const* reference_object = fleet.replica_of(0).store().find("zone", name);
            RC_ASSERT((object == nullptr) == (reference_object == nullptr));
            if (object != nullptr)
                RC_ASSERT(object->version == reference_object->version);
        }
    RC_ASSERT(fleet.version_regressions() == 0);
}

// Guards against a gap below the highest merged version: a change made between the reads of a
// listing of two kinds, which no later pull would fetch. The versioned store alone reports the
// highest version.
TEST(replica, listing_with_a_gap_does_not_confirm_the_later_revision)
{
    store::object const first_change{"zone", "a", 3, "{}", false};
    store::object const missing_change{"zone", "a", 5, "{}", false};
    store::object const last_change{"server", "s", 7, "{}", false};
    configuration::replica replica;
    replica.merge_listing({{"zone", {4, {first_change}}}, {"server", {7, {last_change}}}});
    EXPECT_EQ(replica.store().revision(), 7);
    EXPECT_EQ(replica.confirmed_revision(), 3);
    replica.merge_watch(4, {7, {missing_change, last_change}});
    EXPECT_EQ(replica.confirmed_revision(), 7);
    EXPECT_EQ(replica.store().find("zone", "a")->version, 5);
}

// Guards against a peer with a stale replica that restores a deleted object on a node that listed
// the platform after the deletion. The versioned store alone accepts the object.
TEST(replica, stale_peer_does_not_restore_a_deleted_object)
{
    std::vector<store::object> const stale_objects{{"zone", "gone", 2, "{}", false}};
    store::object const current{"zone", "a", 9, "{}", false};
    configuration::replica replica;
    replica.merge_listing({{"zone", {9, {current}}}});
    replica.merge_peer(0, 2, stale_objects);
    EXPECT_EQ(replica.store().find("zone", "gone"), nullptr);
    auto unprotected_store = replica.store();
    unprotected_store.merge(stale_objects);
    EXPECT_NE(unprotected_store.find("zone", "gone"), nullptr);
}

// Guards against an object that was deleted while a node could not watch, and stays in force on
// that node.
TEST(replica, new_listing_deletes_objects_that_it_does_not_contain)
{
    configuration::replica replica;
    replica.merge_listing(
        {{"zone", {5, {{"zone", "a", 2, "{}", false}, {"zone", "b", 5, "{}", false}}}}});
    replica.merge_listing({{"zone", {8, {{"zone", "b", 5, "{}", false}}}}});
    EXPECT_EQ(replica.store().find("zone", "a"), nullptr);
    replica.merge_listing({{"zone", {4, {{"zone", "a", 2, "{}", false}}}}});
    EXPECT_EQ(replica.store().find("zone", "a"), nullptr);
    EXPECT_NE(replica.store().find("zone", "b"), nullptr);
}

} // namespace jasminepier::tests
