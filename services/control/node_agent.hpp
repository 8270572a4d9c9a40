/// Runs the failure detector of this node: datagrams, ticks, and what peers report.
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

/// The failure detector and the pull decisions under one lock, which is held for short computations
/// only. Lock order: this lock, then that of `control_state`.
class node_agent
{
public:
    node_agent(control_state& state, inner_protocol::member_record const& self,
               std::vector<membership::contact> seeds);

    /// Receives datagrams for one tick, then ticks. Called again and again by one thread.
    void step();

    std::vector<inner_protocol::member_record> members();
    membership::reach reach_now();
    bool ready();
    bool isolated();
    bool reads_platform();
    inner_protocol::member_record self();

    void set_leaving(bool leaving);
    bool leaving();
    void add_crashes(std::vector<inner_protocol::crash_record> const& records);
    std::vector<inner_protocol::crash_record> crashes();
    /// Sends digests to a node, in as many datagrams as needed.
    void send_loads(std::string const& node_id,
                    std::vector<inner_protocol::load_digest> const& digests);

    /// A peer to pull configuration from now; `finish_pull` must follow.
    std::optional<inner_protocol::member_record> next_pull();
    void finish_pull(std::string const& node_id, bool succeeded);
    std::optional<inner_protocol::member_record> next_exchange();
    std::vector<inner_protocol::member_record>
    exchange(std::vector<inner_protocol::member_record> const& received);

private:
    void receive(inner_protocol::gossip_datagram const& message);
    void refresh_contacts();
    void send(std::vector<membership::outgoing> const& messages);
    membership::reach reach_locked() const;

    control_state& m_state;
    inner_protocol::datagram_socket m_socket;
    std::vector<membership::contact> const m_seeds;
    base::time_point const m_started;
    base::ordered_mutex<base::lock_level::node_agent> m_mutex;
    base::random_source m_random;
    membership::failure_detector m_detector;
    membership::revision_sync m_sync;
    std::int64_t m_contacts_revision = -1;
    bool m_peers_named;
    bool m_peers_listed = false;
};

} // namespace jasminepier::control
