/// Reading and writing of gossip datagrams.
#pragma once

#include "base/error.hpp"
#include "jasminepier_types.h"

#include <cstdint>
#include <span>
#include <string>

namespace jasminepier::inner_protocol
{

/// Reads a datagram. Fails with bad_request on anything that is not one. Allocates in proportion to
/// the bytes received: Thrift alone takes the length of a list from the message, and six bytes made
/// it allocate gigabytes.
base::result<gossip_datagram> parse_datagram(std::span<std::uint8_t const> bytes);

/// Returns the bytes to send.
std::string write_datagram(gossip_datagram const& datagram);

} // namespace jasminepier::inner_protocol
