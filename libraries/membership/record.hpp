/// Precedence and encoded size of gossiped records. The state machines use the Thrift structs
/// directly instead of a second set of message types.
#pragma once

#include "jasminepier_types.h"

#include <cstddef>
#include <string>

namespace jasminepier::membership
{

using inner_protocol::crash_record;
using inner_protocol::datagram_kind;
using inner_protocol::gossip_datagram;
using inner_protocol::load_digest;
using inner_protocol::member_record;
using inner_protocol::member_state;

/// Fits an Ethernet frame with room for tunnel headers.
inline constexpr std::size_t maximum_datagram_bytes = 1200;

/// Returns true if `received` replaces `current`: the higher incarnation wins, then the higher
/// state.
bool supersedes(member_record const& received, member_record const& current) noexcept;

/// Upper bounds of the encoded size of a list element, in bytes.
std::size_t maximum_encoded_size(member_record const& record) noexcept;
std::size_t maximum_encoded_size(load_digest const& digest) noexcept;
std::size_t maximum_encoded_size(crash_record const& record) noexcept;

/// Upper bound of the encoded size of a datagram with empty lists, in bytes.
std::size_t maximum_header_size(gossip_datagram const& datagram) noexcept;

} // namespace jasminepier::membership
