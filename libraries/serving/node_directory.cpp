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
// In a large fleet all followers may wait at a store that has fallen silent for them alone. Their
// watches end 0.5 s after the timeout, and other nodes then need 1.1 s to follow the store and to
// distribute a configuration, which must be applied within 3 s.
constexpr base::milliseconds maximum_follower_configuration_watch{1000};

// Callers that keep an answer while their zone fails still have these nodes.
constexpr std::size_t addresses_of_other_zones = 4;
// Nodes that pull a new configuration from the same peer. A pull of a large configuration takes
// about 0.1 s of a small VM's link.
constexpr std::size_t configuration_tree_fan_out = 4;
// With fewer ready nodes in the zone, callers are spread over all known nodes of other zones, too.
constexpr std::size_t minimum_zone_addresses = 8;

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
    count_zone_change(node.state.entry.zone, entry.zone);
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
    count_zone_change(node.state.entry.zone, report.entry.zone);
    node.state = report;
    node.last_report = now;
    node.has_reported = true;
    m_newest_reported.configuration =
        std::max(m_newest_reported.configuration, report.configuration_revision);
    m_newest_reported.evacuations =
        std::max(m_newest_reported.evacuations, report.evacuation_revision.value_or(0));
    m_newest_reported.servers =
        std::max(m_newest_reported.servers, report.server_revision.value_or(0));
    return true;
}

void node_directory::count_zone_change(std::string const& previous_zone, std::string const& zone)
{
    if (previous_zone == zone)
        return;
    if (auto const previous = m_zone_sizes.find(previous_zone);
        previous != m_zone_sizes.end() && --previous->second == 0)
        m_zone_sizes.erase(previous);
    if (!zone.empty())
        ++m_zone_sizes[zone];
}

std::size_t node_directory::followers_per_zone() const noexcept
{
    auto const zones = m_zone_sizes.size() + (m_zone_sizes.contains(m_self.zone) ? 0 : 1);
    return (store_followers + zones - 1) / zones;
}

std::size_t node_directory::count_report_recipients() const noexcept
{
    if (!is_large_fleet())
        return m_nodes.size();
    auto const own_zone = m_zone_sizes.find(m_self.zone);
    return own_zone == m_zone_sizes.end() ? 0 : own_zone->second;
}

std::vector<node_entry> node_directory::peers() const
{
    std::vector<node_entry> peers;
    for (auto const& [name, node] : m_nodes)
        peers.push_back(node.state.entry);
    return peers;
}

std::vector<node_entry> node_directory::report_recipients() const
{
    std::vector<node_entry> recipients;
    for (auto const& [name, node] : m_nodes)
        if (reports_to_this_node(node))
            recipients.push_back(node.state.entry);
    return recipients;
}

template <class Predicate>
std::size_t node_directory::count_nodes_ahead(std::string_view key, base::time_point now,
                                              Predicate&& accept) const
{
    auto const local_weight = base::rendezvous_weight(key, m_self.name);
    std::size_t nodes_ahead = 0;
    for (auto const& [name, node] : m_nodes)
        nodes_ahead += reports_to_this_node(node) && is_alive(node, now) &&
                       node.state.phase == node_phase::ready && accept(node) &&
                       base::rendezvous_weight(key, name) > local_weight;
    return nodes_ahead;
}

bool node_directory::reports_zone(base::time_point now) const
{
    return is_large_fleet() && m_phase == node_phase::ready &&
           count_nodes_ahead("zone-summary", now, [](node_record const&) { return true; }) <
               zone_reporters;
}

bool node_directory::is_alive(node_record const& node, base::time_point now) const noexcept
{
    bool const reports_often =
        report_interval() < base::milliseconds(300) && reports_to_this_node(node);
    auto const timeout = reports_often ? short_report_timeout : report_timeout;
    return node.has_reported && now < node.last_report + timeout;
}

bool node_directory::has_reported_recently(node_record const& node,
                                           base::time_point now) const noexcept
{
    auto const period = node.state.follows_store ? follower_timeout : recent_report_period;
    return node.has_reported && now < node.last_report + period;
}

