/// Encoding, checks and UDP transport of gossip datagrams.
#pragma once

#include "base/error.hpp"
#include "jasminepier_types.h"

#include <Poco/Net/DatagramSocket.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminepier::inner_protocol
{

/// Longest datagram that is sent or accepted, bytes.
inline constexpr std::size_t maximum_datagram_bytes = 1200;

/// Encodes a datagram in Thrift's compact protocol.
std::string encode_datagram(gossip_datagram const& message);

/// Decodes and checks a datagram from the network. Fails with payload_too_large above the limit,
/// and with bad_request on bytes that are not a datagram, values outside their range, names that
/// are empty or too long, and hosts that are not IP addresses.
base::result<gossip_datagram> decode_datagram(std::string_view bytes);

/// The same for the reports of nodes on the platform.
std::string encode_node_report(node_report const& report);
base::result<node_report> decode_node_report(std::string_view bytes);

/// Checks a record that came over a call instead of a datagram.
bool is_valid_record(member_record const& record);

/// A bound UDP socket for datagrams. Sending and receiving may happen on different threads.
class datagram_socket
{
public:
    /// Throws Poco::Net::NetException when the address cannot be bound.
    datagram_socket(std::string const& host, std::uint16_t port);

    /// Drops the datagram when it is too long or the network refuses it; a lost datagram is normal.
    void send(std::string const& host, int port, gossip_datagram const& message);

    void send_bytes(std::string const& host, int port, std::string_view bytes);

    /// Waits up to `timeout` for the bytes of one datagram.
    std::optional<std::string> receive_bytes(std::chrono::milliseconds timeout);

    /// Waits up to `timeout` for a datagram. Malformed ones are counted and dropped.
    std::optional<gossip_datagram> receive(std::chrono::milliseconds timeout);

    std::uint64_t malformed() const noexcept { return m_malformed; }

private:
    Poco::Net::DatagramSocket m_socket;
    std::uint64_t m_malformed = 0;
};

} // namespace jasminepier::inner_protocol
