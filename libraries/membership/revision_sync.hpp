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
class revision_sync
{
public:
    /// A pull that has not ended after this time does not keep a second one from starting, so that
    /// one slow peer cannot hold up a change.
    static constexpr base::milliseconds hedge_after{500};
    static constexpr int maximum_pulls = 2;
    /// Time for which a peer that failed is passed over.
    static constexpr base::milliseconds failed_peer_pause{3000};

    /// Notes the revision that a peer's datagram carried.
    void observe(std::string const& node_id, std::int64_t revision);
    /// Sets this node's confirmed revision.
    void set_own_revision(std::int64_t revision);
    /// Returns a peer to pull from now, and counts the pull as running.
    std::optional<std::string> next_pull(base::time_point now, base::random_source& random);
    /// Must be called once for each peer that `next_pull` returned.
    void finish_pull(base::time_point now, std::string const& node_id, bool succeeded);

private:
    std::int64_t m_own = 0;
    std::map<std::string, std::int64_t> m_ahead;
    std::map<std::string, base::time_point> m_paused_until;
    int m_running = 0;
    base::time_point m_last_start{};
};

/// Spaces the calls of a watcher of the platform: at once after a success, with growing and random
/// pauses after failures.
class watch_backoff
{
public:
    static constexpr base::milliseconds first_pause{250};
    /// With a longer pause, a change accepted right after an outage might not be in force within
    /// 12 s: up to 4 s of waiting, 2 s for the call, and dissemination.
    static constexpr base::milliseconds longest_pause{4000};

    bool may_call(base::time_point now) const noexcept { return now >= m_next; }
    void succeeded() noexcept { m_failures = 0; }
    void failed(base::time_point now, base::random_source& random);

private:
    base::time_point m_next{};
    int m_failures = 0;
};

/// What the rules on readiness and isolation look at.
struct reach
{
    base::time_point started;
    /// The node list or the seeds name peers.
    bool peers_named = false;
    /// The node list names peers, so that the configuration may be in force elsewhere.
    bool peers_listed = false;
    bool configuration_merged = false;
    /// A peer has answered since the start.
    std::optional<base::time_point> last_peer_contact;
    std::optional<base::time_point> last_platform_contact;
    std::size_t live_peers_before = 0;
};

/// Time after which a starting node no longer waits for a peer's answer.
inline constexpr base::milliseconds peer_answer_wait{5000};
/// Time without the platform and all peers after which a node stops admitting new work.
inline constexpr base::milliseconds isolation_limit{10000};

bool node_ready(base::time_point now, reach const& seen) noexcept;
bool node_isolated(base::time_point now, reach const& seen) noexcept;

} // namespace jasminepier::membership
