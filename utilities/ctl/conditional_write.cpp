#include "utilities/ctl/conditional_write.hpp"

#include "base/json.hpp"

#include <iostream>

namespace jasminepier::ctl
{
namespace
{

void print_applied(tool_settings const& settings, store::object const& target,
                   store::write_outcome const& outcome)
{
    auto const name = target.kind + "/" + target.name;
    if (settings.format == output_format::table)
    {
        std::cout << name << (outcome.current.deleted ? " deleted" : " applied") << " at version "
                  << outcome.current.version << '\n';
        return;
    }
    base::json_object document = new Poco::JSON::Object;
    document->set("object", name);
    document->set("result", outcome.current.deleted ? "deleted" : "applied");
    document->set("version", outcome.current.version);
    std::cout << base::write_json(document) << '\n';
}

/// Describes stored content in a conflict message. For the active preset this is only the name of
/// the preset, since its full content would obscure it.
std::string summarize(store::object const& stored)
{
    if (stored.kind != "active-preset")
        return stored.value;
    return base::handle(
        [&]() -> base::result<std::string>
        {
            BOOST_LEAF_AUTO(value, base::parse_json_object(stored.value));
            BOOST_LEAF_AUTO(preset, base::read_string(value, "preset"));
            return "preset " + preset;
        },
        [&](base::error const&) { return stored.value; });
}

void print_conflict(store::object const& target, store::object const& stored)
{
    std::cerr << "conflict: " << target.kind << '/' << target.name << " was changed by another "
              << "writer; no change of this command is in force\n";
    if (stored.deleted || stored.version == 0)
        std::cerr << "in force now: no such object\n";
    else
        std::cerr << "in force now: version " << stored.version << ": " << summarize(stored)
                  << '\n';
}

} // namespace

bool is_same_json(std::string const& left, std::string const& right)
{
    auto const normalize = [](std::string const& text)
    {
        return base::handle(
            [&]() -> base::result<std::string>
            {
                BOOST_LEAF_AUTO(document, base::parse_json_object(text));
                return base::write_json(document);
            },
            [&](base::error const&) { return text; });
    };
    return normalize(left) == normalize(right);
}

int report_outcome(tool_settings const& settings, store::object const& target,
                   store::write_outcome const& outcome)
{
    switch (outcome.status)
    {
    case store::write_status::applied:
        print_applied(settings, target, outcome);
        return exit_success;
    case store::write_status::conflict:
        print_conflict(target, outcome.current);
        return exit_conflict;
    case store::write_status::refused:
        std::cerr << "the platform refused the write; nothing was written\n";
        return exit_failed;
    case store::write_status::unknown:
        break;
    }
    std::cerr << "unknown: the platform did not respond; the change of " << target.kind << '/'
              << target.name << " may or may not be in force. Read it back before continuing.\n";
    return exit_unknown;
}

int write_and_report(tool_settings const& settings, write_action action,
                     store::object const& target)
{
    auto store = settings.make_store();
    return report_outcome(settings, target, write_with_retries(store, action, target));
}

} // namespace jasminepier::ctl
