/// `configuration check`.
#include "platform/configuration_draft.hpp"
#include "platform/objects.hpp"
#include "platform/store_dialect.hpp"
#include "utilities/ctl/command_line.hpp"
#include "utilities/ctl/input.hpp"

#include <algorithm>
#include <iostream>

namespace jasminepier::ctl
{
namespace
{

using platform_store = store::basic_http_object_store<platform::store_dialect>;

constexpr std::uint64_t bytes_per_megabyte = std::uint64_t{1024} * 1024;

/// Exit statuses of `configuration check`, which differ from those of the other commands.
enum check_status
{
    check_clean = 0,
    check_found = 1,
    check_unreadable = 2,
};

struct check_options
{
    std::string file = "-";
    std::string file_in_force;
    bool compares = true;
    std::optional<std::uint64_t> vm_memory_megabytes;
    std::optional<double> retry_budget_ratio;
};

base::result<std::string> read_configuration_in_force(tool_settings const& settings,
                                                      check_options const& options)
{
    if (!options.file_in_force.empty())
        return read_input(options.file_in_force);
    platform_store store(settings.platform);
    BOOST_LEAF_AUTO(object, store.get(platform::configuration_kind, platform::configuration_name));
    return object.value;
}

base::result<std::vector<serving::configuration_finding>>
find_problems(tool_settings const& settings, check_options const& options)
{
    BOOST_LEAF_AUTO(text, read_input(options.file));
    BOOST_LEAF_AUTO(reading, platform::read_configuration_draft(text));
    serving::configuration_environment environment;
    if (options.vm_memory_megabytes)
        environment.smallest_vm_memory_bytes = *options.vm_memory_megabytes * bytes_per_megabyte;
    environment.retry_budget_ratio = options.retry_budget_ratio;
    auto findings = reading.errors;
    for (auto& finding : serving::check_draft(reading.draft, environment))
        findings.push_back(std::move(finding));
    if (!options.compares)
        return findings;
    BOOST_LEAF_AUTO(text_in_force, read_configuration_in_force(settings, options));
    BOOST_LEAF_AUTO(in_force, platform::read_configuration_draft(text_in_force));
    for (auto& difference : serving::compare_drafts(in_force.draft, reading.draft))
        findings.push_back(std::move(difference));
    return findings;
}

int check(tool_settings const& settings, check_options const& options)
{
    std::vector<serving::configuration_finding> findings;
    auto const status = run_command(
        [&]() -> base::result<int>
        {
            BOOST_LEAF_ASSIGN(findings, find_problems(settings, options));
            return exit_success;
        });
    if (status != exit_success)
        return check_unreadable;
    table output{{"kind", "place", "message"}, {}};
    for (auto const& finding : findings)
        output.rows.push_back(
            {std::string(serving::to_string(finding.kind)), finding.place, finding.message});
    write_table(std::cout, settings.format, output);
    bool const clean = std::all_of(findings.begin(), findings.end(),
                                   [](auto const& finding)
                                   { return finding.kind == serving::finding_kind::difference; });
    return clean ? check_clean : check_found;
}

} // namespace

void add_configuration_commands(command_registry& registry)
{
    auto* group =
        registry.add_group("configuration", "Configurations of the nodes on the platform");
    registry.add_command<check_options>(
        group, "check", "Check a configuration before it is sent; writes nothing",
        [](CLI::App& subcommand, check_options& options)
        {
            subcommand.add_option("file", options.file, "File with the configuration; - for stdin");
            auto* in_force = subcommand.add_option(
                "--in-force", options.file_in_force,
                "File with the version in force; otherwise it is read from the platform");
            subcommand
                .add_flag("!--no-comparison", options.compares,
                          "Do not compare with the version in force")
                ->excludes(in_force);
            subcommand
                .add_option("--vm-memory", options.vm_memory_megabytes,
                            "Memory of the smallest VM, megabytes")
                ->check(CLI::PositiveNumber);
            subcommand
                .add_option("--retry-ratio", options.retry_budget_ratio,
                            "Fraction of a service's requests that may be repeated")
                ->check(CLI::NonNegativeNumber);
        },
        check);
}

} // namespace jasminepier::ctl
