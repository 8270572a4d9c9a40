/// What a node knows of the other zones of a large fleet.
#include "serving/node_directory.hpp"

#include <algorithm>

namespace jasminepier::serving
{

void node_directory::apply_zone_summary(std::string const& zone, zone_summary summary,
                                        base::time_point now)
{
    if (zone != m_self.zone)
        m_zones[zone] = {std::move(summary), now};
}

std::vector<node_entry> node_directory::pick_relays(base::random_source& random) const
{
    std::map<std::string_view, std::vector<node_entry const*>> nodes_by_zone;
    for (auto const& [name, node] : m_nodes)
        if (!reports_to_this_node(node))
            nodes_by_zone[node.state.entry.zone].push_back(&node.state.entry);
    std::vector<node_entry> recipients;
    for (auto const& [zone, nodes] : nodes_by_zone)
    {
        std::uniform_int_distribution<std::size_t> index(0, nodes.size() - 1);
        recipients.push_back(*nodes[index(random)]);
    }
    return recipients;
}

zone_summary node_directory::summarize_zone(base::random_source& random, base::time_point now) const
{
    zone_summary summary;
    summary.live_nodes = live_node_names(now).size();
    if (m_phase == node_phase::ready)
        summary.caller_addresses.push_back(m_self.caller_address);
    for (auto const& [name, node] : m_nodes)
        if (reports_to_this_node(node) && is_alive(node, now) &&
            node.state.phase == node_phase::ready)
            summary.caller_addresses.push_back(node.state.entry.caller_address);
    std::shuffle(summary.caller_addresses.begin(), summary.caller_addresses.end(), random);
    if (summary.caller_addresses.size() > addresses_per_summary)
        summary.caller_addresses.resize(addresses_per_summary);
    return summary;
}

std::size_t node_directory::fleet_size(base::time_point now) const
{
    auto size = live_node_names(now).size();
    if (!is_large_fleet())
        return size;
    std::map<std::string_view, std::size_t> other_zones;
    for (auto const& [name, node] : m_nodes)
        if (!reports_to_this_node(node))
            ++other_zones[node.state.entry.zone];
    // The list of nodes may be incomplete while the fleet starts.
    for (auto const& [zone, record] : m_zones)
        other_zones[zone] = std::max(other_zones[zone], record.summary.live_nodes);
    for (auto const& [zone, count] : other_zones)
        size += count;
    return size;
}

bool node_directory::hears_majority(base::time_point now) const
{
    auto const is_heard = [&](node_record const& node)
    {
        if (reports_to_this_node(node))
            return is_alive(node, now);
        auto const zone = m_zones.find(node.state.entry.zone);
        return zone != m_zones.end() && now < zone->second.received + report_timeout;
    };
    auto const heard = 1 + std::count_if(m_nodes.begin(), m_nodes.end(),
                                         [&](auto const& item) { return is_heard(item.second); });
    return 2 * static_cast<std::size_t>(heard) > m_nodes.size() + 1;
}

decision::fleet_position node_directory::find_trial_position(std::uint64_t part,
                                                             base::time_point now) const
{
    auto const names = live_node_names(now);
    auto const in_zone = decision::find_trial_position(part, m_self.name, names);
    if (!is_large_fleet())
        return in_zone;
    std::vector<std::string> zones;
    std::size_t largest_zone = names.size();
    for (auto const& [zone, record] : m_zones)
    {
        if (now >= record.received + report_timeout)
            continue;
        zones.push_back(zone);
        largest_zone = std::max(largest_zone, record.summary.live_nodes);
    }
    return decision::combine_positions(decision::find_trial_position(part, m_self.zone, zones),
                                       in_zone, largest_zone);
}

} // namespace jasminepier::serving
