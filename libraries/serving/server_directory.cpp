#include "serving/server_directory.hpp"

#include "store/object_version.hpp"

#include <algorithm>
#include <utility>

namespace jasminepier::serving
{
namespace
{

/// True if the server that the entry lists is the one that leaves, or has left since.
bool concerns(leaving_notice const& notice, server_entry const& entry)
{
    bool const same_process = notice.started_unix_milliseconds == entry.started_unix_milliseconds;
    return (notice.announced && same_process) || notice.revision >= entry.revision;
}

/// Combines what is known with a further notice about the same id.
leaving_notice combine(std::optional<leaving_notice> const& known, leaving_notice const& notice)
{
    if (!known)
        return notice;
    auto const known_start = known->started_unix_milliseconds;
    auto const start = notice.started_unix_milliseconds;
    if (known_start != 0 && start != 0 && known_start != start)
        return known->revision > notice.revision ? *known : notice;
    return {std::max(known->revision, notice.revision), start != 0 ? start : known_start,
            known->announced || notice.announced};
}

} // namespace

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
            mark_removed(server, revision, now);
}

void server_directory::apply_entry(server_entry const& entry, base::time_point now)
{
    m_revision = std::max(m_revision, entry.revision);
    auto const removed = m_removal_revisions.find(entry.id);
    if (removed != m_removal_revisions.end() && entry.revision <= removed->second)
        return;
    auto const [position, added] = m_servers.try_emplace(entry.id);
    auto& server = position->second;
    if (!added && entry.revision < server.entry.revision)
        return;
    if (!added && may_be_outdated(entry, server))
    {
        server.entry.revision = entry.revision;
        return;
    }
    if (!added && entry.started_unix_milliseconds != server.entry.started_unix_milliseconds)
        m_restart_revisions[server.hash] = entry.revision;
    if (server.leaving && !concerns(*server.leaving, entry))
        server.leaving.reset();
    if (entry.draining)
        server.leaving = combine(server.leaving, {entry.revision, entry.started_unix_milliseconds});
    auto const phase = server.leaving ? server_phase::draining : server_phase::ready;
    // A copy says how long the server was to warm up when it was taken.
    bool const keeps_warm_up =
        !added && store::epoch_of(entry.revision) != store::epoch_of(server.entry.revision) &&
        entry.started_unix_milliseconds == server.entry.started_unix_milliseconds &&
        entry.remaining_warm_up == server.entry.remaining_warm_up;
    if (added || server.phase != phase)
        server.phase_since = now;
    server.phase = phase;
    server.entry = entry;
    server.hash = hash_server(entry.id);
    if (!keeps_warm_up)
        server.cold_until = now + entry.remaining_warm_up;
    ++m_change_count;
}

bool server_directory::may_be_outdated(server_entry const& entry, listed_server const& server)
{
    bool const left =
        server.phase == server_phase::draining || server.phase == server_phase::removed;
    return left && !entry.draining &&
           store::epoch_of(entry.revision) > store::epoch_of(server.entry.revision) &&
           entry.started_unix_milliseconds == server.entry.started_unix_milliseconds;
}

void server_directory::apply_removal(std::string const& id, std::int64_t revision,
                                     base::time_point now)
{
    m_revision = std::max(m_revision, revision);
    auto& removal_revision = m_removal_revisions[id];
    removal_revision = std::max(removal_revision, revision);
    auto const found = m_servers.find(id);
    if (found != m_servers.end() && found->second.entry.revision <= revision)
        mark_removed(found->second, revision, now);
}

/// Marks the server as removed, or as expired if an outage of the store may be the reason.
void server_directory::mark_removed(listed_server& server, std::int64_t revision,
                                    base::time_point now)
{
    if (server.phase == server_phase::removed || server.phase == server_phase::expired)
        return;
    server.leaving = combine(server.leaving, {revision, server.entry.started_unix_milliseconds});
    bool const near_store_outage =
        m_store_lost ||
        (m_store_ever_recovered && now < m_store_recovered_at + expired_entry_grace_period);
    // A draining server announced that it leaves, so its entry was removed on purpose.
    server.phase = near_store_outage && server.phase == server_phase::ready ? server_phase::expired
                                                                            : server_phase::removed;
    server.phase_since = now;
    ++m_change_count;
}

notice_effect server_directory::record_leaving(std::string const& id, leaving_notice const& notice,
                                               base::time_point now)
{
    auto const found = m_servers.find(id);
    if (found == m_servers.end() || !concerns(notice, found->second.entry))
        return notice_effect::outdated;
    auto& server = found->second;
    server.leaving = combine(server.leaving, notice);
    if (server.phase == server_phase::draining || server.phase == server_phase::removed)
        return notice_effect::already_known;
    server.phase = server_phase::draining;
    server.phase_since = now;
    ++m_change_count;
    return notice_effect::applied;
}

bool server_directory::record_announced_leaving(std::string const& id,
                                                std::int64_t started_unix_milliseconds,
                                                base::time_point now)
{
    if (!lists_process(id, started_unix_milliseconds))
        return false;
    auto const& server = m_servers.at(id);
    if (server.leaving && server.leaving->announced)
        return false;
    record_leaving(id, {server.entry.revision, started_unix_milliseconds, true}, now);
    return true;
}

bool server_directory::lists_process(std::string const& id,
                                     std::int64_t started_unix_milliseconds) const
{
    auto const found = m_servers.find(id);
    return found != m_servers.end() &&
           found->second.entry.started_unix_milliseconds == started_unix_milliseconds;
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
    m_store_ever_recovered = true;
    m_store_recovered_at = now;
}

void server_directory::handle_store_restored(base::time_point now)
{
    m_store_ever_recovered = true;
    m_store_recovered_at = now;
}

bool server_directory::expire(base::time_point now)
{
    auto const previous_change_count = m_change_count;
    bool const grace_period_ended =
        !m_store_lost && now >= m_store_recovered_at + expired_entry_grace_period;
    for (auto& [id, server] : m_servers)
        if (server.phase == server_phase::expired && grace_period_ended)
        {
            server.phase = server_phase::removed;
            server.phase_since = now;
            ++m_change_count;
        }
    std::erase_if(m_servers,
                  [&](auto const& item)
                  {
                      bool const retention_ended =
                          item.second.phase == server_phase::removed &&
                          now >= item.second.phase_since + removed_server_retention;
                      if (retention_ended)
                          m_restart_revisions.erase(item.second.hash);
                      return retention_ended;
                  });
    return m_change_count != previous_change_count;
}

} // namespace jasminepier::serving
