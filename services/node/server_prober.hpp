/// Asks engines directly whether they are draining.
#pragma once

#include "base/periodic_thread.hpp"
#include "services/node/node_state.hpp"

namespace jasminepier::node
{

/// While the store cannot be reached, periodically asks the engines whether they are draining, so
/// that their generations are handed over in time. Probes only engines that serve requests of this
/// node.
class server_prober
{
public:
    explicit server_prober(node_state& state);

private:
    void probe_if_needed();

    node_state& m_state;
    base::periodic_thread m_probe_thread;
};

} // namespace jasminepier::node
