#include "tests/support/virtual_network.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace jasminepier::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t fixed_seed = 20261204;

/// Returns a network in which all nodes see each other as alive.
virtual_network make_converged_network(int nodes, int regions, network_settings settings,
                                       membership::detector_settings detector = {},
                                       std::uint64_t seed = fixed_seed)
{
    virtual_network network(nodes, regions, settings, seed, detector);
    EXPECT_TRUE(network.run_until([&] { return network.all_see_all_alive(); }, seconds(90)));
    return network;
}

/// Runs for `duration` and returns the maximum number of simultaneous false deaths.
int maximum_false_deaths(virtual_network& network, milliseconds duration)
{
    int maximum = 0;
    int steps = 0;
    network.run(duration,
                [&]
                {
                    if (++steps % 10 == 0)
                        maximum = std::max(maximum, network.false_death_count());
                });
    return maximum;
}

} // namespace

// Guards against nodes that don't discover each other from three seeds, and against datagrams that
// exceed the size limit.
TEST(membership, nodes_discover_each_other_from_three_seeds)
{
    for (int nodes : {1, 2, 3, 8, 50, 400})
    {
        auto network = make_converged_network(nodes, 5, {0.02, 0.02});
        EXPECT_LE(network.largest_datagram_bytes(), membership::maximum_datagram_bytes);
    }
}

// Guards against dead nodes that remain undetected, and against false deaths in the meantime.
TEST(membership, death_of_a_node_reaches_all_nodes_without_false_deaths)
{
    for (int nodes : {2, 3, 8, 50, 400})
    {
        auto network = make_converged_network(nodes, 5, {0.01, 0.01});
        network.stop(nodes - 1);
        EXPECT_TRUE(network.run_until([&] { return network.all_see_dead(nodes - 1); }, seconds(60)))
            << nodes << " nodes";
        EXPECT_EQ(network.false_death_count(), 0);
    }
}

// Guards against false deaths under packet loss; they occur if suspicion is disabled.
TEST(membership, packet_loss_causes_no_false_deaths)
{
    auto network = make_converged_network(50, 2, {0.10, 0.05});
    EXPECT_EQ(maximum_false_deaths(network, minutes(3)), 0);
    membership::detector_settings without_suspicion;
    without_suspicion.use_suspicion = false;
    auto lossy_network = make_converged_network(50, 2, {0, 0}, without_suspicion);
    lossy_network.set_loss(0.10);
    EXPECT_GT(maximum_false_deaths(lossy_network, minutes(3)), 0);
}

// Guards against a suspicion caused by a one-way failure of a single link. Without indirect probes
// the suspected node refutes, which shows as a raised incarnation.
TEST(membership, one_way_link_failure_causes_no_suspicion)
{
    for (bool const use_indirect_probes : {true, false})
    {
        membership::detector_settings settings;
        settings.use_indirect_probes = use_indirect_probes;
        auto network = make_converged_network(8, 1, {}, settings);
        network.run(seconds(10));
        auto const incarnation_before = network.node(1).self().incarnation;
        network.set_blocked_links([](int from, int to) { return from == 1 && to == 0; });
        EXPECT_EQ(maximum_false_deaths(network, minutes(1)), 0);
        EXPECT_EQ(network.node(1).self().incarnation == incarnation_before, use_indirect_probes);
    }
}

