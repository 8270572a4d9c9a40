/// Status of the entry VMs and backend servers, as reported by the control processes.
#pragma once

#include "configuration/types.hpp"
#include "inner_protocol/rpc.hpp"
#include "utilities/ctl/command_line.hpp"

#include <optional>
#include <string>
#include <vector>

namespace jasminepier::ctl
{

struct node_query_result
{
    configuration::node node;
    /// Empty if the node did not respond within the timeout.
    std::optional<inner_protocol::node_status_reply> status;
};

/// Queries all registered nodes in parallel. Fails if the platform cannot be read.
base::result<std::vector<node_query_result>> query_nodes(tool_settings const& settings);

/// Returns false if the node did not respond and at least one node reports it as dead while none
/// reports it as alive. A node that did not respond and of which no node has a record counts as
/// live: treating it as dead could confirm a change too early.
bool is_live(node_query_result const& result, std::vector<node_query_result> const& results);

/// Returns ready, not_ready, isolated (the node reports that it has lost contact with its peers),
/// leaving (draining or removed), dead or no_answer.
std::string node_state(node_query_result const& result,
                       std::vector<node_query_result> const& results);

/// Returns cold, warm, leaving, unreachable, suspected (only some nodes reach the server) or
/// unknown (no node has a load report).
std::string server_state(configuration::server const& server,
                         std::vector<node_query_result> const& results);

/// Returns the most recent load report on the server, or null.
inner_protocol::load_digest const* latest_report(std::string const& server,
                                                 std::vector<node_query_result> const& results);

} // namespace jasminepier::ctl
