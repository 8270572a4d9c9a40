/// Encoding, validation and UDP transport of gossip datagrams.
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

/// Maximum size of a datagram that is sent or accepted.
inline constexpr std::size_t maximum_datagram_bytes = 1200;

/// Encodes a datagram in Thrift's compact protocol.
std::string encode_datagram(gossip_datagram const& message);

/// Decodes and validates a datagram from the network. Fails with payload_too_large if it exceeds
/// maximum_datagram_bytes, and with bad_request if it can't be decoded, a value is out of range, a
/// name is empty or too long, or a host is not an IP address.
base::result<gossip_datagram> decode_datagram(std::string_view bytes);

/// Encode and decode the reports of nodes on the platform, with the same limits and errors.
std::string encode_node_report(node_report const& report);
base::result<node_report> decode_node_report(std::string_view bytes);
/// Removes loads from the end of the report's list until the encoded report leaves `free_bytes` of
/// a datagram free. Returns the number of loads removed.
std::size_t drop_loads_to_fit(node_report& report, std::size_t free_bytes);

/// Returns true if a record that arrived over an RPC passes the checks for records in datagrams.
bool is_valid_record(member_record const& record);

/// A bound UDP socket. One thread may send while another one receives.
class datagram_socket
{
public:
    /// Throws Poco::Net::NetException if the address can't be bound.
    datagram_socket(std::string const& host, std::uint16_t port);

    /// Logs and drops the datagram if it is too long or can't be sent; the protocol tolerates loss.
    void send(std::string const& host, int port, gossip_datagram const& message);

    void send_bytes(std::string const& host, int port, std::string_view bytes);

    /// Waits up to `timeout` for a datagram and returns its bytes. A result longer than
    /// maximum_datagram_bytes means that the datagram was too long.
    std::optional<std::string> receive_bytes(std::chrono::milliseconds timeout);

    /// Waits up to `timeout` for a datagram. Returns nothing if it is malformed, and counts it.
    std::optional<gossip_datagram> receive(std::chrono::milliseconds timeout);

    std::uint64_t malformed_datagrams() const noexcept { return m_malformed_datagrams; }

private:
    Poco::Net::DatagramSocket m_socket;
    std::uint64_t m_malformed_datagrams = 0;
};

} // namespace jasminepier::inner_protocol
