/// Runs the failure detector of this node over UDP.
#pragma once

#include "base/ordered_mutex.hpp"
#include "inner_protocol/datagram.hpp"
#include "membership/failure_detector.hpp"
#include "membership/platform_reading.hpp"
#include "services/control/control_state.hpp"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace jasminepier::control
{

/// Owns the failure detector, the pull scheduler and the gossip socket. Thread-safe: one mutex
/// guards the detector and the scheduler, held for short computations only. Lock order: this mutex,
/// then the one of `control_state`.
class membership_agent
{
public:
    membership_agent(control_state& state, inner_protocol::member_record const& self,
                     std::vector<membership::contact_point> seeds);

    /// Receives datagrams for one tick interval, then runs the detector's tick. One thread calls it
    /// in a loop.
    void run_tick();

    std::vector<inner_protocol::member_record> members();
    membership::connectivity_state current_connectivity();
    bool is_ready();
    bool is_isolated();
    bool should_read_platform();
    inner_protocol::member_record self();

    void set_leaving(bool leaving);
    bool is_leaving();
    void add_crash_records(std::vector<inner_protocol::crash_record> const& records);
    std::vector<inner_protocol::crash_record> crash_records();
    /// Sends digests to a node in as many datagrams as needed.
    void send_loads(std::string const& node_id,
                    std::vector<inner_protocol::load_digest> const& digests);

    /// Returns a peer to pull configuration from, if a pull is due; call `finish_pull` afterwards.
    std::optional<inner_protocol::member_record> start_pull();
    void finish_pull(std::string const& node_id, bool succeeded);
    std::optional<inner_protocol::member_record> next_push_pull_peer();
    std::vector<inner_protocol::member_record>
    push_pull(std::vector<inner_protocol::member_record> const& received);

private:
    void receive(inner_protocol::gossip_datagram const& message);
    void refresh_contact_points();
    void send(std::vector<membership::outgoing_datagram> const& messages);
    membership::connectivity_state connectivity_locked() const;

    control_state& m_state;
    inner_protocol::datagram_socket m_socket;
    std::vector<membership::contact_point> const m_seeds;
    base::time_point const m_started;
    base::ordered_mutex<base::lock_level::membership_agent> m_mutex;
    base::random_source m_random;
    membership::failure_detector m_detector;
    membership::pull_scheduler m_pull_scheduler;
    std::int64_t m_contact_points_revision = -1;
    bool m_has_peer_addresses;
    bool m_node_list_has_peers = false;
};

} // namespace jasminepier::control
