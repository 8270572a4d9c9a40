#include "inner_protocol/datagram.hpp"

#include "base/log.hpp"

#include <Poco/Net/IPAddress.h>
#include <Poco/Net/SocketAddress.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <array>
#include <memory>
#include <poll.h>
#include <sys/socket.h>

namespace jasminepier::inner_protocol
{
namespace
{

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

// Node, zone and model names are far shorter.
constexpr std::size_t maximum_name_bytes = 128;
// Valid list elements take at least two bytes, so no regular datagram has a longer list.
constexpr int maximum_list_elements = 512;
// A node refutes a suspicion with a higher incarnation, so a received one must leave room below
// INT64_MAX. Incarnations start at wall-clock seconds, which are far below this limit.
constexpr std::int64_t maximum_incarnation = std::int64_t{1} << 53U;
// Enough for a summary of 2,000 servers.
constexpr int maximum_summary_parts = 64;
// Messages of this protocol nest three levels deep.
constexpr int maximum_nesting = 8;

bool is_valid_name(std::string const& name) noexcept
{
    return name.size() <= maximum_name_bytes &&
           std::none_of(name.begin(), name.end(),
                        [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; });
}

bool is_valid_identifier(std::string const& name) noexcept
{
    return !name.empty() && is_valid_name(name);
}

bool is_valid_port(int port) noexcept
{
    return port >= 0 && port <= 65535;
}

bool is_valid(member_record const& record)
{
    Poco::Net::IPAddress address;
    return is_valid_identifier(record.node_id) && is_valid_name(record.zone) &&
           is_valid_name(record.region) && record.incarnation >= 0 &&
           record.incarnation < maximum_incarnation && record.state >= member_state::alive &&
           record.state <= member_state::dead && record.gossip_port > 0 &&
           is_valid_port(record.gossip_port) && is_valid_port(record.control_port) &&
           is_valid_port(record.entry_port) && is_valid_port(record.entry_peer_port) &&
           record.applied_revision >= 0 && Poco::Net::IPAddress::tryParse(record.host, address);
}

bool is_valid(load_digest const& digest)
{
    return is_valid_identifier(digest.server_id) && is_valid_name(digest.instance) &&
           is_valid_name(digest.role) && digest.sequence >= 0 && digest.state >= 0 &&
           digest.state <= 3 && digest.running >= 0 && digest.waiting >= 0 &&
           digest.kv_used_tokens >= 0 && digest.kv_capacity_tokens >= 0 &&
           digest.cold_capacity >= 0 && digest.max_running >= 0 && digest.preemptions >= 0 &&
           digest.age_milliseconds >= 0 &&
           std::all_of(digest.models.begin(), digest.models.end(), is_valid_identifier);
}

bool is_valid(crash_record const& record)
{
    return is_valid_identifier(record.server_id) && is_valid_name(record.instance) &&
           record.age_seconds >= 0 &&
           (!record.__isset.age_milliseconds || record.age_milliseconds >= 0);
}

bool is_valid(answered_part const& answered)
{
    return answered.age_milliseconds >= 0;
}

bool is_valid(tried_part const& tried)
{
    return tried.age_milliseconds >= 0;
}

bool is_valid(gossip_datagram const& message)
{
    auto const is_valid_element = [](auto const& element) { return is_valid(element); };
    return message.kind >= datagram_kind::ping && message.kind <= datagram_kind::notice &&
           is_valid_identifier(message.sender) && is_valid_name(message.target) &&
           message.configuration_revision >= 0 && message.sender_incarnation >= 0 &&
           std::all_of(message.members.begin(), message.members.end(), is_valid_element) &&
           std::all_of(message.loads.begin(), message.loads.end(), is_valid_element) &&
           std::all_of(message.crashes.begin(), message.crashes.end(), is_valid_element);
}

bool is_valid(server_use const& use)
{
    return use.running >= 0 && use.reserved_tokens >= 0 && use.unread_prompt_tokens >= 0 &&
           use.recent_attempts >= 0 && use.recent_failures >= 0 && use.movable_runs >= 0;
}

bool is_valid(configuration_object const& object)
{
    return is_valid_identifier(object.kind) && is_valid_identifier(object.name) &&
           object.version >= 0;
}

bool is_valid(node_report const& report)
{
    return std::all_of(report.news.begin(), report.news.end(),
                       [](auto const& object) { return is_valid(object); }) &&
           is_valid_identifier(report.node) && is_valid_name(report.zone) &&
           is_valid_identifier(report.caller_address) && is_valid_port(report.peer_port) &&
           report.started >= 0 && report.sequence >= 0 && report.store_revision >= 0 &&
           report.summary_parts >= 0 && report.summary_parts <= maximum_summary_parts &&
           report.summary_part >= 0 && report.summary_part < std::max(report.summary_parts, 1) &&
           report.zone_nodes >= 0 &&
           std::all_of(report.zone_addresses.begin(), report.zone_addresses.end(),
                       is_valid_identifier) &&
           std::all_of(report.uses.begin(), report.uses.end(),
                       [](auto const& use) { return is_valid(use); }) &&
           std::all_of(report.crashes.begin(), report.crashes.end(),
                       [](auto const& crash) { return is_valid(crash); }) &&
           std::all_of(report.answered_parts.begin(), report.answered_parts.end(),
                       [](auto const& answered) { return is_valid(answered); }) &&
           std::all_of(report.tried_parts.begin(), report.tried_parts.end(),
                       [](auto const& tried) { return is_valid(tried); });
}

template <class Message>
std::string encode(Message const& message)
{
    auto const buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

template <class Message>
base::result<Message> decode(std::string_view bytes)
{
    if (bytes.size() > maximum_datagram_bytes)
        return base::fail(base::error_kind::payload_too_large, "datagram is too long");
    try
    {
        std::string copy(bytes);
        auto const configuration = std::make_shared<apache::thrift::TConfiguration>(
            static_cast<int>(maximum_datagram_bytes), static_cast<int>(maximum_datagram_bytes),
            maximum_nesting);
        auto const buffer = std::make_shared<TMemoryBuffer>(
            reinterpret_cast<std::uint8_t*>(copy.data()), static_cast<std::uint32_t>(copy.size()),
            TMemoryBuffer::OBSERVE, configuration);
        TCompactProtocolT<TMemoryBuffer> protocol(buffer, static_cast<int>(maximum_datagram_bytes),
                                                  maximum_list_elements);
        Message message;
        message.read(&protocol);
        if (is_valid(message))
            return message;
    }
    catch (std::exception const&)
    {
        return base::fail(base::error_kind::bad_request, "datagram cannot be decoded");
    }
    return base::fail(base::error_kind::bad_request, "datagram has values out of range");
}

} // namespace

bool is_valid_record(member_record const& record)
{
    return is_valid(record);
}

std::string encode_datagram(gossip_datagram const& message)
{
    return encode(message);
}

base::result<gossip_datagram> decode_datagram(std::string_view bytes)
{
    return decode<gossip_datagram>(bytes);
}

std::string encode_node_report(node_report const& report)
{
    return encode(report);
}

base::result<node_report> decode_node_report(std::string_view bytes)
{
    return decode<node_report>(bytes);
}

std::size_t drop_loads_to_fit(node_report& report, std::size_t free_bytes)
{
    // No load takes more, so that none is removed that would have fitted.
    constexpr std::size_t maximum_load_bytes = 72;
    std::size_t dropped = 0;
    while (!report.uses.empty())
    {
        auto const needed = encode_node_report(report).size() + free_bytes;
        if (needed <= maximum_datagram_bytes)
            break;
        auto const count = std::min(
            report.uses.size(),
            std::max<std::size_t>(1, (needed - maximum_datagram_bytes) / maximum_load_bytes));
        report.uses.resize(report.uses.size() - count);
        dropped += count;
    }
    return dropped;
}

datagram_socket::datagram_socket(std::string const& host, std::uint16_t port)
    : m_socket(Poco::Net::SocketAddress(host, port), false)
{
}

void datagram_socket::send(std::string const& host, int port, gossip_datagram const& message)
{
    send_bytes(host, port, encode_datagram(message));
}

void datagram_socket::send_bytes(std::string const& host, int port, std::string_view bytes)
{
    if (bytes.size() > maximum_datagram_bytes)
    {
        base::log_line(base::log_level::error, "datagram_too_long").field("bytes", bytes.size());
        return;
    }
    try
    {
        m_socket.sendTo(bytes.data(), static_cast<int>(bytes.size()),
                        Poco::Net::SocketAddress(host, static_cast<std::uint16_t>(port)));
    }
    catch (std::exception const& failure)
    {
        base::log_line(base::log_level::debug, "datagram_not_sent").field("reason", failure.what());
    }
}

std::optional<std::string> datagram_socket::receive_bytes(std::chrono::milliseconds timeout)
{
    // With one byte more than the maximum, a datagram that is too long is recognized by its size.
    std::string buffer(maximum_datagram_bytes + 1, '\0');
    // Reads before it polls, since datagrams often wait already. POCO's poll would create and close
    // an epoll descriptor for each datagram.
    auto const descriptor = m_socket.impl()->sockfd();
    auto const read_waiting = [&]
    { return ::recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT); };
    auto length = read_waiting();
    if (length < 0)
    {
        pollfd entry{descriptor, POLLIN, 0};
        if (::poll(&entry, 1, static_cast<int>(timeout.count())) <= 0)
            return std::nullopt;
        length = read_waiting();
    }
    // A previous send to a closed port is reported here as "connection refused".
    if (length < 0)
        return std::nullopt;
    buffer.resize(static_cast<std::size_t>(length));
    return buffer;
}

std::optional<gossip_datagram> datagram_socket::receive(std::chrono::milliseconds timeout)
{
    auto const bytes = receive_bytes(timeout);
    if (!bytes)
        return std::nullopt;
    return base::handle(
        [&]() -> base::result<std::optional<gossip_datagram>>
        {
            BOOST_LEAF_AUTO(message, decode_datagram(*bytes));
            return std::optional(std::move(message));
        },
        [this](base::error const&)
        {
            ++m_malformed_datagrams;
            return std::optional<gossip_datagram>();
        });
}

} // namespace jasminepier::inner_protocol
