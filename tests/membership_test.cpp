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

/// Waits until the network is complete; tests start from there.
virtual_network started(int nodes, int regions, network_settings settings,
                        membership::detector_settings detector = {},
                        std::uint64_t seed = fixed_seed)
{
    virtual_network network(nodes, regions, settings, seed, detector);
    EXPECT_TRUE(network.run_until([&] { return network.all_see_all_alive(); }, seconds(90)));
    return network;
}

/// Runs and returns the most false deaths seen at once.
int most_false_deaths(virtual_network& network, milliseconds duration)
{
    int most = 0;
    int steps = 0;
    network.run(duration,
                [&]
                {
                    if (++steps % 10 == 0)
                        most = std::max(most, network.false_deaths());
                });
    return most;
}

} // namespace

// Guards against a fleet that does not find itself from three seeds, and against datagrams above
// the limit.
TEST(membership, nodes_find_each_other_from_seeds)
{
    for (int nodes : {1, 2, 3, 8, 50, 400})
    {
        auto network = started(nodes, 5, {0.02, 0.02});
        EXPECT_LE(network.largest_datagram_bytes(), membership::maximum_datagram_bytes);
    }
}

// Guards against dead nodes that are not noticed, and against live ones taken for dead meanwhile.
TEST(membership, a_death_is_known_everywhere_and_nobody_else_dies)
{
    for (int nodes : {2, 3, 8, 50, 400})
    {
        auto network = started(nodes, 5, {0.01, 0.01});
        network.stop(nodes - 1);
        EXPECT_TRUE(network.run_until([&] { return network.all_see_dead(nodes - 1); }, seconds(60)))
            << nodes << " nodes";
        EXPECT_EQ(network.false_deaths(), 0);
    }
}

// Guards against false deaths under packet loss. Without suspicion the same run shows them.
TEST(membership, loss_kills_nobody)
{
    auto network = started(50, 2, {0.10, 0.05});
    EXPECT_EQ(most_false_deaths(network, minutes(3)), 0);
    membership::detector_settings hasty;
    hasty.use_suspicion = false;
    auto other = started(50, 2, {0, 0}, hasty);
    other.set_loss(0.10);
    EXPECT_GT(most_false_deaths(other, minutes(3)), 0);
}

// Guards against accusations over a cut between one pair, in one direction. Without indirect pings
// the same cut ends in an accusation, seen as a raised incarnation of the node accused.
TEST(membership, an_asymmetric_cut_between_two_nodes_accuses_nobody)
{
    for (bool const indirect : {true, false})
    {
        membership::detector_settings settings;
        settings.use_indirect_probes = indirect;
        auto network = started(8, 1, {}, settings);
        network.run(seconds(10));
        auto const before = network.node(1).self().incarnation;
        network.set_blocked_links([](int from, int to) { return from == 1 && to == 0; });
        EXPECT_EQ(most_false_deaths(network, minutes(1)), 0);
        EXPECT_EQ(network.node(1).self().incarnation == before, indirect);
    }
}

// Guards against a node that hears nothing and declares everybody dead: its claims would spread,
// since its own datagrams still arrive. Without the rule the same cut makes others refute.
TEST(membership, a_deaf_node_harms_nobody)
{
    for (bool const rule : {true, false})
    {
        membership::detector_settings settings;
        settings.use_inbound_silence_check = rule;
        auto network = started(8, 1, {}, settings);
        network.run(seconds(10));
        std::vector<std::int64_t> before;
        for (int i = 1; i < network.size(); ++i)
            before.push_back(network.node(i).self().incarnation);
        network.set_blocked_links([](int, int to) { return to == 0; });
        network.run(minutes(2));
        int refuted = 0;
        for (int i = 1; i < network.size(); ++i)
            refuted += network.node(i).self().incarnation != before.at(std::size_t(i - 1)) ? 1 : 0;
        // One accusation may leave the node before it has noticed its silence.
        EXPECT_EQ(refuted <= 3, rule) << refuted;
        network.set_blocked_links({});
        EXPECT_TRUE(network.run_until([&] { return network.all_see_all_alive(); }, minutes(2)));
    }
}

// Guards against a paused node that accuses others when it wakes, and against one that stays dead.
// Without pause detection the node does not raise its incarnation by itself.
TEST(membership, a_paused_node_returns_and_accuses_nobody)
{
    for (bool const detection : {true, false})
    {
        membership::detector_settings settings;
        settings.use_pause_detection = detection;
        auto network = started(8, 1, {}, settings);
        network.stop(3);
        ASSERT_TRUE(network.run_until([&] { return network.all_see_dead(3); }, minutes(1)));
        network.resume(3);
        auto const before = network.node(3).self().incarnation;
        network.run(milliseconds(100));
        EXPECT_EQ(network.node(3).self().incarnation > before, detection);
        for (int i = 0; i < network.size(); ++i)
            EXPECT_EQ(network.state(3, i), inner_protocol::member_state::alive);
        EXPECT_TRUE(network.run_until([&] { return network.all_see_all_alive(); }, minutes(2)));
    }
}

