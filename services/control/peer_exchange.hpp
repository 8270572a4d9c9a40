/// Calls to the control processes of other nodes.
#pragma once

#include "services/control/membership_agent.hpp"

namespace jasminepier::control
{

/// Pulls configuration from a peer that is ahead, if one is due. Called by two threads, so that a
/// slow peer does not hold up the pull from another one.
void pull_configuration_if_due(membership_agent& agent, control_state& state);

/// Exchanges member lists with a peer, if an exchange is due.
void push_pull_members_if_due(membership_agent& agent);

} // namespace jasminepier::control
