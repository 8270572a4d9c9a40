/// Replays traces with the decision core and the baseline policies and prints their statistics.
#include "benchmarks/replay/decision_cost.hpp"
#include "benchmarks/replay/replay.hpp"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <functional>
#include <future>
#include <string>
#include <vector>

namespace
{

using namespace jasminepier;
using namespace jasminepier::benchmarks;

void print_header()
{
    std::printf("%-10s %-17s %8s %7s %6s %6s %7s %7s %7s %7s %6s %5s %5s %5s %4s %7s %7s %9s\n",
                "trace", "policy", "stall_s", "preempt", "p50_ms", "p99_ms", "p999_ms", "ft95_ms",
                "q_ft95", "refused", "aband", "lost", "p_uns", "q_uns", "cold", "small_u",
                "sm_ft95", "tokens");
}

void print_row(std::string const& trace_name, std::string const& policy,
               replay_statistics const& statistics)
{
    using configuration::work_kind;
    auto const& question = statistics.kinds[static_cast<std::size_t>(work_kind::question)];
    auto const& proposal = statistics.kinds[static_cast<std::size_t>(work_kind::proposal)];
    std::printf(
        "%-10s %-17s %8.1f %7ld %6.1f %6.1f %7.1f %7.0f %7.0f %7ld %6ld %5ld %5ld %5ld "
        "%4ld %7ld %7.0f %9ld\n",
        trace_name.c_str(), policy.c_str(), statistics.all.stall_seconds, statistics.preemptions,
        statistics.all.token_gaps.quantile(0.5), statistics.all.token_gaps.quantile(0.99),
        statistics.all.token_gaps.quantile(0.999),
        statistics.all.time_to_first_token.quantile(0.95),
        question.time_to_first_token.quantile(0.95), statistics.all.rejected,
        statistics.all.abandoned, statistics.all.failed, proposal.unserved(), question.unserved(),
        statistics.cold_overloads - statistics.unreported_cold_overloads,
        statistics.smallest_customer.unserved(),
        statistics.smallest_customer.time_to_first_token.quantile(0.95), statistics.all.tokens);
    std::fflush(stdout);
}

void print_group(char const* name, group_statistics const& group)
{
    std::printf("    %-18s arrived %6ld served %6ld refused %5ld abandoned %5ld lost %3ld stall_s "
                "%8.1f p99_ms %6.1f ft95_ms %7.0f tokens %8ld not_served_tokens %8ld\n",
                name, group.arrived, group.completed, group.rejected, group.abandoned, group.failed,
                group.stall_seconds, group.token_gaps.quantile(0.99),
                group.time_to_first_token.quantile(0.95), group.tokens, group.unserved_tokens);
}

void print_groups(replay_statistics const& statistics)
{
    for (std::size_t kind = 0; kind < 3; ++kind)
        print_group(std::string(to_string(static_cast<configuration::work_kind>(kind))).c_str(),
                    statistics.kinds[kind]);
    print_group("largest_customer", statistics.largest_customer);
    print_group("smallest_customer", statistics.smallest_customer);
}

using replay_function = std::function<replay_statistics(trace const&, simulation_settings const&)>;

/// Replays `seed_count` traces with consecutive seeds, several in parallel, and adds their
/// statistics.
replay_statistics replay_seeds(std::string const& name, double load, int seed_count,
                               simulation_settings const& settings, replay_function const& replay)
{
    constexpr int parallel_replays = 3;
    replay_statistics total;
    for (int first_seed = 0; first_seed < seed_count; first_seed += parallel_replays)
    {
        std::vector<std::future<replay_statistics>> replays;
        for (int i = first_seed; i < std::min(seed_count, first_seed + parallel_replays); ++i)
            replays.push_back(std::async(
                std::launch::async,
                [&, i]
                {
                    auto seeded_settings = settings;
                    seeded_settings.seed += static_cast<std::uint64_t>(i);
                    return replay(make_trace(name, seeded_settings.seed, load), seeded_settings);
                }));
        for (auto& replay_result : replays)
            total.merge(replay_result.get());
    }
    return total;
}

replay_statistics run_core(trace const& source, simulation_settings const& settings)
{
    return replay_core(source, settings);
}

replay_statistics run_round_robin(trace const& source, simulation_settings const& settings)
{
    return replay_baseline(source, settings, baseline_kind::round_robin);
}

replay_statistics run_least_outstanding(trace const& source, simulation_settings const& settings)
{
    return replay_baseline(source, settings, baseline_kind::least_outstanding);
}

void print_comparison(std::string const& name, double load, int seed_count,
                      simulation_settings const& settings, bool print_group_rows)
{
    auto const print_policy = [&](char const* policy, replay_function const& replay)
    {
        auto const statistics = replay_seeds(name, load, seed_count, settings, replay);
        auto const label = load == 1 ? name : "load " + std::to_string(load).substr(0, 3);
        print_row(label, policy, statistics);
        if (print_group_rows)
            print_groups(statistics);
    };
    print_policy("decision_core", run_core);
    print_policy("round_robin", run_round_robin);
    print_policy("least_outstanding", run_least_outstanding);
}

void print_ablations(std::string const& name, double load, int seed_count,
                     simulation_settings const& settings)
{
    print_row(name, "all features", replay_seeds(name, load, seed_count, settings, run_core));
    for (auto const& variant : make_ablations())
        print_row(name, "-" + variant.name,
                  replay_seeds(name, load, seed_count, settings,
                               [&](trace const& source, simulation_settings const& seeded_settings)
                               { return replay_core(source, seeded_settings, variant.switches); }));
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Replays traces through the decision core in virtual time");
    simulation_settings settings;
    settings.preset = replay_preset();
    settings.seed = 20261204;
    std::string table = "compare";
    std::vector<std::string> names = trace_names();
    bool print_group_rows = false;
    int seed_count = 1;
    double load = 1;
    app.add_option("--table", table, "Table to print")
        ->check(CLI::IsMember({"compare", "load", "ablation", "speed"}));
    app.add_option("--trace", names, "Traces to replay");
    app.add_option("--seed", settings.seed, "Seed of the traces and the decisions");
    app.add_option("--fill-limit", settings.preset.fill_limit, "Overrides the preset");
    app.add_option("--margin", settings.preset.margin_deviations, "Overrides the preset");
    app.add_option("--candidates", settings.preset.candidates, "Overrides the preset");
    app.add_option("--repeats", seed_count, "Seeds replayed; figures are sums over them");
    app.add_option("--load", load, "Scales the arrival rate of the traces");
    app.add_flag("--groups", print_group_rows,
                 "Also print each kind and the largest and smallest customer");
    CLI11_PARSE(app, argc, argv);
    if (table == "speed")
    {
        print_decision_cost();
        return 0;
    }
    print_header();
    if (table == "load")
        for (double const load_factor : {0.4, 0.6, 0.8, 0.9, 1.0001, 1.1, 1.2, 1.5})
            print_comparison("constant", load_factor, seed_count, settings, print_group_rows);
    for (auto const& name : names)
    {
        if (table == "compare")
            print_comparison(name, load, seed_count, settings, print_group_rows);
        if (table == "ablation")
            print_ablations(name, load, seed_count, settings);
    }
    return 0;
}
