#include "serving/server_directory.hpp"

#include <algorithm>

namespace jasminepier::serving
{

void server_directory::apply_list(std::span<server_entry const> entries, std::int64_t revision,
                                  base::time_point now)
{
    if (revision < m_revision)
        return;
    m_revision = revision;
    std::set<std::string> listed;
    for (auto const& entry : entries)
    {
        listed.insert(entry.id);
        apply_entry(entry, now);
    }
    for (auto& [id, server] : m_servers)
        if (!listed.contains(id) && server.entry.revision <= revision)
            remove(server, now);
}

void server_directory::apply_entry(server_entry const& entry, base::time_point now)
{
    m_revision = std::max(m_revision, entry.revision);
    auto const removed = m_removed_at.find(entry.id);
    if (removed != m_removed_at.end() && entry.revision <= removed->second)
        return;
    auto const [place, added] = m_servers.try_emplace(entry.id);
    auto& server = place->second;
    if (!added && entry.revision < server.entry.revision)
        return;
    auto const phase = entry.draining ? server_phase::draining : server_phase::ready;
    if (added || server.phase != phase)
        server.phase_since = now;
    server.phase = phase;
    server.entry = entry;
    server.cold_until = now + entry.cold_for;
    ++m_change_count;
}

void server_directory::apply_removal(std::string const& id, std::int64_t revision,
                                     base::time_point now)
{
    m_revision = std::max(m_revision, revision);
    auto& removed_at = m_removed_at[id];
    removed_at = std::max(removed_at, revision);
    auto const found = m_servers.find(id);
    if (found != m_servers.end() && found->second.entry.revision <= revision)
        remove(found->second, now);
}

void server_directory::remove(listed_server& server, base::time_point now)
{
    if (server.phase == server_phase::removed || server.phase == server_phase::expired)
        return;
    bool const around_outage =
        m_store_lost || (m_ever_returned && now < m_store_returned + expired_entry_grace_period);
    // A server that drains has said so itself, so its removal is no lapse.
    server.phase = around_outage && server.phase == server_phase::ready ? server_phase::expired
                                                                        : server_phase::removed;
    server.phase_since = now;
    ++m_change_count;
}

void server_directory::record_leaving(std::string const& id, base::time_point now)
{
    auto const found = m_servers.find(id);
    if (found == m_servers.end() || found->second.phase == server_phase::draining ||
        found->second.phase == server_phase::removed)
        return;
    found->second.phase = server_phase::draining;
    found->second.phase_since = now;
    ++m_change_count;
}

void server_directory::handle_store_lost(base::time_point)
{
    m_store_lost = true;
}

void server_directory::handle_store_reached(base::time_point now)
{
    if (!m_store_lost)
        return;
    m_store_lost = false;
    m_ever_returned = true;
    m_store_returned = now;
}

bool server_directory::expire(base::time_point now)
{
    auto const before = m_change_count;
    bool const grace_over = !m_store_lost && now >= m_store_returned + expired_entry_grace_period;
    for (auto& [id, server] : m_servers)
        if (server.phase == server_phase::expired && grace_over)
        {
            server.phase = server_phase::removed;
            server.phase_since = now;
            ++m_change_count;
        }
    std::erase_if(m_servers,
                  [&](auto const& item)
                  {
                      return item.second.phase == server_phase::removed &&
                             now >= item.second.phase_since + removed_server_retention;
                  });
    return m_change_count != before;
}

} // namespace jasminepier::serving
