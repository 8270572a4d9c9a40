/// `zone list|out|in`.
#include "configuration/types.hpp"
#include "utilities/ctl/conditional_write.hpp"
#include "utilities/ctl/input.hpp"

#include <algorithm>
#include <iostream>

namespace jasminepier::ctl
{
namespace
{

using configuration::zone_state;

struct zone_options
{
    std::string name;
    std::optional<std::int64_t> if_version;
    bool yes = false;
};

struct stored_zone
{
    configuration::zone zone;
    std::int64_t version = 0;
};

base::result<std::vector<stored_zone>> list_zones(store::http_object_store& store)
{
    BOOST_LEAF_AUTO(page, store.list("zone"));
    std::vector<stored_zone> zones;
    for (auto const& held : page.objects)
    {
        BOOST_LEAF_AUTO(value, base::parse_json_object(held.value));
        BOOST_LEAF_AUTO(parsed, configuration::parse_zone(held.name, value));
        zones.push_back({parsed, held.version});
    }
    return zones;
}

std::size_t count_in_service(std::vector<stored_zone> const& zones)
{
    return static_cast<std::size_t>(std::count_if(
        zones.begin(), zones.end(),
        [](stored_zone const& held) { return held.zone.state == zone_state::in_service; }));
}

store::object object_of(configuration::zone zone, zone_state state, std::int64_t version)
{
    zone.state = state;
    return {"zone", zone.name, version, base::write_json(configuration::to_json(zone)), false};
}

int list(context const& current)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = current.store();
            BOOST_LEAF_AUTO(zones, list_zones(store));
            table rows{{"name", "region", "state", "version"}, {}};
            for (auto const& [zone, version] : zones)
                rows.rows.push_back(
                    {zone.name, zone.region,
                     zone.state == zone_state::in_service ? "in_service" : "out_of_service",
                     std::to_string(version)});
            write(std::cout, current.format, rows);
            return exit_done;
        });
}

base::result<stored_zone> find_zone(std::vector<stored_zone> const& zones, std::string const& name)
{
    for (auto const& held : zones)
        if (held.zone.name == name)
            return held;
    return base::fail(base::error_kind::not_found, "there is no zone '" + name + "'");
}

/// Two operators may each take out one of the last two zones: both see another zone in service, and
/// the conditions of their writes are about different objects. Whoever finds no zone left after the
/// own write takes that write back.
base::result<int> keep_one_zone(context const& current, store::http_object_store& store,
                                configuration::zone const& zone,
                                store::write_outcome const& outcome)
{
    BOOST_LEAF_AUTO(zones, list_zones(store));
    if (count_in_service(zones) > 0)
        return report(current, outcome.current, outcome);
    auto const undo = object_of(zone, zone_state::in_service, outcome.current.version);
    auto const undone = write_until_known(store, write_action::update, undo);
    std::cerr << "conflict: another operator took the last other zone out at the same time\n";
    if (undone.status != store::write_status::applied)
        return report(current, undo, undone);
    std::cerr << "in force now: zone " << zone.name << " is in service again, at version "
              << undone.current.version << '\n';
    return exit_conflict;
}

int take_out(context const& current, zone_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = current.store();
            BOOST_LEAF_AUTO(zones, list_zones(store));
            BOOST_LEAF_AUTO(held, find_zone(zones, options.name));
            bool const last =
                held.zone.state == zone_state::in_service && count_in_service(zones) == 1;
            bool confirmed = options.yes;
            if (last && !confirmed)
                confirmed = ask("Zone " + options.name +
                                " is the last zone in service; all new work would be refused.") ==
                            confirmation::given;
            if (last && !confirmed)
                return base::fail(base::error_kind::no_server,
                                  "zone '" + options.name +
                                      "' is the last zone in service and stays; use --yes");
            auto const target = object_of(held.zone, zone_state::out_of_service,
                                          expected_version(options.if_version, held.version));
            auto const outcome = write_until_known(store, write_action::update, target);
            if (outcome.status != store::write_status::applied || confirmed)
                return report(current, target, outcome);
            return keep_one_zone(current, store, held.zone, outcome);
        });
}

int bring_in(context const& current, zone_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = current.store();
            BOOST_LEAF_AUTO(zones, list_zones(store));
            BOOST_LEAF_AUTO(held, find_zone(zones, options.name));
            return write_and_report(current, write_action::update,
                                    object_of(held.zone, zone_state::in_service,
                                              expected_version(options.if_version, held.version)));
        });
}

void bind(CLI::App& added, zone_options& options)
{
    added.add_option("name", options.name, "Name of the zone")->required();
    added.add_option("--if-version", options.if_version,
                     "Write only while the zone has this version");
}

} // namespace

void add_zone_commands(command_line& line)
{
    auto* group = line.add_group("zone", "Availability zones");
    line.add_command<zone_options>(
        group, "list", "List the zones", [](CLI::App&, zone_options&) {},
        [](context const& current, zone_options const&) { return list(current); });
    line.add_command<zone_options>(
        group, "out", "Take a zone out of service",
        [](CLI::App& added, zone_options& options)
        {
            bind(added, options);
            added.add_flag("--yes", options.yes, "Take out the last zone in service as well");
        },
        take_out);
    line.add_command<zone_options>(group, "in", "Bring a zone back into service", bind, bring_in);
}

} // namespace jasminepier::ctl
