#include "membership/revision_sync.hpp"

#include <algorithm>
#include <vector>

namespace jasminepier::membership
{

void pull_scheduler::record_peer_revision(std::string const& node_id, std::int64_t revision)
{
    if (revision > m_local_revision)
        m_newer_peer_revisions[node_id] = revision;
}

void pull_scheduler::set_local_revision(std::int64_t revision)
{
    m_local_revision = std::max(m_local_revision, revision);
    std::erase_if(m_newer_peer_revisions,
                  [this](auto const& entry) { return entry.second <= m_local_revision; });
}

std::optional<std::string> pull_scheduler::start_pull(base::time_point now,
                                                      base::random_source& random)
{
    if (m_running_pulls >= maximum_concurrent_pulls ||
        (m_running_pulls > 0 && now - m_last_pull_start < hedge_delay))
        return std::nullopt;
    std::erase_if(m_excluded_until, [now](auto const& entry) { return entry.second <= now; });
    std::vector<std::string> candidates;
    for (auto const& [id, revision] : m_newer_peer_revisions)
        if (!m_excluded_until.contains(id))
            candidates.push_back(id);
    if (candidates.empty())
        return std::nullopt;
    auto const& selected = candidates[random() % candidates.size()];
    // Prevents concurrent pulls from the same peer.
    m_excluded_until[selected] = now + failed_peer_backoff;
    m_last_pull_start = now;
    ++m_running_pulls;
    return selected;
}

void pull_scheduler::finish_pull(base::time_point now, std::string const& node_id, bool succeeded)
{
    --m_running_pulls;
    if (succeeded)
        m_excluded_until.erase(node_id);
    else
        m_excluded_until[node_id] = now + failed_peer_backoff;
}

void watch_backoff::record_failure(base::time_point now, base::random_source& random)
{
    auto const delay =
        std::min(initial_delay * (1 << std::min(m_consecutive_failures, 8)), maximum_delay);
    ++m_consecutive_failures;
    // Half of the delay is random, so that watchers don't all retry at once after an outage.
    auto const half = static_cast<std::uint64_t>(delay.count()) / 2;
    m_next_call = now + base::milliseconds(half + random() % (half + 1));
}

bool is_node_ready(base::time_point now, connectivity_state const& connectivity) noexcept
{
    if (!connectivity.has_configuration)
        return false;
    return !connectivity.node_list_has_peers || connectivity.last_peer_contact ||
           now - connectivity.started >= readiness_peer_timeout;
}

bool is_node_isolated(base::time_point now, connectivity_state const& connectivity) noexcept
{
    auto const is_recent = [now](std::optional<base::time_point> const& contact)
    { return contact && now - *contact < isolation_timeout; };
    return connectivity.live_peers_at_last_contact >= 2 &&
           !is_recent(connectivity.last_peer_contact) &&
           !is_recent(connectivity.last_platform_contact);
}

} // namespace jasminepier::membership
