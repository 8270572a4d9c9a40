/// Runs the placement controller in the control process.
#pragma once

#include "base/periodic_thread.hpp"
#include "placement/placement_controller.hpp"
#include "services/control/control_state.hpp"
#include "store/http_object_store.hpp"

namespace jasminepier::control
{

/// Sends placement commands to servers over HTTP.
class http_command_sender
{
public:
    explicit http_command_sender(control_state const& state) : m_state(state) {}
    base::result<void> send(placement::placement_command const& command,
                            std::int64_t fencing_number);

private:
    control_state const& m_state;
};

class placement_runner
{
public:
    placement_runner(control_state& state, std::string node_id,
                     store::http_object_store_settings const& platform,
                     placement::command_rate_limits rate_limits);

private:
    void run_round_if_due();
    placement::reported_placements collect_reported_placements() const;
    /// Returns the number of nodes that precede this node as candidates for the lease.
    std::size_t lease_rank() const;

    control_state& m_state;
    std::string m_node_id;
    store::http_object_store m_store;
    http_command_sender m_sender;
    base::steady_clock_source m_clock;
    placement::placement_controller<store::http_object_store, http_command_sender,
                                    base::steady_clock_source>
        m_controller;
    base::time_point m_next_round{};
    base::periodic_thread m_thread;
};

} // namespace jasminepier::control
