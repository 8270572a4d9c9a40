#include "serving/node_directory.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace jasminepier::serving
{
namespace
{

// A datagram to each peer every 25 ms keeps a node's reports at 40 a second in a full mesh.
constexpr base::milliseconds interval_per_peer{25};
constexpr base::milliseconds fastest_report_interval{100};

// Bounds the reports that changes of load cause to about 650 datagrams a second for each node.
constexpr std::chrono::microseconds gap_per_peer{1500};

// Some watch of the fleet ends every 0.5 s, which leaves time to spread what it brings within the
// 2 s in which configurations are in force.
constexpr base::milliseconds watch_wait_per_node{500};
constexpr base::milliseconds shortest_watch_wait{2000};
constexpr base::milliseconds longest_watch_wait{25000};

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
    // Late datagrams of an earlier process come soon after it. Beyond that a lower start time means
    // that the wall clock of the VM was set back.
    if ((report.started < node.state.started && alive(node, now)) ||
        (report.started == node.state.started && report.sequence <= node.state.sequence))
        return false;
    node.state = report;
    node.heard = now;
    node.ever_heard = true;
    return true;
}

std::vector<node_entry> node_directory::peers() const
{
    std::vector<node_entry> peers;
    for (auto const& [name, node] : m_nodes)
        peers.push_back(node.state.entry);
    return peers;
}

bool node_directory::alive(known_node const& node, base::time_point now) const noexcept
{
    auto const limit =
        report_interval() < base::milliseconds(300) ? short_report_timeout : report_timeout;
    return node.ever_heard && now < node.heard + limit;
}

std::vector<std::string> node_directory::live_node_names(base::time_point now) const
{
    std::vector<std::string> names{m_self.name};
    for (auto const& [name, node] : m_nodes)
        if (alive(node, now))
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
        if (alive(node, now) && node.state.phase == node_phase::ready)
            addresses.push_back(node.state.entry.caller_address);
    if (addresses.size() > limit)
    {
        // Each node leaves out others, so that every node is named by about as many.
        auto const turn =
            static_cast<std::ptrdiff_t>(std::hash<std::string>{}(m_self.name) % addresses.size());
        std::rotate(addresses.begin(), addresses.begin() + turn, addresses.end());
        addresses.resize(limit);
    }
    return addresses;
}

template <class Predicate>
std::vector<node_entry> node_directory::living_nodes(base::time_point now, Predicate&& accept) const
{
    std::vector<node_entry> found;
    for (auto const& [name, node] : m_nodes)
        if (alive(node, now) && accept(node.state))
            found.push_back(node.state.entry);
    return found;
}

std::vector<node_entry> node_directory::peers_reaching_store(base::time_point now) const
{
    return living_nodes(now, [](node_state_report const& state) { return state.store_reached; });
}

std::vector<node_entry> node_directory::peers_with_newer_objects(std::int64_t revision,
                                                                 base::time_point now) const
{
    return living_nodes(now, [&](node_state_report const& state)
                        { return state.store_revision > revision; });
}

std::vector<node_entry> node_directory::peers_with_newer_configuration(std::int64_t revision,
                                                                       base::time_point now) const
{
    return living_nodes(now, [&](node_state_report const& state)
                        { return state.configuration_revision > revision; });
}

base::milliseconds node_directory::watch_timeout(base::random_source& random) const
{
    auto const longest = std::clamp(watch_wait_per_node * static_cast<int>(m_nodes.size() + 1),
                                    shortest_watch_wait, longest_watch_wait);
    // Watches of all nodes return together when something changes, and would end together again.
    std::uniform_int_distribution<std::int64_t> spread(longest.count() / 2, longest.count());
    return base::milliseconds(spread(random));
}

std::optional<node_entry>
node_directory::follower_with_different_servers(std::string_view subject, std::uint64_t digest,
                                                base::time_point now) const
{
    known_node const* first = nullptr;
    std::uint64_t highest = 0;
    for (auto const& [name, node] : m_nodes)
    {
        auto const weight = base::rendezvous_weight(subject, name);
        if (alive(node, now) && node.state.store_reached && node.state.phase == node_phase::ready &&
            (first == nullptr || weight > highest))
        {
            first = &node;
            highest = weight;
        }
    }
    if (first == nullptr || first->state.server_digest == digest)
        return std::nullopt;
    return first->state.entry;
}

bool node_directory::follows_store(std::string_view subject, bool store_reached,
                                   base::time_point now) const
{
    if (!relays_store())
        return true;
    auto const own = base::rendezvous_weight(subject, m_self.name);
    std::size_t ahead = 0;
    for (auto const& [name, node] : m_nodes)
        ahead += alive(node, now) && node.state.store_reached &&
                 node.state.phase == node_phase::ready &&
                 base::rendezvous_weight(subject, name) > own;
    // A node that cannot reach the store does not hold the place of one that can.
    return store_reached && ahead < store_followers;
}

base::milliseconds node_directory::minimum_report_gap() const noexcept
{
    return std::chrono::duration_cast<base::milliseconds>(gap_per_peer *
                                                          static_cast<int>(m_nodes.size()));
}

base::milliseconds node_directory::report_interval() const noexcept
{
    return std::clamp(interval_per_peer * static_cast<int>(m_nodes.size()), fastest_report_interval,
                      maximum_report_interval);
}

std::vector<std::string> node_directory::expire(base::time_point now)
{
    std::vector<std::string> silent;
    for (auto it = m_nodes.begin(); it != m_nodes.end();)
    {
        bool const forgotten = !it->second.listed && !alive(it->second, now);
        if (!alive(it->second, now))
            silent.push_back(it->first);
        it = forgotten ? m_nodes.erase(it) : std::next(it);
    }
    return silent;
}

std::vector<std::string> node_directory::nodes_past_removal_timeout(base::time_point now) const
{
    std::vector<std::string> names;
    for (auto const& [name, node] : m_nodes)
        if (node.listed && now > std::max(node.heard, node.listed_since) + removal_timeout)
            names.push_back(name);
    return names;
}

} // namespace jasminepier::serving
