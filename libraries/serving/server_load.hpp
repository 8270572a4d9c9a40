/// What nodes tell each other about the servers that they use.
#pragma once

#include "base/hash.hpp"

#include <cstdint>
#include <string_view>

namespace jasminepier::serving
{

/// A server as peers name it: a short hash of its id, to keep the reports small.
using server_hash = std::int32_t;

inline server_hash hash_server(std::string_view id) noexcept
{
    return static_cast<server_hash>(base::stable_hash(id));
}

/// One node's use of one server.
struct server_load
{
    server_hash server = 0;
    std::int32_t running = 0;
    /// Cache tokens that the running requests are expected to take at their end.
    std::int64_t reserved_tokens = 0;
    /// Prompt tokens of requests whose first event has not arrived.
    std::int64_t unread_prompt_tokens = 0;
    /// Requests that ended lately and those among them that the server failed; decayed counts in
    /// hundredths.
    std::int32_t recent_attempts = 0;
    std::int32_t recent_failures = 0;
    /// The node could not reach the server at its last attempt.
    bool unreachable = false;
    /// The server drains or was removed lately, as the node knows it.
    bool leaving = false;
    /// Running generations that are handed over when the server leaves.
    std::int32_t handover_candidates = 0;
};

} // namespace jasminepier::serving
