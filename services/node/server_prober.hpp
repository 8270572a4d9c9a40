/// Asks engines themselves whether they leave.
#pragma once

#include "base/periodic_thread.hpp"
#include "services/node/node_state.hpp"

namespace jasminepier::node
{

/// While the store cannot be reached, engines are asked whether they drain, so that their runs are
/// handed over in time. Only engines that run this node's requests are asked.
class server_prober
{
public:
    explicit server_prober(node_state& state);

private:
    void probe_if_needed();

    node_state& m_state;
    base::periodic_thread m_probing;
};

} // namespace jasminepier::node
