/// Load reports that nodes send each other about their servers.
#pragma once

#include "base/clock.hpp"
#include "base/hash.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace jasminepier::serving
{

/// Identifies a server in reports by a short hash of its id, which keeps the reports small.
using server_hash = std::int32_t;

inline server_hash hash_server(std::string_view id) noexcept
{
    return static_cast<server_hash>(base::stable_hash(id));
}

/// What a node knows about the departure of a server. A server may start again under its id, so the
/// notice tells which of its entries it concerns.
struct leaving_notice
{
    /// The store's revision of the change that shows the departure. If the server announced it
    /// itself, the revision of the entry that the node had.
    std::int64_t revision = 0;
    /// Start time of the server process that leaves; 0 if it is unknown. Peers state it only with
    /// `announced`.
    std::int64_t started_unix_milliseconds = 0;
    /// The server said so itself, which holds until it starts anew whatever its entry states.
    bool announced = false;

    friend bool operator==(leaving_notice const&, leaving_notice const&) = default;
};

/// What a response said about the rate of requests that its server accepts.
struct rate_limit_report
{
    /// Requests per second from all nodes together; empty if the server accepts any rate.
    std::optional<double> requests_per_second;
    /// Time since the response arrived at the node that reports it.
    base::milliseconds age{0};
};

/// What a response said about the pace of its server.
struct pace_report
{
    /// Time that work takes on the server's VM, in percent of the usual time.
    int percent = 0;
    /// Time since the response arrived at the node that reports it.
    base::milliseconds age{0};
};

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
    /// Set if the node has learned recently that the server drains or was removed.
    std::optional<leaving_notice> leaving;
    /// Running generations that will be handed over when the server leaves.
    std::int32_t handover_candidates = 0;
    /// Set if no other node is known to have heard of the server's limit later.
    std::optional<rate_limit_report> rate_limit;
    /// Set if no other node is known to have heard of the server's pace later.
    std::optional<pace_report> pace;
    /// Running streams that last long and whose callers accept only a bounded gap between events.
    std::int32_t gap_bounded_streams = 0;
};

} // namespace jasminepier::serving
