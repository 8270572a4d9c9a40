/// The failure detector of an entry VM: SWIM as a pure state machine. Time, randomness and messages
/// come in as arguments; messages to send go out as results.
#pragma once

#include "base/clock.hpp"
#include "membership/member_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jasminepier::membership
{

/// A datagram and the address to send it to.
struct outgoing_datagram
{
    std::string host;
    int port = 0;
    gossip_datagram message;
};

/// The gossip address of a node that may exist: a seed, or an entry of the platform's node list.
struct contact_point
{
    /// Empty for a seed, whose id is not known.
    std::string node_id;
    std::string host;
    int port = 0;
};

struct detector_settings
{
    base::milliseconds probe_interval{1000};
    /// Wait for an acknowledgement before other nodes are asked to ping.
    base::milliseconds probe_timeout{300};
    int indirect_probes = 3;
    /// Suspicion lasts this long per log10(n + 1).
    base::milliseconds suspicion_timeout_scale{4000};
    /// A gap between two calls longer than this is taken for a pause of this process.
    base::milliseconds pause_threshold{1000};
    /// Silence after which this node takes its own network for the cause of missing answers.
    base::milliseconds inbound_silence_limit{3000};
    base::milliseconds dead_probe_interval{30000};
    /// Longer than any network partition to be healed (an hour now and then).
    base::milliseconds dead_member_retention{6 * 3600 * 1000};
    /// Nodes told at once of a refutation, a crash or a new configuration revision.
    int gossip_fanout = 3;
    /// Lets tests and benchmarks show what each rule is worth.
    bool use_indirect_probes = true;
    bool use_suspicion = true;
    bool use_pause_detection = true;
    bool use_dead_probes = true;
    bool use_death_verification = true;
    bool use_push_pull = true;
    bool use_inbound_silence_check = true;
};

/// Not synchronized. `tick` is called about every 100 ms.
class failure_detector
{
public:
    /// `self.incarnation` must grow between lives of the node; start with wall-clock seconds.
    failure_detector(member_record const& self, detector_settings settings, std::uint64_t seed);

    std::vector<outgoing_datagram> tick(base::time_point now);
    std::vector<outgoing_datagram> receive(base::time_point now, gossip_datagram const& message);

    /// Returns the peer with which to exchange full member lists now, if any. A node exchanges
    /// lists while it starts, after a partition has healed, and when lists have differed for long.
    std::optional<member_record> next_push_pull_peer(base::time_point now);
    /// Merges the list of a peer; returns the records that the peer is to merge.
    std::vector<member_record> push_pull(base::time_point now,
                                         std::vector<member_record> const& received);

    /// Replaces the addresses that are pinged until a node answers there.
    void set_contact_points(std::vector<contact_point> contact_points);
    /// Announces that this node stops; the state is kept until the process ends.
    void leave();
    /// Takes an announced stop back, for an entry process that was replaced without its VM.
    void cancel_leave();
    void set_ready(bool ready);
    void set_applied_revision(std::int64_t revision);
    void set_configuration_revision(std::int64_t revision);
    /// Adds crash records of this node; they are sent at once.
    void add_crash_records(base::time_point now, std::vector<crash_record> const& records);

    member_record const& self() const noexcept { return m_self; }
    /// This node first, then all others, with the state that this node sees.
    std::vector<member_record> members() const;
    std::vector<crash_record> crash_records(base::time_point now);
    /// Returns the record of a node, or null when it is unknown.
    member_record const* find(std::string const& node_id) const;
    /// Returns the state as this node sees it; nothing for an unknown node.
    std::optional<member_state::type> state_of(std::string const& node_id) const;
    /// When a peer last answered this node; nothing before the first answer.
    std::optional<base::time_point> last_peer_contact() const noexcept
    {
        return m_last_peer_contact;
    }
    /// Peers taken for live when a peer last answered.
    std::size_t live_peers_at_last_contact() const noexcept { return m_live_peers_at_last_contact; }
    /// True when the last datagram came from a peer with the same member list.
    bool member_lists_agree() const noexcept
    {
        return m_last_peer_contact && !m_lists_differ_since;
    }
    /// Returns an empty notice for `to`, to which the caller adds load digests.
    outgoing_datagram make_notice(member_record const& to) const;
    std::size_t pending_updates() const noexcept { return m_update_queue.size(); }
    std::int64_t detected_pauses() const noexcept { return m_detected_pauses; }

private:
    /// The ping of the current round.
    struct probe
    {
        std::string target;
        std::int64_t sequence = 0;
        base::time_point started;
        bool sent_indirect_probes = false;
        bool acknowledged = false;
    };
    /// A ping that checks another node's claim that a node is dead.
    struct death_verification
    {
        std::string target;
        base::time_point expires;
    };
    /// A ping sent for another node.
    struct relayed_probe
    {
        std::string requester;
        std::int64_t requester_sequence = 0;
        base::time_point expires;
    };

    void advance_clock(base::time_point now);
    bool is_inbound_silent(base::time_point now) const noexcept;
    void start_probe_round(base::time_point now, std::vector<outgoing_datagram>& out);
    void finish_probe_round(base::time_point now, std::vector<outgoing_datagram>& out);
    void send_indirect_probes(std::vector<outgoing_datagram>& out);
    void start_suspicion(base::time_point now, std::string const& target,
                         std::vector<outgoing_datagram>& out);
    void expire_suspicions(base::time_point now);
    void probe_contact_points(std::vector<outgoing_datagram>& out);
    void probe_dead_member(std::vector<outgoing_datagram>& out);
    void gossip_updates(base::time_point now, std::vector<outgoing_datagram>& out);
    void remove_expired_members(base::time_point now);
    void verify_reported_deaths(base::time_point now, std::vector<outgoing_datagram>& out);
    void compare_member_lists(base::time_point now, gossip_datagram const& message);
    std::int64_t members_hash() const;
    std::string next_probe_target();
    std::vector<std::string> random_live_members(std::size_t count, std::string const& excluded);

    void merge_record(base::time_point now, member_record const& received);
    void refute_if_contradicted(member_record const& received);
    void raise_incarnation(std::int64_t above);
    void handle_ping(gossip_datagram const& message, bool is_new_member,
                     std::vector<outgoing_datagram>& out);
    void handle_ping_request(base::time_point now, gossip_datagram const& message,
                             std::vector<outgoing_datagram>& out);
    void handle_acknowledgement(base::time_point now, gossip_datagram const& message,
                                std::vector<outgoing_datagram>& out);

    void send(datagram_kind::type kind, member_record const& to, std::int64_t sequence,
              std::vector<outgoing_datagram>& out, std::string const& target = {});
    void add_piggybacked_records(gossip_datagram& message, member_record const& to);
    void add_rotating_records(gossip_datagram& message, std::size_t& room, std::size_t count);
    int transmission_limit() const;

    member_record m_self;
    detector_settings m_settings;
    base::random_source m_random;
    member_table m_table;
    update_queue m_update_queue;
    crash_record_set m_crash_records;
    std::vector<contact_point> m_contact_points;
    std::size_t m_next_contact_point = 0;
    std::vector<std::string> m_probe_order;
    std::string m_rotation_cursor;
    std::optional<probe> m_probe;
    std::map<std::int64_t, relayed_probe> m_relayed_probes;
    /// Nodes held live that others call dead, to be pinged by this node.
    std::set<std::string> m_unverified_deaths;
    std::map<std::int64_t, death_verification> m_death_verifications;
    /// Set while the lists of peers differ from this node's.
    std::optional<base::time_point> m_lists_differ_since;
    std::optional<std::string> m_returned_member;
    base::time_point m_next_gossip;
    base::time_point m_next_push_pull;
    base::time_point m_frequent_push_pull_until;
    std::int64_t m_sequence = 0;
    std::int64_t m_configuration_revision = 0;
    std::int64_t m_detected_pauses = 0;
    std::optional<base::time_point> m_last_event_time;
    std::optional<base::time_point> m_last_peer_contact;
    base::time_point m_last_received;
    base::time_point m_next_probe_round;
    base::time_point m_next_dead_probe;
    std::size_t m_live_peers_at_last_contact = 0;
    bool m_gossip_due = false;
    /// True after a pause until one round was answered: this node accuses nobody.
    bool m_recovering_from_pause = false;
};

} // namespace jasminepier::membership
