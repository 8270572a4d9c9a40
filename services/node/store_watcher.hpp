/// Keeps the node's copies of the store's objects up to date and registers the node in the store.
#pragma once

#include "platform/store_dialect.hpp"
#include "services/node/node_state.hpp"

#include <atomic>
#include <functional>
#include <span>
#include <string>

namespace jasminepier::node
{

/// Runs a thread for each kind of object, which lists the objects and then watches for changes.
/// Retries failed calls with exponential backoff, and lists again if the store no longer has the
/// history that the watch needs.
class store_watcher
{
public:
    using change_callback = std::function<void(std::span<store::object const>)>;

    /// `publish_to_peers` receives changes of servers in large fleets, in which only a few nodes
    /// watch them. Called on the thread of the watch.
    store_watcher(node_state& state, change_callback publish_to_peers);
    store_watcher(store_watcher const&) = delete;
    store_watcher& operator=(store_watcher const&) = delete;

private:
    void watch_kind(std::string const& kind);
    /// Blocks while the kind is left to other nodes. Returns true if it has waited.
    bool wait_until_follower(std::string const& kind);
    void record_call_result(std::string const& kind, bool store_reached, std::string const& reason);

    node_state& m_state;
    platform::object_store m_store;
    change_callback m_publish_to_peers;
    std::atomic<bool> m_store_reached{false};
};

/// Writes this node's entry to the store and removes the entries of nodes that have long been
/// silent.
class node_registrar
{
public:
    explicit node_registrar(node_state& state);
    /// Called every second.
    void run_maintenance();

private:
    /// Returns the epoch in which the store holds this node's entry; nothing if it does not.
    std::optional<std::int64_t> register_node();

    node_state& m_state;
    platform::object_store m_store;
    /// The epoch in which this node's entry was written.
    std::optional<std::int64_t> m_registered_epoch;
    int m_passes_to_skip = 0;
};

/// Returns the settings for clients of the store in a node.
store::http_object_store_settings make_store_client_settings(node_state& state);

} // namespace jasminepier::node
