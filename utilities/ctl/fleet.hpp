/// What the entry VMs say about themselves, about each other and about the backend servers.
#pragma once

#include "configuration/types.hpp"
#include "inner_protocol/rpc.hpp"
#include "utilities/ctl/command_line.hpp"

#include <optional>
#include <string>
#include <vector>

namespace jasminepier::ctl
{

struct node_view
{
    configuration::node node;
    /// Nothing when the node did not answer in time.
    std::optional<inner_protocol::node_status_reply> status;
};

/// Asks every listed node, all at the same time. Fails when the platform does not answer.
base::result<std::vector<node_view>> ask_nodes(context const& current);

/// Returns false only when the node did not answer and every answering node that has a record of it
/// calls it dead. A silent node without such records counts as live, so that nobody takes a change
/// for confirmed too early.
bool is_live(node_view const& view, std::vector<node_view> const& all);

/// Returns ready, not_ready, isolated, leaving, dead or no_answer.
std::string describe(node_view const& view, std::vector<node_view> const& all);

/// Returns cold, warm, leaving, unreachable, suspected (some nodes reach it and some do not) or
/// unknown (no node has a report).
std::string server_state(configuration::server const& server, std::vector<node_view> const& all);

/// Returns the freshest report on the server, or null.
inner_protocol::load_digest const* freshest_report(std::string const& server,
                                                   std::vector<node_view> const& all);

} // namespace jasminepier::ctl
