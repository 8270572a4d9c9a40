#include "membership/revision_sync.hpp"

#include <algorithm>
#include <vector>

namespace jasminepier::membership
{

void revision_sync::observe(std::string const& node_id, std::int64_t revision)
{
    if (revision > m_own)
        m_ahead[node_id] = revision;
}

void revision_sync::set_own_revision(std::int64_t revision)
{
    m_own = std::max(m_own, revision);
    std::erase_if(m_ahead, [this](auto const& entry) { return entry.second <= m_own; });
}

std::optional<std::string> revision_sync::next_pull(base::time_point now,
                                                    base::random_source& random)
{
    if (m_running >= maximum_pulls || (m_running > 0 && now - m_last_start < hedge_after))
        return std::nullopt;
    std::erase_if(m_paused_until, [now](auto const& entry) { return entry.second <= now; });
    std::vector<std::string> usable;
    for (auto const& [id, revision] : m_ahead)
        if (!m_paused_until.contains(id))
            usable.push_back(id);
    if (usable.empty())
        return std::nullopt;
    auto const& chosen = usable[random() % usable.size()];
    // The same peer is not asked twice at once.
    m_paused_until[chosen] = now + failed_peer_pause;
    m_last_start = now;
    ++m_running;
    return chosen;
}

void revision_sync::finish_pull(base::time_point now, std::string const& node_id, bool succeeded)
{
    --m_running;
    if (succeeded)
        m_paused_until.erase(node_id);
    else
        m_paused_until[node_id] = now + failed_peer_pause;
}

void watch_backoff::failed(base::time_point now, base::random_source& random)
{
    auto const pause = std::min(first_pause * (1 << std::min(m_failures, 8)), longest_pause);
    ++m_failures;
    // Half of the pause is random, so that watchers do not return all at once after an outage.
    auto const half = static_cast<std::uint64_t>(pause.count()) / 2;
    m_next = now + base::milliseconds(half + random() % (half + 1));
}

bool node_ready(base::time_point now, reach const& seen) noexcept
{
    if (!seen.configuration_merged)
        return false;
    return !seen.peers_listed || seen.last_peer_contact || now - seen.started >= peer_answer_wait;
}

bool node_isolated(base::time_point now, reach const& seen) noexcept
{
    auto const recent = [now](std::optional<base::time_point> const& contact)
    { return contact && now - *contact < isolation_limit; };
    return seen.live_peers_before >= 2 && !recent(seen.last_peer_contact) &&
           !recent(seen.last_platform_contact);
}

} // namespace jasminepier::membership
