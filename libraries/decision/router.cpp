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
        for (std::uint64_t point = 0; point < ring_points; ++point)
            m_ring.emplace_back(base::stable_hash(table.at(index).name, point), index);
    std::sort(m_ring.begin(), m_ring.end());
}

void server_pool::note_prefix(std::uint64_t prefix_hash, std::uint32_t server, bool stored)
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

std::optional<std::uint32_t> server_pool::affinity_server(std::uint64_t prefix_hash) const
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
        auto total = m_table.predict(server, profile, now);
        total += query.added;
        auto const deviations = m_switches.margin == toggle::on ? query.deviations : 0;
        result.occupancy = peak_demand(total, deviations) / capacity;
        // An empty server takes anything: a request larger than the limit runs alone or never.
        bool const empty = server.local_running + server.peer_running == 0;
        if (m_switches.admission == toggle::on && !empty && result.occupancy > query.fill_limit)
            result.reason = exclusion_reason::memory_full;
    }
    else
        result.occupancy =
            static_cast<double>(server.local_running + server.peer_running) / server.full_batch();
    result.score = result.occupancy + distance(server) + (server.cold.cold() ? cold_score : 0) +
                   (server.failed_at ? failure_score : 0);
    return result;
}

std::optional<std::uint32_t> router::choose(server_pool const& pool, demand_profile const& profile,
                                            route_query const& query, base::time_point now,
                                            base::random_source& random,
                                            std::vector<candidate>& seen) const
{
    seen.clear();
    auto const& servers = pool.servers();
    auto const consider = [&](std::uint32_t index)
    {
        bool const known =
            std::any_of(seen.begin(), seen.end(),
                        [&](candidate const& other) { return other.server == index; });
        bool const barred =
            std::find(query.excluded.begin(), query.excluded.end(), index) != query.excluded.end();
        if (known || barred)
            return false;
        seen.push_back(evaluate(index, profile, query, now));
        return seen.back().reason == exclusion_reason::none;
    };
    int usable = 0;
    if (m_switches.prefix_affinity == toggle::on && query.prefix_hash != 0)
        if (auto const affinity = pool.affinity_server(query.prefix_hash))
            if (consider(*affinity))
                seen.back().score -= prefix_score;
    auto const looks = std::min<std::size_t>(
        servers.size(), static_cast<std::size_t>(query.candidates) * samples_per_candidate);
    // A random start with a stride coprime to most pool sizes reads distinct servers.
    auto const start = servers.empty() ? 0 : random() % servers.size();
    auto const stride = servers.size() % 7919 == 0 ? 1 : 7919;
    for (std::size_t look = 0; look < looks && usable < query.candidates; ++look)
        usable += consider(servers[(start + look * stride) % servers.size()]) ? 1 : 0;

    // The random sample keeps nodes with the same report apart; a random choice among nearly equal
    // candidates on top of it measured no better.
    std::optional<std::uint32_t> chosen;
    double best = 0;
    for (auto const& one : seen)
        if (one.reason == exclusion_reason::none && (!chosen || one.score < best))
        {
            chosen = one.server;
            best = one.score;
        }
    return chosen;
}

} // namespace jasminepier::decision
