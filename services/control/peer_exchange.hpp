/// RPCs to the control processes of other nodes.
#pragma once

#include "services/control/membership_agent.hpp"

namespace jasminepier::control
{

/// Pulls configuration from a peer with a newer revision, if a pull is due. Two threads call this,
/// so that a slow peer doesn't delay a pull from another peer.
void pull_configuration_if_due(membership_agent& agent, control_state& state);

/// Runs a push-pull exchange of member lists with a peer, if one is due.
void push_pull_members_if_due(membership_agent& agent);

} // namespace jasminepier::control
