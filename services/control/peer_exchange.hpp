/// Calls to the control processes of other nodes.
#pragma once

#include "services/control/node_agent.hpp"

namespace jasminepier::control
{

/// Pulls configuration from a peer that is ahead, if one is due. Called by two threads, so that a
/// slow peer does not hold up the pull from another one.
void pull_configuration_step(node_agent& agent, control_state& state);

/// Exchanges member lists with a peer, if an exchange is due.
void exchange_members_step(node_agent& agent);

} // namespace jasminepier::control