std::vector<std::string> node_directory::live_node_names(base::time_point now) const
{
    std::vector<std::string> names{m_self.name};
    for (auto const& [name, node] : m_nodes)
        if (reports_to_this_node(node) && is_alive(node, now))
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
        if (reports_to_this_node(node) && is_alive(node, now) &&
            node.state.phase == node_phase::ready)
            addresses.push_back(node.state.entry.caller_address);
    std::vector<std::string> other_zones;
    for (auto const& [zone, record] : m_zones)
        if (is_large_fleet() && now < record.received + zone_address_lifetime)
            other_zones.insert(other_zones.end(), record.summary.caller_addresses.begin(),
                               record.summary.caller_addresses.end());
    // Each node names different nodes, so that callers are spread evenly.
    auto const select_part = [&](std::vector<std::string>& all, std::size_t maximum)
    {
        if (all.size() <= maximum)
            return;
        auto const offset =
            static_cast<std::ptrdiff_t>(std::hash<std::string>{}(m_self.name) % all.size());
        std::rotate(all.begin(), all.begin() + offset, all.end());
        all.resize(maximum);
    };
    if (addresses.size() >= minimum_zone_addresses)
        select_part(other_zones, addresses_of_other_zones);
    select_part(addresses, limit - std::min(limit, other_zones.size()));
    addresses.insert(addresses.end(), other_zones.begin(), other_zones.end());
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

std::vector<node_entry> node_directory::peers_with_newer_configuration(
    std::int64_t revision, base::time_point now, std::int64_t checked_revision,
    std::set<std::string, std::less<>> const& exhausted) const
{
    return find_live_nodes(now,
                           [&](node_state_report const& state)
                           {
                               bool const may_be_evacuation = !state.separates_revisions() &&
                                                              exhausted.contains(state.entry.name);
                               return state.configuration_revision >
                                          std::max(revision, checked_revision) &&
                                      !may_be_evacuation;
                           });
}

std::vector<peer_copies> node_directory::peers_with_other_copies(compared_kind kind,
                                                                 std::int64_t revision,
                                                                 std::uint64_t digest,
                                                                 base::time_point now) const
{
    std::vector<peer_copies> found;
    for (auto const& [name, node] : m_nodes)
    {
        auto const& state = node.state;
        bool const is_evacuation = kind == compared_kind::evacuations;
        auto const reported = is_evacuation ? state.evacuation_revision : state.server_revision;
        if (!reported || !is_alive(node, now))
            continue;
        auto const reported_digest =
            is_evacuation ? state.evacuation_digest.value_or(digest) : state.server_digest;
        if (*reported > revision || (*reported == revision && reported_digest != digest))
            found.push_back({state.entry, *reported, reported_digest});
    }
    return found;
}

std::optional<node_entry> node_directory::configuration_source(
    std::string_view kind, std::vector<node_entry> newer_peers, bool any_peer, base::time_point now,
    base::random_source& random, std::set<std::string, std::less<>> const& avoided) const
{
    if (newer_peers.empty())
        return std::nullopt;
    if (any_peer || !is_large_fleet())
    {
        auto const preferred_end = std::partition(
            newer_peers.begin(), newer_peers.end(),
            [&](node_entry const& peer)
            {
                return !avoided.contains(peer.name) &&
                       now < m_nodes.at(peer.name).last_report + recent_report_period;
            });
        auto const preferred = preferred_end - newer_peers.begin();
        auto const count = preferred > 0 ? static_cast<std::size_t>(preferred) : newer_peers.size();
        return newer_peers[std::uniform_int_distribution<std::size_t>(0, count - 1)(random)];
    }
    // The rendezvous order of the followers, which therefore come first.
    std::vector<std::pair<std::uint64_t, std::string_view>> zone_nodes;
    // Nodes that have just fallen silent may be followers that are being replaced.
    for (auto const& [name, node] : m_nodes)
        if (reports_to_this_node(node) && is_alive(node, now) && has_reported_recently(node, now) &&
            node.state.store_reached && node.state.phase == node_phase::ready)
            zone_nodes.emplace_back(base::rendezvous_weight(kind, name), name);
    zone_nodes.emplace_back(base::rendezvous_weight(kind, m_self.name), m_self.name);
    std::sort(zone_nodes.rbegin(), zone_nodes.rend());
    auto const self = std::find_if(zone_nodes.begin(), zone_nodes.end(),
                                   [&](auto const& node) { return node.second == m_self.name; });
    auto const rank = static_cast<std::size_t>(self - zone_nodes.begin());
    // The first node has no parent: its watch of the store returns the configuration.
    if (rank == 0)
        return std::nullopt;
    auto const parent = zone_nodes[(rank - 1) / configuration_tree_fan_out].second;
    auto const found = std::find_if(newer_peers.begin(), newer_peers.end(),
                                    [&](node_entry const& peer) { return peer.name == parent; });
    return found == newer_peers.end() ? std::nullopt : std::optional(*found);
}

base::milliseconds node_directory::watch_timeout(base::random_source& random) const
{
    // In a large fleet only the few followers watch.
    auto const watchers = is_large_fleet() ? followers_per_zone() : m_nodes.size() + 1;
    auto const upper_limit = std::clamp(watch_timeout_per_node * static_cast<int>(watchers),
                                        minimum_watch_timeout, maximum_watch_timeout);
    // The watches of all nodes return together after a change. Without the random spread, they
    // would also time out together.
    std::uniform_int_distribution<std::int64_t> distribution(upper_limit.count() / 2,
                                                             upper_limit.count());
    return base::milliseconds(distribution(random));
}

base::milliseconds node_directory::configuration_watch_timeout(base::random_source& random) const
{
    if (!is_large_fleet())
        return watch_timeout(random);
    std::uniform_int_distribution<std::int64_t> distribution(
        maximum_follower_configuration_watch.count() / 2,
        maximum_follower_configuration_watch.count());
    return base::milliseconds(distribution(random));
}

base::milliseconds node_directory::node_watch_timeout(base::random_source& random) const
{
    // Nodes also learn of new ones from their reports, so a lost watch of the list may last longer.
    return is_large_fleet() ? watch_timeout(random) * 2 : watch_timeout(random);
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
        if (reports_to_this_node(node) && is_alive(node, now) && node.state.store_reached &&
            node.state.phase == node_phase::ready &&
            (follower == nullptr || weight > highest_weight))
        {
            follower = &node;
            highest_weight = weight;
        }
    }
    if (follower == nullptr || follower->state.server_revision ||
        follower->state.server_digest == digest)
        return std::nullopt;
    return follower->state.entry;
}

