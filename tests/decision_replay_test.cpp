#include "benchmarks/replay/replay.hpp"

#include <gtest/gtest.h>

namespace jasminepier::benchmarks
{
namespace
{

simulation_settings short_drain_settings()
{
    simulation_settings settings;
    settings.preset = replay_preset();
    settings.seed = 20261204;
    settings.drain_seconds = 60;
    return settings;
}

// Guards against a policy change that reintroduces preemptions and stalls. Under overload both must
// stay below a tenth of the better baseline's, with at least 98% of its tokens.
TEST(decision_replay, meets_the_overload_targets_against_both_baselines)
{
    auto const source = make_trace("constant", 20261204, 1.15, 100);
    auto const core = replay_core(source, short_drain_settings());
    auto const round_robin =
        replay_baseline(source, short_drain_settings(), baseline_kind::round_robin);
    auto const least_outstanding =
        replay_baseline(source, short_drain_settings(), baseline_kind::least_outstanding);
    EXPECT_LE(core.preemptions * 10,
              std::min(round_robin.preemptions, least_outstanding.preemptions));
    EXPECT_LE(core.all.stall_seconds * 10,
              std::min(round_robin.all.stall_seconds, least_outstanding.all.stall_seconds));
    EXPECT_GE(
        static_cast<double>(core.all.tokens),
        0.98 * static_cast<double>(std::max(round_robin.all.tokens, least_outstanding.all.tokens)));
    decision::policy_switches switches;
    switches.admission = decision::toggle::off;
    EXPECT_GT(replay_core(source, short_drain_settings(), switches).preemptions,
              10 * core.preemptions);
}

// Guards against slow tokens at ordinary load.
TEST(decision_replay, meets_the_latency_targets_at_ordinary_load)
{
    auto const core = replay_core(make_trace("ordinary", 20261204, 1, 60), short_drain_settings());
    EXPECT_LE(core.all.token_gaps.quantile(0.99), 38);
    EXPECT_LE(core.all.time_to_first_token.quantile(0.95), 1100);
    EXPECT_EQ(core.all.unserved(), 0);
    EXPECT_EQ(core.preemptions, 0);
}

// Guards against lost requests and overloaded cold engines when a zone is evacuated and returns.
TEST(decision_replay, serves_every_request_while_a_zone_is_evacuated_and_returns)
{
    auto const source = make_trace("zone", 20261204, 1, 120);
    auto const core = replay_core(source, short_drain_settings());
    EXPECT_EQ(core.all.unserved(), 0);
    EXPECT_EQ(core.cold_overloads, 0);
    decision::policy_switches switches;
    switches.cold_slots = decision::toggle::off;
    EXPECT_GT(replay_core(source, short_drain_settings(), switches).cold_overloads, 0);
}

// Guards against crash loops: a cold engine fails under full load, restarts cold and fails again.
TEST(decision_replay, never_overloads_an_engine_that_is_known_to_be_cold)
{
    auto const core = replay_core(make_trace("cold", 20261204, 1, 120), short_drain_settings());
    EXPECT_EQ(core.cold_overloads, core.unreported_cold_overloads);
    EXPECT_EQ(core.all.unserved(), 0);
}

// Guards against hidden state: the same trace and seed must give the same statistics.
TEST(decision_replay, repeats_exactly_with_the_same_seed)
{
    auto const source = make_trace("peak", 7, 1, 20);
    auto const first = replay_core(source, short_drain_settings());
    auto const second = replay_core(source, short_drain_settings());
    EXPECT_EQ(first.all.tokens, second.all.tokens);
    EXPECT_EQ(first.all.stall_seconds, second.all.stall_seconds);
    EXPECT_EQ(first.all.time_to_first_token.quantile(0.95),
              second.all.time_to_first_token.quantile(0.95));
}

} // namespace
} // namespace jasminepier::benchmarks
