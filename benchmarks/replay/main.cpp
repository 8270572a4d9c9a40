/// Replays traces through the decision core and the baselines and prints what they cost.
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

void print_row(std::string const& trace_name, std::string const& policy, replay_statistics const& f)
{
    using configuration::work_kind;
    auto const& question = f.kinds[static_cast<std::size_t>(work_kind::question)];
    auto const& proposal = f.kinds[static_cast<std::size_t>(work_kind::proposal)];
    std::printf("%-10s %-17s %8.1f %7ld %6.1f %6.1f %7.1f %7.0f %7.0f %7ld %6ld %5ld %5ld %5ld "
                "%4ld %7ld %7.0f %9ld\n",
                trace_name.c_str(), policy.c_str(), f.all.stall_seconds, f.preemptions,
                f.all.token_gaps.quantile(0.5), f.all.token_gaps.quantile(0.99),
                f.all.token_gaps.quantile(0.999), f.all.time_to_first_token.quantile(0.95),
                question.time_to_first_token.quantile(0.95), f.all.refused, f.all.abandoned,
                f.all.lost, proposal.unserved(), question.unserved(),
                f.cold_overloads - f.unreported_cold_overloads, f.smallest_customer.unserved(),
                f.smallest_customer.time_to_first_token.quantile(0.95), f.all.tokens);
    std::fflush(stdout);
}

void print_group(char const* name, group_statistics const& g)
{
    std::printf("    %-18s arrived %6ld served %6ld refused %5ld abandoned %5ld lost %3ld stall_s "
                "%8.1f p99_ms %6.1f ft95_ms %7.0f tokens %8ld not_served_tokens %8ld\n",
                name, g.arrived, g.completed, g.refused, g.abandoned, g.lost, g.stall_seconds,
                g.token_gaps.quantile(0.99), g.time_to_first_token.quantile(0.95), g.tokens,
                g.unserved_tokens);
}

void print_groups(replay_statistics const& f)
{
    for (std::size_t kind = 0; kind < 3; ++kind)
        print_group(std::string(to_string(static_cast<configuration::work_kind>(kind))).c_str(),
                    f.kinds[kind]);
    print_group("largest_customer", f.largest_customer);
    print_group("smallest_customer", f.smallest_customer);
}

using replay_function = std::function<replay_statistics(trace const&, simulation_settings const&)>;

/// Replays `repeats` traces with consecutive seeds, a few at once, and adds their figures up.
replay_statistics replay_all(std::string const& name, double load, int repeats,
                             simulation_settings const& settings, replay_function const& replay)
{
    constexpr int at_once = 3;
    replay_statistics sum;
    for (int done = 0; done < repeats; done += at_once)
    {
        std::vector<std::future<replay_statistics>> running;
        for (int i = done; i < std::min(repeats, done + at_once); ++i)
            running.push_back(std::async(std::launch::async,
                                         [&, i]
                                         {
                                             auto own = settings;
                                             own.seed += static_cast<std::uint64_t>(i);
                                             return replay(make_trace(name, own.seed, load), own);
                                         }));
        for (auto& one : running)
            sum.merge(one.get());
    }
    return sum;
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

void compare(std::string const& name, double load, int repeats, simulation_settings const& settings,
             bool groups)
{
    auto const show = [&](char const* policy, replay_function const& replay)
    {
        auto const f = replay_all(name, load, repeats, settings, replay);
        auto const shown = load == 1 ? name : "load " + std::to_string(load).substr(0, 3);
        print_row(shown, policy, f);
        if (groups)
            print_groups(f);
    };
    show("decision_core", run_core);
    show("round_robin", run_round_robin);
    show("least_outstanding", run_least_outstanding);
}

void print_ablations(std::string const& name, double load, int repeats,
                     simulation_settings const& settings)
{
    print_row(name, "whole policy", replay_all(name, load, repeats, settings, run_core));
    for (auto const& one : list_ablations())
        print_row(name, "-" + one.name,
                  replay_all(name, load, repeats, settings,
                             [&](trace const& source, simulation_settings const& own)
                             { return replay_core(source, own, one.switches); }));
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
    int repeats = 1;
    double load = 1;
    app.add_option("--table", table, "Table to print")
        ->check(CLI::IsMember({"compare", "load", "ablation", "speed"}));
    app.add_option("--trace", names, "Traces to replay");
    app.add_option("--seed", settings.seed, "Seed of the traces and the decisions");
    app.add_option("--fill-limit", settings.preset.fill_limit, "Overrides the preset");
    app.add_option("--margin", settings.preset.margin_deviations, "Overrides the preset");
    app.add_option("--candidates", settings.preset.candidates, "Overrides the preset");
    app.add_option("--repeats", repeats, "Seeds replayed; figures are sums over them");
    app.add_option("--load", load, "Scales the arrival rate of the traces");
    app.add_flag("--groups", groups, "Also print each kind and the largest and smallest customer");
    CLI11_PARSE(app, argc, argv);
    if (table == "speed")
    {
        print_speed();
        return 0;
    }
    print_header();
    if (table == "load")
        for (double const step : {0.4, 0.6, 0.8, 0.9, 1.0001, 1.1, 1.2, 1.5})
            compare("constant", step, repeats, settings, groups);
    for (auto const& name : names)
    {
        if (table == "compare")
            compare(name, load, repeats, settings, groups);
        if (table == "ablation")
            print_ablations(name, load, repeats, settings);
    }
    return 0;
}
