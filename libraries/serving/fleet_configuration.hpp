/// The active configuration: routes, services, limits and customers.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jasminepier::serving
{

/// Whether a request may be sent to a server again after its work may have started.
enum class request_idempotency
{
    idempotent,
    /// The work runs at most once for each request.
    non_idempotent,
    /// A stream that another server may resume after the last delivered event.
    resumable,
};

struct weighted_service
{
    std::string service;
    int weight = 1;
};

struct route
{
    std::string name;
    std::string host;
    std::string path_prefix;
    bool streaming = false;
    request_idempotency idempotency = request_idempotency::non_idempotent;
    std::vector<weighted_service> services;
    /// Maximum number of servers on which one request may run, including hedges.
    int maximum_attempts = 1;
    bool requires_key = true;
    /// 0 is the most urgent.
    int priority = 0;
    /// Maximum time from the request to the end of the response.
    base::milliseconds timeout{30000};
    /// Expected time to the response, or to the first event of a stream.
    base::milliseconds latency_objective{1000};
    /// Longest gap between events that callers accept as on time; 0 for routes without events.
    base::milliseconds maximum_event_gap{0};
};

/// Capacity and features of a service's engines.
struct engine_capabilities
{
    /// Requests that run concurrently.
    int batch_size = 1;
    /// Capacity of the KV cache.
    std::int64_t cache_tokens = 0;
    /// KV cache memory of one token.
    std::int64_t bytes_per_token = 0;
    /// Bandwidth of an engine's network link, which the copies of generations share.
    double link_megabits_per_second = 0;
    /// Whether a running generation can be handed over to another engine.
    bool can_move_generations = false;
    /// Whether an engine can hold copies of another engine's generations while they run.
    bool can_hold_copies = false;
};

struct service
{
    std::string name;
    std::string health_path;
    /// Connections that one server accepts in total.
    int maximum_connections = 0;
    /// Requests per second that a cold server can handle; 0 if the servers need no warm-up.
    double cold_requests_per_second = 0;
    std::optional<engine_capabilities> engine;
};

struct customer
{
    std::string name;
    std::optional<int> priority;
};

struct caller_limits
{
    std::uint32_t maximum_header_bytes = 16384;
    std::uint64_t maximum_body_bytes = 4 * 1024 * 1024;
    base::milliseconds header_timeout{3000};
    base::milliseconds idle_timeout{15000};
};

/// A validated configuration. Immutable once shared.
class fleet_configuration
{
public:
    std::int64_t version = 0;
    /// The store's revision of the configuration; newer configurations have higher revisions.
    std::int64_t revision = 0;
    caller_limits limits;
    std::map<std::string, service, std::less<>> services;
    std::unordered_map<std::string, customer> customers_by_key;
    /// If false, callers need no API key.
    bool has_customers = false;

    /// Replaces an existing route with the same host and path prefix.
    void add_route(route new_route);
    /// Returns the route of `host` whose path prefix is the longest match for `path`, or null.
    route const* find_route(std::string_view host, std::string_view path) const;
    service const* find_service(std::string_view name) const;
    std::size_t route_count() const noexcept { return m_route_count; }
    /// The longest timeouts of the routes whose streams may be resumed, by service.
    std::map<std::string, base::milliseconds, std::less<>> const&
    resumable_timeouts() const noexcept
    {
        return m_resumable_timeouts;
    }

private:
    /// Routes by host, longest path prefix first.
    std::map<std::string, std::vector<route>, std::less<>> m_routes;
    std::size_t m_route_count = 0;
    std::map<std::string, base::milliseconds, std::less<>> m_resumable_timeouts;
};

} // namespace jasminepier::serving
