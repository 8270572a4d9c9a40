#include "membership/record.hpp"

namespace jasminepier::membership
{
namespace
{

// Thrift's compact protocol takes one byte for a field's type and number, and one byte for the end
// of a struct.
constexpr std::size_t field_header_bytes = 1;
constexpr std::size_t struct_stop_bytes = 1;
// A list header takes at most one byte for the element type and five for the length.
constexpr std::size_t list_header_bytes = field_header_bytes + 6;

std::size_t maximum_field_size(std::int64_t value) noexcept
{
    auto remaining =
        (static_cast<std::uint64_t>(value) << 1U) ^ static_cast<std::uint64_t>(value >> 63);
    std::size_t bytes = 1;
    while ((remaining >>= 7U) != 0)
        ++bytes;
    return field_header_bytes + bytes;
}

std::size_t maximum_field_size(std::string const& text) noexcept
{
    return field_header_bytes + (text.size() < 128 ? 1 : 3) + text.size();
}

} // namespace

bool supersedes(member_record const& received, member_record const& current) noexcept
{
    if (received.incarnation != current.incarnation)
        return received.incarnation > current.incarnation;
    return received.state > current.state;
}

std::size_t maximum_encoded_size(member_record const& record) noexcept
{
    return maximum_field_size(record.node_id) + maximum_field_size(record.incarnation) +
           maximum_field_size(static_cast<std::int64_t>(record.state)) +
           maximum_field_size(record.zone) + maximum_field_size(record.region) +
           maximum_field_size(record.host) + maximum_field_size(record.gossip_port) +
           maximum_field_size(record.control_port) + maximum_field_size(record.entry_port) +
           maximum_field_size(record.entry_peer_port) +
           maximum_field_size(record.applied_revision) + field_header_bytes + struct_stop_bytes;
}

std::size_t maximum_encoded_size(load_digest const& digest) noexcept
{
    std::size_t bytes =
        maximum_field_size(digest.server_id) + maximum_field_size(digest.instance) +
        maximum_field_size(digest.sequence) + maximum_field_size(digest.state) +
        maximum_field_size(digest.running) + maximum_field_size(digest.waiting) +
        maximum_field_size(digest.kv_used_tokens) + maximum_field_size(digest.kv_capacity_tokens) +
        maximum_field_size(digest.cold_capacity) + maximum_field_size(digest.max_running) +
        maximum_field_size(digest.preemptions) + maximum_field_size(digest.age_milliseconds) +
        maximum_field_size(digest.description) + maximum_field_size(digest.role) +
        list_header_bytes + struct_stop_bytes;
    for (auto const& model : digest.models)
        bytes += maximum_field_size(model);
    return bytes;
}

std::size_t maximum_encoded_size(crash_record const& record) noexcept
{
    return maximum_field_size(record.fingerprint) + maximum_field_size(record.server_id) +
           maximum_field_size(record.instance) + maximum_field_size(record.age_seconds) +
           struct_stop_bytes;
}

std::size_t maximum_header_size(gossip_datagram const& datagram) noexcept
{
    return maximum_field_size(static_cast<std::int64_t>(datagram.kind)) +
           maximum_field_size(datagram.sender) + maximum_field_size(datagram.sequence) +
           maximum_field_size(datagram.target) +
           maximum_field_size(datagram.configuration_revision) +
           maximum_field_size(datagram.sender_incarnation) +
           maximum_field_size(datagram.members_hash) + 3 * list_header_bytes + struct_stop_bytes;
}

} // namespace jasminepier::membership
