#include "benchmarks/replay/replay.hpp"

namespace jasminepier::benchmarks
{

replay_statistics replay_core(trace const& source, simulation_settings const& settings,
                              decision::policy_switches const& switches)
{
    simulation<decision::decision_core> simulation_run(
        source, settings,
        [&](decision::core_settings core_settings)
        {
            core_settings.switches = switches;
            return std::make_unique<decision::decision_core>(std::move(core_settings));
        });
    return simulation_run.run();
}

replay_statistics replay_baseline(trace const& source, simulation_settings const& settings,
                                  baseline_kind kind)
{
    simulation<baseline_node> simulation_run(
        source, settings,
        [&](decision::core_settings const& core_settings)
        { return std::make_unique<baseline_node>(kind, core_settings); });
    return simulation_run.run();
}

std::vector<ablation> make_ablations()
{
    using decision::policy_switches;
    std::vector<ablation> ablations;
    auto const add = [&](char const* name, decision::toggle policy_switches::*feature)
    {
        policy_switches switches;
        switches.*feature = decision::toggle::off;
        ablations.push_back({name, switches});
    };
    add("admission", &policy_switches::admission);
    add("learned_lengths", &policy_switches::learned_lengths);
    add("growth", &policy_switches::growth);
    add("peer_dispatches", &policy_switches::peer_dispatches);
    add("margin", &policy_switches::margin);
    add("reserves", &policy_switches::reserves);
    add("fair_queuing", &policy_switches::fair_queuing);
    add("prefix_affinity", &policy_switches::prefix_affinity);
    add("zone_distance", &policy_switches::zone_distance);
    add("cold_slots", &policy_switches::cold_slots);
    add("early_refusal", &policy_switches::early_refusal);
    return ablations;
}

configuration::preset replay_preset()
{
    return {};
}

} // namespace jasminepier::benchmarks
