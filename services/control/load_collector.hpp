/// Collects the load reports of backend servers.
#pragma once

#include "services/control/control_state.hpp"

namespace jasminepier::control
{

/// Polls every server once and stores the digests.
void collect_loads(control_state& state);

} // namespace jasminepier::control
