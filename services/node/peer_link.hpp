/// Exchange of reports between the nodes.
#pragma once

#include "inner_protocol/datagram.hpp"
#include "services/node/node_state.hpp"
#include "services/node/rollout_reports.hpp"

#include <atomic>
#include <span>

namespace jasminepier::node
{

/// Returns the state of the sender of a report. What nodes of earlier versions leave out is unset.
serving::node_state_report read_state_report(inner_protocol::node_report const& report);

/// Sends this node's reports to all peers and applies the peers' reports, on two threads. Reports
/// are datagrams; the next report replaces a lost one.
class peer_link
{
public:
    /// Throws Poco::Net::NetException if the port cannot be bound.
    explicit peer_link(node_state& state);
    peer_link(peer_link const&) = delete;
    peer_link& operator=(peer_link const&) = delete;

    /// Sends a report immediately, for example at the start of a shutdown. A report with `changes`
    /// leaves out loads and crashes, since both together could exceed a datagram. In a large fleet,
    /// a report with news of crashes is relayed to the other zones. Thread-safe.
    void send_report(std::span<store::object const> changes);
    /// Sends objects just read from the store to all peers, in as many reports as needed.
    /// Thread-safe.
    void publish_changes(std::span<store::object const> changes);

private:
    void send_loop();
    /// Sends the loads of this node's zone to the other zones.
    void send_zone_summary();
    /// Adds as many crashes and answered parts as the datagram has room for. Returns true if there
    /// is news among them.
    bool add_crashes(inner_protocol::node_report& report);
    /// Adds as many streams' origins that peers may need as the datagram has room for.
    void add_stream_origins(inner_protocol::node_report& report);
    /// Forwards a report from another zone to the nodes of this node's zone.
    void relay(inner_protocol::node_report report);
    /// Takes over what the followers of the store report about it, which decides whether missing
    /// server entries may have expired in an outage.
    static void learn_store_state(node_state::tables& tables, base::time_point now);
    inner_protocol::node_report make_report(node_state::tables& tables);
    void receive_loop();
    void apply_report(inner_protocol::node_report const& report);

    node_state& m_state;
    inner_protocol::datagram_socket m_socket;
    std::atomic<std::int64_t> m_sequence{0};
    /// Used with the node's tables locked.
    rollout_report_position m_rollout_position;
    rollout_report_position m_zone_rollout_position;
};

} // namespace jasminepier::node
