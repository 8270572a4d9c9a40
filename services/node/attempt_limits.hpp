/// Limits that the relays of plain and of streamed requests share.
#pragma once

#include "base/clock.hpp"

namespace jasminepier::node
{

// Within one region, connecting takes a round trip and the server's handshake of 1 ms;
// above this limit the server or the link is in trouble.
constexpr base::milliseconds connect_timeout{300};
// Minimum time to send a response or an event, and maximum time in which the caller takes none of
// it; a caller that reads nothing must not hold a worker.
constexpr base::milliseconds caller_send_timeout{5000};
// Includes attempts that servers declined; the retry budget limits their sum over all requests.
constexpr int maximum_attempts_per_request = 4;

} // namespace jasminepier::node
