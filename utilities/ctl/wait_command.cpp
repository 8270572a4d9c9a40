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

constexpr std::chrono::milliseconds poll_pause{250};

bool confirmed(node_view const& view, std::int64_t revision)
{
    return view.status && view.status->applied_revision >= revision;
}

table confirmations(std::vector<node_view> const& views, std::int64_t revision)
{
    table rows{{"name", "zone", "state", "applied", "confirmed"}, {}};
    for (auto const& view : views)
    {
        std::string const answer = confirmed(view, revision) ? "yes" : "no";
        rows.rows.push_back({view.node.name, view.node.zone, describe(view, views),
                             view.status ? std::to_string(view.status->applied_revision) : "",
                             is_live(view, views) ? answer : "not_needed"});
    }
    return rows;
}

bool all_confirmed(std::vector<node_view> const& views, std::int64_t revision)
{
    int live = 0;
    for (auto const& view : views)
    {
        if (!is_live(view, views))
            continue;
        ++live;
        if (!confirmed(view, revision))
            return false;
    }
    // Without any live node nothing is in force anywhere.
    return live > 0;
}

int wait_for(context const& current, wait_options const& options)
{
    auto const end =
        std::chrono::steady_clock::now() + std::chrono::seconds(options.timeout_seconds);
    std::vector<node_view> views;
    for (;;)
    {
        auto const status = run_command(
            [&]() -> base::result<int>
            {
                BOOST_LEAF_ASSIGN(views, ask_nodes(current));
                return exit_done;
            });
        bool const reached = status == exit_done && all_confirmed(views, options.revision);
        if (reached || std::chrono::steady_clock::now() >= end)
        {
            write(std::cout, current.format, confirmations(views, options.revision));
            if (!reached)
                std::cerr << "revision " << options.revision
                          << " is not confirmed by every live node\n";
            return reached ? exit_done : exit_not_confirmed;
        }
        std::this_thread::sleep_for(poll_pause);
    }
}

} // namespace

void add_wait_command(command_line& line)
{
    line.add_command<wait_options>(
        &line.app, "wait", "Wait until a revision is in force on every live entry VM",
        [](CLI::App& added, wait_options& options)
        {
            added.add_option("--revision", options.revision, "Version that a write printed")
                ->required()
                ->check(CLI::PositiveNumber);
            added.add_option("--timeout-seconds", options.timeout_seconds, "Longest wait, seconds")
                ->check(CLI::Range(0, 86400))
                ->capture_default_str();
        },
        wait_for);
}

} // namespace jasminepier::ctl
