/// Advances roll-outs at a node and writes their state to the store.
#pragma once

#include "base/periodic_thread.hpp"
#include "platform/store_dialect.hpp"
#include "services/node/node_state.hpp"

#include <cstdint>
#include <map>

namespace jasminepier::node
{

/// Applies changed orders. One that cannot be read is logged and changes nothing.
void apply_rollout_changes(node_state& state, store::object_page const& page);

/// Looks at all roll-outs several times a second in a thread of its own, and calls the store in
/// another one.
class rollout_agent
{
public:
    static constexpr base::milliseconds interval{250};

    explicit rollout_agent(node_state& state);

private:
    struct pending_state
    {
        serving::rollout_state state = serving::rollout_state::in_progress;
        base::time_point since{};
    };

    void advance();
    void count_versions();
    void call_store();
    /// True if this node writes the order's state: it is the first live node that reaches the store
    /// in the rendezvous order of the order, or those before it have had their time.
    bool decides(std::uint64_t order, base::time_point pending_since, base::time_point now);
    void write_states();
    /// Reads the orders if peers report one that this node has missed.
    void read_missed_orders();

    node_state& m_state;
    platform::object_store m_store;
    base::time_point m_next_write{};
    base::time_point m_next_read{};
    /// By the order's id.
    std::map<std::uint64_t, pending_state> m_pending;
    base::periodic_thread m_thread;
    base::periodic_thread m_store_thread;
};

} // namespace jasminepier::node
