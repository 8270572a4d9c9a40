/// The store's objects by way of peers.
#pragma once

#include "base/periodic_thread.hpp"
#include "inner_protocol/rpc.hpp"
#include "node_peer.h"
#include "services/node/node_state.hpp"

#include <memory>

namespace jasminepier::node
{

/// Serves this node's copies to peers, and reads theirs while this node cannot reach the store
/// itself. The store turns single nodes away or is cut off from them while others reach it.
class peer_objects
{
public:
    explicit peer_objects(node_state& state);

private:
    void pull_if_needed();
    /// Nodes that know something of the store that this one has missed, and the revision from
    /// which on this one needs changes.
    std::vector<serving::node_entry>
    find_better_informed(node_state::tables& tables, std::int64_t& since, base::time_point now);

    node_state& m_state;
    std::unique_ptr<inner_protocol::rpc_server> m_server;
    bool m_differed = false;
    base::periodic_thread m_pulling;
};

} // namespace jasminepier::node
