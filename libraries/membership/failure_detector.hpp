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
struct outgoing
{
    std::string host;
    int port = 0;
    gossip_datagram message;
};

/// The gossip address of a node that may exist: a seed, or an entry of the platform's node list.
struct contact
{
    /// Empty for a seed, whose id is not known.
    std::string node_id;
    std::string host;
    int port = 0;
};

struct detector_settings
{
    base::milliseconds ping_interval{1000};
    /// Wait for an acknowledgement before other nodes are asked to ping.
    base::milliseconds ping_timeout{300};
    int indirect_pings = 3;
    /// Suspicion lasts this long per log10(n + 1).
    base::milliseconds suspicion_unit{4000};
    /// A gap between two calls longer than this is taken for a pause of this process.
    base::milliseconds pause_limit{1000};
    /// Silence after which this node takes its own network for the cause of missing answers.
    base::milliseconds deaf_after{3000};
    base::milliseconds dead_probe_interval{30000};
    /// Longer than any network partition to be healed (an hour now and then).
    base::milliseconds dead_retention{6 * 3600 * 1000};
    /// Nodes told at once of a refutation, a crash or a new configuration revision.
    int announce_fanout = 3;
    /// Lets tests and benchmarks show what each rule is worth.
    bool use_indirect_pings = true;
    bool use_suspicion = true;
    bool use_pause_detection = true;
    bool use_dead_probes = true;
    bool use_claim_checks = true;
    bool use_exchanges = true;
    bool use_deafness_rule = true;
};

/// Not synchronized. `tick` is called about every 100 ms.
class failure_detector
{
public:
    /// `self.incarnation` must grow between lives of the node; start with wall-clock seconds.
    failure_detector(member_record self, detector_settings settings, std::uint64_t seed);

    std::vector<outgoing> tick(base::time_point now);
    std::vector<outgoing> receive(base::time_point now, gossip_datagram const& message);

    /// Returns the peer with which to exchange full member lists now, if any. A node exchanges
    /// lists while it starts, after a partition has healed, and when lists have differed for long.
    std::optional<member_record> next_exchange(base::time_point now);
    /// Merges the list of a peer; returns the records that the peer is to merge.
    std::vector<member_record> exchange(base::time_point now,
                                        std::vector<member_record> const& received);

    /// Replaces the addresses that are pinged until a node answers there.
    void set_contacts(std::vector<contact> contacts);
    /// Announces that this node stops; the state is kept until the process ends.
    void leave();
    /// Takes an announced stop back, for an entry process that was replaced without its VM.
    void stay();
    void set_ready(bool ready);
    void set_applied_revision(std::int64_t revision);
    void set_configuration_revision(std::int64_t revision);
    /// Adds crash records of this node; they are sent at once.
    void add_crashes(base::time_point now, std::vector<crash_record> const& records);

    member_record const& self() const noexcept { return m_self; }
    /// This node first, then all others, with the state that this node sees.
    std::vector<member_record> members() const;
    std::vector<crash_record> crashes(base::time_point now);
    /// Returns the record of a node, or null when it is unknown.
    member_record const* find(std::string const& node_id) const;
    /// Returns the state as this node sees it; nothing for an unknown node.
    std::optional<member_state::type> state_of(std::string const& node_id) const;
    /// When a peer last answered this node; nothing before the first answer.
    std::optional<base::time_point> last_contact() const noexcept { return m_last_contact; }
    /// Peers taken for live when a peer last answered.
    std::size_t live_at_last_contact() const noexcept { return m_live_at_contact; }
    /// True when the last datagram came from a peer with the same member list.
    bool settled() const noexcept { return m_last_contact && !m_differs_since; }
    /// Returns an empty notice for `to`, to which the caller adds load digests.
    outgoing make_notice(member_record const& to) const;
    std::size_t pending_updates() const noexcept { return m_queue.size(); }
    std::int64_t pauses() const noexcept { return m_pauses; }

private:
    /// The ping of the current round.
    struct probe
    {
        std::string target;
        std::int64_t sequence = 0;
        base::time_point started;
        bool asked_others = false;
        bool answered = false;
    };
    /// A ping that checks another node's claim that a node is dead.
    struct claim_check
    {
        std::string target;
        base::time_point expires;
    };
    /// A ping sent for another node.
    struct relay
    {
        std::string requester;
        std::int64_t requester_sequence = 0;
        base::time_point expires;
    };

    void observe_time(base::time_point now);
    bool deaf(base::time_point now) const noexcept;
    void start_round(base::time_point now, std::vector<outgoing>& out);
    void finish_round(base::time_point now, std::vector<outgoing>& out);
    void ask_others(std::vector<outgoing>& out);
    void accuse(base::time_point now, std::string const& target, std::vector<outgoing>& out);
    void expire_suspicions(base::time_point now);
    void probe_contacts(std::vector<outgoing>& out);
    void probe_dead(std::vector<outgoing>& out);
    void announce(base::time_point now, std::vector<outgoing>& out);
    void forget(base::time_point now);
    void check_claims(base::time_point now, std::vector<outgoing>& out);
    void compare_members(base::time_point now, gossip_datagram const& message);
    std::int64_t members_hash() const;
    std::string next_target();
    std::vector<std::string> random_live(std::size_t count, std::string const& excluded);

    void merge(base::time_point now, member_record const& received);
    void merge_self(member_record const& received);
    void raise_incarnation(std::int64_t above);
    void handle_ping(gossip_datagram const& message, bool newcomer, std::vector<outgoing>& out);
    void handle_ping_request(base::time_point now, gossip_datagram const& message,
                             std::vector<outgoing>& out);
    void handle_acknowledgement(base::time_point now, gossip_datagram const& message,
                                std::vector<outgoing>& out);

    void send(datagram_kind::type kind, member_record const& to, std::int64_t sequence,
              std::vector<outgoing>& out, std::string const& target = {});
    void fill(gossip_datagram& message, member_record const& to);
    void fill_rotation(gossip_datagram& message, std::size_t& room, std::size_t count);
    int send_limit() const;

    member_record m_self;
    detector_settings m_settings;
    base::random_source m_random;
    member_table m_table;
    update_queue m_queue;
    crash_set m_crashes;
    std::vector<contact> m_contacts;
    std::size_t m_next_contact = 0;
    std::vector<std::string> m_round;
    std::string m_rotation;
    std::optional<probe> m_probe;
    std::map<std::int64_t, relay> m_relays;
    /// Nodes held live that others call dead, to be pinged by this node.
    std::set<std::string> m_claims;
    std::map<std::int64_t, claim_check> m_claim_checks;
    /// Set while the lists of peers differ from this node's.
    std::optional<base::time_point> m_differs_since;
    std::optional<std::string> m_returned;
    base::time_point m_next_announcement;
    base::time_point m_next_exchange;
    base::time_point m_catching_up_until;
    std::int64_t m_sequence = 0;
    std::int64_t m_configuration_revision = 0;
    std::int64_t m_pauses = 0;
    std::optional<base::time_point> m_last_time;
    std::optional<base::time_point> m_last_contact;
    base::time_point m_last_heard;
    base::time_point m_next_round;
    base::time_point m_next_dead_probe;
    std::size_t m_live_at_contact = 0;
    bool m_announce = false;
    /// True after a pause until one round was answered: this node accuses nobody.
    bool m_recovering = false;
};

} // namespace jasminepier::membership
