/// Runs one trace under one policy.
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

/// A variant of the policy with one part switched off.
struct ablation
{
    std::string name;
    decision::policy_switches switches;
};
std::vector<ablation> list_ablations();

/// Returns the preset that the replay and its bounds use.
configuration::preset replay_preset();

} // namespace jasminepier::benchmarks
