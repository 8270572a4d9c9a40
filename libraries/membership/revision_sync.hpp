/// Rules of configuration distribution: which peer to pull from, how long to back off from the
/// platform, when a node is ready and when it is isolated. No I/O.
#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace jasminepier::membership
{

/// Selects peers to pull newer configuration from. Not thread-safe.
class pull_scheduler
{
public:
    /// A second pull may start if the first one takes longer than this, so that one slow peer can't
    /// delay a change.
    static constexpr base::milliseconds hedge_delay{500};
    static constexpr int maximum_concurrent_pulls = 2;
    /// Time for which a peer is excluded after a failed pull.
    static constexpr base::milliseconds failed_peer_backoff{3000};

    /// Records the configuration revision of a peer from its datagram.
    void record_peer_revision(std::string const& node_id, std::int64_t revision);
    /// Sets the confirmed revision of this node.
    void set_local_revision(std::int64_t revision);
    /// Returns a peer to pull from now, if a pull is due, and counts the pull as running.
    std::optional<std::string> start_pull(base::time_point now, base::random_source& random);
    /// Must be called once for each peer that `start_pull` returned.
    void finish_pull(base::time_point now, std::string const& node_id, bool succeeded);

private:
    std::int64_t m_local_revision = 0;
    std::map<std::string, std::int64_t> m_newer_peer_revisions;
    std::map<std::string, base::time_point> m_excluded_until;
    int m_running_pulls = 0;
    base::time_point m_last_pull_start{};
};

/// Exponential backoff with jitter for the calls of a platform watcher. No delay after a success.
class watch_backoff
{
public:
    static constexpr base::milliseconds initial_delay{250};
    /// With a longer delay, a change accepted right after an outage might miss the target of being
    /// in force within 12 s: up to 4 s of delay, 2 s for the call, and dissemination.
    static constexpr base::milliseconds maximum_delay{4000};

    bool may_call(base::time_point now) const noexcept { return now >= m_next_call; }
    void record_success() noexcept { m_consecutive_failures = 0; }
    void record_failure(base::time_point now, base::random_source& random);

private:
    base::time_point m_next_call{};
    int m_consecutive_failures = 0;
};

/// Contacts with peers and the platform, the input of the rules on readiness and isolation.
struct connectivity_state
{
    base::time_point started;
    /// The platform's node list or the seeds contain peers.
    bool has_peer_addresses = false;
    /// The platform's node list contains peers, which may have a newer configuration.
    bool node_list_has_peers = false;
    bool has_configuration = false;
    /// Time of the last acknowledgement from a peer since the start.
    std::optional<base::time_point> last_peer_contact;
    std::optional<base::time_point> last_platform_contact;
    std::size_t live_peers_at_last_contact = 0;
};

/// Time after which a starting node becomes ready without a response from any peer.
inline constexpr base::milliseconds readiness_peer_timeout{5000};
/// Time without any contact to the platform and to peers after which a node stops admitting new
/// work.
inline constexpr base::milliseconds isolation_timeout{10000};

/// Returns true if the node has a configuration and, if its node list has peers, has reached one of
/// them or waited for `readiness_peer_timeout`.
bool is_node_ready(base::time_point now, connectivity_state const& connectivity) noexcept;
/// Returns true if the node has had no contact for `isolation_timeout`. A node with fewer than two
/// live peers at the last contact never counts as isolated.
bool is_node_isolated(base::time_point now, connectivity_state const& connectivity) noexcept;

} // namespace jasminepier::membership
