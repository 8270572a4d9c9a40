#include "serving/dispatcher.hpp"

#include <algorithm>

namespace jasminepier::serving
{
namespace
{

// After a rejection a full server gets nothing for this time, in which its queue of 24 requests of
// 30 ms gets a third shorter. It must end within the wait of plain requests, half of their latency
// objectives of 100 to 150 ms.
constexpr base::milliseconds full_period{40};

} // namespace

std::string_view dispatcher::service_of(std::string const& server) const
{
    auto const found = m_directory.servers().find(server);
    return found == m_directory.servers().end() ? std::string_view{}
                                                : std::string_view(found->second.entry.service);
}

void dispatcher::record_full(std::string const& server, base::time_point now)
{
    m_server_health[server].full_until = now + full_period;
}

std::int64_t dispatcher::count_places(listed_server const& server, service const& target_service,
                                      std::int64_t tokens_each, base::time_point now) const
{
    // Room for a request of most of a cache appears only when an engine is idle, and holding back
    // the others doesn't bring that about.
    if (target_service.engine)
        tokens_each = std::min(tokens_each, target_service.engine->cache_tokens / 2);
    selection_query const any_request{.service = target_service.name,
                                      .demand = {tokens_each, 0, 0},
                                      .excluded_servers = {},
                                      .purpose = selection_purpose::new_work,
                                      .preferred_zone = {}};
    auto const load = combine_loads(server, now);
    if (find_exclusion_reason(server, target_service, load, any_request, now) !=
        exclusion_reason::none)
        return 0;
    // Such a server takes one request after another; how many is not known before they are sent.
    bool const starts_are_limited =
        m_rate_limits.find_limit(server.hash).has_value() ||
        (now < server.cold_until && target_service.cold_requests_per_second > 0);
    if (starts_are_limited)
        return 1;
    if (!target_service.engine)
        return server.entry.slots * maximum_plain_requests_per_slot - load.total.running;
    auto const free_runs = std::max(target_service.engine->batch_size, 1) - load.total.running;
    auto const usable_tokens = static_cast<std::int64_t>(
        usable_cache_fraction * static_cast<double>(target_service.engine->cache_tokens));
    auto const free_tokens = usable_tokens - load.total.reserved_tokens;
    return std::clamp<std::int64_t>(free_tokens / std::max<std::int64_t>(tokens_each, 1), 1,
                                    free_runs);
}

bool dispatcher::may_take_room(std::string_view service, admission_request const& request,
                               std::optional<waiting_ticket> own, base::time_point now) const
{
    auto const better = m_waiting.better_than(service, request, own, now);
    auto const* const target_service = m_configuration->find_service(service);
    if (better.requests == 0 || target_service == nullptr)
        return true;
    auto const mean_tokens = better.tokens / better.requests;
    std::int64_t places = 0;
    for (auto const& [id, server] : m_directory.servers())
    {
        if (server.entry.service != service)
            continue;
        places += count_places(server, *target_service, mean_tokens, now);
        if (leaves_room(places, request.tokens, better))
            return true;
    }
    return false;
}

std::optional<base::milliseconds> dispatcher::expected_wait(std::string_view service,
                                                            admission_request const& request,
                                                            std::optional<waiting_ticket> own,
                                                            base::time_point now) const
{
    std::int64_t running = 0;
    for (auto const& [id, server] : m_directory.servers())
    {
        if (server.entry.service != service || !is_usable(server.phase))
            continue;
        // A server that has rejected a request is asked again in a moment.
        auto const health = m_server_health.find(id);
        if (health != m_server_health.end() && now < health->second.full_until)
            return std::nullopt;
        running += combine_loads(server, now).total.running;
    }
    return estimate_wait(m_waiting.better_than(service, request, own, now).requests, running,
                         m_waiting.mean_duration(service));
}

} // namespace jasminepier::serving
