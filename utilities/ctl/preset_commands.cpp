/// `preset list|show|create|edit|delete|activate`.
#include "base/hash.hpp"
#include "configuration/types.hpp"
#include "utilities/ctl/conditional_write.hpp"
#include "utilities/ctl/input.hpp"

#include <iostream>

namespace jasminepier::ctl
{
namespace
{

struct preset_options
{
    std::string name;
    std::string file = "-";
    std::optional<std::int64_t> if_version;
};

constexpr char const* active_kind = "active-preset";
constexpr char const* active_name = "current";

/// Returns the content with every default filled in. Fails with bad_request.
base::result<std::string> validated(std::string const& name, std::string const& text)
{
    BOOST_LEAF_CHECK(check_name(name));
    BOOST_LEAF_AUTO(source, base::parse_json_object(text));
    BOOST_LEAF_AUTO(parsed, configuration::parse_preset(name, source));
    return base::write_json(configuration::to_json(parsed));
}

base::result<std::string> active_preset_name(std::optional<store::object> const& active)
{
    if (!active)
        return std::string{};
    BOOST_LEAF_AUTO(value, base::parse_json_object(active->value));
    return base::read_string(value, "preset");
}

int list(context const& current)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = current.store();
            BOOST_LEAF_AUTO(page, store.list("preset"));
            BOOST_LEAF_AUTO(active, find_object(store, active_kind, active_name));
            BOOST_LEAF_AUTO(active_preset, active_preset_name(active));
            table rows{{"name", "version", "state"}, {}};
            for (auto const& held : page.objects)
                rows.rows.push_back({held.name, std::to_string(held.version),
                                     held.name == active_preset ? "active" : ""});
            write(std::cout, current.format, rows);
            return exit_done;
        });
}

/// Without a name it shows what is in force.
int show(context const& current, preset_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = current.store();
            bool const stored = !options.name.empty();
            BOOST_LEAF_AUTO(held, store.get(stored ? "preset" : active_kind,
                                            stored ? options.name : active_name));
            BOOST_LEAF_AUTO(value, base::parse_json_object(held.value));
            if (current.format == output_format::table)
                std::cout << held.kind << '/' << held.name << " at version " << held.version
                          << '\n';
            value->stringify(std::cout, current.format == output_format::json ? 0 : 2);
            std::cout << '\n';
            return exit_done;
        });
}

int create(context const& current, preset_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            BOOST_LEAF_AUTO(text, read_input(options.file));
            BOOST_LEAF_AUTO(content, validated(options.name, text));
            return write_and_report(current, write_action::create,
                                    {"preset", options.name, 0, content, false});
        });
}

int edit(context const& current, preset_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            BOOST_LEAF_AUTO(text, read_input(options.file));
            BOOST_LEAF_AUTO(content, validated(options.name, text));
            auto store = current.store();
            BOOST_LEAF_AUTO(held, store.get("preset", options.name));
            auto const version = expected_version(options.if_version, held.version);
            return write_and_report(current, write_action::update,
                                    {"preset", options.name, version, content, false});
        });
}

int remove(context const& current, preset_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = current.store();
            BOOST_LEAF_AUTO(held, store.get("preset", options.name));
            held.version = expected_version(options.if_version, held.version);
            return write_and_report(current, write_action::remove, held);
        });
}

/// Copies the whole validated content into the one active object, so that a later edit of the
/// preset changes nothing in force until it is activated again.
int activate(context const& current, preset_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = current.store();
            BOOST_LEAF_AUTO(active, find_object(store, active_kind, active_name));
            BOOST_LEAF_AUTO(held, store.get("preset", options.name));
            BOOST_LEAF_AUTO(content, validated(options.name, held.value));
            BOOST_LEAF_AUTO(content_json, base::parse_json_object(content));
            base::json_object value = new Poco::JSON::Object;
            value->set("preset", options.name);
            value->set("preset_version", held.version);
            value->set("content", content_json);
            // Tells this activation from another one of the same preset when an answer is lost.
            value->set("change_id", base::random_id());
            store::object const target{
                active_kind, active_name,
                expected_version(options.if_version, active ? active->version : 0),
                base::write_json(value), false};
            auto const action = target.version == 0 ? write_action::create : write_action::update;
            return write_and_report(current, action, target);
        });
}

void bind_name(CLI::App& added, preset_options& options)
{
    added.add_option("name", options.name, "Name of the preset")->required();
}

void bind_version(CLI::App& added, preset_options& options, std::string const& help)
{
    added.add_option("--if-version", options.if_version, help);
}

void bind_file(CLI::App& added, preset_options& options)
{
    added.add_option("--file", options.file, "File with the content; - is standard input")
        ->capture_default_str();
}

void add_writes(command_line& line, CLI::App* group)
{
    line.add_command<preset_options>(
        group, "create", "Validate and store a new preset",
        [](CLI::App& added, preset_options& options)
        {
            bind_name(added, options);
            bind_file(added, options);
        },
        create);
    line.add_command<preset_options>(
        group, "edit", "Validate and replace a preset; what is in force does not change",
        [](CLI::App& added, preset_options& options)
        {
            bind_name(added, options);
            bind_file(added, options);
            bind_version(added, options, "Write only while the preset has this version");
        },
        edit);
    line.add_command<preset_options>(
        group, "delete", "Delete a preset; what is in force does not change",
        [](CLI::App& added, preset_options& options)
        {
            bind_name(added, options);
            bind_version(added, options, "Delete only while the preset has this version");
        },
        remove);
}

} // namespace

void add_preset_commands(command_line& line)
{
    auto* group = line.add_group("preset", "Presets and the active one");
    line.add_command<preset_options>(
        group, "list", "List the presets", [](CLI::App&, preset_options&) {},
        [](context const& current, preset_options const&) { return list(current); });
    line.add_command<preset_options>(
        group, "show", "Print a preset, or without a name the content in force",
        [](CLI::App& added, preset_options& options)
        { added.add_option("name", options.name, "Name of the preset"); },
        show);
    add_writes(line, group);
    line.add_command<preset_options>(
        group, "activate", "Validate a preset and put a copy of its content in force",
        [](CLI::App& added, preset_options& options)
        {
            bind_name(added, options);
            bind_version(added, options,
                         "Activate only while active-preset/current has this version");
        },
        activate);
}

} // namespace jasminepier::ctl