// Guards against regions that never rejoin after a partition of an hour, and against live nodes
// declared dead by the other side's list. Without dead probes the regions stay apart.
TEST(membership, regions_rejoin_after_an_hour)
{
    for (bool const probes : {true, false})
    {
        membership::detector_settings settings;
        settings.use_dead_probes = probes;
        auto network = started(20, 2, {0.01, 0}, settings);
        network.set_blocked_links([&](int from, int to)
                                  { return network.region_of(from) != network.region_of(to); });
        network.run(minutes(60));
        EXPECT_EQ(network.false_deaths(), 2 * 10 * 10);
        network.set_blocked_links({});
        auto const healed =
            network.run_until([&] { return network.all_see_all_alive(); }, minutes(3));
        EXPECT_EQ(healed.has_value(), probes);
    }
}

// Guards against a heal that declares nodes dead within their own side: with 200 nodes a side, the
// far side's list names them all. Without the check of claims the same heal shows such deaths.
TEST(membership, a_heal_kills_nobody_on_its_own_side)
{
    for (bool const checks : {true, false})
    {
        membership::detector_settings settings;
        settings.use_death_verification = checks;
        auto network = started(100, 2, {0.01, 0}, settings);
        network.set_blocked_links([&](int from, int to)
                                  { return network.region_of(from) != network.region_of(to); });
        network.run(minutes(3));
        network.set_blocked_links({});
        int own_side_deaths = 0;
        auto const healed = network.run_until(
            [&]
            {
                for (int i = 0; i < network.size(); ++i)
                    for (int j = i % 2; j < network.size(); j += 2)
                        own_side_deaths +=
                            network.state(i, j) == inner_protocol::member_state::dead ? 1 : 0;
                return network.all_see_all_alive();
            },
            minutes(4));
        EXPECT_TRUE(healed);
        EXPECT_EQ(own_side_deaths == 0, checks) << own_side_deaths;
    }
}

// Guards against restarted nodes that are taken for their dead predecessors.
TEST(membership, a_mass_restart_ends_with_all_alive)
{
    auto network = started(200, 5, {0.01, 0});
    for (int i = 0; i < network.size(); ++i)
        network.restart(i, {0, 1, 2});
    EXPECT_TRUE(network.run_until([&] { return network.all_see_all_alive(); }, minutes(1)));
    EXPECT_EQ(most_false_deaths(network, minutes(1)), 0);
}

// Guards against leaving nodes that others do not hear of within seconds, or that turn alive again.
TEST(membership, leaving_is_known_everywhere_before_the_node_ends)
{
    auto network = started(100, 2, {0.02, 0});
    network.node(7).leave();
    auto const known = [&]
    {
        for (int i = 0; i < network.size(); ++i)
            if (network.state(i, 7) != inner_protocol::member_state::leaving)
                return false;
        return true;
    };
    EXPECT_TRUE(network.run_until(known, seconds(10)));
    network.run(seconds(30));
    EXPECT_TRUE(known());
    network.stop(7);
    EXPECT_TRUE(network.run_until([&] { return network.all_see_dead(7); }, minutes(1)));
}

// Guards against crash records that are lost, counted twice or kept beyond their hour.
TEST(membership, crash_records_reach_every_node_once_and_expire)
{
    auto network = started(50, 2, {0.05, 0.05});
    membership::crash_record record;
    record.fingerprint = 42;
    record.server_id = "engine-1";
    record.instance = "a";
    network.node(3).add_crash_records(network.now(), {record, record});
    auto const everywhere = [&](std::size_t count)
    {
        for (int i = 0; i < network.size(); ++i)
            if (network.node(i).crash_records(network.now()).size() != count)
                return false;
        return true;
    };
    EXPECT_TRUE(network.run_until([&] { return everywhere(1); }, seconds(10)));
    network.run(minutes(61));
    EXPECT_TRUE(everywhere(0));
}

// Guards against faults that only a combination of loss, delay, cuts, pauses and restarts shows:
// after the faults end, all nodes agree that all are alive.
RC_GTEST_PROP(membership_faults, any_faults_end_with_all_alive, ())
{
    int const nodes = *rc::gen::inRange(3, 24);
    network_settings const settings{*rc::gen::inRange(0, 20) / 100.0,
                                    *rc::gen::inRange(0, 20) / 100.0, milliseconds(1),
                                    milliseconds(*rc::gen::inRange(2, 150))};
    virtual_network network(nodes, 3, settings, std::uint64_t(*rc::gen::inRange(1, 1000000)));
    network.run(seconds(15));
    auto const faults = *rc::gen::inRange(1, 5);
    for (int i = 0; i < faults; ++i)
    {
        int const victim = *rc::gen::inRange(0, nodes);
        int const other = *rc::gen::inRange(0, nodes);
        switch (*rc::gen::inRange(0, 4))
        {
        case 0:
            network.stop(victim);
            break;
        case 1:
            network.restart(victim, {0, 1, 2, other});
            break;
        case 2:
            network.set_blocked_links([=](int from, int to)
                                      { return from == victim && to % 2 == other % 2; });
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
