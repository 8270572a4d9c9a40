/// Load reports that nodes send each other about their servers.
#pragma once

#include "base/hash.hpp"

#include <cstdint>
#include <string_view>

namespace jasminepier::serving
{

/// Identifies a server in reports by a short hash of its id, which keeps the reports small.
using server_hash = std::int32_t;

inline server_hash hash_server(std::string_view id) noexcept
{
    return static_cast<server_hash>(base::stable_hash(id));
}

/// Load that one node puts on one server, and the node's view of the server.
struct server_load
{
    server_hash server = 0;
    std::int32_t running = 0;
    /// KV cache tokens that the running requests are expected to use when they end.
    std::int64_t reserved_tokens = 0;
    /// Prompt tokens of requests that have not produced their first event.
    std::int64_t unread_prompt_tokens = 0;
    /// Ended requests and, among them, those that the server failed; decayed counts in hundredths.
    std::int32_t recent_attempts = 0;
    std::int32_t recent_failures = 0;
    /// The node's last connection to the server failed and its backoff has not ended.
    bool unreachable = false;
    /// The server drains or was removed recently, as far as the node knows.
    bool leaving = false;
    /// Running generations that will be handed over when the server leaves.
    std::int32_t handover_candidates = 0;
};

} // namespace jasminepier::serving
