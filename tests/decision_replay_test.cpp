#include "benchmarks/replay/replay.hpp"

#include <gtest/gtest.h>

namespace jasminepier::benchmarks
{
namespace
{

simulation_settings small()
{
    simulation_settings settings;
    settings.preset = replay_preset();
    settings.seed = 20261204;
    settings.drain_seconds = 60;
    return settings;
}

// Guards against a policy change that brings preemptions and stalls back: at overload both stay
// under a tenth of the better baseline's, and at most 2% of its tokens are given up.
TEST(decision_replay, holds_the_goals_in_a_crowded_trace)
{
    auto const source = make_trace("constant", 20261204, 1.15, 100);
    auto const core = replay_core(source, small());
    auto const round_robin = replay_baseline(source, small(), baseline_kind::round_robin);
    auto const least = replay_baseline(source, small(), baseline_kind::least_outstanding);
    EXPECT_LE(core.preemptions * 10, std::min(round_robin.preemptions, least.preemptions));
    EXPECT_LE(core.all.stall_seconds * 10,
              std::min(round_robin.all.stall_seconds, least.all.stall_seconds));
    EXPECT_GE(static_cast<double>(core.all.tokens),
              0.98 * static_cast<double>(std::max(round_robin.all.tokens, least.all.tokens)));
    decision::policy_switches switches;
    switches.admission = decision::toggle::off;
    EXPECT_GT(replay_core(source, small(), switches).preemptions, 10 * core.preemptions);
}

// Guards against slow tokens in ordinary hours.
TEST(decision_replay, holds_the_latency_targets_in_an_ordinary_trace)
{
    auto const core = replay_core(make_trace("ordinary", 20261204, 1, 60), small());
    EXPECT_LE(core.all.token_gaps.quantile(0.99), 38);
    EXPECT_LE(core.all.time_to_first_token.quantile(0.95), 1100);
    EXPECT_EQ(core.all.unserved(), 0);
    EXPECT_EQ(core.preemptions, 0);
}

// Guards against lost work and overloaded cold engines while a zone leaves and returns.
TEST(decision_replay, loses_nothing_while_a_zone_leaves_and_returns)
{
    auto const source = make_trace("zone", 20261204, 1, 120);
    auto const core = replay_core(source, small());
    EXPECT_EQ(core.all.unserved(), 0);
    EXPECT_EQ(core.cold_overloads, 0);
    decision::policy_switches switches;
    switches.cold_slots = decision::toggle::off;
    EXPECT_GT(replay_core(source, small(), switches).cold_overloads, 0);
}

// Guards against engines that turn cold and are then failed again and again by full load.
TEST(decision_replay, never_overloads_an_engine_known_as_cold)
{
    auto const core = replay_core(make_trace("cold", 20261204, 1, 120), small());
    EXPECT_EQ(core.cold_overloads, core.unreported_cold_overloads);
    EXPECT_EQ(core.all.unserved(), 0);
}

// Guards against hidden state: the same trace and seed give the same figures.
TEST(decision_replay, repeats_exactly)
{
    auto const source = make_trace("peak", 7, 1, 20);
    auto const first = replay_core(source, small());
    auto const second = replay_core(source, small());
    EXPECT_EQ(first.all.tokens, second.all.tokens);
    EXPECT_EQ(first.all.stall_seconds, second.all.stall_seconds);
    EXPECT_EQ(first.all.time_to_first_token.quantile(0.95),
              second.all.time_to_first_token.quantile(0.95));
}

} // namespace
} // namespace jasminepier::benchmarks
