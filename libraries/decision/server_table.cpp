#include "decision/server_table.hpp"

#include <algorithm>

namespace jasminepier::decision
{

std::string_view to_string(exclusion_reason value) noexcept
{
    constexpr std::array<std::string_view, 8> names{"fits",        "zone_out",    "leaving",
                                                    "unreachable", "other_model", "cold_full",
                                                    "batch_full",  "memory_full"};
    return names[static_cast<std::size_t>(value)];
}

server_state& server_table::find_or_add(std::string const& name)
{
    auto const [found, added] = m_index.try_emplace(name, size());
    if (added)
    {
        m_servers.emplace_back();
        m_servers.back().name = name;
        m_servers.back().cold.mark_cold(0);
    }
    return m_servers[found->second];
}

void server_table::apply_configuration(configuration::snapshot const& snapshot,
                                       base::time_point now)
{
    std::vector<std::string> nodes;
    for (auto const& [name, node] : snapshot.nodes)
        nodes.push_back(name);
    bool const nodes_changed = nodes != m_nodes;
    if (nodes_changed)
    {
        m_nodes = std::move(nodes);
        m_nodes_changed_at = now;
    }
    for (auto& server : m_servers)
        server.listed = false;
    for (auto const& [name, object] : snapshot.servers)
    {
        auto const already_known = m_index.contains(name);
        auto& server = find_or_add(name);
        bool const in_service = snapshot.zone_in_service(object.zone);
        server.zone_in_service = in_service;
        server.listed = true;
        server.leaving = object.leaving;
        server.service = object.service;
        server.zone = object.zone;
        auto const zone = snapshot.zones.find(object.zone);
        server.region = zone == snapshot.zones.end() ? "" : zone->second.region;
        if (server.cold.is_cold() && (nodes_changed || !already_known))
            assign_slots(server, now);
    }
}

void server_table::assign_slots(server_state& server, base::time_point now) const
{
    auto const slots =
        count_local_slots(server.name, m_nodes, m_local_node, server.cold.slot_limit());
    server.cold.assign_slots(slots, m_nodes_changed_at, now);
}

std::optional<std::uint32_t> server_table::find(std::string_view name) const
{
    auto const found = m_index.find(std::string(name));
    if (found == m_index.end())
        return std::nullopt;
    return found->second;
}

void server_table::mark_cold(std::uint32_t index, base::time_point now)
{
    auto& server = m_servers[index];
    server.cold.mark_cold(server.load.cold_capacity);
    assign_slots(server, now);
}

void server_table::apply_cold_state(server_state& server, reported_load const& load,
                                    base::time_point now)
{
    // Trust the first report of a server unless it says cold. Otherwise a restarted entry process
    // would leave the fleet unused for minutes. Slow token times correct a wrong report.
    bool const first = !server.reported;
    bool const replaced = !first && load.instance != server.load.instance;
    bool const reported_cold = load.state == reported_state::cold;
    if (replaced || (reported_cold && !server.cold.is_cold()))
    {
        server.cold.mark_cold(load.cold_capacity);
        assign_slots(server, now);
    }
    if (reported_cold)
    {
        server.cold.record_cold_report();
        return;
    }
    if (first && !reported_cold)
        server.cold.mark_warm();
    else if (load.state == reported_state::warm &&
             server.cold.record_warm_report(server.batch_slots()))
        assign_slots(server, now);
}

std::optional<std::uint32_t> server_table::apply_report(std::string_view name, reported_load load,
                                                        base::time_point measured_at,
                                                        base::time_point now)
{
    auto const index = find(name);
    if (!index)
        return std::nullopt;
    auto& server = m_servers[*index];
    if (server.reported && measured_at < server.measured_at)
        return std::nullopt;
    // An observer that can't reach the server knows neither its instance nor its load.
    if (load.state == reported_state::unreachable)
    {
        server.load.state = reported_state::unreachable;
        return std::nullopt;
    }
    if (server.lost_at && measured_at > *server.lost_at)
        server.lost_at.reset();
    if (server.failed_at && measured_at > *server.failed_at)
        server.failed_at.reset();
    apply_cold_state(server, load, now);
    server.load = std::move(load);
    server.measured_at = measured_at;
    server.reported = true;
    return index;
}

exclusion_reason server_table::find_exclusion_reason(server_state const& server,
                                                     std::string const& model,
                                                     base::time_point now) const
{
    if (!server.listed || server.leaving || server.load.state == reported_state::leaving)
        return exclusion_reason::leaving;
    if (!server.zone_in_service)
        return exclusion_reason::zone_out;
    if (server.lost_at || server.load.state == reported_state::unreachable)
        return exclusion_reason::unreachable;
    auto const& models = server.load.models;
    if (!models.empty() && !model.empty() &&
        std::find(models.begin(), models.end(), model) == models.end())
        return exclusion_reason::other_model;
    if (m_switches.cold_slots == toggle::on && server.cold.is_cold())
    {
        bool const local_slots_full = server.local_running >= server.cold.usable_slots(now);
        bool const server_slots_full =
            server.load.running + server.load.waiting + server.local_unreported >=
            server.cold.slot_limit();
        if (local_slots_full || server_slots_full)
            return exclusion_reason::cold_full;
    }
    if (m_switches.admission == toggle::on &&
        server.local_running + server.peer_running >= server.batch_slots())
        return exclusion_reason::batch_full;
    return exclusion_reason::none;
}

namespace
{

/// Adds the estimated dispatches of other nodes since the report: their usual rate, or this node's
/// own dispatches scaled to the other nodes if that is more, because all nodes see the same free
/// capacity in the same report.
void add_peer_dispatches(demand& total, server_state const& server, demand_profile const& profile,
                         double age)
{
    for (std::size_t i = 0; i < horizons.size(); ++i)
    {
        total.mean[i] += std::max(age * profile.peer_rate.mean[i],
                                  profile.peer_ratio * server.local_unreported_demand.mean[i]);
        total.variance[i] +=
            std::max(age * profile.peer_rate.variance[i],
                     profile.peer_ratio * server.local_unreported_demand.variance[i]);
    }
}

/// Interpolates linearly between the values at the horizons; `ahead` is in tokens.
double interpolate(std::array<double, horizons.size()> const& values, double ahead)
{
    std::size_t i = 1;
    while (i + 1 < horizons.size() && horizons[i] < ahead)
        ++i;
    double const fraction = (ahead - horizons[i - 1]) / (horizons[i] - horizons[i - 1]);
    return std::max(0.0, values[i - 1] + std::min(fraction, 1.0) * (values[i] - values[i - 1]));
}

} // namespace

demand server_table::predict_total_demand(server_state const& server, demand_profile const& profile,
                                          base::time_point now) const
{
    demand total = server.local_demand;
    double const age = std::chrono::duration<double>(now - server.measured_at).count();
    // Estimated tokens that each generation of other nodes has produced since the report.
    double const tokens_advanced =
        server.mean_token_interval > 0
            ? std::clamp(age, 0.0, 5.0) * 1000 / server.mean_token_interval
            : 0;
    for (std::size_t i = 0; i < horizons.size(); ++i)
    {
        total.mean[i] +=
            server.peer_kv_tokens * interpolate(profile.ratio, horizons[i] + tokens_advanced);
        total.variance[i] += server.peer_running * profile.variance[i];
    }
    // The age is capped because an old report doesn't allow an extrapolation. Health checks exclude
    // the server or its zone in that case.
    if (m_switches.peer_dispatches == toggle::on && server.reported)
        add_peer_dispatches(total, server, profile, std::clamp(age, 0.0, 5.0));
    if (m_switches.growth == toggle::off)
        for (std::size_t i = 1; i < horizons.size(); ++i)
            total.mean[i] = total.variance[i] = 0;
    return total;
}

} // namespace jasminepier::decision
