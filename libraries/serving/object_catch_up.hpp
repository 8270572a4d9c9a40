/// How a node obtains the versions of the store's objects that it has missed.
#pragma once

#include "configuration/versioned_store.hpp"
#include "serving/configuration_pull_policy.hpp"
#include "serving/node_directory.hpp"
#include "serving/revision_lag.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminepier::serving
{

/// Names of the kinds of objects in the store.
struct object_kinds
{
    std::string configuration;
    std::string evacuations;
    std::string servers;
};

/// Sets the revisions and digests of a node's report from its copies of the objects.
void describe_objects(object_kinds const& kinds, configuration::versioned_store const& objects,
                      node_state_report& report);

/// What a node knows when it decides on a pull.
struct catch_up_view
{
    node_directory const& nodes;
    configuration::versioned_store const& objects;
    bool has_configuration = false;
    bool follows_store = false;
    bool store_call_failed = false;
};

/// Why a node pulls objects from a peer.
enum class pull_reason
{
    configuration,
    evacuations,
    servers,
    /// The node has no configuration or cannot reach the store.
    store_unreachable,
    /// The peer has newer objects, or it is of an earlier version and has different servers.
    other_objects,
};

std::string_view to_string(pull_reason reason) noexcept;

/// A pull of the objects that are newer than `since`.
struct object_pull
{
    node_entry peer;
    std::int64_t since = 0;
    pull_reason reason = pull_reason::other_objects;
    /// Digest of the node's objects of the kind before the pull.
    std::uint64_t held_digest = 0;
    /// Digest that the peer has reported; 0 for configurations.
    std::uint64_t peer_digest = 0;
    /// The pull contains every object that the node may have missed.
    bool is_complete = true;
    /// Revision of the node's configuration, which the pull need not bring again.
    std::int64_t held_configuration = 0;
};

/// Returns the objects that are newer than `since`, without a configuration that is not newer than
/// `held_configuration`: it may be larger than all other objects together.
std::vector<store::object> select_pulled_objects(object_kinds const& kinds,
                                                 configuration::versioned_store const& objects,
                                                 std::int64_t since,
                                                 std::int64_t held_configuration);

/// A change of a node's being behind, for its log.
struct lag_event
{
    std::string kind;
    /// False once the node has caught up.
    bool is_behind = false;
    std::int64_t held = 0;
    std::int64_t known = 0;
    base::milliseconds duration{};
    std::vector<std::string> asked_peers;
};

/// Decides from whom and when a node obtains objects that it lacks. Each kind is compared apart:
/// evacuations and servers arrive as datagrams, earlier than configurations that were changed
/// before them. Evacuations and servers are compared with every peer, by revision and digest. A
/// node that lacks a revision asks its peers at every check, and reads the store after
/// `revision_lag::store_read_delay`, until it holds it. Not synchronized.
class object_catch_up
{
public:
    /// Time between two checks.
    static constexpr base::milliseconds check_interval{200};
    /// A node that is behind for so long is logged.
    static constexpr base::milliseconds log_delay{600};
    /// Peers from which a pull failed are asked last for this time.
    static constexpr base::milliseconds failed_peer_pause{2000};
    /// A peer whose objects brought nothing new is not asked for the same kind for this time,
    /// unless it reports other objects. A configuration is asked for after `failed_peer_pause`.
    static constexpr base::milliseconds exhausted_peer_pause{10000};
    /// Servers that differ for so long were changed long ago, so all of them are pulled.
    static constexpr base::milliseconds complete_pull_delay{2000};

    explicit object_catch_up(object_kinds kinds) : m_kinds(std::move(kinds)) {}

    object_kinds const& kinds() const noexcept { return m_kinds; }

    /// Compares the node's copies with the reports of its peers.
    void update(catch_up_view const& view, base::time_point now);
    /// Returns the pull that the node needs now, if any. Called once per check.
    std::optional<object_pull> plan_pull(catch_up_view const& view, base::time_point now,
                                         base::random_source& random);
    /// Records the result of a pull, after the pulled objects were merged into the node's copies.
    void record_pull(object_pull const& pull, bool succeeded, catch_up_view const& view,
                     base::time_point now);

    /// True if the node watches the kind in the store, retries a call that failed, or has to read
    /// what its peers don't bring.
    bool should_call_store(std::string const& kind, catch_up_view const& view,
                           base::time_point now) const;
    /// True if the node should read the kind from the store, though it may not follow it.
    bool store_read_due(std::string const& kind, base::time_point now) const;
    void record_store_read_start(std::string const& kind, base::time_point now);
    void record_store_read_success(std::string const& kind);

    /// Returns which kinds have fallen behind for `log_delay`, or caught up after that, since the
    /// last call.
    std::vector<lag_event> take_lag_events(base::time_point now);

private:
    using peer_times = std::map<std::string, base::time_point, std::less<>>;

    /// A pull that brought nothing new.
    struct vain_pull
    {
        std::uint64_t peer_digest = 0;
        bool is_complete = true;
        base::time_point time{};
    };

    struct kind_state
    {
        revision_lag lag;
        /// Peers from which a pull brought nothing new.
        std::map<std::string, vain_pull, std::less<>> exhausted_peers;
        /// Since when a peer has had other objects of the same revision.
        std::optional<base::time_point> differs_since;
        /// Set while the node counts as behind in the log.
        std::optional<lag_event> logged;
        base::time_point logged_since{};
    };

    kind_state* find_kind(std::string const& kind);
    kind_state const* find_kind(std::string const& kind) const;
    std::optional<object_pull> choose_pull(catch_up_view const& view, base::time_point now,
                                           base::random_source& random);
    std::optional<object_pull> plan_configuration_pull(catch_up_view const& view,
                                                       base::time_point now,
                                                       base::random_source& random);
    /// Plans a pull of evacuations or servers.
    std::optional<object_pull> plan_compared_pull(compared_kind kind, catch_up_view const& view,
                                                  base::time_point now,
                                                  base::random_source& random);
    std::optional<object_pull> plan_other_pull(catch_up_view const& view, base::time_point now,
                                               base::random_source& random);
    /// Names of the peers from which pulls have recently failed, or brought nothing of this kind.
    std::set<std::string, std::less<>> peers_to_avoid(kind_state const& state) const;

    object_kinds m_kinds;
    kind_state m_configuration;
    kind_state m_evacuations;
    kind_state m_servers;
    configuration_pull_policy m_configuration_pulls;
    peer_times m_failed_peers;
    bool m_was_behind = false;
    int m_check_count = 0;
};

} // namespace jasminepier::serving
