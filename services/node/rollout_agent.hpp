/// Advances roll-outs at a node and writes their state to the store.
#pragma once

#include "base/periodic_thread.hpp"
#include "platform/store_dialect.hpp"
#include "services/node/node_state.hpp"

#include <cstdint>

namespace jasminepier::node
{

/// Applies changed orders. One that cannot be read is logged and changes nothing.
void apply_rollout_changes(node_state& state, store::object_page const& page);

/// Runs a thread that looks at all roll-outs several times a second.
class rollout_agent
{
public:
    static constexpr base::milliseconds interval{250};

    explicit rollout_agent(node_state& state);

private:
    void advance();
    void count_versions();
    /// True if this node writes the order's state: it is the first live node that reaches the store
    /// in the rendezvous order of the order.
    bool decides(std::uint64_t order, base::time_point now);
    void write_states(base::time_point now);
    /// Reads the orders if peers report one that this node has missed.
    void read_missed_orders(base::time_point now);

    node_state& m_state;
    platform::object_store m_store;
    base::time_point m_next_write{};
    base::time_point m_next_read{};
    base::periodic_thread m_thread;
};

} // namespace jasminepier::node
