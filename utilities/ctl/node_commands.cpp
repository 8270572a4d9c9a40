/// `node list` and `server list`.
#include "utilities/ctl/fleet.hpp"

#include <iostream>

namespace jasminepier::ctl
{
namespace
{

int list_nodes(tool_settings const& settings)
{
    return run_command(
        [&]() -> base::result<int>
        {
            BOOST_LEAF_AUTO(results, query_nodes(settings));
            table output{
                {"name", "zone", "address", "state", "revision", "applied", "placement lease"}, {}};
            for (auto const& result : results)
                output.rows.push_back(
                    {result.node.name, result.node.zone,
                     result.node.host + ":" + std::to_string(result.node.entry_port),
                     node_state(result, results),
                     result.status ? std::to_string(result.status->configuration_revision) : "",
                     result.status ? std::to_string(result.status->applied_revision) : "",
                     result.status && result.status->placement_holder
                         ? std::to_string(result.status->fencing_number)
                         : ""});
            write_table(std::cout, settings.format, output);
            return exit_success;
        });
}

std::vector<std::string> server_row(configuration::server const& server,
                                    std::vector<node_query_result> const& results)
{
    std::vector<std::string> row{server.name, server.service, server.zone,
                                 server.host + ":" + std::to_string(server.port),
                                 server_state(server, results)};
    auto const* report = latest_report(server.name, results);
    if (report == nullptr)
        return row.insert(row.end(), 3, ""), row;
    row.push_back(std::to_string(report->running));
    row.push_back(std::to_string(report->waiting));
    row.push_back(report->kv_capacity_tokens > 0 ? std::to_string(report->kv_used_tokens) + "/" +
                                                       std::to_string(report->kv_capacity_tokens)
                                                 : "");
    return row;
}

int list_servers(tool_settings const& settings)
{
    return run_command(
        [&]() -> base::result<int>
        {
            BOOST_LEAF_AUTO(results, query_nodes(settings));
            auto store = settings.make_store();
            BOOST_LEAF_AUTO(page, store.list("server"));
            table output{
                {"name", "service", "zone", "address", "state", "running", "waiting", "kv_tokens"},
                {}};
            for (auto const& object : page.objects)
            {
                BOOST_LEAF_AUTO(value, base::parse_json_object(object.value));
                BOOST_LEAF_AUTO(server, configuration::parse_server(object.name, value));
                output.rows.push_back(server_row(server, results));
            }
            write_table(std::cout, settings.format, output);
            return exit_success;
        });
}

} // namespace

void add_node_commands(command_registry& registry)
{
    auto const nothing = [](CLI::App&, no_options&) {};
    registry.add_command<no_options>(registry.add_group("node", "Entry VMs"), "list",
                                     "List the entry VMs and their state", nothing,
                                     [](tool_settings const& settings, no_options const&)
                                     { return list_nodes(settings); });
    registry.add_command<no_options>(registry.add_group("server", "Backend servers"), "list",
                                     "List the backend servers and their state", nothing,
                                     [](tool_settings const& settings, no_options const&)
                                     { return list_servers(settings); });
}

} // namespace jasminepier::ctl
