/// The failure detector of an entry VM: SWIM as a state machine without I/O. The caller passes in
/// the time, the random seed and the received datagrams, and sends the datagrams that are returned.
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

/// A datagram and its destination.
struct outgoing_datagram
{
    std::string host;
    int port = 0;
    gossip_datagram message;
};

/// A gossip address to probe until a node responds there: a seed, or an entry of the platform's
/// node list.
struct contact_point
{
    /// Empty for a seed, since its id is unknown.
    std::string node_id;
    std::string host;
    int port = 0;
};

struct detector_settings
{
    base::milliseconds probe_interval{1000};
    /// Time without an acknowledgement after which indirect probes are sent.
    base::milliseconds probe_timeout{300};
    /// Nodes asked to probe a target that does not acknowledge.
    int indirect_probes = 3;
    /// The suspicion timeout is this times log10(n + 1) in a fleet of n nodes.
    base::milliseconds suspicion_timeout_scale{4000};
    /// A longer gap between two calls counts as a pause of this process.
    base::milliseconds pause_threshold{1000};
    /// Time without any received datagram after which this node attributes missing acknowledgements
    /// to its own network instead of its peers.
    base::milliseconds inbound_silence_limit{3000};
    base::milliseconds dead_probe_interval{30000};
    /// Longer than any network partition after which the nodes must rejoin; some last an hour.
    base::milliseconds dead_member_retention{6 * 3600 * 1000};
    /// Nodes that immediately receive a refutation, a departure, a crash record or a new
    /// configuration revision.
    int gossip_fanout = 3;
    /// Tests and benchmarks disable single rules to measure their effect.
    bool use_indirect_probes = true;
    bool use_suspicion = true;
    bool use_pause_detection = true;
    bool use_dead_probes = true;
    bool use_death_verification = true;
    bool use_push_pull = true;
    bool use_inbound_silence_check = true;
};

/// Not thread-safe. The owner calls `tick` about every 100 ms.
class failure_detector
{
public:
    /// `self.incarnation` must be higher than in earlier processes of this node; pass wall-clock
    /// seconds.
    failure_detector(member_record const& self, detector_settings settings, std::uint64_t seed);

    std::vector<outgoing_datagram> tick(base::time_point now);
    std::vector<outgoing_datagram> receive(base::time_point now, gossip_datagram const& message);

    /// Returns the peer for a push-pull exchange of complete member lists, if one is due: after a
    /// dead member has returned, during startup while lists differ, and later when lists have
    /// differed for 15 s.
    std::optional<member_record> next_push_pull_peer(base::time_point now);
    /// Merges the member list of a peer. Returns the local list for the peer to merge.
    std::vector<member_record> push_pull(base::time_point now,
                                         std::vector<member_record> const& received);

    /// Replaces the addresses that are probed until a node responds there.
    void set_contact_points(std::vector<contact_point> contact_points);
    /// Announces the graceful shutdown of this node. The node stays `leaving` until the process
    /// ends or `cancel_leave` is called.
    void leave();
    /// Withdraws the announcement, for an entry process that was replaced while its VM stayed up.
    void cancel_leave();
    void set_ready(bool ready);
    void set_applied_revision(std::int64_t revision);
    void set_configuration_revision(std::int64_t revision);
    /// Adds crash records and schedules the new ones for immediate gossip.
    void add_crash_records(base::time_point now, std::vector<crash_record> const& records);

    member_record const& self() const noexcept { return m_self; }
    /// Returns this node first, then all others, each with the state observed here.
    std::vector<member_record> members() const;
    std::vector<crash_record> crash_records(base::time_point now);
    /// Returns the gossiped record of a node, or null if the node is unknown.
    member_record const* find(std::string const& node_id) const;
    /// Returns the state observed here, or nothing if the node is unknown.
    std::optional<member_state::type> state_of(std::string const& node_id) const;
    /// The time of the last acknowledgement, or nothing before the first one.
    std::optional<base::time_point> last_peer_contact() const noexcept
    {
        return m_last_peer_contact;
    }
    /// Peers that were not dead at the last acknowledgement.
    std::size_t live_peers_at_last_contact() const noexcept { return m_live_peers_at_last_contact; }
    /// Returns true if the last datagram with a hash of the sender's member list matched this
    /// node's.
    bool member_lists_agree() const noexcept
    {
        return m_last_peer_contact && !m_lists_differ_since;
    }
    /// Returns a notice for `recipient` without records; the caller adds load digests.
    outgoing_datagram make_notice(member_record const& recipient) const;
    std::size_t pending_updates() const noexcept { return m_update_queue.size(); }
    std::int64_t detected_pauses() const noexcept { return m_detected_pauses; }

private:
    /// The direct probe of the current round.
    struct probe
    {
        std::string target;
        std::int64_t sequence = 0;
        base::time_point started;
        bool indirect_probes_sent = false;
        bool acknowledged = false;
    };
    /// A ping to a node that is alive here but reported dead by a peer.
    struct death_verification
    {
        std::string target;
        base::time_point expires;
    };
    /// A ping sent on behalf of another node (the second leg of an indirect probe).
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
    void raise_incarnation(std::int64_t previous);
    void handle_ping(gossip_datagram const& message, bool is_new_member,
                     std::vector<outgoing_datagram>& out);
    void handle_ping_request(base::time_point now, gossip_datagram const& message,
                             std::vector<outgoing_datagram>& out);
    void handle_acknowledgement(base::time_point now, gossip_datagram const& message,
                                std::vector<outgoing_datagram>& out);

    void send(datagram_kind::type kind, member_record const& recipient, std::int64_t sequence,
              std::vector<outgoing_datagram>& out, std::string const& target = {});
    void add_piggybacked_records(gossip_datagram& message, member_record const& recipient);
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
    /// Nodes that are alive here but reported dead by peers; not probed yet.
    std::set<std::string> m_unverified_deaths;
    std::map<std::int64_t, death_verification> m_death_verifications;
    /// When the member lists of peers began to differ from the local list, if they do.
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
    /// True after a pause until a probe is acknowledged; meanwhile this node suspects nobody.
    bool m_recovering_from_pause = false;
};

} // namespace jasminepier::membership
