#include "services/entry/entry_state.hpp"

#include "base/log.hpp"
#include "services/entry/entry_metrics.hpp"

namespace jasminepier::entry
{

void entry_state::apply(inner_protocol::control_update const& update)
{
    std::lock_guard lock(m_mutex);
    auto const objects = inner_protocol::from_thrift(update.objects);
    if (m_store.merge(objects))
        m_snapshot = configuration::build_snapshot(m_store, m_snapshot.get());
    for (auto const& digest : update.loads)
        m_loads[digest.server_id] = digest;
    m_load_sequence = update.load_sequence;
    m_ready = update.ready;
}

configuration::snapshot_ptr entry_state::snapshot() const
{
    std::lock_guard lock(m_mutex);
    return m_snapshot;
}

std::int64_t entry_state::load_sequence() const
{
    std::lock_guard lock(m_mutex);
    return m_load_sequence;
}

bool entry_state::ready() const
{
    std::lock_guard lock(m_mutex);
    return m_ready;
}

base::result<chosen_server> entry_state::acquire(acquire_request const& request)
{
    std::lock_guard lock(m_mutex);
    configuration::server const* best = nullptr;
    int candidates = 0;
    for (auto const& [name, server] : m_snapshot->servers)
    {
        if (server.service != request.service || server.leaving ||
            request.excluded.contains(name) || !m_snapshot->zone_in_service(server.zone))
            continue;
        auto const load = m_loads.find(name);
        // States 2 and 3 are leaving and unreachable.
        if (load != m_loads.end() && load->second.state >= 2)
            continue;
        ++candidates;
        if (best == nullptr || m_outstanding[name] < m_outstanding[best->name])
            best = &server;
    }
    if (best == nullptr)
        return base::fail(base::error_kind::no_server,
                          "no server of " + request.service + " is available");
    ++m_outstanding[best->name];
    auto const ticket = m_next_ticket++;
    m_attempts.emplace(ticket, attempt{best->name});
    base::log_line(base::log_level::info, "route")
        .field("request_id", request.request_id)
        .field("service", request.service)
        .field("server", best->name)
        .field("zone", best->zone)
        .field("candidates", candidates)
        .field("reason", "least_outstanding");
    observe_route({request.service, best->name, best->zone, "least_outstanding", candidates,
                   request.request_id});
    return chosen_server{best->name, best->host, best->port, ticket,
                         m_snapshot->active_preset.limits(request.kind).rank};
}

std::optional<inner_protocol::load_digest> entry_state::load(std::string const& server) const
{
    std::lock_guard lock(m_mutex);
    auto const found = m_loads.find(server);
    return found == m_loads.end() ? std::nullopt : std::optional(found->second);
}

void entry_state::note_tokens(std::uint64_t, std::int64_t) {}

void entry_state::finish(std::uint64_t ticket, attempt_outcome)
{
    std::lock_guard lock(m_mutex);
    auto const found = m_attempts.find(ticket);
    if (found == m_attempts.end())
        return;
    --m_outstanding[found->second.server];
    m_attempts.erase(found);
}

void entry_state::note_server_lost(std::string const& server)
{
    std::lock_guard lock(m_mutex);
    m_loads[server].state = 3;
}

} // namespace jasminepier::entry
