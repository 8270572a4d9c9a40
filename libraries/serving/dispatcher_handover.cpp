#include "base/hash.hpp"
#include "serving/dispatcher.hpp"

namespace jasminepier::serving
{
namespace
{

// Average fraction of a generation's expected tokens that is in the KV cache while it runs: the
// complete prompt and half of the output.
constexpr double average_cached_fraction = 0.85;
// Copies between zones take twice as long, and about a third of the copies cross zones.
constexpr double cross_zone_copy_factor = 1.3;
// The last copy must finish before the engine stops, 1.5 to 2.1 s after its drain notice. If the
// copies take longer than this in total, they start at shorter intervals.
constexpr base::milliseconds maximum_copy_start_delay{1100};

} // namespace

base::milliseconds dispatcher::estimate_copy_duration(std::string const& server,
                                                      std::int64_t tokens) const
{
    auto const found = m_directory.servers().find(server);
    if (found == m_directory.servers().end())
        return base::milliseconds(0);
    auto const* target_service = m_configuration->find_service(found->second.entry.service);
    if (target_service == nullptr || !target_service->engine ||
        target_service->engine->link_megabits_per_second <= 0)
        return base::milliseconds(0);
    constexpr double bits_per_byte = 8;
    constexpr double bits_per_megabit_in_milliseconds = 1000;
    auto const bits = average_cached_fraction * static_cast<double>(tokens) *
                      static_cast<double>(target_service->engine->bytes_per_token) * bits_per_byte;
    return base::milliseconds(static_cast<std::int64_t>(
        cross_zone_copy_factor * bits /
        (target_service->engine->link_megabits_per_second * bits_per_megabit_in_milliseconds)));
}

bool dispatcher::copies_before_this_node(listed_server const& server,
                                         load_source const& source) const
{
    // The server's own zone comes first, since its copies are the shortest. Zones before nodes: a
    // node knows only the summaries of other zones, and all nodes must derive the same order.
    auto const rank_zone = [&](std::string const& zone) {
        return std::pair(zone == server.entry.zone, base::rendezvous_weight(server.entry.id, zone));
    };
    if (source.zone != m_settings.zone)
        return rank_zone(source.zone) > rank_zone(m_settings.zone);
    return base::rendezvous_weight(server.entry.id, source.node) >
           base::rendezvous_weight(server.entry.id, m_settings.node);
}

base::milliseconds dispatcher::copy_start_delay(attempt_id id) const
{
    auto const found = m_attempts.find(id);
    if (found == m_attempts.end())
        return base::milliseconds(0);
    auto const& server = found->second.server;
    auto const listed = m_directory.servers().find(server);
    if (listed == m_directory.servers().end())
        return base::milliseconds(0);
    std::int64_t preceding_tokens = 0;
    std::int64_t total_tokens = 0;
    for (auto const& [source, report] : m_peer_loads.reports())
        for (auto const& load : report.loads)
        {
            if (load.server != listed->second.hash || load.handover_candidates == 0)
                continue;
            total_tokens += load.reserved_tokens;
            if (copies_before_this_node(listed->second, source))
                preceding_tokens += load.reserved_tokens;
        }
    for (auto const& [other_id, attempt] : m_attempts)
    {
        if (attempt.server != server || !attempt.can_hand_over)
            continue;
        auto const tokens = attempt.demand.prompt_tokens + attempt.demand.expected_output_tokens;
        total_tokens += tokens;
        if (other_id < id)
            preceding_tokens += tokens;
    }
    auto const total_duration = estimate_copy_duration(server, total_tokens);
    auto const start_delay = estimate_copy_duration(server, preceding_tokens);
    if (total_duration <= maximum_copy_start_delay)
        return start_delay;
    return base::milliseconds(start_delay.count() * maximum_copy_start_delay.count() /
                              total_duration.count());
}

bool dispatcher::may_start_copy(attempt_id id) const
{
    auto const found = m_attempts.find(id);
    if (found == m_attempts.end())
        return true;
    auto const& server = found->second.server;
    for (auto const& [other_id, attempt] : m_attempts)
        if (attempt.server == server && attempt.can_hand_over && other_id < id)
            return false;
    auto const listed = m_directory.servers().find(server);
    if (listed == m_directory.servers().end())
        return true;
    for (auto const& [source, report] : m_peer_loads.reports())
        for (auto const& load : report.loads)
            if (load.server == listed->second.hash && load.handover_candidates > 0 &&
                copies_before_this_node(listed->second, source))
                return false;
    return true;
}

void dispatcher::set_can_hand_over(attempt_id id, bool can_hand_over)
{
    if (auto const found = m_attempts.find(id); found != m_attempts.end())
        found->second.can_hand_over = can_hand_over;
}

bool dispatcher::is_leaving(std::string const& server) const
{
    auto const found = m_directory.servers().find(server);
    return found == m_directory.servers().end() || !is_usable(found->second.phase) ||
           m_rollouts.retires(found->second.entry.service, found->second.entry.version);
}

void dispatcher::notify_leaving()
{
    for (auto const& [attempt_key, attempt] : m_attempts)
        if (attempt.on_leaving && is_leaving(attempt.server))
            attempt.on_leaving();
}

} // namespace jasminepier::serving
