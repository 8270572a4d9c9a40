/// Settings, exit statuses and command registration shared by the operator commands.
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
    exit_success = 0,
    /// The command failed without changing anything.
    exit_failed = 1,
    /// The command line or the content of an object is invalid.
    exit_usage = 2,
    /// The condition of the write failed because the object had changed; nothing was written.
    exit_conflict = 3,
    /// The platform did not respond; the change may or may not be in force.
    exit_unknown = 4,
    /// The timeout expired before every live node confirmed the revision.
    exit_not_confirmed = 5,
};

/// Settings of one invocation of the tool.
struct tool_settings
{
    store::http_object_store_settings platform;
    output_format format = output_format::table;
    std::string api_key;
    int node_timeout_milliseconds = 2000;

    store::http_object_store make_store() const { return store::http_object_store(platform); }
};

/// For commands without options of their own.
struct no_options
{
};

using command = std::function<int(tool_settings const&)>;

/// Registers the commands. Parsing sets `selected_command` to the command that the operator named.
struct command_registry
{
    CLI::App& app;
    command selected_command;

    /// Adds a group such as `preset`; the command line must name one of its commands.
    CLI::App* add_group(std::string const& name, std::string const& help)
    {
        auto* group = app.add_subcommand(name, help);
        group->require_subcommand(1);
        group->fallthrough();
        return group;
    }

    /// Adds a command. `add_options` binds the members of an `Options` object to flags and
    /// arguments; parsing fills the object, and `run` receives it.
    template <class Options, class AddOptions, class Run>
    void add_command(CLI::App* parent, std::string const& name, std::string const& help,
                     AddOptions add_options, Run run)
    {
        auto options = std::make_shared<Options>();
        auto* subcommand = parent->add_subcommand(name, help);
        subcommand->fallthrough();
        add_options(*subcommand, *options);
        subcommand->callback(
            [this, options, run]
            {
                selected_command = [options, run](tool_settings const& settings)
                { return run(settings, *options); };
            });
    }
};

/// Prints the failure to standard error and returns the exit status for its kind.
int report_failure(base::error const& failure);

/// Returns the exit status from `body`, or reports its failure.
template <class Body>
int run_command(Body&& body)
{
    return base::handle([&]() -> base::result<int> { return body(); }, report_failure);
}

void add_configuration_commands(command_registry& registry);
void add_customer_commands(command_registry& registry);
void add_node_commands(command_registry& registry);
void add_object_commands(command_registry& registry);
void add_preset_commands(command_registry& registry);
void add_request_commands(command_registry& registry);
void add_wait_command(command_registry& registry);
void add_zone_commands(command_registry& registry);

} // namespace jasminepier::ctl
