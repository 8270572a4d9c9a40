/// What the groups of operator commands share: settings, exit statuses and registration.
#pragma once

#include "base/error.hpp"
#include "store/http_object_store.hpp"
#include "utilities/ctl/table.hpp"

#include <CLI/CLI.hpp>

#include <functional>
#include <memory>
#include <string>

namespace jasminepier::ctl
{

/// Exit statuses of jasminepierctl; listed in docs/operations/README.md.
enum exit_status
{
    exit_done = 0,
    /// The command failed and changed nothing.
    exit_failed = 1,
    /// The command line or the content of an object is invalid.
    exit_usage = 2,
    /// Another change was in force before this one; nothing of this one is in force.
    exit_conflict = 3,
    /// The platform did not answer; the change may or may not be in force.
    exit_unknown = 4,
    /// The time ran out before every live node confirmed the revision.
    exit_not_confirmed = 5,
};

/// Settings of one run of the tool.
struct context
{
    store::http_object_store_settings platform;
    output_format format = output_format::table;
    std::string api_key;
    int node_timeout_milliseconds = 2000;

    store::http_object_store store() const { return store::http_object_store(platform); }
};

/// For commands without options of their own.
struct no_options
{
};

using command = std::function<int(context const&)>;

/// Registers commands; the one that the operator names is in `chosen` after parsing.
struct command_line
{
    CLI::App& app;
    command chosen;

    /// Adds a group such as `preset`, which needs one of its commands.
    CLI::App* add_group(std::string const& name, std::string const& help)
    {
        auto* group = app.add_subcommand(name, help);
        group->require_subcommand(1);
        group->fallthrough();
        return group;
    }

    /// Adds a command; `Options` is filled by parsing and passed to `run`. Returns the options so
    /// that the caller can bind them.
    template <class Options, class Bind, class Run>
    void add_command(CLI::App* parent, std::string const& name, std::string const& help, Bind bind,
                     Run run)
    {
        auto options = std::make_shared<Options>();
        auto* added = parent->add_subcommand(name, help);
        added->fallthrough();
        bind(*added, *options);
        added->callback(
            [this, options, run] {
                chosen = [options, run](context const& current) { return run(current, *options); };
            });
    }
};

/// Prints the failure on standard error and returns the exit status for its kind.
int report_failure(base::error const& failure);

/// Runs a command body that yields an exit status or fails.
template <class Body>
int run_command(Body&& body)
{
    return base::handle([&]() -> base::result<int> { return body(); }, report_failure);
}

void add_customer_commands(command_line& line);
void add_node_commands(command_line& line);
void add_object_commands(command_line& line);
void add_preset_commands(command_line& line);
void add_request_commands(command_line& line);
void add_wait_command(command_line& line);
void add_zone_commands(command_line& line);

} // namespace jasminepier::ctl
