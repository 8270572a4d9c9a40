/// `put` and `get`, which access stored objects directly, `key-digest` and `error-table`.
#include "configuration/types.hpp"
#include "utilities/ctl/conditional_write.hpp"
#include "utilities/ctl/input.hpp"

#include <iostream>

namespace jasminepier::ctl
{
namespace
{

struct object_options
{
    std::string kind;
    std::string name;
    std::optional<std::int64_t> if_version;
};

void add_object_options(CLI::App& subcommand, object_options& options)
{
    subcommand.add_option("kind", options.kind, "Kind of the object")->required();
    subcommand.add_option("name", options.name, "Name of the object")->required();
}

int put(tool_settings const& settings, object_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            BOOST_LEAF_AUTO(value, read_input("-"));
            BOOST_LEAF_CHECK(base::parse_json_object(value));
            auto store = settings.make_store();
            BOOST_LEAF_AUTO(stored, find_object(store, options.kind, options.name));
            if (!stored && !options.if_version)
                return write_and_report(settings, write_action::create,
                                        {options.kind, options.name, 0, value, false});
            auto const version = expected_version(options.if_version, stored ? stored->version : 0);
            return write_and_report(settings, write_action::update,
                                    {options.kind, options.name, version, value, false});
        });
}

int get(tool_settings const& settings, object_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = settings.make_store();
            BOOST_LEAF_AUTO(stored, store.get(options.kind, options.name));
            if (settings.format == output_format::json)
                std::cout << "{\"version\":" << stored.version << ",\"value\":" << stored.value
                          << "}\n";
            else
                std::cout << "version " << stored.version << '\n' << stored.value << '\n';
            return exit_success;
        });
}

/// Prints the error table of docs/errors.md.
int print_error_table()
{
    std::cout << "| Code | Status | Type | Execution | Retry-After (s) |\n|---|---|---|---|---|\n";
    for (auto const& row : base::error_response_table())
        std::cout << "| `" << row.code << "` | " << row.http_status << " | `" << row.type << "` | `"
                  << base::to_string(row.execution) << "` | "
                  << (row.retry_after_seconds > 0 ? std::to_string(row.retry_after_seconds) : "-")
                  << " |\n";
    return exit_success;
}

} // namespace

void add_object_commands(command_registry& registry)
{
    registry.add_command<object_options>(
        &registry.app, "put", "Write an object read from standard input",
        [](CLI::App& subcommand, object_options& options)
        {
            add_object_options(subcommand, options);
            subcommand.add_option("--if-version", options.if_version,
                                  "Write only if the store holds this version");
        },
        put);
    registry.add_command<object_options>(&registry.app, "get", "Print an object and its version",
                                         add_object_options, get);
    registry.add_command<std::string>(
        &registry.app, "key-digest", "Print the digest under which an API key is stored",
        [](CLI::App& subcommand, std::string& api_key)
        { subcommand.add_option("api-key", api_key, "The API key")->required(); },
        [](tool_settings const&, std::string const& api_key)
        {
            std::cout << configuration::api_key_digest(api_key) << '\n';
            return static_cast<int>(exit_success);
        });
    registry.add_command<no_options>(
        &registry.app, "error-table", "Print the table of error responses in Markdown",
        [](CLI::App&, no_options&) {},
        [](tool_settings const&, no_options const&) { return print_error_table(); });
}

} // namespace jasminepier::ctl