// Guards against a node that receives nothing and declares all others dead: its reports would
// spread, since its own datagrams still arrive. Without the inbound silence check the other nodes
// have to refute them.
TEST(membership, node_without_inbound_traffic_spreads_no_suspicions)
{
    for (bool const use_silence_check : {true, false})
    {
        membership::detector_settings settings;
        settings.use_inbound_silence_check = use_silence_check;
        auto network = make_converged_network(8, 1, {}, settings);
        network.run(seconds(10));
        std::vector<std::int64_t> incarnations_before;
        for (int i = 1; i < network.size(); ++i)
            incarnations_before.push_back(network.node(i).self().incarnation);
        network.set_blocked_links([](int, int to) { return to == 0; });
        network.run(minutes(2));
        int refutations = 0;
        for (int i = 1; i < network.size(); ++i)
            refutations +=
                network.node(i).self().incarnation != incarnations_before.at(std::size_t(i - 1))
                    ? 1
                    : 0;
        // The node may suspect another one before it detects the inbound silence.
        EXPECT_EQ(refutations <= 3, use_silence_check) << refutations;
        network.set_blocked_links({});
        EXPECT_TRUE(network.run_until([&] { return network.all_see_all_alive(); }, minutes(2)));
    }
}

// Guards against a paused node that suspects others when it resumes, and against one that remains
// dead. Without pause detection the node does not raise its incarnation by itself.
TEST(membership, paused_node_returns_without_suspecting_others)
{
    for (bool const use_pause_detection : {true, false})
    {
        membership::detector_settings settings;
        settings.use_pause_detection = use_pause_detection;
        auto network = make_converged_network(8, 1, {}, settings);
        network.stop(3);
        ASSERT_TRUE(network.run_until([&] { return network.all_see_dead(3); }, minutes(1)));
        network.resume(3);
        auto const incarnation_before = network.node(3).self().incarnation;
        network.run(milliseconds(100));
        EXPECT_EQ(network.node(3).self().incarnation > incarnation_before, use_pause_detection);
        for (int i = 0; i < network.size(); ++i)
            EXPECT_EQ(network.state(3, i), inner_protocol::member_state::alive);
        EXPECT_TRUE(network.run_until([&] { return network.all_see_all_alive(); }, minutes(2)));
    }
}

// Guards against regions that never rejoin after a partition of an hour, and against live nodes
// declared dead because of the other side's member list. Without probes of dead members the regions
// remain partitioned.
TEST(membership, regions_rejoin_after_a_partition_of_an_hour)
{
    for (bool const use_dead_probes : {true, false})
    {
        membership::detector_settings settings;
        settings.use_dead_probes = use_dead_probes;
        auto network = make_converged_network(20, 2, {0.01, 0}, settings);
        network.set_blocked_links([&](int from, int to)
                                  { return network.region_of(from) != network.region_of(to); });
        network.run(minutes(60));
        EXPECT_EQ(network.false_death_count(), 2 * 10 * 10);
        network.set_blocked_links({});
        auto const healed =
            network.run_until([&] { return network.all_see_all_alive(); }, minutes(3));
        EXPECT_EQ(healed.has_value(), use_dead_probes);
    }
}

// Guards against a healed partition that makes nodes declare nodes of their own side dead: the
// member list of the other side reports all of them as dead. Without the verification of reported
// deaths this happens.
TEST(membership, healed_partition_causes_no_false_deaths_on_the_same_side)
{
    for (bool const use_death_verification : {true, false})
    {
        membership::detector_settings settings;
        settings.use_death_verification = use_death_verification;
        auto network = make_converged_network(100, 2, {0.01, 0}, settings);
        network.set_blocked_links([&](int from, int to)
                                  { return network.region_of(from) != network.region_of(to); });
        network.run(minutes(3));
        network.set_blocked_links({});
        int same_side_deaths = 0;
        auto const healed = network.run_until(
            [&]
            {
                for (int i = 0; i < network.size(); ++i)
                    for (int j = i % 2; j < network.size(); j += 2)
                        same_side_deaths +=
                            network.state(i, j) == inner_protocol::member_state::dead ? 1 : 0;
                return network.all_see_all_alive();
            },
            minutes(4));
        EXPECT_TRUE(healed);
        EXPECT_EQ(same_side_deaths == 0, use_death_verification) << same_side_deaths;
    }
}

