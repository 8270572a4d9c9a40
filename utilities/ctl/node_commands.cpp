/// `node list` and `server list`.
#include "utilities/ctl/fleet.hpp"

#include <iostream>

namespace jasminepier::ctl
{
namespace
{

int list_nodes(context const& current)
{
    return run_command(
        [&]() -> base::result<int>
        {
            BOOST_LEAF_AUTO(views, ask_nodes(current));
            table rows{
                {"name", "zone", "address", "state", "revision", "applied", "placement lease"}, {}};
            for (auto const& view : views)
                rows.rows.push_back(
                    {view.node.name, view.node.zone,
                     view.node.host + ":" + std::to_string(view.node.entry_port),
                     describe(view, views),
                     view.status ? std::to_string(view.status->configuration_revision) : "",
                     view.status ? std::to_string(view.status->applied_revision) : "",
                     view.status && view.status->placement_holder
                         ? std::to_string(view.status->fencing_number)
                         : ""});
            write(std::cout, current.format, rows);
            return exit_done;
        });
}

std::vector<std::string> server_row(configuration::server const& server,
                                    std::vector<node_view> const& views)
{
    std::vector<std::string> row{server.name, server.service, server.zone,
                                 server.host + ":" + std::to_string(server.port),
                                 server_state(server, views)};
    auto const* report = freshest_report(server.name, views);
    if (report == nullptr)
        return row.insert(row.end(), 3, ""), row;
    row.push_back(std::to_string(report->running));
    row.push_back(std::to_string(report->waiting));
    row.push_back(report->kv_capacity_tokens > 0 ? std::to_string(report->kv_used_tokens) + "/" +
                                                       std::to_string(report->kv_capacity_tokens)
                                                 : "");
    return row;
}

int list_servers(context const& current)
{
    return run_command(
        [&]() -> base::result<int>
        {
            BOOST_LEAF_AUTO(views, ask_nodes(current));
            auto store = current.store();
            BOOST_LEAF_AUTO(page, store.list("server"));
            table rows{
                {"name", "service", "zone", "address", "state", "running", "waiting", "kv_tokens"},
                {}};
            for (auto const& held : page.objects)
            {
                BOOST_LEAF_AUTO(value, base::parse_json_object(held.value));
                BOOST_LEAF_AUTO(server, configuration::parse_server(held.name, value));
                rows.rows.push_back(server_row(server, views));
            }
            write(std::cout, current.format, rows);
            return exit_done;
        });
}

} // namespace

void add_node_commands(command_line& line)
{
    auto const nothing = [](CLI::App&, no_options&) {};
    line.add_command<no_options>(
        line.add_group("node", "Entry VMs"), "list", "List the entry VMs and their state", nothing,
        [](context const& current, no_options const&) { return list_nodes(current); });
    line.add_command<no_options>(line.add_group("server", "Backend servers"), "list",
                                 "List the backend servers and their state", nothing,
                                 [](context const& current, no_options const&)
                                 { return list_servers(current); });
}

} // namespace jasminepier::ctl
