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
/// The time in which an accepted configuration is in force everywhere, less one poll of the entry
/// process.
constexpr milliseconds promised{11800};

} // namespace

// Guards against a change that does not reach all of 400 nodes in time, with loss and slow peers,
// and against platform reads that grow with the fleet. Without pulls only the watchers get it.
TEST(distribution, a_change_is_in_force_on_400_nodes)
{
    virtual_fleet fleet(400, 5, {0.05, 0.01}, fixed_seed, {5});
    fleet.store.put("first");
    fleet.run(seconds(20));
    EXPECT_EQ(fleet.watcher_count(), 15);
    auto const before = fleet.store.calls;
    EXPECT_TRUE(fleet.run_until_all_confirm(fleet.store.put("a"), promised));
    EXPECT_LE(fleet.store.calls - before, 30U);
    virtual_fleet without(50, 5, {}, fixed_seed, {0, false});
    // Nodes without any configuration read the platform themselves after 20 s.
    without.run(seconds(5));
    EXPECT_FALSE(without.run_until_all_confirm(without.store.put("a"), promised));
}

// Guards against a change accepted right after an outage that waits for a long pause of the
// watchers, and against watchers that flood a failing platform.
TEST(distribution, an_outage_delays_no_change_accepted_after_it)
{
    virtual_fleet fleet(50, 2, {0.02, 0}, fixed_seed);
    fleet.store.put("a");
    fleet.run(seconds(15));
    fleet.store.outage = true;
    fleet.run(seconds(20));
    auto const before = fleet.store.calls;
    fleet.run(minutes(2));
    // 6 watchers with pauses of 2 to 4 s.
    EXPECT_LE(fleet.store.calls - before, 6U * 60U);
    fleet.store.outage = false;
    EXPECT_TRUE(fleet.run_until_all_confirm(fleet.store.put("b"), promised));
}

// Guards against a node that does not start while the platform is down, although peers have the
// configuration.
TEST(distribution, a_node_starts_from_peers_while_the_platform_is_down)
{
    virtual_fleet fleet(10, 2, {0.02, 0}, fixed_seed);
    fleet.store.put("a");
    fleet.run(seconds(15));
    fleet.store.outage = true;
    fleet.restart(9);
    EXPECT_TRUE(fleet.run_until_all_confirm(fleet.store.version(), promised));
}

// Guards against every interleaving of changes, deletions, outages, stale reads, slow peers,
// restarts and cuts in which a node misses a change for longer than promised or goes back.
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
            fleet.store.outage = true;
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
            fleet.store.outage = false;
            fleet.store.put(std::string(1, "abc"[*rc::gen::inRange(0, 3)]),
                            *rc::gen::inRange(0, 3) == 0);
        }
        fleet.run(milliseconds(*rc::gen::inRange(100, 8000)));
        fleet.network.set_blocked_links({});
    }
    fleet.store.outage = false;
    fleet.store.maximum_lag = 0;
    // Nodes taken for dead after a cut come back within a dead-probe interval.
    RC_ASSERT(
        fleet.network.run_until([&] { return fleet.network.all_see_all_alive(); }, minutes(2)));
    RC_ASSERT(fleet.run_until_all_confirm(fleet.store.put("z"), promised).has_value());
    for (int node = 0; node < nodes; ++node)
        for (auto const& name : {"a", "b", "c", "z"})
        {
            auto const* held = fleet.replica_of(node).store().find("zone", name);
            auto const* first = fleet.replica_of(0).store().find("zone", name);
            RC_ASSERT((held == nullptr) == (first == nullptr));
            if (held != nullptr)
                RC_ASSERT(held->version == first->version);
        }
    RC_ASSERT(fleet.version_regressions() == 0);
}

// Guards against the gap that the highest merged version hides: a change of one kind, made between
// the reads of a listing, that no later pull would fetch. The plain store shows the gap.
TEST(replica, a_listing_with_a_gap_is_not_called_complete)
{
    store::object const early{"zone", "a", 3, "{}", false};
    store::object const missed{"zone", "a", 5, "{}", false};
    store::object const late{"server", "s", 7, "{}", false};
    configuration::replica copy;
    copy.merge_listing({{"zone", {4, {early}}}, {"server", {7, {late}}}});
    EXPECT_EQ(copy.store().revision(), 7);
    EXPECT_EQ(copy.confirmed_revision(), 3);
    copy.merge_watch(4, {7, {missed, late}});
    EXPECT_EQ(copy.confirmed_revision(), 7);
    EXPECT_EQ(copy.store().find("zone", "a")->version, 5);
}

// Guards against a deleted object that a peer with old knowledge brings back to a node that listed
// the platform after the deletion. The plain store accepts it.
TEST(replica, a_peer_cannot_bring_back_a_deleted_object)
{
    std::vector<store::object> const old{{"zone", "gone", 2, "{}", false}};
    store::object const current{"zone", "a", 9, "{}", false};
    configuration::replica copy;
    copy.merge_listing({{"zone", {9, {current}}}});
    copy.merge_peer(0, 2, old);
    EXPECT_EQ(copy.store().find("zone", "gone"), nullptr);
    auto plain = copy.store();
    plain.merge(old);
    EXPECT_NE(plain.find("zone", "gone"), nullptr);
}

// Guards against an object deleted while a node could not watch that stays in force there.
TEST(replica, a_new_listing_deletes_what_it_no_longer_contains)
{
    configuration::replica copy;
    copy.merge_listing(
        {{"zone", {5, {{"zone", "a", 2, "{}", false}, {"zone", "b", 5, "{}", false}}}}});
    copy.merge_listing({{"zone", {8, {{"zone", "b", 5, "{}", false}}}}});
    EXPECT_EQ(copy.store().find("zone", "a"), nullptr);
    copy.merge_listing({{"zone", {4, {{"zone", "a", 2, "{}", false}}}}});
    EXPECT_EQ(copy.store().find("zone", "a"), nullptr);
    EXPECT_NE(copy.store().find("zone", "b"), nullptr);
}

} // namespace jasminepier::tests
