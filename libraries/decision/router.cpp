#include "decision/router.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace jasminepier::decision
{

void server_pool::assign(std::vector<std::uint32_t> servers, server_table const& table)
{
    if (servers == m_servers)
        return;
    m_servers = std::move(servers);
    m_ring.clear();
    for (auto const index : m_servers)
        for (std::uint64_t point = 0; point < ring_points_per_server; ++point)
            m_ring.emplace_back(base::stable_hash(table.at(index).name, point), index);
    std::sort(m_ring.begin(), m_ring.end());
}

void server_pool::record_prefix(std::uint64_t prefix_hash, std::uint32_t server, bool stored)
{
    auto const found = m_hints.find(prefix_hash);
    if (stored)
    {
        if (found == m_hints.end() && m_hints.size() >= maximum_hints)
            m_hints.erase(m_hints.begin());
        m_hints[prefix_hash] = server;
    }
    else if (found != m_hints.end() && found->second == server)
        m_hints.erase(found);
}

std::optional<std::uint32_t> server_pool::find_affinity_server(std::uint64_t prefix_hash) const
{
    auto const hint = m_hints.find(prefix_hash);
    if (hint != m_hints.end())
        return hint->second;
    if (m_ring.empty())
        return std::nullopt;
    auto const point = std::lower_bound(m_ring.begin(), m_ring.end(),
                                        std::pair{base::mix64(prefix_hash), std::uint32_t{0}});
    return point == m_ring.end() ? m_ring.front().second : point->second;
}

double router::distance(server_state const& server) const
{
    if (m_switches.zone_distance == toggle::off || server.zone == m_zone)
        return 0;
    return server.region == m_region ? other_zone_score : other_region_score;
}

candidate router::evaluate(std::uint32_t index, demand_profile const& profile,
                           route_query const& query, base::time_point now) const
{
    auto const& server = m_table.at(index);
    candidate result{index};
    result.reason = m_table.find_exclusion_reason(server, query.model, now);
    if (result.reason != exclusion_reason::none)
        return result;
    auto const capacity = static_cast<double>(server.load.kv_capacity_tokens);
    if (capacity > 0)
    {
        auto total = m_table.predict_total_demand(server, profile, now);
        total += query.request_demand;
        auto const margin_deviations =
            m_switches.margin == toggle::on ? query.margin_deviations : 0;
        result.occupancy = peak_demand(total, margin_deviations) / capacity;
        // An idle server accepts any request. Otherwise a request above the limit would never run.
        bool const empty = server.local_running + server.peer_running == 0;
        if (m_switches.admission == toggle::on && !empty && result.occupancy > query.fill_limit)
            result.reason = exclusion_reason::memory_full;
    }
    else
        result.occupancy =
            static_cast<double>(server.local_running + server.peer_running) / server.batch_slots();
    result.score = result.occupancy + distance(server) + (server.cold.is_cold() ? cold_score : 0) +
                   (server.failed_at ? failure_score : 0);
    return result;
}

std::optional<std::uint32_t> router::select(server_pool const& pool, demand_profile const& profile,
                                            route_query const& query, base::time_point now,
                                            base::random_source& random,
                                            std::vector<candidate>& compared) const
{
    compared.clear();
    auto const& servers = pool.servers();
    auto const consider = [&](std::uint32_t index)
    {
        bool const already_compared =
            std::any_of(compared.begin(), compared.end(),
                        [&](candidate const& other) { return other.server == index; });
        bool const is_excluded =
            std::find(query.excluded.begin(), query.excluded.end(), index) != query.excluded.end();
        if (already_compared || is_excluded)
            return false;
        compared.push_back(evaluate(index, profile, query, now));
        return compared.back().reason == exclusion_reason::none;
    };
    int usable = 0;
    if (m_switches.prefix_affinity == toggle::on && query.prefix_hash != 0)
        if (auto const affinity = pool.find_affinity_server(query.prefix_hash))
            if (consider(*affinity))
                compared.back().score -= prefix_score;
    auto const maximum_samples = std::min<std::size_t>(
        servers.size(), static_cast<std::size_t>(query.maximum_candidates) * samples_per_candidate);
    // A random start and a stride that is coprime to the pool size sample distinct servers.
    auto const start = servers.empty() ? 0 : random() % servers.size();
    auto const stride = servers.size() % 7919 == 0 ? 1 : 7919;
    for (std::size_t sample = 0; sample < maximum_samples && usable < query.maximum_candidates;
         ++sample)
        usable += consider(servers[(start + sample * stride) % servers.size()]) ? 1 : 0;

    // Random sampling already keeps nodes that have the same report from choosing the same server.
    // An additional random choice among nearly equal candidates brought no improvement.
    std::optional<std::uint32_t> selected;
    double best = 0;
    for (auto const& option : compared)
        if (option.reason == exclusion_reason::none && (!selected || option.score < best))
        {
            selected = option.server;
            best = option.score;
        }
    return selected;
}

} // namespace jasminepier::decision
