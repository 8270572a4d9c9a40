#include "membership/record.hpp"

namespace jasminepier::membership
{
namespace
{

// A field takes one byte for its type and number, a struct one byte for its end.
constexpr std::size_t field_bytes = 1;
constexpr std::size_t stop_bytes = 1;
// List headers take at most one byte for the type and five for the length.
constexpr std::size_t list_bytes = field_bytes + 6;

std::size_t size_of(std::int64_t value) noexcept
{
    auto rest = (static_cast<std::uint64_t>(value) << 1U) ^ static_cast<std::uint64_t>(value >> 63);
    std::size_t bytes = 1;
    while ((rest >>= 7U) != 0)
        ++bytes;
    return field_bytes + bytes;
}

std::size_t size_of(std::string const& text) noexcept
{
    return field_bytes + (text.size() < 128 ? 1 : 3) + text.size();
}

} // namespace

bool supersedes(member_record const& received, member_record const& held) noexcept
{
    if (received.incarnation != held.incarnation)
        return received.incarnation > held.incarnation;
    return received.state > held.state;
}

std::size_t wire_size(member_record const& record) noexcept
{
    return size_of(record.node_id) + size_of(record.incarnation) +
           size_of(static_cast<std::int64_t>(record.state)) + size_of(record.zone) +
           size_of(record.region) + size_of(record.host) + size_of(record.gossip_port) +
           size_of(record.control_port) + size_of(record.entry_port) +
           size_of(record.entry_peer_port) + size_of(record.applied_revision) + field_bytes +
           stop_bytes;
}

std::size_t wire_size(load_digest const& digest) noexcept
{
    std::size_t bytes =
        size_of(digest.server_id) + size_of(digest.instance) + size_of(digest.sequence) +
        size_of(digest.state) + size_of(digest.running) + size_of(digest.waiting) +
        size_of(digest.kv_used_tokens) + size_of(digest.kv_capacity_tokens) +
        size_of(digest.cold_capacity) + size_of(digest.max_running) + size_of(digest.preemptions) +
        size_of(digest.age_milliseconds) + size_of(digest.role) + list_bytes + stop_bytes;
    for (auto const& model : digest.models)
        bytes += size_of(model);
    return bytes;
}

std::size_t wire_size(crash_record const& record) noexcept
{
    return size_of(record.fingerprint) + size_of(record.server_id) + size_of(record.instance) +
           size_of(record.age_seconds) + stop_bytes;
}

std::size_t header_size(gossip_datagram const& datagram) noexcept
{
    return size_of(static_cast<std::int64_t>(datagram.kind)) + size_of(datagram.sender) +
           size_of(datagram.sequence) + size_of(datagram.target) +
           size_of(datagram.configuration_revision) + size_of(datagram.sender_incarnation) +
           size_of(datagram.members_hash) + 3 * list_bytes + stop_bytes;
}

} // namespace jasminepier::membership
