/// Synchronizes the copies of the store's objects between peers.
#pragma once

#include "base/periodic_thread.hpp"
#include "inner_protocol/rpc.hpp"
#include "node_peer.h"
#include "services/node/node_state.hpp"
#include "serving/configuration_pull_policy.hpp"

#include <memory>

namespace jasminepier::node
{

/// Serves this node's copies to peers over RPC, and pulls theirs if this node has missed changes or
/// cannot reach the store. Single nodes may be cut off from the store, or rejected by it, while
/// others reach it.
class peer_object_sync
{
public:
    explicit peer_object_sync(node_state& state);

private:
    void pull_if_needed();
    /// Returns the peer to pull a newer configuration from, if there is one.
    std::optional<serving::node_entry> find_configuration_source(node_state::tables& tables,
                                                                 base::time_point now);
    /// Returns peers that have objects that this node has missed. Sets `since` to the revision
    /// after which this node needs changes.
    std::vector<serving::node_entry>
    find_up_to_date_peers(node_state::tables& tables, std::int64_t& since, base::time_point now);

    node_state& m_state;
    std::unique_ptr<inner_protocol::rpc_server> m_server;
    bool m_was_behind = false;
    int m_check_count = 0;
    serving::configuration_pull_policy m_configuration_pulls;
    base::periodic_thread m_pull_thread;
};

} // namespace jasminepier::node
