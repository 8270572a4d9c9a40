/// Limits that the relays of plain and of streamed requests share.
#pragma once

#include "base/clock.hpp"

namespace jasminepier::node
{

// A connection within one region stands after a round trip and the server's handshake of 1 ms;
// above this limit the server or the link is in trouble.
constexpr base::milliseconds connect_limit{300};
// Time for a caller to take an answer or an event; one that reads nothing must not hold a worker.
constexpr base::milliseconds caller_send_limit{5000};
// Sends of one request, refusals included; the retry bound limits their sum over all requests.
constexpr int maximum_attempts_per_request = 4;

} // namespace jasminepier::node
