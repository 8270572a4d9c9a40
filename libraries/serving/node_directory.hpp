/// The entry nodes that are alive, and their addresses for callers and peers.
#pragma once

#include "base/clock.hpp"
#include "decision/trial_schedule.hpp"
#include "serving/node_entry.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::serving
{

/// Lifecycle phase of a node. Only a ready node is named to callers.
enum class node_phase
{
    starting,
    ready,
    shutting_down,
};

/// Latest report of a node. A report with a later start time is newer; for equal start times, the
/// one with the higher sequence number is newer.
struct node_state_report
{
    node_entry entry;
    /// Start time of the node's process in Unix milliseconds.
    std::int64_t started = 0;
    std::int64_t sequence = 0;
    node_phase phase = node_phase::starting;
    /// The node's last call to the store succeeded.
    bool store_reached = false;
    /// Newest revision among the node's copies of all objects.
    std::int64_t store_revision = 0;
    /// Revision of the node's copy of the configuration. Nodes of earlier versions report the
    /// larger of this and the revision of their evacuations, and leave `evacuation_revision` out.
    std::int64_t configuration_revision = 0;
    /// Equal on nodes that have the same server entries.
    std::uint64_t server_digest = 0;
    /// The node watches the store, so `store_reached` is up to date.
    bool follows_store = false;
    /// Newest revision among the node's copies of the evacuations; unset if unknown.
    std::optional<std::int64_t> evacuation_revision = std::nullopt;
    /// Equal on nodes that have the same evacuations; unset if unknown.
    std::optional<std::uint64_t> evacuation_digest = std::nullopt;
    /// Newest revision among the node's copies of the servers; unset if unknown.
    std::optional<std::int64_t> server_revision = std::nullopt;

    /// False if `configuration_revision` may be that of an evacuation.
    bool separates_revisions() const noexcept { return evacuation_revision.has_value(); }
};

/// Newest revisions of objects that any report has named, whether or not its sender is alive.
struct reported_revisions
{
    std::int64_t configuration = 0;
    std::int64_t evacuations = 0;
    std::int64_t servers = 0;
};

/// Kinds of objects whose copies nodes compare by revision and digest.
enum class compared_kind
{
    evacuations,
    servers,
};

/// What a peer has reported about its copies of a kind.
struct peer_copies
{
    node_entry peer;
    std::int64_t revision = 0;
    std::uint64_t digest = 0;
};

/// What another zone reports about its nodes.
struct zone_summary
{
    std::size_t live_nodes = 0;
    /// Addresses for callers of a few ready nodes.
    std::vector<std::string> caller_addresses;
};

/// Returns the revision after which a node that missed changes pulls objects from a peer, given the
/// newest revisions of all its objects and of its configuration.
constexpr std::int64_t pull_start_revision(std::int64_t newest_revision,
                                           std::int64_t configuration_revision) noexcept
{
    // Covers changes of servers that were missed some time ago; the revision advances by some tens
    // in a second with many changes.
    constexpr std::int64_t revision_margin = 500;
    return std::max<std::int64_t>(
        0, std::min(newest_revision - revision_margin, configuration_revision));
}

/// Merges the store's list of nodes with the reports of the nodes. Not synchronized.
class node_directory
{
public:
    static constexpr base::milliseconds maximum_report_interval{1000};
    /// A node is alive until it hasn't reported for three maximum intervals and a margin for lost
    /// datagrams.
    static constexpr base::milliseconds report_timeout{3500};
    /// Timeout in fleets of a few nodes, which report more often.
    static constexpr base::milliseconds short_report_timeout{1500};
    /// Time without reports after which a node's entry is removed from the store.
    static constexpr base::milliseconds removal_timeout{30000};

    /// From this number of peers on, nodes report to the nodes of their own zone only, and only a
    /// few nodes of each zone watch the servers in the store and relay the changes. With fewer
    /// peers, a full mesh of reports and a store request per node and change are cheap
    /// (docs/platform.md).
    static constexpr std::size_t large_fleet_threshold = 12;
    /// Nodes that watch the store in large fleets, spread over the zones; at least one in each
    /// zone. Two can fail at once, since changes are relayed between zones.
    static constexpr std::size_t store_followers = 3;
    /// Time between two periodic reports of a follower.
    static constexpr base::milliseconds follower_report_interval{300};
    /// Time without a report of any follower after which the nodes of a zone replace it.
    static constexpr base::milliseconds follower_timeout{1000};
    /// Reports within this time show which nodes can replace a follower: a node that is cut off
    /// together with others must not leave the store to nodes that it can no longer hear. Every
    /// node reports at least once a second.
    static constexpr base::milliseconds recent_report_period{1300};
    /// Nodes of a zone that send its summary to the other zones. One can fail.
    static constexpr std::size_t zone_reporters = 2;
    /// Reporters send a summary once per interval each.
    static constexpr base::milliseconds summary_interval{1000};
    /// Addresses of other zones are named to callers for this time after the summary, so that nodes
    /// that fail are not named longer than those of the own zone.
    static constexpr base::milliseconds zone_address_lifetime{2000};
    /// Addresses of ready nodes in a zone's summary.
    static constexpr std::size_t addresses_per_summary = 4;

    explicit node_directory(node_entry self) : m_self(std::move(self)) {}

    void set_phase(node_phase phase) noexcept { m_phase = phase; }
    node_phase phase() const noexcept { return m_phase; }
    node_entry const& self() const noexcept { return m_self; }

    /// Applies the store's list. Nodes that are missing from it are kept while they report.
    void apply_listed(std::vector<node_entry> const& entries, base::time_point now);
    void add_listed(node_entry const& entry, base::time_point now);
    void remove_listed(std::string const& name);
    /// Returns false if the report is older than the latest one.
    bool apply_report(node_state_report const& report, base::time_point now);

    /// Applies the summary of another zone.
    void apply_zone_summary(std::string const& zone, zone_summary summary, base::time_point now);

    /// All known nodes except this one, alive or not.
    std::vector<node_entry> peers() const;
    /// The nodes that receive this node's reports: in a large fleet those of its zone, otherwise
    /// all.
    std::vector<node_entry> report_recipients() const;
    /// True if this node sends the other zones a summary of its zone.
    bool reports_zone(base::time_point now) const;
    /// One node of each other zone, at random. It relays reports within its zone.
    std::vector<node_entry> pick_relays(base::random_source& random) const;
    /// Returns the summary of this node's zone. The addresses are chosen at random.
    zone_summary summarize_zone(base::random_source& random, base::time_point now) const;
    /// Sorted names of the nodes that are alive and report to this node, including this node. In a
    /// large fleet, nodes of other zones are left out.
    std::vector<std::string> live_node_names(base::time_point now) const;
    /// Returns this node's place among the live nodes for trials of a prompt part. Zones that
    /// haven't sent a summary recently are left out.
    decision::fleet_position find_trial_position(std::uint64_t part, base::time_point now) const;
    /// Number of all nodes that may be alive. Zones that stopped reporting count as they were,
    /// since they may only be cut off.
    std::size_t fleet_size(base::time_point now) const;
    /// True if this node hears more than half of all known nodes, itself included; those of other
    /// zones through the summaries of a large fleet. What the others know then reaches this node.
    bool hears_majority(base::time_point now) const;
    /// Addresses for callers of at most `limit` nodes that are alive and ready. In a large fleet
    /// these are the nodes of this node's zone, with a few of other zones for callers that lose the
    /// whole zone.
    std::vector<std::string> caller_addresses(std::size_t limit, base::time_point now) const;
    /// Live peers that reach the store.
    std::vector<node_entry> peers_reaching_store(base::time_point now) const;
    /// Live peers that have an object newer than `revision`.
    std::vector<node_entry> peers_with_newer_objects(std::int64_t revision,
                                                     base::time_point now) const;
    /// Live peers whose configuration is newer than `revision` and than `checked_revision`, up to
    /// which the store has shown that there is no newer one. The newest revision of all objects
    /// doesn't show this, since other objects reach the nodes earlier than configurations. A peer
    /// that reports one revision for configuration and evacuations counts only if it is not in
    /// `exhausted`, too.
    std::vector<node_entry>
    peers_with_newer_configuration(std::int64_t revision, base::time_point now,
                                   std::int64_t checked_revision = 0,
                                   std::set<std::string, std::less<>> const& exhausted = {}) const;
    /// Live peers whose objects are newer than `revision`, or as new but different from those with
    /// `digest`: each of the two nodes may have missed one. Digests of different revisions say
    /// nothing, since changes take a moment to arrive.
    std::vector<peer_copies> peers_with_other_copies(compared_kind kind, std::int64_t revision,
                                                     std::uint64_t digest,
                                                     base::time_point now) const;
    reported_revisions const& newest_reported() const noexcept { return m_newest_reported; }
    /// Random timeout for a watch of the store. A store that stops responding never answers open
    /// watches, so the timeouts are chosen such that some node's watch ends about twice a second.
    base::milliseconds watch_timeout(base::random_source& random) const;
    /// Random timeout for a watch of the configuration; shorter in large fleets, in which it also
    /// limits the time until other nodes replace followers that the store no longer answers.
    base::milliseconds configuration_watch_timeout(base::random_source& random) const;
    /// Random timeout for a watch of the list of nodes; longer in large fleets, to save calls.
    base::milliseconds node_watch_timeout(base::random_source& random) const;
    /// Returns the first of the peers that follow objects of `kind` if its server digest differs
    /// from `digest` and it does not report the revision of its servers.
    std::optional<node_entry> follower_with_different_servers(std::string_view kind,
                                                              std::uint64_t digest,
                                                              base::time_point now) const;
    /// Returns the peer from which this node pulls a newer configuration, if any has one. In a
    /// large fleet, the nodes of a zone form a tree with the followers of the store at the top, so
    /// that no node serves many pulls at once; `any_peer` selects a random peer instead, for a node
    /// whose parent does not have the configuration in time. Peers in `avoided` and peers that have
    /// not reported within `recent_report_period` are selected last. `newer_peers` are the peers
    /// that have one.
    std::optional<node_entry>
    configuration_source(std::string_view kind, std::vector<node_entry> newer_peers, bool any_peer,
                         base::time_point now, base::random_source& random,
                         std::set<std::string, std::less<>> const& avoided = {}) const;
    /// True if this node watches `kind` in the store. In small fleets every node does. In large
    /// fleets the first live, ready nodes of each zone in rendezvous order that reach the store do,
    /// and relay the changes to the other nodes. If none of them is heard, only nodes that were
    /// heard recently count.
    bool follows_store(std::string_view kind, bool store_reached, base::time_point now) const;
    /// True if nodes report within their zone and only a few nodes watch the store.
    bool is_large_fleet() const noexcept { return m_nodes.size() >= large_fleet_threshold; }
    /// Minimum time between two reports, which limits the reports that load changes trigger.
    base::milliseconds minimum_report_gap() const noexcept;
    /// Time between two periodic reports; grows with the fleet to limit each node's traffic.
    base::milliseconds report_interval() const noexcept;
    /// Returns whether the nodes that watch the store for this node's zone reach it: true if any
    /// does, nothing if none of them reports.
    std::optional<bool> followers_reach_store(base::time_point now) const;
    /// Removes nodes that are neither alive nor listed in the store. Returns all nodes that are not
    /// alive.
    std::vector<node_entry> expire(base::time_point now);
    /// Listed nodes that report to this node and have not done so for `removal_timeout`.
    std::vector<std::string> nodes_past_removal_timeout(base::time_point now) const;

private:
    struct node_record
    {
        /// The latest report; only the entry is set if the node has never reported.
        node_state_report state;
        bool listed = false;
        base::time_point listed_since{};
        base::time_point last_report{};
        bool has_reported = false;
    };

    struct zone_record
    {
        zone_summary summary;
        base::time_point received{};
    };

    bool is_alive(node_record const& node, base::time_point now) const noexcept;
    /// True if the node has reported within `follower_timeout` or `recent_report_period`, whichever
    /// holds for it.
    bool has_reported_recently(node_record const& node, base::time_point now) const noexcept;
    /// True if a follower of this node's zone that reaches the store has reported recently.
    bool hears_follower(base::time_point now) const;
    /// True if the node's reports come directly, not as a part of its zone's summary.
    bool reports_to_this_node(node_record const& node) const noexcept
    {
        return !is_large_fleet() || node.state.entry.zone == m_self.zone;
    }
    std::size_t count_report_recipients() const noexcept;
    /// Number of live, ready nodes that report to this node, satisfy the predicate and come before
    /// it in the rendezvous order of `key`.
    template <class Predicate>
    std::size_t count_nodes_ahead(std::string_view key, base::time_point now,
                                  Predicate&& accept) const;
    /// Counts a node that appears in `zone`, moves there from `previous_zone` or disappears; an
    /// empty name stands for no zone.
    void count_zone_change(std::string const& previous_zone, std::string const& zone);
    std::size_t followers_per_zone() const noexcept;
    template <class Predicate>
    std::vector<node_entry> find_live_nodes(base::time_point now, Predicate&& accept) const;

    node_entry m_self;
    node_phase m_phase = node_phase::starting;
    std::map<std::string, node_record> m_nodes;
    std::map<std::string, zone_record> m_zones;
    reported_revisions m_newest_reported;
    /// Known nodes in each zone that has any, without this node.
    std::map<std::string, std::size_t> m_zone_sizes;
};

} // namespace jasminepier::serving
