/// The entry nodes that live, as callers and peers need them.
#pragma once

#include "base/clock.hpp"
#include "serving/node_entry.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::serving
{

/// Whether a node takes callers.
enum class node_phase
{
    starting,
    ready,
    shutting_down,
};

/// What a node last said about itself. A later start replaces an earlier one; within a start the
/// higher sequence number does.
struct node_state_report
{
    node_entry entry;
    std::int64_t started = 0;
    std::int64_t sequence = 0;
    node_phase phase = node_phase::starting;
    /// The node's copies of the store's objects are current.
    bool store_reached = false;
    /// Newest revision of the node's copies of the store's objects.
    std::int64_t store_revision = 0;
    /// Newest revision among the node's copies of the configuration and of evacuations.
    std::int64_t configuration_revision = 0;
    /// Equal on nodes that hold the same entries of servers.
    std::uint64_t server_digest = 0;
};

/// The revision behind which a node that missed changes asks a peer for them, from the newest
/// revisions of its copies of any object and of its configuration.
constexpr std::int64_t first_missed_revision(std::int64_t newest,
                                             std::int64_t configuration) noexcept
{
    // How far a missed change of a server may lie back; the store counts some tens of changes in a
    // busy second.
    constexpr std::int64_t missed_revisions = 500;
    return std::max<std::int64_t>(0, std::min(newest - missed_revisions, configuration));
}

/// Merges the store's list of nodes with the nodes' own reports. Not synchronized.
class node_directory
{
public:
    /// A node reports at least every `slowest_report_interval`; one that is silent for three
    /// intervals and a margin for lost datagrams is not named to callers any more.
    static constexpr base::milliseconds maximum_report_interval{1000};
    static constexpr base::milliseconds report_timeout{3500};
    /// Limit in a deployment of few nodes, which report more often.
    static constexpr base::milliseconds short_report_timeout{1500};
    /// An entry of a node that nobody heard for this long is removed from the store.
    static constexpr base::milliseconds removal_timeout{30000};

    /// Peers from which on changes of servers are followed by a few nodes. Below, a call of each
    /// node for each change is cheap (docs/platform.md).
    static constexpr std::size_t minimum_relaying_peers = 12;
    /// Nodes that follow the store in larger fleets; two may fail at once with one to spare.
    static constexpr std::size_t store_followers = 4;

    explicit node_directory(node_entry self) : m_self(std::move(self)) {}

    void set_phase(node_phase phase) noexcept { m_phase = phase; }
    node_phase phase() const noexcept { return m_phase; }
    node_entry const& self() const noexcept { return m_self; }

    /// Takes over the store's list. Nodes missing there are kept as long as they report.
    void apply_listed(std::vector<node_entry> const& entries, base::time_point now);
    void add_listed(node_entry const& entry, base::time_point now);
    void remove_listed(std::string const& name);
    /// Returns false for a report that is older than the one held.
    bool apply_report(node_state_report const& report, base::time_point now);

    /// Nodes to which reports are sent.
    std::vector<node_entry> peers() const;
    /// Names of the nodes that live, this one included, in order.
    std::vector<std::string> live_node_names(base::time_point now) const;
    /// Addresses for callers: nodes that live and are ready, at most `limit`.
    std::vector<std::string> caller_addresses(std::size_t limit, base::time_point now) const;
    /// Living nodes that reach the store.
    std::vector<node_entry> peers_reaching_store(base::time_point now) const;
    /// Living nodes whose copies of the store's objects are newer than `revision`.
    std::vector<node_entry> peers_with_newer_objects(std::int64_t revision,
                                                     base::time_point now) const;
    /// Living nodes whose configuration or evacuations are newer than `revision`. Entries of
    /// servers reach a node in other ways, so its newest copy of any object does not tell.
    std::vector<node_entry> peers_with_newer_configuration(std::int64_t revision,
                                                           base::time_point now) const;
    /// How long a watch of the store waits. A store that falls silent never answers the watches
    /// that wait then, so the watches of all nodes together end about twice a second.
    base::milliseconds watch_timeout(base::random_source& random) const;
    /// A node that follows `subject` and holds other entries of servers than this one; null when
    /// there is none.
    std::optional<node_entry> follower_with_different_servers(std::string_view subject,
                                                              std::uint64_t digest,
                                                              base::time_point now) const;
    /// True when this node follows `subject` in the store. In small fleets every node does; in
    /// larger ones a few do, in rendezvous order of those that live and reach the store, and tell
    /// the others.
    bool follows_store(std::string_view subject, bool store_reached, base::time_point now) const;
    /// True in fleets in which not every node follows the store.
    bool relays_store() const noexcept { return m_nodes.size() >= minimum_relaying_peers; }
    /// Shortest time between two reports, so that changes of load cannot flood the peers.
    base::milliseconds minimum_report_gap() const noexcept;
    /// Time between two reports of a node, so that the traffic of a node stays bounded.
    base::milliseconds report_interval() const noexcept;
    /// Forgets silent nodes that the store does not list. Returns their names.
    std::vector<std::string> expire(base::time_point now);
    /// Listed nodes that nobody heard for `removal_limit`.
    std::vector<std::string> nodes_past_removal_timeout(base::time_point now) const;

private:
    struct known_node
    {
        /// As last reported; only the entry is set when the node is known from the store alone.
        node_state_report state;
        bool listed = false;
        base::time_point listed_since{};
        base::time_point heard{};
        bool ever_heard = false;
    };

    bool alive(known_node const& node, base::time_point now) const noexcept;
    template <class Predicate>
    std::vector<node_entry> living_nodes(base::time_point now, Predicate&& accept) const;

    node_entry m_self;
    node_phase m_phase = node_phase::starting;
    std::map<std::string, known_node> m_nodes;
};

} // namespace jasminepier::serving
