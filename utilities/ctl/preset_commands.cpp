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

constexpr char const* active_preset_kind = "active-preset";
constexpr char const* active_preset_object = "current";

/// Returns the preset's content as JSON with all defaults filled in. Fails with bad_request if the
/// name or the content is invalid.
base::result<std::string> validate_preset(std::string const& name, std::string const& text)
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

int list(tool_settings const& settings)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = settings.make_store();
            BOOST_LEAF_AUTO(page, store.list("preset"));
            BOOST_LEAF_AUTO(active, find_object(store, active_preset_kind, active_preset_object));
            BOOST_LEAF_AUTO(active_preset, active_preset_name(active));
            table output{{"name", "version", "state"}, {}};
            for (auto const& object : page.objects)
                output.rows.push_back({object.name, std::to_string(object.version),
                                       object.name == active_preset ? "active" : ""});
            write_table(std::cout, settings.format, output);
            return exit_success;
        });
}

/// Prints a preset, or the active one if no name is given.
int show(tool_settings const& settings, preset_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = settings.make_store();
            bool const is_named = !options.name.empty();
            BOOST_LEAF_AUTO(object, store.get(is_named ? "preset" : active_preset_kind,
                                              is_named ? options.name : active_preset_object));
            BOOST_LEAF_AUTO(value, base::parse_json_object(object.value));
            if (settings.format == output_format::table)
                std::cout << object.kind << '/' << object.name << " at version " << object.version
                          << '\n';
            value->stringify(std::cout, settings.format == output_format::json ? 0 : 2);
            std::cout << '\n';
            return exit_success;
        });
}

int create(tool_settings const& settings, preset_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            BOOST_LEAF_AUTO(text, read_input(options.file));
            BOOST_LEAF_AUTO(content, validate_preset(options.name, text));
            return write_and_report(settings, write_action::create,
                                    {"preset", options.name, 0, content, false});
        });
}

int edit(tool_settings const& settings, preset_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            BOOST_LEAF_AUTO(text, read_input(options.file));
            BOOST_LEAF_AUTO(content, validate_preset(options.name, text));
            auto store = settings.make_store();
            BOOST_LEAF_AUTO(object, store.get("preset", options.name));
            auto const version = expected_version(options.if_version, object.version);
            return write_and_report(settings, write_action::update,
                                    {"preset", options.name, version, content, false});
        });
}

int remove(tool_settings const& settings, preset_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = settings.make_store();
            BOOST_LEAF_AUTO(object, store.get("preset", options.name));
            object.version = expected_version(options.if_version, object.version);
            return write_and_report(settings, write_action::remove, object);
        });
}

/// Copies the validated content into the single active-preset object. Editing the preset later
/// therefore has no effect until it is activated again.
int activate(tool_settings const& settings, preset_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = settings.make_store();
            BOOST_LEAF_AUTO(active, find_object(store, active_preset_kind, active_preset_object));
            BOOST_LEAF_AUTO(object, store.get("preset", options.name));
            BOOST_LEAF_AUTO(content, validate_preset(options.name, object.value));
            BOOST_LEAF_AUTO(content_json, base::parse_json_object(content));
            base::json_object value = new Poco::JSON::Object;
            value->set("preset", options.name);
            value->set("preset_version", object.version);
            value->set("content", content_json);
            // Distinguishes this activation from others of the same preset if a response is lost.
            value->set("change_id", base::random_id());
            store::object const target{
                active_preset_kind, active_preset_object,
                expected_version(options.if_version, active ? active->version : 0),
                base::write_json(value), false};
            auto const action = target.version == 0 ? write_action::create : write_action::update;
            return write_and_report(settings, action, target);
        });
}

void add_name_option(CLI::App& subcommand, preset_options& options)
{
    subcommand.add_option("name", options.name, "Name of the preset")->required();
}

void add_version_option(CLI::App& subcommand, preset_options& options, std::string const& help)
{
    subcommand.add_option("--if-version", options.if_version, help);
}

void add_file_option(CLI::App& subcommand, preset_options& options)
{
    subcommand.add_option("--file", options.file, "File with the content; - is standard input")
        ->capture_default_str();
}

void add_write_commands(command_registry& registry, CLI::App* group)
{
    registry.add_command<preset_options>(
        group, "create", "Validate and store a new preset",
        [](CLI::App& subcommand, preset_options& options)
        {
            add_name_option(subcommand, options);
            add_file_option(subcommand, options);
        },
        create);
    registry.add_command<preset_options>(
        group, "edit", "Validate and replace a preset; the active content does not change",
        [](CLI::App& subcommand, preset_options& options)
        {
            add_name_option(subcommand, options);
            add_file_option(subcommand, options);
            add_version_option(subcommand, options, "Write only if the preset has this version");
        },
        edit);
    registry.add_command<preset_options>(
        group, "delete", "Delete a preset; the active content does not change",
        [](CLI::App& subcommand, preset_options& options)
        {
            add_name_option(subcommand, options);
            add_version_option(subcommand, options, "Delete only if the preset has this version");
        },
        remove);
}

} // namespace

void add_preset_commands(command_registry& registry)
{
    auto* group = registry.add_group("preset", "Presets and the active one");
    registry.add_command<preset_options>(
        group, "list", "List the presets", [](CLI::App&, preset_options&) {},
        [](tool_settings const& settings, preset_options const&) { return list(settings); });
    registry.add_command<preset_options>(
        group, "show", "Print a preset, or the active content if no name is given",
        [](CLI::App& subcommand, preset_options& options)
        { subcommand.add_option("name", options.name, "Name of the preset"); },
        show);
    add_write_commands(registry, group);
    registry.add_command<preset_options>(
        group, "activate", "Validate a preset and make a copy of its content the active one",
        [](CLI::App& subcommand, preset_options& options)
        {
            add_name_option(subcommand, options);
            add_version_option(subcommand, options,
                               "Activate only if active-preset/current has this version");
        },
        activate);
}

} // namespace jasminepier::ctl
