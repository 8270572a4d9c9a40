/// Replays traces through the decision core and the baselines and prints what they cost.
#include "benchmarks/replay/replay.hpp"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <iostream>

namespace
{

using namespace jasminepier;
using namespace jasminepier::benchmarks;

void print_header()
{
    std::printf("%-11s %-18s %9s %8s %7s %7s %7s %8s %8s %7s %6s %8s %5s %5s %9s\n", "trace",
                "policy", "stall_s", "preempt", "p50_ms", "p99_ms", "p999_ms", "ft95_ms", "q_ft95",
                "refused", "aband", "lost", "cold", "sudn", "tokens");
}

void print_row(std::string const& trace_name, std::string const& policy, figures const& f)
{
    auto const& question = f.kinds[static_cast<std::size_t>(configuration::work_kind::question)];
    std::printf(
        "%-11s %-18s %9.1f %8ld %7.1f %7.1f %7.1f %8.0f %8.0f %7ld %6ld %8ld %5ld %5ld %9ld\n",
        trace_name.c_str(), policy.c_str(), f.all.stall_seconds, f.preemptions,
        f.all.gaps.quantile(0.5), f.all.gaps.quantile(0.99), f.all.gaps.quantile(0.999),
        f.all.first_token.quantile(0.95), question.first_token.quantile(0.95), f.all.refused,
        f.all.abandoned, f.all.lost, f.cold_overloads, f.sudden_cold_overloads, f.all.tokens);
    std::fflush(stdout);
}

void print_group(char const* name, group_figures const& g)
{
    std::printf("    %-18s arrived %6ld served %6ld refused %5ld abandoned %5ld lost %3ld stall_s "
                "%8.1f p99_ms %6.1f ft95_ms %7.0f tokens %8ld not_served_tokens %8ld\n",
                name, g.arrived, g.completed, g.refused, g.abandoned, g.lost, g.stall_seconds,
                g.gaps.quantile(0.99), g.first_token.quantile(0.95), g.tokens, g.refused_tokens);
}

void print_groups(figures const& f)
{
    for (std::size_t kind = 0; kind < 3; ++kind)
        print_group(std::string(to_string(static_cast<configuration::work_kind>(kind))).c_str(),
                    f.kinds[kind]);
    print_group("largest_customer", f.largest_customer);
    print_group("smallest_customer", f.smallest_customer);
}

void compare(std::string const& name, simulation_settings const& settings, bool groups)
{
    auto const source = make_trace(name, settings.seed);
    auto const show = [&](char const* policy, figures const& f)
    {
        print_row(name, policy, f);
        if (groups)
            print_groups(f);
    };
    show("decision_core", replay_core(source, settings));
    show("round_robin", replay_baseline(source, settings, baseline_kind::round_robin));
    show("least_outstanding", replay_baseline(source, settings, baseline_kind::least_outstanding));
}

void print_load_curve(simulation_settings const& settings)
{
    for (double const load : {0.4, 0.6, 0.8, 1.0, 1.2, 1.5})
    {
        auto const source = make_trace("constant", settings.seed, load);
        char name[16];
        std::snprintf(name, sizeof name, "load %.1f", load);
        print_row(name, "decision_core", replay_core(source, settings));
        print_row(name, "least_outstanding",
                  replay_baseline(source, settings, baseline_kind::least_outstanding));
    }
}

void print_ablations(std::string const& name, simulation_settings const& settings)
{
    auto const source = make_trace(name, settings.seed);
    print_row(name, "whole policy", replay_core(source, settings));
    for (auto const& one : list_ablations())
        print_row(name, "-" + one.name, replay_core(source, settings, one.switches));
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
    bool groups = false;
    app.add_option("--table", table, "Table to print")
        ->check(CLI::IsMember({"compare", "load", "ablation"}));
    app.add_option("--trace", names, "Traces to replay");
    app.add_option("--seed", settings.seed, "Seed of the traces and the decisions");
    app.add_option("--fill-limit", settings.preset.fill_limit, "Overrides the preset");
    app.add_option("--margin", settings.preset.margin_deviations, "Overrides the preset");
    app.add_option("--candidates", settings.preset.candidates, "Overrides the preset");
    app.add_flag("--groups", groups, "Also print each kind and the largest and smallest customer");
    CLI11_PARSE(app, argc, argv);
    print_header();
    if (table == "load")
        print_load_curve(settings);
    for (auto const& name : names)
    {
        if (table == "compare")
            compare(name, settings, groups);
        if (table == "ablation")
            print_ablations(name, settings);
    }
    return 0;
}