bool node_directory::hears_follower(base::time_point now) const
{
    return std::any_of(m_nodes.begin(), m_nodes.end(),
                       [&](auto const& item)
                       {
                           auto const& node = item.second;
                           return reports_to_this_node(node) && node.has_reported &&
                                  node.state.follows_store && node.state.store_reached &&
                                  now < node.last_report + follower_timeout;
                       });
}

bool node_directory::follows_store(std::string_view kind, bool store_reached,
                                   base::time_point now) const
{
    if (!is_large_fleet())
        return true;
    bool const follower_heard = hears_follower(now);
    // Peers don't count a node that cannot reach the store, so another node follows instead of it.
    return store_reached &&
           count_nodes_ahead(kind, now,
                             [&](node_record const& node) {
                                 return node.state.store_reached &&
                                        (follower_heard || has_reported_recently(node, now));
                             }) < followers_per_zone();
}

std::optional<bool> node_directory::followers_reach_store(base::time_point now) const
{
    std::optional<bool> reached;
    for (auto const& [name, node] : m_nodes)
        if (reports_to_this_node(node) && node.state.follows_store && is_alive(node, now))
            reached = reached.value_or(false) || node.state.store_reached;
    return reached;
}

base::milliseconds node_directory::minimum_report_gap() const noexcept
{
    return std::chrono::duration_cast<base::milliseconds>(
        report_gap_per_peer * static_cast<int>(count_report_recipients()));
}

base::milliseconds node_directory::report_interval() const noexcept
{
    return std::clamp(report_interval_per_peer * static_cast<int>(count_report_recipients()),
                      minimum_report_interval, maximum_report_interval);
}

std::vector<node_entry> node_directory::expire(base::time_point now)
{
    std::vector<node_entry> silent_nodes;
    for (auto it = m_nodes.begin(); it != m_nodes.end();)
    {
        bool const removable = !it->second.listed && !is_alive(it->second, now);
        if (!is_alive(it->second, now))
            silent_nodes.push_back(it->second.state.entry);
        if (removable)
            count_zone_change(it->second.state.entry.zone, "");
        it = removable ? m_nodes.erase(it) : std::next(it);
    }
    return silent_nodes;
}

std::vector<std::string> node_directory::nodes_past_removal_timeout(base::time_point now) const
{
    std::vector<std::string> names;
    for (auto const& [name, node] : m_nodes)
        if (node.listed && reports_to_this_node(node) &&
            now > std::max(node.last_report, node.listed_since) + removal_timeout)
            names.push_back(name);
    return names;
}

} // namespace jasminepier::serving
