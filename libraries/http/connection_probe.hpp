/// Asks whether a process listens at an address.
#pragma once

#include "base/clock.hpp"

#include <string>

namespace jasminepier::http
{

/// Returns true if the host at `address` (IP:PORT) refuses a new connection, since no process
/// listens there. Returns false if one is established, and also if nothing is known within
/// `timeout`: the link may be down instead of the process.
bool refuses_connection(std::string const& address, base::milliseconds timeout);

} // namespace jasminepier::http
