/// `put`, `get` and `key-digest`: raw access to objects of the store; `error-table`.
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

void bind_object(CLI::App& added, object_options& options)
{
    added.add_option("kind", options.kind, "Kind of the object")->required();
    added.add_option("name", options.name, "Name of the object")->required();
}

int put(context const& current, object_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            BOOST_LEAF_AUTO(value, read_input("-"));
            BOOST_LEAF_CHECK(base::parse_json_object(value));
            auto store = current.store();
            BOOST_LEAF_AUTO(held, find_object(store, options.kind, options.name));
            if (!held && !options.if_version)
                return write_and_report(current, write_action::create,
                                        {options.kind, options.name, 0, value, false});
            auto const version = expected_version(options.if_version, held ? held->version : 0);
            return write_and_report(current, write_action::update,
                                    {options.kind, options.name, version, value, false});
        });
}

int get(context const& current, object_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = current.store();
            BOOST_LEAF_AUTO(held, store.get(options.kind, options.name));
            if (current.format == output_format::json)
                std::cout << "{\"version\":" << held.version << ",\"value\":" << held.value
                          << "}\n";
            else
                std::cout << "version " << held.version << '\n' << held.value << '\n';
            return exit_done;
        });
}

/// Writes the table of errors for docs/errors.md.
int print_error_table()
{
    std::cout << "| Code | Status | Type | Execution | Retry-After (s) |\n|---|---|---|---|---|\n";
    for (auto const& row : base::error_response_table())
        std::cout << "| `" << row.code << "` | " << row.http_status << " | `" << row.type << "` | `"
                  << base::to_string(row.execution) << "` | "
                  << (row.retry_after_seconds > 0 ? std::to_string(row.retry_after_seconds) : "-")
                  << " |\n";
    return exit_done;
}

} // namespace

void add_object_commands(command_line& line)
{
    line.add_command<object_options>(
        &line.app, "put", "Write an object read from standard input",
        [](CLI::App& added, object_options& options)
        {
            bind_object(added, options);
            added.add_option("--if-version", options.if_version,
                             "Write only while the store holds this version");
        },
        put);
    line.add_command<object_options>(&line.app, "get", "Print an object and its version",
                                     bind_object, get);
    line.add_command<std::string>(
        &line.app, "key-digest", "Print the digest under which an API key is stored",
        [](CLI::App& added, std::string& api_key)
        { added.add_option("api-key", api_key, "The API key")->required(); },
        [](context const&, std::string const& api_key)
        {
            std::cout << configuration::api_key_digest(api_key) << '\n';
            return static_cast<int>(exit_done);
        });
    line.add_command<no_options>(
        &line.app, "error-table", "Print the table of error answers in Markdown",
        [](CLI::App&, no_options&) {},
        [](context const&, no_options const&) { return print_error_table(); });
}

} // namespace jasminepier::ctl