// Guards against restarted nodes that are mistaken for their dead predecessors.
TEST(membership, all_nodes_are_alive_after_a_mass_restart)
{
    auto network = make_converged_network(200, 5, {0.01, 0});
    for (int i = 0; i < network.size(); ++i)
        network.restart(i, {0, 1, 2});
    EXPECT_TRUE(network.run_until([&] { return network.all_see_all_alive(); }, minutes(1)));
    EXPECT_EQ(maximum_false_deaths(network, minutes(1)), 0);
}

// Guards against a graceful shutdown that doesn't reach all nodes within seconds, and against a
// leaving node that becomes alive again.
TEST(membership, leaving_state_reaches_all_nodes_before_the_node_ends)
{
    auto network = make_converged_network(100, 2, {0.02, 0});
    network.node(7).leave();
    auto const all_see_leaving = [&]
    {
        for (int i = 0; i < network.size(); ++i)
            if (network.state(i, 7) != inner_protocol::member_state::leaving)
                return false;
        return true;
    };
    EXPECT_TRUE(network.run_until(all_see_leaving, seconds(10)));
    network.run(seconds(30));
    EXPECT_TRUE(all_see_leaving());
    network.stop(7);
    EXPECT_TRUE(network.run_until([&] { return network.all_see_dead(7); }, minutes(1)));
}

// Guards against crash records that are lost, stored twice or kept for longer than an hour.
TEST(membership, crash_records_reach_every_node_once_and_expire)
{
    auto network = make_converged_network(50, 2, {0.05, 0.05});
    membership::crash_record record;
    record.fingerprint = 42;
    record.server_id = "engine-1";
    record.instance = "a";
    network.node(3).add_crash_records(network.now(), {record, record});
    auto const all_have_records = [&](std::size_t count)
    {
        for (int i = 0; i < network.size(); ++i)
            if (network.node(i).crash_records(network.now()).size() != count)
                return false;
        return true;
    };
    EXPECT_TRUE(network.run_until([&] { return all_have_records(1); }, seconds(10)));
    network.run(minutes(61));
    EXPECT_TRUE(all_have_records(0));
}

// Guards against failures that need a combination of loss, delay, link failures, pauses and
// restarts: after the faults end, all nodes must see all others as alive.
RC_GTEST_PROP(membership_faults, all_nodes_are_alive_after_random_faults, ())
{
    int const nodes = *rc::gen::inRange(3, 24);
    network_settings const settings{*rc::gen::inRange(0, 20) / 100.0,
                                    *rc::gen::inRange(0, 20) / 100.0, milliseconds(1),
                                    milliseconds(*rc::gen::inRange(2, 150))};
    virtual_network network(nodes, 3, settings, std::uint64_t(*rc::gen::inRange(1, 1000000)));
    network.run(seconds(15));
    auto const fault_count = *rc::gen::inRange(1, 5);
    for (int i = 0; i < fault_count; ++i)
    {
        int const victim = *rc::gen::inRange(0, nodes);
        int const other_node = *rc::gen::inRange(0, nodes);
        switch (*rc::gen::inRange(0, 4))
        {
        case 0:
            network.stop(victim);
            break;
        case 1:
            network.restart(victim, {0, 1, 2, other_node});
            break;
        case 2:
            network.set_blocked_links([=](int from, int to)
                                      { return from == victim && to % 2 == other_node % 2; });
            break;
        default:
            network.set_blocked_links(
                [&network, victim](int from, int to)
                { return network.region_of(from) == victim % 3 && from % 3 != to % 3; });
        }
        network.run(seconds(*rc::gen::inRange(1, 60)));
    }
    network.set_blocked_links({});
    network.set_loss(0.01);
    for (int i = 0; i < nodes; ++i)
        network.resume(i);
    RC_ASSERT(
        network.run_until([&] { return network.all_see_all_alive(); }, minutes(5)).has_value());
    RC_ASSERT(network.largest_datagram_bytes() <= membership::maximum_datagram_bytes);
}

} // namespace jasminepier::tests
