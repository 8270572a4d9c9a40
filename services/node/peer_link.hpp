/// Reports between the nodes.
#pragma once

#include "inner_protocol/datagram.hpp"
#include "services/node/node_state.hpp"

#include <atomic>
#include <span>

namespace jasminepier::node
{

/// Sends this node's report to all peers and takes over theirs. Reports are datagrams: a lost one
/// is replaced by the next.
class peer_link
{
public:
    /// Throws Poco::Net::NetException when the port cannot be bound.
    explicit peer_link(node_state& state);
    peer_link(peer_link const&) = delete;
    peer_link& operator=(peer_link const&) = delete;

    /// Sends a report at once, for example at a stop.
    void send_report(std::span<store::object const> news);
    /// Tells peers of objects that were just read from the store.
    void publish_changes(std::span<store::object const> news);

private:
    void send_for_ever();
    void receive_for_ever();
    void apply(inner_protocol::node_report const& report);

    node_state& m_state;
    inner_protocol::datagram_socket m_socket;
    std::atomic<std::int64_t> m_sequence{0};
};

} // namespace jasminepier::node
