/// `wait --revision N --timeout-seconds T`.
#include "utilities/ctl/fleet.hpp"

#include <chrono>
#include <iostream>
#include <thread>

namespace jasminepier::ctl
{
namespace
{

struct wait_options
{
    std::int64_t revision = 0;
    int timeout_seconds = 30;
};

constexpr std::chrono::milliseconds poll_interval{250};

bool has_confirmed(node_query_result const& result, std::int64_t revision)
{
    return result.status && result.status->applied_revision >= revision;
}

table make_confirmation_table(std::vector<node_query_result> const& results, std::int64_t revision)
{
    table output{{"name", "zone", "state", "applied", "confirmed"}, {}};
    for (auto const& result : results)
    {
        std::string const confirmation = has_confirmed(result, revision) ? "yes" : "no";
        output.rows.push_back({result.node.name, result.node.zone, node_state(result, results),
                               result.status ? std::to_string(result.status->applied_revision) : "",
                               is_live(result, results) ? confirmation : "not_needed"});
    }
    return output;
}

bool all_confirmed(std::vector<node_query_result> const& results, std::int64_t revision)
{
    int live_nodes = 0;
    for (auto const& result : results)
    {
        if (!is_live(result, results))
            continue;
        ++live_nodes;
        if (!has_confirmed(result, revision))
            return false;
    }
    // Without a live node the revision is in force nowhere.
    return live_nodes > 0;
}

int wait_for_confirmations(tool_settings const& settings, wait_options const& options)
{
    auto const deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(options.timeout_seconds);
    std::vector<node_query_result> results;
    for (;;)
    {
        auto const status = run_command(
            [&]() -> base::result<int>
            {
                BOOST_LEAF_ASSIGN(results, query_nodes(settings));
                return exit_success;
            });
        bool const is_confirmed =
            status == exit_success && all_confirmed(results, options.revision);
        if (is_confirmed || std::chrono::steady_clock::now() >= deadline)
        {
            write_table(std::cout, settings.format,
                        make_confirmation_table(results, options.revision));
            if (!is_confirmed)
                std::cerr << "revision " << options.revision
                          << " is not confirmed by every live node\n";
            return is_confirmed ? exit_success : exit_not_confirmed;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace

void add_wait_command(command_registry& registry)
{
    registry.add_command<wait_options>(
        &registry.app, "wait", "Wait until a revision is in force on every live entry VM",
        [](CLI::App& subcommand, wait_options& options)
        {
            subcommand.add_option("--revision", options.revision, "Version printed by a write")
                ->required()
                ->check(CLI::PositiveNumber);
            subcommand.add_option("--timeout-seconds", options.timeout_seconds, "Timeout, seconds")
                ->check(CLI::Range(0, 86400))
                ->capture_default_str();
        },
        wait_for_confirmations);
}

} // namespace jasminepier::ctl
