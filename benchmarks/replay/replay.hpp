/// Replays a trace with the decision core or a baseline policy.
#pragma once

#include "benchmarks/replay/baseline.hpp"
#include "benchmarks/replay/simulation.hpp"

#include <string>
#include <vector>

namespace jasminepier::benchmarks
{

replay_statistics replay_core(trace const& source, simulation_settings const& settings,
                              decision::policy_switches const& switches = {});
replay_statistics replay_baseline(trace const& source, simulation_settings const& settings,
                                  baseline_kind kind);

/// The decision core's policy with one feature switched off.
struct ablation
{
    std::string name;
    decision::policy_switches switches;
};
std::vector<ablation> make_ablations();

/// Returns the default preset, with which traces are replayed and the replay tests check limits.
configuration::preset replay_preset();

} // namespace jasminepier::benchmarks
