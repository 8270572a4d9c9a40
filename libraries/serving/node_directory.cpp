#include "serving/node_directory.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace jasminepier::serving
{
namespace
{

// The interval grows with the peers, so a node sends about 40 datagrams a second in a full mesh.
constexpr base::milliseconds report_interval_per_peer{25};
constexpr base::milliseconds minimum_report_interval{100};

// Limits the reports that load changes trigger to about 650 datagrams a second per node.
constexpr std::chrono::microseconds report_gap_per_peer{1500};

// Some watch in the fleet ends every 0.5 s, which leaves time to distribute its result within the
// 2 s in which a configuration must be applied everywhere.
constexpr base::milliseconds watch_timeout_per_node{500};
constexpr base::milliseconds minimum_watch_timeout{2000};
constexpr base::milliseconds maximum_watch_timeout{25000};

} // namespace

void node_directory::apply_listed(std::vector<node_entry> const& entries, base::time_point now)
{
    for (auto& [name, node] : m_nodes)
        node.listed = false;
    for (auto const& entry : entries)
        add_listed(entry, now);
}

void node_directory::add_listed(node_entry const& entry, base::time_point now)
{
    if (entry.name == m_self.name)
        return;
    auto& node = m_nodes[entry.name];
    node.state.entry = entry;
    node.listed = true;
    if (node.listed_since == base::time_point{})
        node.listed_since = now;
}

void node_directory::remove_listed(std::string const& name)
{
    if (auto const found = m_nodes.find(name); found != m_nodes.end())
        found->second.listed = false;
}

bool node_directory::apply_report(node_state_report const& report, base::time_point now)
{
    if (report.entry.name == m_self.name)
        return false;
    auto& node = m_nodes[report.entry.name];
    // Late datagrams of an earlier process only arrive while the node still counts as alive. After
    // that, a lower start time means that the VM's wall clock was set back.
    if ((report.started < node.state.started && is_alive(node, now)) ||
        (report.started == node.state.started && report.sequence <= node.state.sequence))
        return false;
    node.state = report;
    node.last_report = now;
    node.has_reported = true;
    return true;
}

std::vector<node_entry> node_directory::peers() const
{
    std::vector<node_entry> peers;
    for (auto const& [name, node] : m_nodes)
        peers.push_back(node.state.entry);
    return peers;
}

bool node_directory::is_alive(node_record const& node, base::time_point now) const noexcept
{
    auto const timeout =
        report_interval() < base::milliseconds(300) ? short_report_timeout : report_timeout;
    return node.has_reported && now < node.last_report + timeout;
}

std::vector<std::string> node_directory::live_node_names(base::time_point now) const
{
    std::vector<std::string> names{m_self.name};
    for (auto const& [name, node] : m_nodes)
        if (is_alive(node, now))
            names.push_back(name);
    std::sort(names.begin(), names.end());
    return names;
}

std::vector<std::string> node_directory::caller_addresses(std::size_t limit,
                                                          base::time_point now) const
{
    std::vector<std::string> addresses;
    if (m_phase == node_phase::ready)
        addresses.push_back(m_self.caller_address);
    for (auto const& [name, node] : m_nodes)
        if (is_alive(node, now) && node.state.phase == node_phase::ready)
            addresses.push_back(node.state.entry.caller_address);
    if (addresses.size() > limit)
    {
        // Each node omits different nodes, so that callers are spread evenly.
        auto const offset =
            static_cast<std::ptrdiff_t>(std::hash<std::string>{}(m_self.name) % addresses.size());
        std::rotate(addresses.begin(), addresses.begin() + offset, addresses.end());
        addresses.resize(limit);
    }
    return addresses;
}

template <class Predicate>
std::vector<node_entry> node_directory::find_live_nodes(base::time_point now,
                                                        Predicate&& accept) const
{
    std::vector<node_entry> found;
    for (auto const& [name, node] : m_nodes)
        if (is_alive(node, now) && accept(node.state))
            found.push_back(node.state.entry);
    return found;
}

std::vector<node_entry> node_directory::peers_reaching_store(base::time_point now) const
{
    return find_live_nodes(now, [](node_state_report const& state) { return state.store_reached; });
}

std::vector<node_entry> node_directory::peers_with_newer_objects(std::int64_t revision,
                                                                 base::time_point now) const
{
    return find_live_nodes(now, [&](node_state_report const& state)
                           { return state.store_revision > revision; });
}

std::vector<node_entry> node_directory::peers_with_newer_configuration(std::int64_t revision,
                                                                       base::time_point now) const
{
    return find_live_nodes(now, [&](node_state_report const& state)
                           { return state.configuration_revision > revision; });
}

base::milliseconds node_directory::watch_timeout(base::random_source& random) const
{
    auto const upper_limit =
        std::clamp(watch_timeout_per_node * static_cast<int>(m_nodes.size() + 1),
                   minimum_watch_timeout, maximum_watch_timeout);
    // The watches of all nodes return together after a change. Without the random spread, they
    // would also time out together.
    std::uniform_int_distribution<std::int64_t> distribution(upper_limit.count() / 2,
                                                             upper_limit.count());
    return base::milliseconds(distribution(random));
}

std::optional<node_entry>
node_directory::follower_with_different_servers(std::string_view kind, std::uint64_t digest,
                                                base::time_point now) const
{
    node_record const* follower = nullptr;
    std::uint64_t highest_weight = 0;
    for (auto const& [name, node] : m_nodes)
    {
        auto const weight = base::rendezvous_weight(kind, name);
        if (is_alive(node, now) && node.state.store_reached &&
            node.state.phase == node_phase::ready &&
            (follower == nullptr || weight > highest_weight))
        {
            follower = &node;
            highest_weight = weight;
        }
    }
    if (follower == nullptr || follower->state.server_digest == digest)
        return std::nullopt;
    return follower->state.entry;
}

bool node_directory::follows_store(std::string_view kind, bool store_reached,
                                   base::time_point now) const
{
    if (!relays_store_changes())
        return true;
    auto const local_weight = base::rendezvous_weight(kind, m_self.name);
    std::size_t nodes_ahead = 0;
    for (auto const& [name, node] : m_nodes)
        nodes_ahead += is_alive(node, now) && node.state.store_reached &&
                       node.state.phase == node_phase::ready &&
                       base::rendezvous_weight(kind, name) > local_weight;
    // Peers don't count a node that cannot reach the store, so another node follows instead of it.
    return store_reached && nodes_ahead < store_followers;
}

base::milliseconds node_directory::minimum_report_gap() const noexcept
{
    return std::chrono::duration_cast<base::milliseconds>(report_gap_per_peer *
                                                          static_cast<int>(m_nodes.size()));
}

base::milliseconds node_directory::report_interval() const noexcept
{
    return std::clamp(report_interval_per_peer * static_cast<int>(m_nodes.size()),
                      minimum_report_interval, maximum_report_interval);
}

std::vector<std::string> node_directory::expire(base::time_point now)
{
    std::vector<std::string> silent_nodes;
    for (auto it = m_nodes.begin(); it != m_nodes.end();)
    {
        bool const removable = !it->second.listed && !is_alive(it->second, now);
        if (!is_alive(it->second, now))
            silent_nodes.push_back(it->first);
        it = removable ? m_nodes.erase(it) : std::next(it);
    }
    return silent_nodes;
}

std::vector<std::string> node_directory::nodes_past_removal_timeout(base::time_point now) const
{
    std::vector<std::string> names;
    for (auto const& [name, node] : m_nodes)
        if (node.listed && now > std::max(node.last_report, node.listed_since) + removal_timeout)
            names.push_back(name);
    return names;
}

} // namespace jasminepier::serving
