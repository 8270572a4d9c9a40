/// Keeps the node's copies of the platform's objects up to date.
#pragma once

#include "platform/store_dialect.hpp"
#include "services/node/node_state.hpp"

#include <atomic>
#include <functional>
#include <span>
#include <string>

namespace jasminepier::node
{

/// One thread for each kind: list, then watch for ever. A failed call is repeated with a growing
/// pause; a history that the store has forgotten leads to a new list.
class store_watcher
{
public:
    using change_callback = std::function<void(std::span<store::object const>)>;

    /// `tell_peers` receives changes of servers in fleets in which only a few nodes follow them.
    store_watcher(node_state& state, change_callback publish_to_peers);
    store_watcher(store_watcher const&) = delete;
    store_watcher& operator=(store_watcher const&) = delete;

private:
    void follow(std::string const& kind);
    /// Waits as long as other nodes follow the kind. Returns true when time has passed with it.
    bool wait_for_place(std::string const& kind);
    void note_call(std::string const& kind, bool reached, std::string const& reason);

    node_state& m_state;
    platform::object_store m_store;
    change_callback m_publish_to_peers;
    std::atomic<bool> m_reached{false};
};

/// Writes the node's own entry and removes entries of nodes that nobody has heard for long.
class node_registrar
{
public:
    explicit node_registrar(node_state& state);
    /// Does what is due; called every second.
    void take_turn();

private:
    bool write_own();

    node_state& m_state;
    platform::object_store m_store;
    bool m_written = false;
    int m_pause = 0;
};

/// Settings of the store client that every user of the store in a node shares.
store::http_object_store_settings store_settings(node_state& state);

} // namespace jasminepier::node
