/// Reservation of loopback ports, so that test programs of several checkouts can run at the same
/// time.
#pragma once

#include <cstdint>

namespace jasminepier::tests
{

/// Ports are reserved in blocks of this size.
inline constexpr int port_block_size = 100;

/// Reserves `count` consecutive ports until the program ends, and returns the first one. Skips
/// blocks with a port on which another program listens. Throws std::runtime_error if there are not
/// enough free blocks.
std::uint16_t reserve_ports(int count = port_block_size);

} // namespace jasminepier::tests
