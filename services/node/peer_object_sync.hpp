/// Synchronizes the copies of the store's objects between peers.
#pragma once

#include "base/periodic_thread.hpp"
#include "inner_protocol/rpc.hpp"
#include "node_peer.h"
#include "services/node/node_state.hpp"

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
    /// Returns false if the peer did not respond.
    bool pull_objects(serving::object_pull const& pull);
    /// Logs which kinds of objects have fallen behind those of the peers or caught up.
    void log_lag(base::time_point now);

    node_state& m_state;
    std::unique_ptr<inner_protocol::rpc_server> m_server;
    base::periodic_thread m_pull_thread;
};

} // namespace jasminepier::node
