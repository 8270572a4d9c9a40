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
    for (auto const& object : page.objects)
    {
        BOOST_LEAF_AUTO(value, base::parse_json_object(object.value));
        BOOST_LEAF_AUTO(parsed, configuration::parse_zone(object.name, value));
        zones.push_back({parsed, object.version});
    }
    return zones;
}

std::size_t count_in_service(std::vector<stored_zone> const& zones)
{
    return static_cast<std::size_t>(std::count_if(
        zones.begin(), zones.end(),
        [](stored_zone const& stored) { return stored.zone.state == zone_state::in_service; }));
}

store::object make_zone_object(configuration::zone zone, zone_state state, std::int64_t version)
{
    zone.state = state;
    return {"zone", zone.name, version, base::write_json(configuration::to_json(zone)), false};
}

int list(tool_settings const& settings)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = settings.make_store();
            BOOST_LEAF_AUTO(zones, list_zones(store));
            table output{{"name", "region", "state", "version"}, {}};
            for (auto const& [zone, version] : zones)
                output.rows.push_back(
                    {zone.name, zone.region,
                     zone.state == zone_state::in_service ? "in_service" : "out_of_service",
                     std::to_string(version)});
            write_table(std::cout, settings.format, output);
            return exit_success;
        });
}

base::result<stored_zone> find_zone(std::vector<stored_zone> const& zones, std::string const& name)
{
    for (auto const& stored : zones)
        if (stored.zone.name == name)
            return stored;
    return base::fail(base::error_kind::not_found, "there is no zone '" + name + "'");
}

/// Reverts a write that left no zone in service. Two operators may each take out one of the last
/// two zones at the same time: both still see another zone in service, and their conditional writes
/// concern different objects, so neither write fails.
base::result<int> revert_if_no_zone_in_service(tool_settings const& settings,
                                               store::http_object_store& store,
                                               configuration::zone const& zone,
                                               store::write_outcome const& outcome)
{
    BOOST_LEAF_AUTO(zones, list_zones(store));
    if (count_in_service(zones) > 0)
        return report_outcome(settings, outcome.current, outcome);
    auto const original = make_zone_object(zone, zone_state::in_service, outcome.current.version);
    auto const revert_outcome = write_with_retries(store, write_action::update, original);
    std::cerr << "conflict: another operator took the last other zone out at the same time\n";
    if (revert_outcome.status != store::write_status::applied)
        return report_outcome(settings, original, revert_outcome);
    std::cerr << "in force now: zone " << zone.name << " is in service again, at version "
              << revert_outcome.current.version << '\n';
    return exit_conflict;
}

int take_out_of_service(tool_settings const& settings, zone_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = settings.make_store();
            BOOST_LEAF_AUTO(zones, list_zones(store));
            BOOST_LEAF_AUTO(stored, find_zone(zones, options.name));
            bool const is_last_in_service =
                stored.zone.state == zone_state::in_service && count_in_service(zones) == 1;
            bool confirmed = options.yes;
            if (is_last_in_service && !confirmed)
                confirmed =
                    ask_for_confirmation(
                        "Zone " + options.name +
                        " is the last zone in service; all new requests would be rejected.") ==
                    confirmation::confirmed;
            if (is_last_in_service && !confirmed)
                return base::fail(base::error_kind::no_server,
                                  "zone '" + options.name +
                                      "' is the last zone in service and stays; use --yes");
            auto const target =
                make_zone_object(stored.zone, zone_state::out_of_service,
                                 expected_version(options.if_version, stored.version));
            auto const outcome = write_with_retries(store, write_action::update, target);
            if (outcome.status != store::write_status::applied || confirmed)
                return report_outcome(settings, target, outcome);
            return revert_if_no_zone_in_service(settings, store, stored.zone, outcome);
        });
}

int return_to_service(tool_settings const& settings, zone_options const& options)
{
    return run_command(
        [&]() -> base::result<int>
        {
            auto store = settings.make_store();
            BOOST_LEAF_AUTO(zones, list_zones(store));
            BOOST_LEAF_AUTO(stored, find_zone(zones, options.name));
            return write_and_report(
                settings, write_action::update,
                make_zone_object(stored.zone, zone_state::in_service,
                                 expected_version(options.if_version, stored.version)));
        });
}

void add_options(CLI::App& subcommand, zone_options& options)
{
    subcommand.add_option("name", options.name, "Name of the zone")->required();
    subcommand.add_option("--if-version", options.if_version,
                          "Write only if the zone has this version");
}

} // namespace

void add_zone_commands(command_registry& registry)
{
    auto* group = registry.add_group("zone", "Availability zones");
    registry.add_command<zone_options>(
        group, "list", "List the zones", [](CLI::App&, zone_options&) {},
        [](tool_settings const& settings, zone_options const&) { return list(settings); });
    registry.add_command<zone_options>(
        group, "out", "Take a zone out of service",
        [](CLI::App& subcommand, zone_options& options)
        {
            add_options(subcommand, options);
            subcommand.add_flag("--yes", options.yes, "Allow taking out the last zone in service");
        },
        take_out_of_service);
    registry.add_command<zone_options>(group, "in", "Bring a zone back into service", add_options,
                                       return_to_service);
}

} // namespace jasminepier::ctl
