#include "utilities/ctl/conditional_write.hpp"

#include "base/json.hpp"

#include <iostream>

namespace jasminepier::ctl
{
namespace
{

void print_applied(context const& current, store::object const& target,
                   store::write_outcome const& outcome)
{
    auto const name = target.kind + "/" + target.name;
    if (current.format == output_format::table)
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

/// Names what an operator chose; the whole content of a preset would hide it.
std::string summary(store::object const& held)
{
    if (held.kind != "active-preset")
        return held.value;
    return base::handle(
        [&]() -> base::result<std::string>
        {
            BOOST_LEAF_AUTO(value, base::parse_json_object(held.value));
            BOOST_LEAF_AUTO(preset, base::read_string(value, "preset"));
            return "preset " + preset;
        },
        [&](base::error const&) { return held.value; });
}

void print_conflict(store::object const& target, store::object const& held)
{
    std::cerr << "conflict: " << target.kind << '/' << target.name << " was changed by somebody "
              << "else; nothing of this command is in force\n";
    if (held.deleted || held.version == 0)
        std::cerr << "in force now: no such object\n";
    else
        std::cerr << "in force now: version " << held.version << ": " << summary(held) << '\n';
}

} // namespace

bool same_document(std::string const& left, std::string const& right)
{
    auto const written = [](std::string const& text)
    {
        return base::handle(
            [&]() -> base::result<std::string>
            {
                BOOST_LEAF_AUTO(document, base::parse_json_object(text));
                return base::write_json(document);
            },
            [&](base::error const&) { return text; });
    };
    return written(left) == written(right);
}

int report(context const& current, store::object const& target, store::write_outcome const& outcome)
{
    switch (outcome.status)
    {
    case store::write_status::applied:
        print_applied(current, target, outcome);
        return exit_done;
    case store::write_status::conflict:
        print_conflict(target, outcome.current);
        return exit_conflict;
    case store::write_status::refused:
        std::cerr << "the platform refused the write; nothing was written\n";
        return exit_failed;
    case store::write_status::unknown:
        break;
    }
    std::cerr << "unknown: the platform did not answer; the change of " << target.kind << '/'
              << target.name << " may or may not be in force. Read it back before you go on.\n";
    return exit_unknown;
}

int write_and_report(context const& current, write_action action, store::object const& target)
{
    auto store = current.store();
    return report(current, target, write_until_known(store, action, target));
}

} // namespace jasminepier::ctl
