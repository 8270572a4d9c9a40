/// What operators have put in force: routes, services, limits and customers.
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

/// How often the work of one request may run.
enum class request_idempotency
{
    /// The work is idempotent.
    idempotent,
    /// The work runs at most once for each request.
    non_idempotent,
    /// A stream that another server may continue from the last event delivered.
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
    /// Most servers on which one request may run.
    int maximum_attempts = 1;
    bool requires_key = true;
    /// 0 is the most urgent.
    int priority = 0;
    /// Longest time that a caller is kept waiting for the end of the answer.
    base::milliseconds timeout{30000};
    /// Time to the answer, or to the first event, that callers expect.
    base::milliseconds latency_objective{1000};
    /// Longest pause between events that callers accept as on time; 0 for routes without events.
    base::milliseconds maximum_event_gap{0};
};

/// What the model engines of a service can do.
struct engine_capabilities
{
    /// Requests that run at once.
    int batch_size = 1;
    std::int64_t cache_tokens = 0;
    /// Memory of one token, and the speed of an engine's link for copies of runs.
    std::int64_t bytes_per_token = 0;
    double link_megabits_per_second = 0;
    /// Whether a running generation can be copied to another engine.
    bool can_move_generations = false;
    /// Whether an engine can keep another one's generations as copies while they grow.
    bool can_hold_backups = false;
};

struct service
{
    std::string name;
    std::string health_path;
    /// Connections that one server accepts from all callers together.
    int maximum_connections = 0;
    /// Requests per second that a cold server carries; 0 when its servers are never cold.
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

/// One accepted configuration. Immutable once it is shared.
class fleet_configuration
{
public:
    std::int64_t version = 0;
    /// The store's revision of the configuration; later ones are higher.
    std::int64_t revision = 0;
    caller_limits limits;
    std::map<std::string, service, std::less<>> services;
    /// Empty when the configuration names no customers; then no key is asked for.
    std::unordered_map<std::string, customer> customers_by_key;
    bool has_customers = false;

    /// Adds a route. A later route of the same host and prefix replaces the earlier one.
    void add_route(route added);
    /// Returns the route of `host` with the longest prefix of `path`, or null.
    route const* find_route(std::string_view host, std::string_view path) const;
    service const* find_service(std::string_view name) const;
    std::size_t route_count() const noexcept { return m_route_count; }

private:
    /// Routes of each host, the longest prefix first.
    std::map<std::string, std::vector<route>, std::less<>> m_routes;
    std::size_t m_route_count = 0;
};

} // namespace jasminepier::serving
