/// Decisions of configuration distribution: from which peer to pull, when to read the platform,
/// when a node is ready and when it is isolated. Pure, like the failure detector.
#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace jasminepier::membership
{

/// Chooses peers to pull newer configuration from. Not synchronized.
class pull_scheduler
{
public:
    /// A pull that has not ended after this time does not keep a second one from starting, so that
    /// one slow peer cannot hold up a change.
    static constexpr base::milliseconds hedge_delay{500};
    static constexpr int maximum_concurrent_pulls = 2;
    /// Time for which a peer that failed is passed over.
    static constexpr base::milliseconds failed_peer_backoff{3000};

    /// Notes the revision that a peer's datagram carried.
    void record_peer_revision(std::string const& node_id, std::int64_t revision);
    /// Sets this node's confirmed revision.
    void set_local_revision(std::int64_t revision);
    /// Returns a peer to pull from now, and counts the pull as running.
    std::optional<std::string> start_pull(base::time_point now, base::random_source& random);
    /// Must be called once for each peer that `next_pull` returned.
    void finish_pull(base::time_point now, std::string const& node_id, bool succeeded);

private:
    std::int64_t m_local_revision = 0;
    std::map<std::string, std::int64_t> m_newer_peer_revisions;
    std::map<std::string, base::time_point> m_excluded_until;
    int m_running_pulls = 0;
    base::time_point m_last_pull_start{};
};

/// Spaces the calls of a watcher of the platform: at once after a success, with growing and random
/// pauses after failures.
class watch_backoff
{
public:
    static constexpr base::milliseconds initial_delay{250};
    /// With a longer pause, a change accepted right after an outage might not be in force within
    /// 12 s: up to 4 s of waiting, 2 s for the call, and dissemination.
    static constexpr base::milliseconds maximum_delay{4000};

    bool may_call(base::time_point now) const noexcept { return now >= m_next_call; }
    void record_success() noexcept { m_consecutive_failures = 0; }
    void record_failure(base::time_point now, base::random_source& random);

private:
    base::time_point m_next_call{};
    int m_consecutive_failures = 0;
};

/// What the rules on readiness and isolation look at.
struct connectivity_state
{
    base::time_point started;
    /// The node list or the seeds name peers.
    bool has_peer_addresses = false;
    /// The node list names peers, so that the configuration may be in force elsewhere.
    bool node_list_has_peers = false;
    bool has_configuration = false;
    /// A peer has answered since the start.
    std::optional<base::time_point> last_peer_contact;
    std::optional<base::time_point> last_platform_contact;
    std::size_t live_peers_at_last_contact = 0;
};

/// Time after which a starting node no longer waits for a peer's answer.
inline constexpr base::milliseconds readiness_peer_timeout{5000};
/// Time without the platform and all peers after which a node stops admitting new work.
inline constexpr base::milliseconds isolation_timeout{10000};

bool is_node_ready(base::time_point now, connectivity_state const& connectivity) noexcept;
bool is_node_isolated(base::time_point now, connectivity_state const& connectivity) noexcept;

} // namespace jasminepier::membership
